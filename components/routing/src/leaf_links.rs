//! Whether this host has lost its links to all leaves.
//!
//! To one host, a leaf that has failed and a leaf that it cannot reach look the same. What tells them
//! apart is that a host without links reaches no leaf at all, whatever its service and zone. Requests
//! without a response and connections that break only raise a suspicion: then the host opens
//! connections to leaves of different services, to which it sends nothing. If none can be opened, its
//! links are down; the first one that can be opened ends the suspicion. Responses on connections that
//! were opened before prove nothing, as these may outlast the loss of all others.
//!
//! Links that come back may be lost again at once, so they count as returning for a while, which
//! grows each time that they are lost again soon.

use {
    crate::leaves::LeafKey,
    indexmap::IndexMap,
    wigeonramp_units::{Instant, Span},
};

/// Time for which a sign of failure counts.
const SIGN_WINDOW: Span = Span::secs(3);
/// Number of leaves with signs of failure that raise a suspicion.
const SUSPECT_LEAVES: usize = 3;
/// Time without a byte from any leaf after which a single leaf with a sign raises a suspicion.
const QUIET_TIME: Span = Span::millis(600);
/// Time for which a suspicion that proved wrong is not raised again.
const SUSPICION_PAUSE: Span = Span::secs(1);
/// Time before a suspicion from which on failures may have been those of the links.
const NOTICE_TIME: Span = Span::secs(1);
/// Number of leaves to which no connection could be opened that shows the loss of all links.
const LOST_LEAVES: usize = 4;
/// Time between probes; those before have succeeded or failed by then.
const PROBE_INTERVAL: Span = Span::millis(300);
/// Number of leaves that are probed at the same time.
const PROBES: usize = 3;
/// Time for which links that have come back must hold.
const FIRST_HOLD: Span = Span::secs(1);
/// Longest such time, after links have been lost again and again.
const MAX_HOLD: Span = Span::secs(8);
/// Time since the last return within which a loss makes the next hold longer.
const FLAP_WINDOW: Span = Span::secs(30);

/// State of the links to all leaves together.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkState {
    /// Leaves can be reached, as far as is known.
    Up,
    /// The links may be lost; leaves are probed.
    Suspect,
    /// No leaf can be reached.
    Down,
    /// Leaves can be reached again, but may be lost again.
    Returning,
}

impl LinkState {
    /// Returns the stable name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            LinkState::Up => "up",
            LinkState::Suspect => "suspect",
            LinkState::Down => "down",
            LinkState::Returning => "returning",
        }
    }
}

/// The links of one host to all leaves.
#[derive(Clone, Debug)]
pub struct LeafLinks {
    state: LinkState,
    state_since: Instant,
    /// Leaves with connections that broke or requests without a response.
    broken: IndexMap<LeafKey, Instant>,
    /// Leaves to which no connection could be opened since one to any leaf could.
    unopened: IndexMap<LeafKey, Instant>,
    last_heard: Instant,
    last_opened: Instant,
    /// Time until which no suspicion is raised.
    quiet_until: Instant,
    next_probe: Instant,
    /// Number of times that leaves were probed since the suspicion.
    rounds: u32,
    /// Time from which signs may have been those of lost links, as of the last suspicion.
    doubted_since: Instant,
    hold: Span,
    returned_at: Option<Instant>,
}

impl Default for LeafLinks {
    fn default() -> Self {
        let never = Instant::default();
        Self {
            state: LinkState::Up,
            state_since: never,
            broken: IndexMap::new(),
            unopened: IndexMap::new(),
            last_heard: never,
            last_opened: never,
            quiet_until: never,
            next_probe: never,
            rounds: 0,
            doubted_since: never,
            hold: FIRST_HOLD,
            returned_at: None,
        }
    }
}

impl LeafLinks {
    /// Returns the state.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Whether there is nothing to conclude: leaves can be reached, and none shows a sign of failure.
    pub fn is_settled(&self) -> bool {
        self.state == LinkState::Up && self.broken.is_empty() && self.unopened.is_empty()
    }

    /// Whether failures of attempts may be those of the links, so that they say nothing of leaves.
    pub fn is_in_doubt(&self) -> bool {
        self.state != LinkState::Up
    }

    /// Returns the time from which failures may have been those of the links, as of the last
    /// suspicion.
    pub fn doubted_since(&self) -> Instant {
        self.doubted_since
    }

    /// Whether other hosts reach leaves better than this one.
    pub fn is_lost(&self) -> bool {
        matches!(self.state, LinkState::Down | LinkState::Returning)
    }

    /// Returns the time since the last byte from a leaf.
    pub fn quiet_for(&self, now: Instant) -> Span {
        now.since(self.last_heard)
    }

    /// Returns the leaves to which no connection could be opened.
    pub fn unopened(&self) -> impl Iterator<Item = LeafKey> {
        self.unopened.keys().copied()
    }

    /// Records bytes from a leaf.
    pub fn on_heard(&mut self, now: Instant) {
        self.last_heard = now;
        self.broken.clear();
    }

    /// Records that a connection to a leaf was opened.
    pub fn on_opened(&mut self, now: Instant) {
        self.last_opened = now;
        self.broken.clear();
        self.unopened.clear();
        match self.state {
            LinkState::Up | LinkState::Returning => {}
            LinkState::Suspect => {
                self.quiet_until = now + SUSPICION_PAUSE;
                self.enter(LinkState::Up, now);
            }
            LinkState::Down => self.enter(LinkState::Returning, now),
        }
    }

    /// Records that an open connection to a leaf broke, or that a request has no response while
    /// nothing arrives from any leaf.
    pub fn on_broken(&mut self, leaf: LeafKey, now: Instant) {
        self.broken.insert(leaf, now);
    }

    /// Records that a connection to a leaf that was started at `started` could not be opened. It
    /// proves nothing if another one was opened since.
    pub fn on_unopened(&mut self, leaf: LeafKey, started: Instant, now: Instant) {
        if started >= self.last_opened {
            self.unopened.insert(leaf, now);
        }
    }

    /// Records that another host has lost its links. A host that hears nothing from leaves itself
    /// checks its own, as it may get the callers of the other one.
    pub fn on_other_lost(&mut self, now: Instant) {
        if self.state == LinkState::Up && self.quiet_for(now) >= QUIET_TIME {
            self.suspect(now);
        }
    }

    /// Draws the conclusions from the signs; `leaves` is the number of leaves that can be probed.
    /// Returns the new state if it has changed.
    pub fn advance(&mut self, leaves: usize, now: Instant) -> Option<LinkState> {
        let before = self.state;
        let is_recent = |at: &Instant| now.since(*at) < SIGN_WINDOW;
        self.broken.retain(|_, at| is_recent(at));
        self.unopened.retain(|_, at| is_recent(at));
        match self.state {
            LinkState::Up if self.is_suspicious(leaves, now) => self.suspect(now),
            LinkState::Suspect if leaves == 0 => self.enter(LinkState::Up, now),
            LinkState::Suspect if self.rounds > 0 && self.reaches_none(leaves) => self.lose(now),
            LinkState::Returning if self.reaches_none(leaves) => self.lose(now),
            LinkState::Returning if now.since(self.state_since) >= self.hold => {
                self.returned_at = Some(now);
                self.enter(LinkState::Up, now);
            }
            _ => {}
        }
        (self.state != before).then_some(self.state)
    }

    /// Returns the number of leaves to probe now.
    pub fn take_probes(&mut self, now: Instant) -> usize {
        if self.state == LinkState::Up || now < self.next_probe {
            return 0;
        }
        self.next_probe = now + PROBE_INTERVAL;
        self.rounds += 1;
        PROBES
    }

    fn is_suspicious(&self, leaves: usize, now: Instant) -> bool {
        if now < self.quiet_until || leaves == 0 {
            return false;
        }
        let only_broken = self.broken.keys().filter(|leaf| !self.unopened.contains_key(*leaf));
        let failing = only_broken.count() + self.unopened.len();
        let is_quiet = self.quiet_for(now) >= QUIET_TIME;
        failing >= SUSPECT_LEAVES.min(leaves) || (failing > 0 && is_quiet)
    }

    fn reaches_none(&self, leaves: usize) -> bool {
        self.unopened.len() >= LOST_LEAVES.min(leaves)
    }

    fn suspect(&mut self, now: Instant) {
        self.doubted_since = now - NOTICE_TIME;
        self.rounds = 0;
        self.next_probe = now;
        self.enter(LinkState::Suspect, now);
    }

    fn lose(&mut self, now: Instant) {
        let flaps = self.state == LinkState::Returning
            || self.returned_at.is_some_and(|at| now.since(at) < FLAP_WINDOW);
        self.hold = if flaps { (self.hold * 2).min(MAX_HOLD) } else { FIRST_HOLD };
        self.enter(LinkState::Down, now);
    }

    fn enter(&mut self, state: LinkState, now: Instant) {
        self.state = state;
        self.state_since = now;
    }
}
