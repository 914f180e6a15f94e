//! Messages between hosts about the request limits of leaves.

use {
    super::statement::LimitStatement,
    crate::leaf::LeafInstance,
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, RequestRate, Span},
};

/// Bound on the time that a message between hosts takes. A statement that is newer than another one
/// by less than this counts as equally new.
const MAX_TRANSIT: Span = Span::millis(100);

/// What a leaf said about its limit, with ages in place of times, as clocks differ between hosts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LimitNews {
    /// The leaf.
    pub leaf: LeafInstance,
    /// The limit; none if the leaf names none.
    pub rate: Option<RequestRate>,
    /// Time since the request was sent whose response said so.
    pub asked_ago: Span,
    /// Time since the response arrived.
    pub heard_ago: Span,
}

impl LimitNews {
    /// Creates the news of a statement.
    pub fn new(leaf: LeafInstance, said: &LimitStatement, now: Instant) -> Self {
        let (asked_ago, heard_ago) = (now.since(said.asked), now.since(said.heard));
        Self { leaf, rate: said.rate, asked_ago, heard_ago }
    }

    /// Returns the statement on the clock of the host that received the news.
    pub fn statement(&self, now: Instant) -> LimitStatement {
        let asked = now - self.asked_ago - MAX_TRANSIT;
        LimitStatement { rate: self.rate, asked, heard: now - self.heard_ago }
    }
}

/// Request of a host to the allocator of a leaf.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitRequest {
    /// What the host has heard from the leaf.
    pub news: LimitNews,
    /// Number of the request; rises.
    pub serial: u64,
    /// Number of permits that the host can use.
    pub wanted: u32,
    /// Number of permits from the same allocator that expired unused since the last request.
    pub unused: u32,
    /// Number of the last request that the allocator has responded to; zero for none.
    pub acknowledged: u64,
    /// Time for which the host leaves its share of the limit to the allocator, counted from that
    /// response.
    pub delegation: Span,
    /// Number of hosts that the host knows, including itself and lost ones.
    pub known_hosts: u32,
}

/// Response of an allocator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitGrant {
    /// What the allocator has heard from the leaf.
    pub news: LimitNews,
    /// Number of the request.
    pub serial: u64,
    /// Number of permits.
    pub permits: u32,
    /// Whether the allocator accepts the delegation; a stopping one does not.
    pub delegated: bool,
}

/// A message about limits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LimitMessage {
    /// To an allocator.
    Request(PermitRequest),
    /// From an allocator.
    Grant(PermitGrant),
    /// To any host.
    News(LimitNews),
}

/// A message to another host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outgoing {
    /// Host that gets the message.
    pub to: Ipv4Addr,
    /// The message.
    pub message: LimitMessage,
}
