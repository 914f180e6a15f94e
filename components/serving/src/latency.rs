//! Latency percentiles over a sliding window.

use {
    std::collections::VecDeque,
    wigeonramp_units::{Instant, Span},
};

/// Number of samples kept; enough for a p95 with six samples above it.
const MAX_SAMPLES: usize = 128;
/// Minimum number of a leaf's own samples. With fewer, the p95 is among the two slowest of them, so
/// that one straggler determines it.
const MIN_OWN_SAMPLES: u32 = 40;
/// Lower bound of the hedge delay, in median latencies. With a delay of the p95 alone, hedges of
/// ordinary requests exhausted a budget of 5% before the stragglers came.
const HEDGE_MEDIANS: u64 = 2;
/// Number of new samples after which the percentiles are recomputed.
const REFRESH_SAMPLES: u32 = 8;

/// Latency percentiles.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Percentiles {
    /// Median; zero when unknown.
    pub p50: Span,
    /// 95th percentile; zero when unknown.
    pub p95: Span,
    /// Number of samples.
    pub samples: u32,
}

impl Percentiles {
    /// Returns the leaf's own percentiles, or `pooled`, those over all leaves of the collection, if
    /// the own ones are based on too few samples.
    pub fn or_pooled(self, pooled: Percentiles) -> Percentiles {
        if self.samples >= MIN_OWN_SAMPLES || self.samples >= pooled.samples {
            return self;
        }
        pooled
    }

    /// Returns the time after which a request is hedged; zero when unknown.
    pub fn hedge_delay(self) -> Span {
        self.p95.max(self.p50 * HEDGE_MEDIANS)
    }
}

/// Sliding window over the latest latencies.
#[derive(Clone, Debug)]
pub struct LatencyWindow {
    window: Span,
    samples: VecDeque<(Instant, Span)>,
    cached: Percentiles,
    /// Samples since the percentiles were last computed.
    new_samples: u32,
}

impl LatencyWindow {
    /// Creates a window over the samples of the last `window`, at most 128.
    pub fn new(window: Span) -> Self {
        Self { window, samples: VecDeque::new(), cached: Percentiles::default(), new_samples: 0 }
    }

    /// Adds the latency of a response.
    pub fn record(&mut self, latency: Span, now: Instant) {
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((now, latency));
        self.new_samples += 1;
    }

    /// Returns the percentiles of the samples in the window. Up to eight of the latest ones may not
    /// be included yet.
    pub fn percentiles(&mut self, now: Instant) -> Percentiles {
        let before = self.samples.len();
        while self.samples.front().is_some_and(|(at, _)| now.since(*at) > self.window) {
            self.samples.pop_front();
        }
        let expired = self.samples.len() < before;
        let few = self.samples.len() < REFRESH_SAMPLES as usize && self.new_samples > 0;
        if expired || few || self.new_samples >= REFRESH_SAMPLES {
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
        self.new_samples = 0;
    }
}
