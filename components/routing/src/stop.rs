//! Planned stop of a host, which answers all requests that it takes.
//!
//! Callers keep addresses for some seconds, so a stopping host goes on taking requests for most of its
//! grace period. It takes a request only if that can end before the host does; another host serves it
//! otherwise. Whether a leaf answers sooner than the caller or the route gives up is not known, and a
//! request that must not run twice cannot be given up.

use wigeonramp_units::{Instant, Span};

/// Time before the end of the grace period at which the host stops accepting connections. Callers have
/// other addresses by then.
const CLOSE_BEFORE_END: Span = Span::millis(1_900);
/// Time before the end of the grace period at which requests that are still open get a final reply. It
/// allows for a delay in noticing the signal.
const FAIL_BEFORE_END: Span = Span::millis(600);
/// Time before the end of the grace period at which the process ends. Until then callers may read what
/// was written last.
const END_BEFORE_END: Span = Span::millis(250);

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct StopPlan {
    started: Instant,
    grace: Span,
}

/// A request that arrives while the host stops.
#[derive(Clone, Copy, Debug)]
pub struct LateRequest {
    /// Time at which its caller or its route gives it up at the latest.
    pub latest_end: Instant,
    /// Time that a request of its route usually takes at most.
    pub usual_time: Span,
}

impl StopPlan {
    /// Creates the plan of a stop that starts now; the process is killed after `grace`.
    pub fn new(grace: Span, now: Instant) -> Self {
        Self { started: now, grace }
    }

    fn before_end(&self, time: Span) -> Instant {
        self.started + (self.grace - time)
    }

    /// Whether the host no longer accepts connections.
    pub fn is_closed(&self, now: Instant) -> bool {
        now >= self.before_end(CLOSE_BEFORE_END)
    }

    /// Returns the time at which requests that are still open get a final reply.
    pub fn fails_at(&self) -> Instant {
        self.before_end(FAIL_BEFORE_END)
    }

    /// Whether the process has to end.
    pub fn is_over(&self, now: Instant) -> bool {
        now >= self.before_end(END_BEFORE_END)
    }

    /// Whether to take a request. One that may still be open at the end is left to another host, or
    /// taken if there is none and it usually ends in time.
    pub fn takes(&self, req: &LateRequest, others_serve: bool, now: Instant) -> bool {
        let ends_in_time = req.latest_end <= self.fails_at();
        ends_in_time || (!others_serve && now + req.usual_time <= self.fails_at())
    }
}
