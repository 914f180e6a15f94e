//! Latency percentiles over a sliding window.

use {
    std::collections::VecDeque,
    wigeonramp_units::{Instant, Span},
};

/// Samples kept; enough for a p95 with six samples above it.
const SAMPLES: usize = 128;
/// Fewer answers than this place the p95 among the two slowest of them, so that one straggler sets it.
const MIN_OWN_SAMPLES: u32 = 40;
/// A hedge waits for at least this many medians. At the p95 alone, ordinary answers used up a
/// budget of 5% before the stragglers came.
const HEDGE_MEDIANS: u64 = 2;
/// New samples after which the percentiles are computed again.
const REFRESH: u32 = 8;

/// Percentiles of one leaf.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Percentiles {
    /// Median; zero when unknown.
    pub p50: Span,
    /// 95th percentile; zero when unknown.
    pub p95: Span,
    /// Samples behind them.
    pub samples: u32,
}

impl Percentiles {
    /// These, or those over all leaves of the collection when these rest on too few answers.
    pub fn or_pooled(self, pooled: Percentiles) -> Percentiles {
        if self.samples >= MIN_OWN_SAMPLES || self.samples >= pooled.samples {
            return self;
        }
        pooled
    }

    /// Time after which an answer is late enough for a hedge; zero when unknown.
    pub fn hedge_delay(self) -> Span {
        self.p95.max(self.p50 * HEDGE_MEDIANS)
    }
}

/// The last answers of one leaf.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    window: Span,
    samples: VecDeque<(Instant, Span)>,
    cached: Percentiles,
    fresh: u32,
}

impl LatencyWindow {
    /// A window over the last `window`, and over at most 128 answers.
    pub fn new(window: Span) -> Self {
        Self { window, samples: VecDeque::new(), cached: Percentiles::default(), fresh: 0 }
    }

    /// Adds an answer's latency.
    pub fn record(&mut self, latency: Span, now: Instant) {
        if self.samples.len() == SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, latency));
        self.fresh += 1;
    }

    /// Percentiles of the answers in the window; up to eight answers behind.
    pub fn percentiles(&mut self, now: Instant) -> Percentiles {
        let before = self.samples.len();
        while self.samples.front().is_some_and(|(at, _)| now.since(*at) > self.window) {
            self.samples.pop_front();
        }
        let expired = self.samples.len() < before;
        let few = self.samples.len() < REFRESH as usize && self.fresh > 0;
        if expired || few || self.fresh >= REFRESH {
            self.refresh();
        }
        self.cached
    }

    fn refresh(&mut self) {
        let mut sorted: Vec<_> = self.samples.iter().map(|(_, latency)| *latency).collect();
        sorted.sort_unstable();
        let at = |percent: usize| {
            let rank = (sorted.len() * percent).div_ceil(100).max(1) - 1;
            sorted.get(rank).copied().unwrap_or_default()
        };
        self.cached = Percentiles { p50: at(50), p95: at(95), samples: sorted.len() as u32 };
        self.fresh = 0;
    }
}
