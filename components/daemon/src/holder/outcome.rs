//! What the end of a call means for the leaf and for the query.

use {
    crate::{
        holder::connection::{CallOutcome, LeafResponse},
        reply::{ReplyOutcome, Rows},
    },
    wigeonramp_serving::upstream::{Completion, Refusal},
    wigeonramp_units::Span,
};

/// The two sides of a call's end.
#[derive(Clone, Debug)]
pub struct Ended {
    /// For the leaf's ramp and connections.
    pub completion: Completion,
    /// For the query.
    pub outcome: ReplyOutcome,
}

impl Ended {
    fn new(completion: Completion, outcome: ReplyOutcome) -> Self {
        Self { completion, outcome }
    }

    /// Reads the end of a call that took `latency`; `cancelled` calls blame nobody.
    pub fn of(end: CallOutcome, latency: Span, cancelled: bool) -> Self {
        if cancelled {
            return Self::cancelled(&end);
        }
        let keep = Completion::Cancelled { reusable: true };
        let close = Completion::Cancelled { reusable: false };
        match end {
            CallOutcome::Answered(answer) => Self::answered(answer, latency),
            CallOutcome::InvalidResponse(what) => {
                Self::new(close, ReplyOutcome::Unknown(what.to_owned()))
            }
            CallOutcome::ExpiredBeforeSend => {
                Self::new(keep, ReplyOutcome::NotSent(Refusal::Deadline))
            }
            CallOutcome::Leaving => Self::new(Completion::Leaving, refused("leaf is leaving")),
            // The leaf may have restarted since the connection was used, so it starts cold again;
            // the request was not sent and is no suspect.
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
                Self::new(Completion::TimedOut, ReplyOutcome::Unknown("no answer in time".into()))
            }
        }
    }

    fn answered(answer: LeafResponse, latency: Span) -> Self {
        let completion = Completion::Answered { boot: answer.boot, latency, busy: false };
        let rows = Rows { count: answer.rows, digest: answer.digest, payload: answer.payload };
        Self::new(completion, ReplyOutcome::Answered(rows))
    }

    fn cancelled(end: &CallOutcome) -> Self {
        let whole = matches!(
            end,
            CallOutcome::Answered(_)
                | CallOutcome::ExpiredBeforeSend
                | CallOutcome::Leaving
                | CallOutcome::ExpiredAtLeaf
                | CallOutcome::Refused(_)
                | CallOutcome::Shed
                | CallOutcome::SnapshotGone(_)
        );
        let outcome = ReplyOutcome::Unknown("cancelled".to_owned());
        Self::new(Completion::Cancelled { reusable: whole }, outcome)
    }
}

fn refused(reason: &str) -> ReplyOutcome {
    ReplyOutcome::Refused(reason.to_owned())
}
