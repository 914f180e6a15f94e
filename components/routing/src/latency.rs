//! How long answers usually take, for each route.
//!
//! The reference for a leaf's own slowness and for the time after which an answer is overdue.

use {
    wigeonramp_serving::latency::LatencyWindow,
    wigeonramp_units::{Instant, Span},
};

/// Answers older than this say nothing about now.
const WINDOW: Span = Span::secs(10);
/// Answers needed before the measured times count.
const MIN_SAMPLES: u32 = 12;
/// Share of the target latency that an answer is expected to take before any was measured.
const FIRST_GUESS_PERCENT: u64 = 25;
/// A second leaf is asked after this many hundredths of the usual time.
const LATE_PERCENT: u64 = 200;
/// A second leaf is asked after this share of the target latency at the latest, so that it still
/// can answer in time.
const LATEST_PERCENT: u64 = 45;
/// Shortest wait before a second leaf is asked.
const MIN_WAIT: Span = Span::millis(4);

/// The usual times of one route.
#[derive(Clone, Debug)]
pub struct LatencyTracker {
    window: LatencyWindow,
    target: Span,
}

impl LatencyTracker {
    /// A route with this target latency, nothing measured yet.
    pub fn new(target: Span) -> Self {
        Self { window: LatencyWindow::new(WINDOW), target }
    }

    /// Adds one leaf's answer.
    pub fn record(&mut self, latency: Span, now: Instant) {
        self.window.record(latency, now);
    }

    /// The usual time of an answer.
    pub fn usual(&mut self, now: Instant) -> Span {
        let measured = self.window.percentiles(now);
        if measured.samples < MIN_SAMPLES {
            return self.target.percent(FIRST_GUESS_PERCENT);
        }
        measured.p50.max(Span::millis(1))
    }

    /// Time after which a second leaf is asked.
    pub fn late_after(&mut self, now: Instant) -> Span {
        let late = self.usual(now).percent(LATE_PERCENT);
        late.min(self.target.percent(LATEST_PERCENT)).max(MIN_WAIT)
    }
}
