//! Confirming a plan: one conditional write that ends in force, refused, or not known yet.

use {
    crate::{
        plan::{Plan, PlanError},
        store_result::{ReadResult, Stored, WriteResult},
    },
    std::collections::BTreeSet,
    wigeonramp_config::Document,
    wigeonramp_units::{ConfigVersion, InstanceId, OpId, Revision},
};

/// What to do next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmStep {
    /// Write the plan's target, conditional on this revision.
    Write(Revision),
    /// Read the document and compare.
    Read,
    /// Wait for hosts to report the version.
    AwaitHosts,
    /// Finished.
    Done(ConfirmOutcome),
}

/// Result of a confirmation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmOutcome {
    /// The plan is the configuration.
    InForce {
        /// Its version.
        version: ConfigVersion,
        /// Hosts that reported this version or a higher one.
        hosts: Vec<InstanceId>,
        /// Hosts that have not.
        missing: Vec<InstanceId>,
    },
    /// Nothing changed.
    Refused(ConfirmRefusal),
    /// Whether the write took effect is open.
    NotKnownYet,
}

/// Why a confirmation changed nothing.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfirmRefusal {
    /// The plan does not fit the configuration in force.
    Plan(PlanError),
    /// Another operation wrote this version first.
    LostRace(OpId),
    /// There is no configuration to change.
    NoDocument,
    /// The store did not take the write.
    StoreUnavailable,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Phase {
    Writing,
    Written,
    Done(ConfirmOutcome),
}

/// One confirmation under way.
#[derive(Clone, Debug)]
pub struct Confirmation {
    plan: Plan,
    phase: Phase,
    doubt: bool,
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
        let mut confirm = Self { plan, phase: Phase::Writing, doubt: false, expected, reported };
        let step = match checked {
            Ok(()) => ConfirmStep::Write(current.revision),
            // The same plan confirmed again after it took effect.
            Err(_) if current.value.op == confirm.plan.id => confirm.in_force(),
            Err(err) => confirm.refuse(ConfirmRefusal::Plan(err)),
        };
        (confirm, step)
    }

    /// The document to write.
    pub fn target(&self) -> &Document {
        &self.plan.target
    }

    /// The write ended this way.
    pub fn on_written(&mut self, result: WriteResult<Document>) -> ConfirmStep {
        match result {
            WriteResult::Written(_) => self.in_force(),
            WriteResult::Conflict(Some(found)) => self.compare(&found),
            WriteResult::Conflict(None) => self.refuse(ConfirmRefusal::NoDocument),
            WriteResult::NoEffect if !self.doubt => self.refuse(ConfirmRefusal::StoreUnavailable),
            WriteResult::NoEffect => ConfirmStep::Read,
            WriteResult::Unknown => {
                self.doubt = true;
                ConfirmStep::Read
            }
        }
    }

    /// The document was read back.
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
            return self.write_again(found);
        }
        // A later version says nothing about whether this plan was the one before it.
        if version > target && self.doubt {
            return self.done(ConfirmOutcome::NotKnownYet);
        }
        self.refuse(ConfirmRefusal::LostRace(found.value.op.clone()))
    }

    fn write_again(&mut self, found: &Stored<Document>) -> ConfirmStep {
        match self.plan.check(&found.value) {
            Ok(()) => ConfirmStep::Write(found.revision),
            Err(err) => self.refuse(ConfirmRefusal::Plan(err)),
        }
    }

    /// `instance` reported that it adopted `version`.
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

    /// Ends the confirmation because its time is over.
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
