//! Budget for extra attempts (hedges and retries) at a service.
//!
//! In any window, all hosts together may make extra attempts for a share of a service's requests,
//! plus a fixed number. Each host counts its own requests and extra attempts in steps of a fraction
//! of the window and keeps its extra attempts within its part: the same share of its own requests,
//! and a part of the fixed number in proportion to its share of the traffic.

use {
    std::collections::VecDeque,
    wigeonramp_units::{Instant, Span},
};

/// Number of steps into which a window is divided.
const STEPS: u64 = 20;
/// Part of the allowed extra attempts that hosts use; the rest covers hosts that do not know of
/// each other yet and the rounding of windows to steps.
const USED_PART: f64 = 0.8;

/// Limit on extra attempts of all hosts together, as set by operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExtraAttemptLimit {
    /// Length of a window.
    pub window: Span,
    /// Extra attempts allowed per request.
    pub ratio: f64,
    /// Extra attempts allowed per window in addition.
    pub fixed: f64,
}

/// Requests and extra attempts of one host at one service within the window.
#[derive(Clone, Debug, Default)]
pub struct ExtraAttemptBudget {
    steps: VecDeque<Step>,
    requests: u32,
    extra: u32,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    number: u64,
    requests: u32,
    extra: u32,
}

impl ExtraAttemptBudget {
    /// Counts a request for the service.
    pub fn count_request(&mut self, limit: &ExtraAttemptLimit, now: Instant) {
        self.current_step(limit, now).requests += 1;
        self.requests += 1;
    }

    /// Counts an extra attempt without checking that the budget allows it.
    pub fn count_extra(&mut self, limit: &ExtraAttemptLimit, now: Instant) {
        self.current_step(limit, now).extra += 1;
        self.extra += 1;
    }

    /// Returns the number of extra attempts left when this host has `share` (0 to 1) of the
    /// traffic.
    pub fn remaining(&mut self, limit: &ExtraAttemptLimit, share: f64, now: Instant) -> f64 {
        self.current_step(limit, now);
        let allowed = limit.ratio * f64::from(self.requests) + limit.fixed * share;
        allowed * USED_PART - f64::from(self.extra)
    }

    /// Drops steps that are older than the window and returns the current one.
    fn current_step(&mut self, limit: &ExtraAttemptLimit, now: Instant) -> &mut Step {
        let length = (limit.window.0 / STEPS).max(1);
        let number = now.0 / length;
        while let Some(old) = self.steps.front().copied().filter(|s| s.number + STEPS < number) {
            self.requests -= old.requests;
            self.extra -= old.extra;
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(Step { number, requests: 0, extra: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
