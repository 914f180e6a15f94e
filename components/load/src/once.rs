//! Checks that requests that are not idempotent ran at most once, and that answers tell the truth.

use {
    crate::{
        leaves::RunsByRequest,
        summary::{Sample, SampleOutcome},
    },
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
    wigeonramp_units::RequestId,
};

/// Violations that are named in the report.
const MAX_EXAMPLES: usize = 10;

/// What became of the requests of a run that must not run twice.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AtMostOnceReport {
    /// Different request ids.
    pub requests: u64,
    /// Sends of those ids.
    pub sends: u64,
    /// Sends answered with "done".
    pub done: u64,
    /// Sends answered with "not run".
    pub not_run: u64,
    /// Sends answered with "unknown".
    pub unknown: u64,
    /// Sends without an answer.
    pub failed: u64,
    /// Ids that ran at a leaf.
    pub ran: u64,
    /// Ids that ran more than once; must be 0.
    pub ran_again: u64,
    /// "Not run" to the first send of an id that ran; must be 0.
    pub false_not_run_first: u64,
    /// "Not run" to a repetition of an id that ran; must be 0.
    pub false_not_run_repeated: u64,
    /// Ids that ran although each of their sends was answered with "not run"; must be 0.
    pub false_not_run_ids: u64,
    /// "Done" to a send of an id that never ran; must be 0.
    pub false_done: u64,
    /// Some of the violations.
    pub examples: Vec<String>,
}

impl AtMostOnceReport {
    /// Compares `samples` that carry a request id with the runs that leaves counted.
    pub fn new(samples: &[Sample], runs: &RunsByRequest) -> Self {
        let mut report = Self::default();
        let mut ids: HashSet<&RequestId> = HashSet::new();
        let mut refused: HashMap<&RequestId, bool> = HashMap::new();
        for sample in samples {
            let Some(submission) = &sample.submission else { continue };
            let runs = runs.get(&submission.id).copied().unwrap_or_default();
            if ids.insert(&submission.id) {
                report.add_request(&submission.id, runs);
            }
            report.add_send(sample, runs);
            let not_run = matches!(sample.outcome, SampleOutcome::NotRun(_));
            *refused.entry(&submission.id).or_insert(true) &= not_run;
        }
        let ran = |id: &RequestId| runs.get(id).is_some_and(|n| *n > 0);
        let lied = refused.into_iter().filter(|(id, refused)| *refused && ran(id));
        report.false_not_run_ids = lied.count() as u64;
        report
    }

    /// Whether no rule was violated.
    pub fn is_clean(&self) -> bool {
        let broken = self.ran_again + self.false_not_run_first + self.false_not_run_repeated;
        broken + self.false_done == 0
    }

    fn add_request(&mut self, id: &RequestId, runs: u32) {
        self.requests += 1;
        self.ran += u64::from(runs > 0);
        if runs > 1 {
            self.ran_again += 1;
            self.example(format!("{id} ran {runs} times"));
        }
    }

    fn add_send(&mut self, sample: &Sample, runs: u32) {
        let Some(submission) = &sample.submission else { return };
        self.sends += 1;
        match &sample.outcome {
            SampleOutcome::Done { .. } => {
                self.done += 1;
                if runs == 0 {
                    self.false_done += 1;
                    self.example(format!("{} was done without a run", submission.id));
                }
            }
            SampleOutcome::NotRun(reason) => {
                self.not_run += 1;
                if runs > 0 {
                    let first = submission.index == 0;
                    self.false_not_run_first += u64::from(first);
                    self.false_not_run_repeated += u64::from(!first);
                    let text =
                        format!("{} ran, send {}: {reason}", submission.id, submission.index);
                    self.example(text);
                }
            }
            SampleOutcome::Unknown(_) => self.unknown += 1,
            SampleOutcome::Failed(_) => self.failed += 1,
        }
    }

    fn example(&mut self, text: String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(text);
        }
    }
}
