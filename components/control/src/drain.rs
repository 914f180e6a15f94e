//! Graceful stop of an instance.

use wigeonramp_units::{Instant, Span};

/// State of a graceful stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainState {
    /// No stop was asked for.
    Serving,
    /// The session says leaving, and the host is not named to callers.
    Unlisted,
    /// Leaves are released to new holders.
    HandingOver,
    /// The host serves requests that callers still send to it.
    Finishing,
    /// Nothing is in flight; the instance deletes its session and exits.
    Stopped,
}

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainSettings {
    /// How long callers use an address that they were given.
    pub entry_lifetime: Span,
    /// Longest deadline of a request.
    pub max_deadline: Span,
    /// How long other hosts may still name this one after the session said leaving.
    pub stale_after: Span,
    /// Wait for the session write and for hand-overs, each; a store outage makes both impossible.
    pub phase_timeout: Span,
}

/// What the instance observes while it stops.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainProgress {
    /// The session with the leaving flag is known to be written.
    pub leaving_written: bool,
    /// Leaves that the own assignment names this instance for, or that are not released yet.
    pub held_leaves: usize,
    /// Requests of callers and work at leaves that are running.
    pub in_flight: usize,
}

/// A graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    settings: DrainSettings,
    state: DrainState,
    since: Instant,
    unlisted: Option<Instant>,
}

impl Drain {
    /// A serving instance.
    pub fn new(settings: DrainSettings, now: Instant) -> Self {
        Self { settings, state: DrainState::Serving, since: now, unlisted: None }
    }

    /// The instance was asked to stop.
    pub fn begin(&mut self, now: Instant) {
        if self.state == DrainState::Serving {
            self.enter(DrainState::Unlisted, now);
        }
    }

    /// Goes on as far as `facts` allow, one state at a time.
    pub fn step(&mut self, facts: DrainProgress, now: Instant) -> DrainState {
        let patient = now.since(self.since) < self.settings.phase_timeout;
        match self.state {
            DrainState::Unlisted if facts.leaving_written || !patient => {
                self.unlisted = Some(now);
                self.enter(DrainState::HandingOver, now);
            }
            DrainState::HandingOver if facts.held_leaves == 0 || !patient => {
                self.enter(DrainState::Finishing, now);
            }
            DrainState::Finishing if facts.in_flight == 0 && self.callers_have_left(now) => {
                self.enter(DrainState::Stopped, now);
            }
            _ => {}
        }
        self.state
    }

    fn callers_have_left(&self, now: Instant) -> bool {
        let DrainSettings { entry_lifetime, max_deadline, stale_after, .. } = self.settings;
        let Some(unlisted) = self.unlisted else { return false };
        now.since(unlisted) >= entry_lifetime + max_deadline + stale_after
    }

    fn enter(&mut self, state: DrainState, now: Instant) {
        self.state = state;
        self.since = now;
    }

    /// The present state.
    pub fn state(&self) -> DrainState {
        self.state
    }

    /// Whether sessions and heartbeats say that the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.state != DrainState::Serving
    }
}
