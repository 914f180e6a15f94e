//! Confirmation of a plan: a conditional write whose outcome is in force, refused or not known yet.

use {
    crate::{
        plan::{Plan, PlanError},
        store_result::{ReadResult, Stored, WriteResult},
    },
    std::collections::BTreeSet,
    wigeonramp_config::Document,
    wigeonramp_units::{ConfigVersion, InstanceId, OpId, Revision},
};

/// What the daemon has to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmStep {
    /// Write the plan's target, conditional on this revision.
    Write(Revision),
    /// Read the document back to find out whether the write took effect.
    Read,
    /// Wait for the hosts to report that they adopted the version.
    AwaitHosts,
    /// The confirmation is finished.
    Done(ConfirmOutcome),
}

/// Outcome of a confirmation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmOutcome {
    /// The plan's target is the configuration in force.
    InForce {
        /// Its version.
        version: ConfigVersion,
        /// Hosts that reported this version or a higher one.
        hosts: Vec<InstanceId>,
        /// Expected hosts that have not reported it.
        missing: Vec<InstanceId>,
    },
    /// The configuration was not changed.
    Refused(ConfirmRefusal),
    /// It is unknown whether the write took effect.
    NotKnownYet,
}

/// Reason why a confirmation changed nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmRefusal {
    /// The plan does not fit the configuration in force.
    Plan(PlanError),
    /// Another operation wrote this version first.
    LostRace(OpId),
    /// There is no configuration to change.
    NoDocument,
    /// The store did not accept the write.
    StoreUnavailable,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Writing,
    Written,
    Done(ConfirmOutcome),
}

/// A confirmation in progress.
#[derive(Clone, Debug)]
pub struct Confirmation {
    plan: Plan,
    phase: Phase,
    // Whether the response to an earlier write was lost, so that it may have taken effect.
    write_uncertain: bool,
    expected: BTreeSet<InstanceId>,
    reported: BTreeSet<InstanceId>,
}

impl Confirmation {
    /// Begins to confirm `plan` against the document in force; `expected` are the live instances.
    pub fn start(
        plan: Plan,
        current: &Stored<Document>,
        expected: BTreeSet<InstanceId>,
    ) -> (Self, ConfirmStep) {
        let checked = plan.check(&current.value);
        let reported = BTreeSet::new();
        let mut confirmation =
            Self { plan, phase: Phase::Writing, write_uncertain: false, expected, reported };
        let step = match checked {
            Ok(()) => ConfirmStep::Write(current.revision),
            // The plan already took effect and is confirmed again.
            Err(_) if current.value.op == confirmation.plan.id => confirmation.in_force(),
            Err(err) => confirmation.refuse(ConfirmRefusal::Plan(err)),
        };
        (confirmation, step)
    }

    /// The document to write.
    pub fn target(&self) -> &Document {
        &self.plan.target
    }

    /// Records the result of the write and returns the next step.
    pub fn on_written(&mut self, result: WriteResult<Document>) -> ConfirmStep {
        match result {
            WriteResult::Written(_) => self.in_force(),
            WriteResult::Conflict(Some(found)) => self.compare(&found),
            WriteResult::Conflict(None) => self.refuse(ConfirmRefusal::NoDocument),
            WriteResult::NoEffect if !self.write_uncertain => {
                self.refuse(ConfirmRefusal::StoreUnavailable)
            }
            WriteResult::NoEffect => ConfirmStep::Read,
            WriteResult::Unknown => {
                self.write_uncertain = true;
                ConfirmStep::Read
            }
        }
    }

    /// Records the document that was read back and returns the next step.
    pub fn on_read(&mut self, result: ReadResult<Document>) -> ConfirmStep {
        match result {
            ReadResult::Found(found) => self.compare(&found),
            ReadResult::Missing | ReadResult::Failed => ConfirmStep::Read,
        }
    }

    fn compare(&mut self, found: &Stored<Document>) -> ConfirmStep {
        let (version, target) = (found.value.version, self.plan.target.version);
        if found.value.op == self.plan.id {
            return self.in_force();
        }
        if version < self.plan.base {
            return ConfirmStep::Read;
        }
        if version == self.plan.base {
            return self.retry_write(found);
        }
        // A version after the target does not show whether this plan took effect before it.
        if version > target && self.write_uncertain {
            return self.done(ConfirmOutcome::NotKnownYet);
        }
        self.refuse(ConfirmRefusal::LostRace(found.value.op.clone()))
    }

    fn retry_write(&mut self, found: &Stored<Document>) -> ConfirmStep {
        match self.plan.check(&found.value) {
            Ok(()) => ConfirmStep::Write(found.revision),
            Err(err) => self.refuse(ConfirmRefusal::Plan(err)),
        }
    }

    /// Records that `instance` adopted `version` and returns the next step.
    pub fn on_host_report(&mut self, instance: &InstanceId, version: ConfigVersion) -> ConfirmStep {
        if version >= self.plan.target.version {
            self.reported.insert(instance.clone());
        }
        match &self.phase {
            Phase::Done(outcome) => ConfirmStep::Done(outcome.clone()),
            Phase::Written => self.in_force(),
            Phase::Writing => ConfirmStep::Read,
        }
    }

    /// Ends the confirmation at its deadline and returns its outcome so far.
    pub fn give_up(&mut self) -> ConfirmOutcome {
        let outcome = match &self.phase {
            Phase::Done(outcome) => outcome.clone(),
            Phase::Written => self.outcome(),
            Phase::Writing => ConfirmOutcome::NotKnownYet,
        };
        self.phase = Phase::Done(outcome.clone());
        outcome
    }

    fn in_force(&mut self) -> ConfirmStep {
        self.phase = Phase::Written;
        if self.expected.is_subset(&self.reported) {
            return self.done(self.outcome());
        }
        ConfirmStep::AwaitHosts
    }

    fn outcome(&self) -> ConfirmOutcome {
        ConfirmOutcome::InForce {
            version: self.plan.target.version,
            hosts: self.reported.iter().cloned().collect(),
            missing: self.expected.difference(&self.reported).cloned().collect(),
        }
    }

    fn refuse(&mut self, refusal: ConfirmRefusal) -> ConfirmStep {
        self.done(ConfirmOutcome::Refused(refusal))
    }

    fn done(&mut self, outcome: ConfirmOutcome) -> ConfirmStep {
        self.phase = Phase::Done(outcome.clone());
        ConfirmStep::Done(outcome)
    }
}
