//! The claims of requests that must not run twice, as queries use them.

use {
    crate::entry::QueryRequest,
    wigeonramp_config::caller_api::{QueryOutcome, QueryResponse},
};

/// Whether a request may be sent.
#[derive(Clone, Debug)]
pub enum ClaimDecision {
    /// It may be sent once, by this host, now.
    Granted,
    /// It was not sent and will not be by this host; nothing is known of earlier sendings.
    NotRun(String),
    /// It was sent before and this is its recorded answer.
    AlreadyRan(Box<QueryResponse>),
    /// It may have been sent before.
    Unknown(String),
}

/// What is recorded of a claimed request.
#[derive(Clone, Debug)]
pub enum ClaimedOutcome {
    /// It ran; the answer is for repetitions.
    Done(Box<QueryResponse>),
    /// No byte was sent; the claim can be released.
    NotRun,
    /// Bytes were sent and no answer came.
    Unknown,
}

impl ClaimedOutcome {
    /// The record of `answer`.
    pub fn of(answer: &QueryResponse) -> Self {
        match answer.outcome {
            QueryOutcome::Done => Self::Done(Box::new(answer.clone())),
            QueryOutcome::RefusedNotRun { .. } => Self::NotRun,
            QueryOutcome::Unknown { .. } => Self::Unknown,
        }
    }
}

/// Grants each request that must not run twice to one sender.
pub trait RequestClaims: Send + Sync + 'static {
    /// Asks to send the request; blocks until the answer is certain.
    fn claim(&self, query: &QueryRequest) -> ClaimDecision;

    /// Records the outcome of a granted request.
    fn record(&self, query: &QueryRequest, outcome: &ClaimedOutcome);
}
