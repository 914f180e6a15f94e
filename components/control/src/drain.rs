//! Graceful stop of an instance.

use wigeonramp_units::{Instant, Span};

/// State of a graceful stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainState {
    /// No stop was requested.
    Serving,
    /// The session is being marked as leaving, and callers are no longer directed to the host.
    Unlisted,
    /// Leaves are handed over to new holders.
    HandingOver,
    /// The host still serves requests of callers that know its address.
    Finishing,
    /// Nothing is in flight; the instance deletes its session and exits.
    Stopped,
}

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainSettings {
    /// How long callers may use an address from an entry response.
    pub entry_lifetime: Span,
    /// Longest deadline of a request.
    pub max_deadline: Span,
    /// How long other hosts may still direct callers here after the session was marked as leaving.
    pub stale_after: Span,
    /// Longest wait for the session write, and again for the handovers: a store outage makes both
    /// impossible.
    pub phase_timeout: Span,
}

/// Progress of a graceful stop, as the instance observes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DrainProgress {
    /// Whether the session is known to be written with the leaving flag.
    pub leaving_written: bool,
    /// Number of leaves that this instance holds under its view of the assignment, or has not yet
    /// released.
    pub held_leaves: usize,
    /// Number of running requests of callers and attempts at leaves.
    pub in_flight: usize,
}

/// A graceful stop.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    settings: DrainSettings,
    state: DrainState,
    entered: Instant,
    unlisted_at: Option<Instant>,
}

impl Drain {
    /// Creates the state of an instance that serves.
    pub fn new(settings: DrainSettings, now: Instant) -> Self {
        Self { settings, state: DrainState::Serving, entered: now, unlisted_at: None }
    }

    /// Starts the graceful stop.
    pub fn begin(&mut self, now: Instant) {
        if self.state == DrainState::Serving {
            self.enter(DrainState::Unlisted, now);
        }
    }

    /// Enters the next state if `progress` allows it, and returns the current state.
    pub fn step(&mut self, progress: DrainProgress, now: Instant) -> DrainState {
        let timed_out = now.since(self.entered) >= self.settings.phase_timeout;
        match self.state {
            DrainState::Unlisted if progress.leaving_written || timed_out => {
                self.unlisted_at = Some(now);
                self.enter(DrainState::HandingOver, now);
            }
            DrainState::HandingOver if progress.held_leaves == 0 || timed_out => {
                self.enter(DrainState::Finishing, now);
            }
            DrainState::Finishing if progress.in_flight == 0 && self.callers_have_left(now) => {
                self.enter(DrainState::Stopped, now);
            }
            _ => {}
        }
        self.state
    }

    fn callers_have_left(&self, now: Instant) -> bool {
        let DrainSettings { entry_lifetime, max_deadline, stale_after, .. } = self.settings;
        let Some(unlisted) = self.unlisted_at else { return false };
        now.since(unlisted) >= entry_lifetime + max_deadline + stale_after
    }

    fn enter(&mut self, state: DrainState, now: Instant) {
        self.state = state;
        self.entered = now;
    }

    /// The current state.
    pub fn state(&self) -> DrainState {
        self.state
    }

    /// Whether the session and the heartbeats announce that the instance is leaving.
    pub fn is_leaving(&self) -> bool {
        self.state != DrainState::Serving
    }
}
