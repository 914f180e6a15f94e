//! Evidence about a candidate version: counts by route and leaf, and the sequential tests on them.
//!
//! Load: a few dozen responses of the candidate in the time of an order, on several routes, while
//! healthy leaves pause for a quarter of a second now and then and differ in speed. Both tests are
//! cumulative sums of log-likelihood ratios with a floor of zero, so that a version that turns bad
//! late is recognized as soon as one that is bad at once.

use {
    super::counts::{Counts, bucket_beyond},
    indexmap::IndexMap,
    wigeonramp_units::{Instant, Span},
};

/// Number of a route: a hash of its name.
pub type RouteHash = u32;
/// Number of a candidate leaf: a hash of its id.
pub type LeafHash = u32;

/// Latency from which a response is slow, as a multiple of the baseline's median on the same route.
/// Healthy leaves differ in speed by up to 1.6.
const SLOW_FACTOR: f64 = 2.4;
/// Responses of the baseline on a route from which its median is used.
const MIN_BASELINE: u32 = 8;
/// Sum from which a version counts as failing: three failures close together.
const FAILURE_THRESHOLD: f64 = 6.5;
/// Sum from which a version counts as slow.
const SLOWNESS_THRESHOLD: f64 = 8.0;
/// Highest log-likelihood ratio of all failures with which a release may take its next step.
const MAX_FAILURE_RATIO: f64 = 1.0;
/// Lowest failure share that is expected of a healthy version.
const MIN_FAILURE_SHARE: f64 = 0.01;
/// Failure share that a bad version is assumed to have beyond the baseline's.
const FAILURE_STEP: f64 = 0.2;
/// Lowest share of slow responses that is expected of a healthy version.
const MIN_SLOW_SHARE: f64 = 0.06;
/// Share of slow responses that a bad version is assumed to have beyond the baseline's.
const SLOW_STEP: f64 = 0.3;
/// Highest share that is expected of the baseline.
const MAX_EXPECTED_SHARE: f64 = 0.6;
/// Window in which the slow responses of one leaf count like a single one: a pause of 100 to 250 ms
/// delays all requests at a healthy leaf.
const PAUSE_WINDOW: Span = Span::millis(500);
/// Time in which a healthy leaf pauses at most once, as far as late totals are concerned.
const PAUSE_INTERVAL: Span = Span::secs(1);
/// Half-life of the recent baseline, with which the candidate is compared while both suffer from
/// the same trouble.
const RECENT_HALF_LIFE: Span = Span::secs(3);
/// Weight of the prior of a baseline share, in responses.
const PRIOR_WEIGHT: f64 = 50.0;

/// Side of a response: a leaf of the candidate, or any leaf of the baseline.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Side {
    /// Any leaf of the other versions.
    Baseline,
    /// A leaf of the candidate.
    Candidate(LeafHash),
}

/// Reason for a rollback that the tests gave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Finding {
    /// The candidate fails more often than the baseline.
    Failing,
    /// The candidate is slow more often than the baseline.
    Slow,
}

impl Finding {
    /// Returns the name in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Finding::Failing => "failing",
            Finding::Slow => "slow",
        }
    }
}

/// Baseline counts that fade.
#[derive(Clone, Copy, Debug)]
struct Recent {
    answered: f64,
    failed: f64,
    slow: f64,
    at: Instant,
}

impl Recent {
    fn add(&mut self, counts: &Counts, slow: u32, now: Instant) {
        let age = now.since(self.at).0 as f64 / RECENT_HALF_LIFE.0 as f64;
        let factor = 0.5_f64.powf(age);
        self.at = now;
        self.answered = self.answered * factor + f64::from(counts.answered);
        self.failed = self.failed * factor + f64::from(counts.failed);
        self.slow = self.slow * factor + f64::from(slow);
    }
}

/// Slow responses of one leaf on one route in a window.
#[derive(Clone, Copy, Debug)]
struct Window {
    began: Instant,
    slow: f64,
    good: f64,
    /// Number of slow responses that count in full.
    pauses: f64,
}

impl Window {
    /// Returns the log-likelihood ratio of its responses.
    fn ratio(&self, (of_slow, of_good): (f64, f64)) -> f64 {
        let scale = (self.slow / self.pauses).max(1.0);
        (self.slow * of_slow + self.good * of_good) / scale
    }
}

/// The tests of one order.
#[derive(Clone, Debug)]
pub struct Evidence {
    baseline: Counts,
    baseline_slow: u32,
    by_route: IndexMap<RouteHash, Counts>,
    recent: Recent,
    candidate: Counts,
    candidate_slow: u32,
    candidate_by_route: IndexMap<RouteHash, Counts>,
    failures: IndexMap<RouteHash, f64>,
    slowness: IndexMap<RouteHash, f64>,
    windows: IndexMap<(RouteHash, LeafHash), Window>,
}

/// Returns the share that is expected of a healthy version.
fn expected(bad: f64, answered: f64, lowest: f64) -> f64 {
    let share = (bad + lowest * PRIOR_WEIGHT) / (answered + PRIOR_WEIGHT);
    share.clamp(lowest, MAX_EXPECTED_SHARE)
}

/// Returns the weights of a bad and of a good response in the sum.
fn weights(expected: f64, step: f64) -> (f64, f64) {
    let assumed = expected + step * (1.0 - expected);
    ((assumed / expected).ln(), ((1.0 - assumed) / (1.0 - expected)).ln())
}

impl Evidence {
    /// Creates the tests without any responses.
    pub fn new(now: Instant) -> Self {
        Self {
            baseline: Counts::default(),
            baseline_slow: 0,
            by_route: IndexMap::new(),
            recent: Recent { answered: 0.0, failed: 0.0, slow: 0.0, at: now },
            candidate: Counts::default(),
            candidate_slow: 0,
            candidate_by_route: IndexMap::new(),
            failures: IndexMap::new(),
            slowness: IndexMap::new(),
            windows: IndexMap::new(),
        }
    }

    /// Returns the counts of the candidate.
    pub fn candidate(&self) -> Counts {
        self.candidate
    }

    /// Returns the counts of the baseline.
    pub fn baseline(&self) -> Counts {
        self.baseline
    }

    /// Adds attempts that have ended within the last `span`.
    pub fn add(&mut self, route: RouteHash, side: Side, counts: &Counts, span: Span, now: Instant) {
        match side {
            Side::Baseline => {
                self.by_route.entry(route).or_default().add(counts);
                let slow = self.slow(route, counts);
                self.baseline.add(counts);
                self.baseline_slow += slow;
                self.recent.add(counts, slow, now);
            }
            Side::Candidate(leaf) => {
                self.candidate.add(counts);
                self.candidate_by_route.entry(route).or_default().add(counts);
                self.add_failures(route, counts);
                self.add_slowness(route, leaf, counts, span, now);
            }
        }
    }

    /// Returns the bucket of latency from which responses on a route are slow; none while too
    /// little is known of the baseline.
    fn slow_bucket(&self, route: RouteHash) -> Option<usize> {
        let same = self.by_route.get(&route);
        let known = |counts: &&Counts| counts.judged() >= MIN_BASELINE;
        let counts = same.filter(known).or(Some(&self.baseline).filter(known))?;
        Some(bucket_beyond(counts.median_bucket(), SLOW_FACTOR))
    }

    fn slow(&self, route: RouteHash, counts: &Counts) -> u32 {
        self.slow_bucket(route).map_or(0, |first| counts.from_bucket(first))
    }

    /// Whether a response on the route would count as bad.
    pub fn is_bad(&self, route: RouteHash, counts: &Counts) -> bool {
        counts.failed > 0 || self.slow(route, counts) > 0
    }

    /// Returns the numbers of slow responses of the candidate and of the baseline.
    pub fn slow_counts(&self) -> (u32, u32) {
        (self.candidate_slow, self.baseline_slow)
    }

    fn add_failures(&mut self, route: RouteHash, counts: &Counts) {
        let all = &self.baseline;
        let overall = expected(all.failed.into(), all.answered.into(), MIN_FAILURE_SHARE);
        let recent = expected(self.recent.failed, self.recent.answered, MIN_FAILURE_SHARE);
        let (bad, good) = weights(overall.max(recent), FAILURE_STEP);
        let (failed, answered) = (f64::from(counts.failed), f64::from(counts.answered));
        let sum = self.failures.entry(route).or_default();
        *sum = (*sum + failed * bad + (answered - failed) * good).max(0.0);
    }

    fn add_slowness(
        &mut self,
        route: RouteHash,
        leaf: LeafHash,
        counts: &Counts,
        span: Span,
        now: Instant,
    ) {
        self.close_windows(now);
        let slow = self.slow(route, counts);
        self.candidate_slow += slow;
        let (judged, slow) = (f64::from(counts.judged()), f64::from(slow));
        let window = self.windows.entry((route, leaf)).or_insert(Window {
            began: now,
            slow: 0.0,
            good: 0.0,
            pauses: 1.0,
        });
        // Totals that arrive late, as after the loss of a deciding host, cover several windows.
        window.pauses = window.pauses.max(span.0 as f64 / PAUSE_INTERVAL.0 as f64);
        window.slow += slow;
        window.good += (judged - slow).max(0.0);
    }

    /// Returns the weights of a slow and of another response.
    fn slowness_weights(&self) -> (f64, f64) {
        weights(self.expected_slow_share(), SLOW_STEP)
    }

    /// Returns the share of slow responses that is expected of a healthy version.
    pub fn expected_slow_share(&self) -> f64 {
        let all = &self.baseline;
        let overall = expected(self.baseline_slow.into(), all.answered.into(), MIN_SLOW_SHARE);
        overall.max(expected(self.recent.slow, self.recent.answered, MIN_SLOW_SHARE))
    }

    /// Adds the windows that have ended to the sums.
    fn close_windows(&mut self, now: Instant) {
        let weights = self.slowness_weights();
        let slowness = &mut self.slowness;
        self.windows.retain(|(route, _), window| {
            if now.since(window.began) < PAUSE_WINDOW {
                return true;
            }
            let sum = slowness.entry(*route).or_default();
            *sum = (*sum + window.ratio(weights)).max(0.0);
            false
        });
    }

    /// Returns the highest sum of slowness, with the windows that have not ended.
    fn highest_slowness(&self) -> f64 {
        let weights = self.slowness_weights();
        let mut sums = self.slowness.clone();
        for ((route, _), window) in &self.windows {
            *sums.entry(*route).or_default() += window.ratio(weights).max(0.0);
        }
        Self::highest(&sums)
    }

    fn highest(sums: &IndexMap<RouteHash, f64>) -> f64 {
        sums.values().copied().fold(0.0, f64::max)
    }

    /// Returns what the tests have found so far.
    pub fn finding(&mut self, now: Instant) -> Option<Finding> {
        self.close_windows(now);
        if Self::highest(&self.failures) >= FAILURE_THRESHOLD {
            return Some(Finding::Failing);
        }
        (self.highest_slowness() >= SLOWNESS_THRESHOLD).then_some(Finding::Slow)
    }

    /// Returns the highest log-likelihood ratio of all failures on one route. It shows a version of
    /// which a small part of a few dozen responses fails.
    fn overall_failures(&self) -> f64 {
        let all = &self.baseline;
        let expected = expected(all.failed.into(), all.answered.into(), MIN_FAILURE_SHARE);
        let (bad, good) = weights(expected, FAILURE_STEP);
        let ratio = |counts: &Counts| {
            let (failed, answered) = (f64::from(counts.failed), f64::from(counts.answered));
            failed * bad + (answered - failed) * good
        };
        self.candidate_by_route.values().map(ratio).fold(0.0, f64::max)
    }

    /// Whether no sum has reached this part of its threshold.
    pub fn is_below(&self, part: f64) -> bool {
        let (failures, slowness) = self.sums();
        self.overall_failures() < MAX_FAILURE_RATIO
            && failures < FAILURE_THRESHOLD * part
            && slowness < SLOWNESS_THRESHOLD * part
    }

    /// Returns the highest sums of both tests, of failures and of slowness.
    pub fn sums(&self) -> (f64, f64) {
        (Self::highest(&self.failures), self.highest_slowness())
    }
}
