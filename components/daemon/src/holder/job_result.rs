//! Maps the outcome of a call to the leaf's state machine and to the query.

use {
    crate::{
        holder::connection::{CallOutcome, LeafResponse},
        reply::{ReplyOutcome, Rows},
    },
    wigeonramp_serving::upstream::{Completion, Refusal},
    wigeonramp_units::Span,
};

/// Result of a job, derived from the outcome of its call.
#[derive(Clone, Debug)]
pub struct JobResult {
    /// Input to the state machine of the leaf.
    pub completion: Completion,
    /// Outcome to report to the query.
    pub reply: ReplyOutcome,
}

impl JobResult {
    fn new(completion: Completion, reply: ReplyOutcome) -> Self {
        Self { completion, reply }
    }

    /// Maps the outcome of a call that took `latency`. The outcome of a `cancelled` call counts
    /// neither against the leaf nor against the request.
    pub fn from_call(call: CallOutcome, latency: Span, cancelled: bool) -> Self {
        if cancelled {
            return Self::cancelled(&call);
        }
        let keep = Completion::Cancelled { reusable: true };
        let close = Completion::Cancelled { reusable: false };
        match call {
            CallOutcome::Answered(response) => Self::answered(response, latency),
            CallOutcome::InvalidResponse(what) => {
                Self::new(close, ReplyOutcome::Unknown(what.to_owned()))
            }
            CallOutcome::ExpiredBeforeSend => {
                Self::new(keep, ReplyOutcome::NotSent(Refusal::Deadline))
            }
            CallOutcome::Leaving => Self::new(Completion::Leaving, refused("leaf is leaving")),
            // The leaf may have restarted since the connection was last used, so it counts as cold
            // again. The request was not sent and is no crash suspect.
            CallOutcome::NotSent => {
                Self::new(Completion::Rejected, ReplyOutcome::NotSent(Refusal::Unreachable))
            }
            CallOutcome::ExpiredAtLeaf => Self::new(keep, refused("past the deadline at the leaf")),
            CallOutcome::Refused(status) if status.is_client_error() => {
                Self::new(keep, refused(&format!("leaf answered {status}")))
            }
            CallOutcome::Refused(status) => {
                Self::new(close, ReplyOutcome::Unknown(format!("leaf answered {status}")))
            }
            CallOutcome::Reset => {
                Self::new(Completion::Reset, ReplyOutcome::Reset("connection reset".into()))
            }
            CallOutcome::Shed => Self::new(Completion::Rejected, refused("leaf sheds load")),
            CallOutcome::SnapshotGone(_) => Self::new(keep, ReplyOutcome::SnapshotGone),
            CallOutcome::TimedOut => {
                Self::new(Completion::TimedOut, ReplyOutcome::Unknown("no response in time".into()))
            }
        }
    }

    fn answered(response: LeafResponse, latency: Span) -> Self {
        let completion = Completion::Answered { boot: response.boot, latency, busy: false };
        let rows =
            Rows { count: response.rows, digest: response.digest, payload: response.payload };
        Self::new(completion, ReplyOutcome::Answered(rows))
    }

    fn cancelled(call: &CallOutcome) -> Self {
        let complete = matches!(
            call,
            CallOutcome::Answered(_)
                | CallOutcome::ExpiredBeforeSend
                | CallOutcome::Leaving
                | CallOutcome::ExpiredAtLeaf
                | CallOutcome::Refused(_)
                | CallOutcome::Shed
                | CallOutcome::SnapshotGone(_)
        );
        let reply = ReplyOutcome::Unknown("cancelled".to_owned());
        Self::new(Completion::Cancelled { reusable: complete }, reply)
    }
}

fn refused(reason: &str) -> ReplyOutcome {
    ReplyOutcome::Refused(reason.to_owned())
}
