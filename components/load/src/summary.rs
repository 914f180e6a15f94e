//! What a run measured.

use {
    hdrhistogram::Histogram,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    wigeonramp_units::{RequestId, Span},
};

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// How one query ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SampleOutcome {
    /// An answer came.
    Done {
        /// Shards in the answer.
        covered: u32,
        /// Shards of the pinned partition map.
        total: u32,
    },
    /// The tier refused the query and did not run it.
    NotRun(String),
    /// The tier could not tell whether the query ran.
    Unknown(String),
    /// No usable answer came from the tier.
    Failed(String),
}

/// One send of a request that must not run twice.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Submission {
    /// The request id, the same for all sends.
    pub id: RequestId,
    /// 0 for the first send.
    pub index: usize,
}

/// One query of a run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sample {
    /// Index of the class.
    pub class: usize,
    /// Time from the scheduled arrival to the end of the answer.
    pub latency: Span,
    /// How it ended.
    pub outcome: SampleOutcome,
    /// Time of the scheduled arrival after the start of the run.
    pub at: Span,
    /// Absent if the query is idempotent.
    pub submission: Option<Submission>,
}

/// What the queries that arrived in one part of a run measured.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Window {
    /// Start of the part after the start of the run.
    pub at: Span,
    /// What they measured.
    pub summary: Summary,
}

impl Window {
    /// Evaluates `samples` of the classes `names` by windows of `length`.
    pub fn split(names: &[String], samples: &[Sample], length: Span) -> Vec<Self> {
        let mut parts: BTreeMap<u64, Vec<Sample>> = BTreeMap::new();
        for sample in samples {
            parts.entry(sample.at.0 / length.0.max(1)).or_default().push(sample.clone());
        }
        let window = |(index, part): (u64, Vec<Sample>)| Self {
            at: Span(index * length.0),
            summary: Summary::new(names, &part),
        };
        parts.into_iter().map(window).collect()
    }
}

/// What one class measured.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClassSummary {
    /// Queries that were sent.
    pub sent: u64,
    /// Queries with an answer, whole or partial.
    pub done: u64,
    /// Answers that covered every shard.
    pub full: u64,
    /// Mean coverage of the answers, 0 to 1.
    pub coverage: f64,
    /// Smallest coverage of an answer, 0 to 1.
    pub min_coverage: f64,
    /// Shards in all answers together.
    pub covered_shards: u64,
    /// Latency of the answers.
    pub p50: Span,
    /// Latency of the answers.
    pub p99: Span,
    /// Latency of the answers.
    pub p999: Span,
    /// Refusals and failures by reason.
    pub refusals: IndexMap<String, u64>,
}

/// What a run measured, by class name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// By class name.
    pub classes: IndexMap<String, ClassSummary>,
}

impl Summary {
    /// Evaluates `samples` of the classes `names`.
    pub fn new(names: &[String], samples: &[Sample]) -> Self {
        let summarize = |(index, name): (usize, &String)| {
            let own = samples.iter().filter(|sample| sample.class == index);
            (name.clone(), ClassSummary::new(own))
        };
        Self { classes: names.iter().enumerate().map(summarize).collect() }
    }

    /// Shards in all answers of all classes.
    pub fn covered_shards(&self) -> u64 {
        self.classes.values().map(|class| class.covered_shards).sum()
    }

    /// Answers of all classes.
    pub fn done(&self) -> u64 {
        self.classes.values().map(|class| class.done).sum()
    }
}

impl ClassSummary {
    fn new<'a>(samples: impl Iterator<Item = &'a Sample>) -> Self {
        let mut tally = Tally::default();
        samples.for_each(|sample| tally.add(sample));
        tally.summary()
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
            SampleOutcome::Done { covered, total } => self.add_done(sample, *covered, *total),
            SampleOutcome::NotRun(reason) => self.refuse("not run", reason),
            SampleOutcome::Unknown(reason) => self.refuse("unknown", reason),
            SampleOutcome::Failed(reason) => self.refuse("failed", reason),
        }
    }

    fn add_done(&mut self, sample: &Sample, covered: u32, total: u32) {
        self.latency.saturating_record(sample.latency.0);
        let coverage = f64::from(covered) / f64::from(total.max(1));
        self.coverage_sum += coverage;
        self.min_coverage = self.min_coverage.min(coverage);
        self.covered += u64::from(covered);
        self.full += u64::from(covered == total);
    }

    fn refuse(&mut self, kind: &str, reason: &str) {
        *self.refusals.entry(format!("{kind}: {reason}")).or_default() += 1;
    }

    fn summary(self) -> ClassSummary {
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
