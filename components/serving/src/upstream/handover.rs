//! State that moves to the next holder, and the report for other hosts.

use {
    super::limits::{Allowance, LeafState},
    serde::{Deserialize, Serialize},
    wigeonramp_units::{BootId, Fingerprint, Span},
};

/// What a holder hands over with a leaf. Times are ages, as clocks of hosts differ.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HandoverState {
    /// What the leaf bears.
    pub allowance: Allowance,
    /// Boot id of the leaf that earned the allowance.
    pub boot: Option<BootId>,
    /// Recent service time.
    #[serde(rename = "service")]
    pub service_time: Span,
    /// Sends and connects in the last second.
    #[serde(rename = "spent")]
    pub recent_sends: u32,
    /// Time since the last answer.
    pub idle: Span,
    /// Requests that were running when the leaf reset.
    pub suspects: Vec<CrashSuspect>,
}

/// A request that was running when the leaf reset.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashSuspect {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it was the only request at the leaf.
    pub alone: bool,
    /// Time since the reset.
    pub age: Span,
}

/// Condition of a leaf, for entry hosts and metrics.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamReport {
    /// State.
    pub state: LeafState,
    /// Jobs at the leaf.
    pub in_flight: u32,
    /// Jobs in the queue.
    pub queued: u32,
    /// What the leaf bears.
    pub allowance: Allowance,
    /// Open connections, with the one being opened.
    pub connections: u32,
    /// Recent service time; zero when unknown.
    #[serde(rename = "service")]
    pub service_time: Span,
    /// Boot id of the leaf, when known.
    pub boot: Option<BootId>,
}
