//! Typical latency of leaf responses, for each route.
//!
//! It is the reference for the latency of a single leaf and for the delay of hedges.

use {
    wigeonramp_serving::latency::LatencyWindow,
    wigeonramp_units::{Instant, Span},
};

/// Window of the measurement; older responses are ignored.
const WINDOW: Span = Span::secs(10);
/// Minimum number of responses before measured latencies are used.
const MIN_SAMPLES: u32 = 12;
/// Typical latency assumed before enough responses were measured, in percent of the target latency.
const INITIAL_PERCENT: u64 = 25;
/// Hedge delay in percent of the typical latency.
const HEDGE_PERCENT: u64 = 200;
/// Longest hedge delay in percent of the target latency; the second leaf still has to respond in
/// time.
const MAX_HEDGE_PERCENT: u64 = 45;
/// Shortest hedge delay.
const MIN_HEDGE_DELAY: Span = Span::millis(4);

/// Tracks the latency of leaf responses on one route.
#[derive(Clone, Debug)]
pub struct LatencyTracker {
    window: LatencyWindow,
    target: Span,
}

impl LatencyTracker {
    /// Creates a tracker without measurements for a route with this target latency.
    pub fn new(target: Span) -> Self {
        Self { window: LatencyWindow::new(WINDOW), target }
    }

    /// Records the latency of one leaf's response.
    pub fn record(&mut self, latency: Span, now: Instant) {
        self.window.record(latency, now);
    }

    /// Returns the median latency of recent responses, or an estimate before there are enough.
    pub fn typical(&mut self, now: Instant) -> Span {
        let measured = self.window.percentiles(now);
        if measured.samples < MIN_SAMPLES {
            return self.target.percent(INITIAL_PERCENT);
        }
        measured.p50.max(Span::millis(1))
    }

    /// Returns the time that a request usually takes at most: the target latency, or twice the 95th
    /// percentile of recent responses if that is longer.
    pub fn usual_longest(&mut self, now: Instant) -> Span {
        let measured = self.window.percentiles(now);
        if measured.samples < MIN_SAMPLES {
            return self.target;
        }
        (measured.p95 * 2).max(self.target)
    }

    /// Returns the time after which an unanswered part is hedged.
    pub fn hedge_delay(&mut self, now: Instant) -> Span {
        let delay = self.typical(now).percent(HEDGE_PERCENT);
        delay.min(self.target.percent(MAX_HEDGE_PERCENT)).max(MIN_HEDGE_DELAY)
    }
}
