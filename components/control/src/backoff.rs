//! Pauses between failed calls to the platform.

use {
    rand::{Rng, RngExt},
    wigeonramp_units::Span,
};

const FIRST: Span = Span::millis(50);
const LONGEST: Span = Span::secs(2);

/// `period`, made up to 10% longer or shorter, so that the hosts' calls spread out.
pub fn jittered(period: Span, rng: &mut impl Rng) -> Span {
    period.percent(rng.random_range(90..=110))
}

/// Exponentially growing pauses with jitter, at most 2 s.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Backoff {
    failures: u32,
}

impl Backoff {
    /// The pause after one more failure: between half and all of the current step.
    pub fn next_delay(&mut self, rng: &mut impl Rng) -> Span {
        let step = (FIRST * (1 << self.failures.min(16))).min(LONGEST);
        self.failures = self.failures.saturating_add(1);
        step.percent(rng.random_range(50..=100))
    }

    /// A call succeeded; the next pause is the shortest again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
