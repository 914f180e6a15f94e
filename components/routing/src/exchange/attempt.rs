//! Parts of a request and their attempts.

use {
    crate::{leaf::HealthSignal, leaves::LeafKey, queue::Urgency, reply::LeafResponse},
    wigeonramp_units::{Instant, ServiceId, Span},
};

/// Identifies one attempt of one part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptRef {
    /// Index of the part.
    pub part: usize,
    /// Index of the attempt within the part.
    pub number: usize,
}

/// An attempt that is to be sent now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptSpec {
    /// Part and index of the attempt.
    pub attempt: AttemptRef,
    /// Leaf to send to.
    pub leaf: LeafKey,
    /// Time that the leaf has to respond if it is sent now; less after a wait for a connection.
    pub timeout: Span,
    /// Urgency among the attempts that wait for a connection.
    pub urgency: Urgency,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A complete response of the leaf, other than one that says that the request did not run.
    Response(LeafResponse),
    /// The leaf said that it did not run the request.
    NotRun,
    /// No byte of the request reached the leaf.
    Unsent,
    /// This host did not send it, for a reason that says nothing of the leaf.
    Withheld,
    /// The connection broke or the response was invalid; the request may have run.
    Lost,
}

impl AttemptOutcome {
    /// Returns the stable name used in logs.
    pub(super) const fn name(&self) -> &'static str {
        match self {
            AttemptOutcome::Response(response) if response.status < 400 => "answered",
            AttemptOutcome::Response(_) => "failed",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Unsent => "unsent",
            AttemptOutcome::Withheld => "withheld",
            AttemptOutcome::Lost => "lost",
        }
    }
}

/// An attempt of a part.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub leaf: LeafKey,
    pub sent: Instant,
    pub running: bool,
    pub reached_leaf: bool,
    /// Whether a leaf may run or have run it: bytes of it were written to a connection, and the
    /// leaf has not said that it did not run it.
    pub may_have_run: bool,
    /// Whether the leaf said that it did not run the request.
    pub declined: bool,
    pub ended: Option<(Instant, &'static str)>,
}

impl AttemptOutcome {
    /// Returns what the outcome says of the health of the leaf.
    pub fn health(&self) -> HealthSignal {
        match self {
            AttemptOutcome::Response(response) if response.status < 500 => HealthSignal::Answered,
            AttemptOutcome::Response(_) | AttemptOutcome::NotRun => HealthSignal::Failed,
            AttemptOutcome::Unsent | AttemptOutcome::Lost => HealthSignal::Broken,
            AttemptOutcome::Withheld => HealthSignal::Abandoned,
        }
    }
}

/// Details of an attempt for the log.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTrace<'a> {
    /// Service of the part: a shard, or the only service of the request.
    pub service: &'a ServiceId,
    /// Leaf that it was sent to.
    pub leaf: LeafKey,
    /// Time at which it was sent.
    pub sent: Instant,
    /// Time and name of its outcome; none while it is running.
    pub ended: Option<(Instant, &'static str)>,
}

/// A part of a request: one shard, or the whole of a request with a single part.
#[derive(Clone, Debug)]
pub(super) struct Part {
    pub service: ServiceId,
    pub attempts: Vec<Attempt>,
    pub response: Option<LeafResponse>,
    /// Last response with a failure status.
    pub failure: Option<LeafResponse>,
    /// Whether no further attempt is possible.
    pub exhausted: bool,
    /// Whether it was not sent because there was no permit for a leaf that names a limit.
    pub limited: bool,
}

impl Part {
    pub fn new(service: ServiceId) -> Self {
        Self {
            service,
            attempts: Vec::new(),
            response: None,
            failure: None,
            exhausted: false,
            limited: false,
        }
    }

    pub fn is_unresolved(&self) -> bool {
        self.response.is_none() && !self.exhausted
    }

    /// Number of attempts that have not ended.
    pub fn running(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.running).count()
    }

    /// Number of attempts that a leaf may have run.
    pub fn possible_runs(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.may_have_run).count()
    }
}
