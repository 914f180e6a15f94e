//! Samples of a run and their summaries.

use {
    hdrhistogram::Histogram,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    wigeonramp_units::{RequestId, Span},
};

/// Highest latency that the histograms distinguish, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of one submission of a query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SampleOutcome {
    /// The query ran and its result arrived.
    Done {
        /// Number of shards in the response.
        covered: u32,
        /// Number of shards in the pinned partition map.
        total: u32,
    },
    /// The query was refused and did not run.
    NotRun(String),
    /// The entry host could not tell whether the query ran.
    Unknown(String),
    /// No usable response arrived.
    Failed(String),
}

/// Submission of a non-idempotent request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    /// Request id, the same for all submissions of the request.
    pub id: RequestId,
    /// Index among the submissions of the request; 0 for the first one.
    pub index: usize,
}

/// Measurement of one submission of a query.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sample {
    /// Index of the query class.
    pub class: usize,
    /// Time from the scheduled arrival, or for a resubmission from the end of the previous
    /// submission, to the end of the response.
    pub latency: Span,
    /// Outcome of the submission.
    pub outcome: SampleOutcome,
    /// Time of the scheduled arrival since the start of the run.
    pub at: Span,
    /// Absent if the query is idempotent.
    pub submission: Option<Submission>,
}

/// Summary of the queries that arrived in one window of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Window {
    /// Start of the window since the start of the run.
    pub at: Span,
    /// Summary of the queries.
    pub summary: Summary,
}

impl Window {
    /// Summarizes `samples` by windows of `length`; `names` are the class names. Windows without
    /// arrivals are left out.
    pub fn split(names: &[String], samples: &[Sample], length: Span) -> Vec<Self> {
        let mut windows: BTreeMap<u64, Vec<Sample>> = BTreeMap::new();
        for sample in samples {
            windows.entry(sample.at.0 / length.0.max(1)).or_default().push(sample.clone());
        }
        let window = |(index, samples): (u64, Vec<Sample>)| Self {
            at: Span(index * length.0),
            summary: Summary::new(names, &samples),
        };
        windows.into_iter().map(window).collect()
    }
}

/// Summary of the queries of one class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassSummary {
    /// Number of submissions.
    pub sent: u64,
    /// Submissions with a result, complete or partial.
    pub done: u64,
    /// Results that cover all shards.
    pub full: u64,
    /// Mean coverage of the results, 0 to 1.
    pub coverage: f64,
    /// Lowest coverage of a result, 0 to 1.
    pub min_coverage: f64,
    /// Sum of the shards in all results.
    pub covered_shards: u64,
    /// Median (p50) latency of the results.
    pub p50: Span,
    /// 99th percentile of the latency of the results.
    pub p99: Span,
    /// 99.9th percentile of the latency of the results.
    pub p999: Span,
    /// Number of refusals and failures by reason.
    pub refusals: IndexMap<String, u64>,
}

/// Summary of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// Summaries by class name.
    pub classes: IndexMap<String, ClassSummary>,
}

impl Summary {
    /// Summarizes `samples` by class; `names` are the class names by index.
    pub fn new(names: &[String], samples: &[Sample]) -> Self {
        let summarize = |(index, name): (usize, &String)| {
            let class_samples = samples.iter().filter(|sample| sample.class == index);
            (name.clone(), ClassSummary::new(class_samples))
        };
        Self { classes: names.iter().enumerate().map(summarize).collect() }
    }

    /// Returns the sum of the shards in the results of all classes.
    pub fn covered_shards(&self) -> u64 {
        self.classes.values().map(|class| class.covered_shards).sum()
    }

    /// Returns the number of results of all classes.
    pub fn done(&self) -> u64 {
        self.classes.values().map(|class| class.done).sum()
    }
}

impl ClassSummary {
    fn new<'a>(samples: impl Iterator<Item = &'a Sample>) -> Self {
        let mut tally = Tally::default();
        samples.for_each(|sample| tally.add(sample));
        tally.into_summary()
    }
}

struct Tally {
    latency: Histogram<u64>,
    sent: u64,
    full: u64,
    covered: u64,
    coverage_sum: f64,
    min_coverage: f64,
    refusals: IndexMap<String, u64>,
}

impl Default for Tally {
    fn default() -> Self {
        let latency = Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            .expect("the bounds are constants that the histogram accepts");
        Self {
            latency,
            sent: 0,
            full: 0,
            covered: 0,
            coverage_sum: 0.0,
            min_coverage: 1.0,
            refusals: IndexMap::new(),
        }
    }
}

impl Tally {
    fn add(&mut self, sample: &Sample) {
        self.sent += 1;
        match &sample.outcome {
            SampleOutcome::Done { covered, total } => self.add_result(sample, *covered, *total),
            SampleOutcome::NotRun(reason) => self.add_refusal("not run", reason),
            SampleOutcome::Unknown(reason) => self.add_refusal("unknown", reason),
            SampleOutcome::Failed(reason) => self.add_refusal("failed", reason),
        }
    }

    fn add_result(&mut self, sample: &Sample, covered: u32, total: u32) {
        self.latency.saturating_record(sample.latency.0);
        let coverage = f64::from(covered) / f64::from(total.max(1));
        self.coverage_sum += coverage;
        self.min_coverage = self.min_coverage.min(coverage);
        self.covered += u64::from(covered);
        self.full += u64::from(covered == total);
    }

    fn add_refusal(&mut self, kind: &str, reason: &str) {
        *self.refusals.entry(format!("{kind}: {reason}")).or_default() += 1;
    }

    fn into_summary(self) -> ClassSummary {
        let done = self.latency.len();
        let quantile = |q: f64| Span(self.latency.value_at_quantile(q));
        ClassSummary {
            sent: self.sent,
            done,
            full: self.full,
            coverage: if done == 0 { 0.0 } else { self.coverage_sum / done as f64 },
            min_coverage: if done == 0 { 0.0 } else { self.min_coverage },
            covered_shards: self.covered,
            p50: quantile(0.50),
            p99: quantile(0.99),
            p999: quantile(0.999),
            refusals: self.refusals,
        }
    }
}
