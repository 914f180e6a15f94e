//! Counts of ended attempts with the distribution of their latencies.

use wigeonramp_units::Span;

/// Number of latency buckets; the last one holds everything that is longer.
pub const BUCKETS: usize = 40;
/// Upper end of the first bucket in microseconds.
const FIRST_BUCKET_END_US: f64 = 2_000.0;
/// Buckets for each doubling of the latency, so that 40 buckets reach from 2 ms to 1.7 s.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Ended attempts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Counts {
    /// Responses, including failures, and attempts without a response in time.
    pub answered: u32,
    /// Responses with a failure status.
    pub failed: u32,
    /// Broken connections, unreachable leaves and requests that a leaf declined.
    pub broken: u32,
    /// Responses without a failure status by latency; attempts without a response in time are in
    /// the last bucket.
    pub latencies: [u32; BUCKETS],
}

impl Default for Counts {
    fn default() -> Self {
        Self { answered: 0, failed: 0, broken: 0, latencies: [0; BUCKETS] }
    }
}

/// Returns the bucket of a latency.
pub fn bucket(latency: Span) -> usize {
    let ratio = latency.0 as f64 / FIRST_BUCKET_END_US;
    if ratio <= 1.0 {
        return 0;
    }
    ((ratio.log2() * BUCKETS_PER_DOUBLING).ceil() as usize).min(BUCKETS - 1)
}

/// Returns the first bucket whose latencies are all longer than `factor` times those of `bucket`.
pub fn bucket_beyond(bucket: usize, factor: f64) -> usize {
    let distance = (factor.log2() * BUCKETS_PER_DOUBLING).round() as usize;
    (bucket + distance).min(BUCKETS - 1)
}

impl Counts {
    /// Returns the counts of one successful response.
    pub fn of_response(latency: Span) -> Self {
        let mut counts = Self { answered: 1, ..Self::default() };
        counts.latencies[bucket(latency)] = 1;
        counts
    }

    /// Returns the counts of one attempt without a response in time.
    pub fn of_silence() -> Self {
        let mut counts = Self { answered: 1, ..Self::default() };
        counts.latencies[BUCKETS - 1] = 1;
        counts
    }

    /// Returns the increase since `before`; all of it if the counts have been reset since.
    pub fn since(&self, before: &Counts) -> Counts {
        let was_reset = self.answered < before.answered || self.broken < before.broken;
        let before = if was_reset { Counts::default() } else { *before };
        let mut increase = *self;
        increase.answered -= before.answered;
        increase.broken -= before.broken;
        increase.failed = self.failed.saturating_sub(before.failed);
        for (count, before) in increase.latencies.iter_mut().zip(before.latencies) {
            *count = count.saturating_sub(before);
        }
        increase
    }

    /// Adds other counts.
    pub fn add(&mut self, other: &Counts) {
        self.answered += other.answered;
        self.failed += other.failed;
        self.broken += other.broken;
        for (count, other) in self.latencies.iter_mut().zip(other.latencies) {
            *count += other;
        }
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        self.answered == 0 && self.broken == 0
    }

    /// Returns the number of attempts with a latency, which the test for slowness judges.
    pub fn judged(&self) -> u32 {
        self.latencies.iter().sum()
    }

    /// Returns the number of responses from this bucket on.
    pub fn from_bucket(&self, first: usize) -> u32 {
        self.latencies[first..].iter().sum()
    }

    /// Returns the bucket of the median.
    pub fn median_bucket(&self) -> usize {
        let half = self.judged().div_ceil(2);
        let mut below = 0;
        let is_median = |count: &u32| {
            below += count;
            below >= half
        };
        self.latencies.iter().position(is_median).unwrap_or(0)
    }
}
