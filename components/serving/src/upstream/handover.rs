//! State that a holder passes to the next one, and the report for other hosts.

use {
    super::types::{Allowance, LeafState},
    serde::{Deserialize, Serialize},
    wigeonramp_units::{BootId, Fingerprint, Span},
};

/// State of a leaf that a holder passes to the next one. Times are ages, since the clocks of hosts
/// differ.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HandoverState {
    /// Load that the leaf can handle.
    pub allowance: Allowance,
    /// Boot id of the leaf process for which the allowance was reached.
    pub boot: Option<BootId>,
    /// Recent service time.
    #[serde(rename = "service")]
    pub service_time: Span,
    /// Sends and connects in the last second.
    #[serde(rename = "spent")]
    pub recent_sends: u32,
    /// Time since the leaf last answered or was sent a request.
    pub idle: Span,
    /// Requests that were running when the leaf reset.
    pub suspects: Vec<CrashSuspect>,
}

/// A request that was running when the leaf reset.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashSuspect {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether it was the only request running at the leaf.
    pub alone: bool,
    /// Time since the reset.
    pub age: Span,
}

/// Report on a leaf for entry hosts and metrics.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UpstreamReport {
    /// State of the leaf.
    pub state: LeafState,
    /// Jobs that the leaf is running.
    pub in_flight: u32,
    /// Jobs in the queue.
    pub queued: u32,
    /// Load that the leaf can handle.
    pub allowance: Allowance,
    /// Open connections, including the one being opened.
    pub connections: u32,
    /// Recent service time; zero when unknown.
    #[serde(rename = "service")]
    pub service_time: Span,
    /// Boot id of the leaf process, if known.
    pub boot: Option<BootId>,
}
