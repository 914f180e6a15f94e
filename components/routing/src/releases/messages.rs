//! Messages between hosts about releases. They carry ages in place of times.

use {
    super::{
        counts::Counts,
        evidence::{RouteHash, Side},
        order::{OrderKey, OrderState, Phase},
    },
    std::net::Ipv4Addr,
    wigeonramp_units::Span,
};

/// Counts of one route and side.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TotalsRow {
    /// Route of the attempts.
    pub route: RouteHash,
    /// Side that they were sent to.
    pub side: Side,
    /// Attempts that have ended since the order.
    pub counts: Counts,
}

/// Running totals of one host for an order, sent to the deciding host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Totals {
    /// The order.
    pub key: OrderKey,
    /// Number of the message, which rises also over restarts of the sender.
    pub serial: u64,
    /// Age of the order as the sender knows it.
    pub age: Span,
    /// Phase on the sender.
    pub phase: Phase,
    /// Whether the sender sends nothing to baseline leaves and has no requests in flight there.
    pub drained: bool,
    /// First attempts for the service.
    pub requests: u64,
    /// Attempts at leaves of the candidate.
    pub sent: u64,
    /// Ended attempts.
    pub rows: Vec<TotalsRow>,
}

/// What the deciding host has decided about an order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// The order.
    pub key: OrderKey,
    /// Age of the order as the sender knows it.
    pub age: Span,
    /// Phase that all hosts are to be in.
    pub phase: Phase,
    /// Whether the receiver is to confirm that it sends nothing to baseline leaves.
    pub confirm: bool,
    /// Requests per second for the service from all hosts; zero if not known.
    pub rate: u32,
    /// State that is to be written to the store, which the sender cannot reach.
    pub requested_state: Option<OrderState>,
}

/// A message about releases.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReleaseMessage {
    /// Totals for the deciding host.
    Totals(Totals),
    /// A verdict for other hosts.
    Verdict(Verdict),
}

/// A message to another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// Receiver.
    pub to: Ipv4Addr,
    /// Message.
    pub message: ReleaseMessage,
}
