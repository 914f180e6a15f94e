//! The interface that queries use to claim non-idempotent requests.

use {
    crate::entry::QueryRequest,
    wigeonramp_config::caller_api::{QueryOutcome, QueryResponse},
};

/// Whether a claimed request may be sent to a leaf.
#[derive(Clone, Debug)]
pub enum ClaimDecision {
    /// This host may send the request once.
    Granted,
    /// This host has not sent the request and will not send it. Whether an earlier submission ran
    /// is unknown.
    NotRun(String),
    /// An earlier submission ran; holds the response for the resubmission.
    AlreadyRan(Box<QueryResponse>),
    /// An earlier submission may have been sent.
    Unknown(String),
}

/// The outcome of a claimed request, as recorded in its claim.
#[derive(Clone, Debug)]
pub enum ClaimedOutcome {
    /// The request ran; holds the response.
    Done(Box<QueryResponse>),
    /// No byte was sent to a leaf, so the claim can be released.
    NotRun,
    /// Bytes were sent to a leaf and no response arrived.
    Unknown,
}

impl ClaimedOutcome {
    /// Returns the outcome to record for `response`.
    pub fn of(response: &QueryResponse) -> Self {
        match response.outcome {
            QueryOutcome::Done => Self::Done(Box::new(response.clone())),
            QueryOutcome::RefusedNotRun { .. } => Self::NotRun,
            QueryOutcome::Unknown { .. } => Self::Unknown,
        }
    }
}

/// Claims non-idempotent requests, so that at most one host sends each of them.
pub trait RequestClaims: Send + Sync + 'static {
    /// Claims the request for this host; blocks until the claim is decided.
    fn claim(&self, query: &QueryRequest) -> ClaimDecision;

    /// Records the outcome of a request whose claim was granted.
    fn record(&self, query: &QueryRequest, outcome: &ClaimedOutcome);
}
