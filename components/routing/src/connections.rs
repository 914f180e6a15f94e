//! Connections of a host to the leaves, each of which accepts a limited number from all hosts
//! together.
//!
//! Load: 18 of 132 hosts carry nearly all requests, the others a few each, and a leaf accepts 101
//! connections, fewer while its queue is long; it resets the ones beyond. A request that was
//! written to such a connection is lost. So the hosts with traffic share most of the limit, the
//! others and those that have just started use one connection for a moment, and a host that is
//! reset opens no further ones for a while. Where there is room for two connections of every host,
//! all share the limit alike.

use {
    rand::{Rng, RngExt},
    wigeonramp_units::{Instant, Span},
};

/// Share of a leaf's connection limit that the hosts use.
const USED_SHARE: f64 = 0.8;
/// Minimum number of connections of a host to a leaf where they are not short: one in use and one
/// for a second request.
const MIN_CONNECTIONS: usize = 2;
/// Time without use after which a connection is closed where connections are short and the host has
/// no traffic of its own.
const SHORT_IDLE: Span = Span::millis(1_000);
/// Time after which a host that was reset may have one more connection to the leaf.
const RAISE_INTERVAL: Span = Span::secs(2);
/// First time without new connections after a reset; doubles with each further one.
const FIRST_BLOCK: Span = Span::millis(200);
/// Maximum number of doublings of that time.
const MAX_DOUBLINGS: u32 = 2;

/// The hosts among which the connections are shared, as one of them sees them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HostCounts {
    /// Number of hosts that may open connections.
    pub known: usize,
    /// Number of hosts with traffic from callers, including this one.
    pub active: usize,
    /// Whether this host has such traffic.
    pub is_active: bool,
    /// Whether this host has run for long enough to know the others.
    pub is_settled: bool,
}

/// A host's share of the connections to each leaf of a service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionShare {
    /// Maximum number of connections.
    limit: usize,
    /// Whether all hosts together could open more connections than the leaf accepts.
    is_short: bool,
    /// Whether the host keeps idle connections for its next requests.
    keeps_idle: bool,
}

impl ConnectionShare {
    /// Returns the share of a leaf that accepts `declared` connections.
    pub fn new(declared: u32, hosts: HostCounts) -> Self {
        let declared = f64::from(declared);
        let HostCounts { known, active, is_active, is_settled } = hosts;
        // A host that is alone shares with nobody.
        let is_short = known > 1 && declared * USED_SHARE < (known * MIN_CONNECTIONS) as f64;
        let active = active.max(1);
        let shared = (declared * USED_SHARE / active as f64) as usize;
        let has_room = !is_short || (active * MIN_CONNECTIONS) as f64 <= declared;
        let limit = match is_short {
            true if !is_active || !is_settled || !has_room => 1,
            _ => shared.max(MIN_CONNECTIONS),
        };
        let keeps_idle = !is_short || (is_active && is_settled);
        Self { limit, is_short, keeps_idle }
    }

    /// Whether all hosts together could open more connections than the leaf accepts.
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// Returns the time for which a connection may stay idle, if that is bounded.
    pub fn max_idle(&self) -> Option<Span> {
        (self.is_short && !self.keeps_idle).then_some(SHORT_IDLE)
    }
}

/// What a host does with a request for a leaf to which it has no idle connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It opens a connection.
    Open,
    /// It waits for one of its connections.
    Wait,
    /// It sends the request to another leaf, or refuses it if there is none.
    Elsewhere,
}

/// Connections of this host to one leaf.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ConnectionRoom {
    open: usize,
    /// Number of connections at the last reset, and the time of the reset.
    reset: Option<(usize, Instant)>,
    /// Resets since the last new connection on which a response arrived.
    resets: u32,
    blocked_until: Instant,
}

impl ConnectionRoom {
    /// Decides on a request for which no connection is idle.
    pub fn admit(&self, share: ConnectionShare, now: Instant) -> Admission {
        let is_blocked = now < self.blocked_until;
        match self.open {
            0 if is_blocked => Admission::Elsewhere,
            open if is_blocked || open >= self.limit(share, now) => Admission::Wait,
            _ => Admission::Open,
        }
    }

    fn limit(&self, share: ConnectionShare, now: Instant) -> usize {
        let mut limit = share.limit;
        if let Some((open, at)) = self.reset {
            limit = limit.min(open.max(1) + (now.since(at).0 / RAISE_INTERVAL.0) as usize);
        }
        limit
    }

    /// Returns the time until the host can have a connection to the leaf.
    pub fn wait(&self, now: Instant) -> Span {
        if self.open > 0 { Span::ZERO } else { self.blocked_until.since(now) }
    }

    /// Returns the number of open connections.
    pub fn open(&self) -> usize {
        self.open
    }

    /// Records that a connection is being opened.
    pub fn on_opened(&mut self) {
        self.open += 1;
    }

    /// Records that a connection is closed.
    pub fn on_closed(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// Records a response; `is_first` tells that it is the first one of its connection.
    pub fn on_answered(&mut self, is_first: bool) {
        if is_first {
            self.resets = 0;
        }
    }

    /// Records that a leaf whose connections are short reset one, already recorded as closed,
    /// before any response. Returns whether the host was not held back by an earlier reset.
    pub fn on_reset(&mut self, now: Instant, rng: &mut impl Rng) -> bool {
        let is_new = now >= self.blocked_until;
        if is_new {
            let time = FIRST_BLOCK * (1 << self.resets.min(MAX_DOUBLINGS));
            // Hosts that were reset together do not all come back together.
            self.blocked_until = now + time + Span(rng.random_range(0..time.0));
            self.resets += 1;
        }
        self.reset = Some((self.open, now));
        is_new
    }

    /// Forgets the resets, which were not for want of room.
    pub fn forget_resets(&mut self) {
        *self = Self { open: self.open, ..Self::default() };
    }

    /// Returns the connections to a leaf whose process has started anew.
    pub fn restarted(mut self) -> Self {
        self.forget_resets();
        self
    }
}
