//! Jitter and backoff for calls to the platform.

use {
    rand::{Rng, RngExt},
    wigeonramp_units::Span,
};

const INITIAL_STEP: Span = Span::millis(50);
const MAX_STEP: Span = Span::secs(2);

/// Returns `period` with a jitter of up to 10% in both directions, which spreads the calls of the
/// hosts.
pub fn jittered(period: Span, rng: &mut impl Rng) -> Span {
    period.percent(rng.random_range(90..=110))
}

/// Exponential backoff with jitter, up to 2 s.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// Returns the delay after another failure: between 50% and 100% of the current step.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Span {
        let step = (INITIAL_STEP * (1 << self.failures.min(16))).min(MAX_STEP);
        self.failures = self.failures.saturating_add(1);
        step.percent(rng.random_range(50..=100))
    }

    /// Resets the backoff after a successful call; the next delay is the shortest one.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
