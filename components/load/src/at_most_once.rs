//! Checks that non-idempotent requests ran at most once and that the reported outcomes are true.

use {
    crate::{
        leaves::RunsByRequest,
        summary::{Sample, SampleOutcome},
    },
    serde::{Deserialize, Serialize},
    std::collections::{HashMap, HashSet},
    wigeonramp_units::RequestId,
};

/// Maximum number of violations described in the report.
const MAX_EXAMPLES: usize = 10;

/// Outcomes and violations of the non-idempotent requests of a run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct AtMostOnceReport {
    /// Number of request ids.
    pub requests: u64,
    /// Submissions of these ids.
    pub sends: u64,
    /// Submissions with the outcome "done".
    pub done: u64,
    /// Submissions with the outcome "not run".
    pub not_run: u64,
    /// Submissions with the outcome "unknown".
    pub unknown: u64,
    /// Submissions without a usable response.
    pub failed: u64,
    /// Ids that ran on a leaf.
    pub ran: u64,
    /// Ids that ran more than once; must be 0.
    pub ran_again: u64,
    /// First submissions with the outcome "not run" of ids that ran; must be 0.
    pub false_not_run_first: u64,
    /// Resubmissions with the outcome "not run" of ids that ran; must be 0.
    pub false_not_run_repeated: u64,
    /// Ids that ran although all their submissions had the outcome "not run"; must be 0.
    pub false_not_run_ids: u64,
    /// Submissions with the outcome "done" of ids that never ran; must be 0.
    pub false_done: u64,
    /// Descriptions of the first violations.
    pub examples: Vec<String>,
}

impl AtMostOnceReport {
    /// Compares the samples of non-idempotent requests with the runs that leaves counted.
    pub fn new(samples: &[Sample], runs: &RunsByRequest) -> Self {
        let mut report = Self::default();
        let mut ids: HashSet<&RequestId> = HashSet::new();
        let mut all_not_run: HashMap<&RequestId, bool> = HashMap::new();
        for sample in samples {
            let Some(submission) = &sample.submission else { continue };
            let runs = runs.get(&submission.id).copied().unwrap_or_default();
            if ids.insert(&submission.id) {
                report.add_request(&submission.id, runs);
            }
            report.add_submission(sample, runs);
            let not_run = matches!(sample.outcome, SampleOutcome::NotRun(_));
            *all_not_run.entry(&submission.id).or_insert(true) &= not_run;
        }
        let ran = |id: &RequestId| runs.get(id).is_some_and(|n| *n > 0);
        let false_ids = all_not_run.into_iter().filter(|(id, not_run)| *not_run && ran(id));
        report.false_not_run_ids = false_ids.count() as u64;
        report
    }

    /// Returns whether there was no violation.
    pub fn is_clean(&self) -> bool {
        let violations = self.ran_again + self.false_not_run_first + self.false_not_run_repeated;
        violations + self.false_done == 0
    }

    fn add_request(&mut self, id: &RequestId, runs: u32) {
        self.requests += 1;
        self.ran += u64::from(runs > 0);
        if runs > 1 {
            self.ran_again += 1;
            self.add_example(format!("{id} ran {runs} times"));
        }
    }

    fn add_submission(&mut self, sample: &Sample, runs: u32) {
        let Some(submission) = &sample.submission else { return };
        self.sends += 1;
        match &sample.outcome {
            SampleOutcome::Done { .. } => {
                self.done += 1;
                if runs == 0 {
                    self.false_done += 1;
                    self.add_example(format!("{} was done without a run", submission.id));
                }
            }
            SampleOutcome::NotRun(reason) => {
                self.not_run += 1;
                if runs > 0 {
                    let first = submission.index == 0;
                    self.false_not_run_first += u64::from(first);
                    self.false_not_run_repeated += u64::from(!first);
                    let text =
                        format!("{} ran, submission {}: {reason}", submission.id, submission.index);
                    self.add_example(text);
                }
            }
            SampleOutcome::Unknown(_) => self.unknown += 1,
            SampleOutcome::Failed(_) => self.failed += 1,
        }
    }

    fn add_example(&mut self, text: String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(text);
        }
    }
}
