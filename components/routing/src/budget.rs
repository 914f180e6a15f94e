//! Budget for second sends to a service.
//!
//! All hosts together may send a service a share of its requests, plus a fixed number, a second
//! time in any window. Each host counts its own first and second sends in steps of a fraction of
//! the window and keeps its second sends below its part: the same share of its own requests, and
//! the part of the fixed number that its share of the traffic gives it.

use {
    std::collections::VecDeque,
    wigeonramp_units::{Instant, Span},
};

/// Steps into which a window is divided.
const STEPS: u64 = 20;
/// Part of the allowed second sends that hosts plan with; the rest covers hosts that do not know of
/// each other yet and the rounding of windows.
const PLANNED_PART: f64 = 0.8;

/// The operators' bound for all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraAttemptLimit {
    /// Length of a window.
    pub window: Span,
    /// Second sends allowed for each request.
    pub ratio: f64,
    /// Second sends allowed in each window besides.
    pub fixed: f64,
}

/// First and second sends of one host to one service.
#[derive(Clone, Debug, Default)]
pub struct ExtraAttemptBudget {
    steps: VecDeque<Step>,
    first: u32,
    extra: u32,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    number: u64,
    first: u32,
    extra: u32,
}

impl ExtraAttemptBudget {
    /// Counts a request for the service.
    pub fn first(&mut self, bound: &ExtraAttemptLimit, now: Instant) {
        self.step(bound, now).first += 1;
        self.first += 1;
    }

    /// Counts a second send whether or not the budget has room, as for a repeat by a caller's choice.
    pub fn spend(&mut self, bound: &ExtraAttemptLimit, now: Instant) {
        self.step(bound, now).extra += 1;
        self.extra += 1;
    }

    /// Second sends that still fit, when this host has `share` (0 to 1) of the traffic.
    pub fn room(&mut self, bound: &ExtraAttemptLimit, share: f64, now: Instant) -> f64 {
        self.step(bound, now);
        let allowed = bound.ratio * f64::from(self.first) + bound.fixed * share;
        allowed * PLANNED_PART - f64::from(self.extra)
    }

    fn step(&mut self, bound: &ExtraAttemptLimit, now: Instant) -> &mut Step {
        let length = (bound.window.0 / STEPS).max(1);
        let number = now.0 / length;
        while let Some(old) = self.steps.front().copied().filter(|s| s.number + STEPS < number) {
            self.first -= old.first;
            self.extra -= old.extra;
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(Step { number, first: 0, extra: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
