//! Promises of assigners to holders whose session expired.
//!
//! A promise says: for one term I take nothing from you. It covers a holder only when all assigners
//! named in the holder's assignment give it. The writer of each version is named in the version
//! before and refuses askers that know an older one, so no version can pass an asker by. Assigners
//! named later observe sessions from scratch, which takes longer than a term.

use {
    crate::{
        assignment::{Assignment, AssignmentVersion, Holding},
        session::{owner_term, takeover_time},
    },
    std::collections::{BTreeMap, BTreeSet},
    wigeonramp_units::{InstanceId, Instant, Span},
};

/// One question of a holder in doubt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestedPromise {
    /// The holder.
    pub holder: InstanceId,
    /// The assigner that is asked; an older boot of it cannot be answered for.
    pub assigner: InstanceId,
    /// The assignment that the holder knows.
    pub known_version: AssignmentVersion,
    /// How long the promise should last.
    pub term: Span,
}

/// Answer of an assigner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromiseAnswer {
    /// Nothing is taken from the asker for the term.
    Granted,
    /// No promise.
    Refused(PromiseRefusal),
}

/// Why an assigner gives no promise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromiseRefusal {
    /// The asked instance is not this process, or not an assigner.
    NotAssigner,
    /// A takeover from the asker has been prepared.
    TakeoverPrepared,
    /// The asker knows an older assignment than this assigner.
    OlderAssignment,
    /// The assigner itself has been without the store for longer than promises are given.
    HorizonPassed,
    /// The term is longer than one session time.
    TermTooLong,
}

/// Promises that an assigner gave. It shares one lock with the `Assigner`.
#[derive(Clone, Debug)]
pub struct PromiseIssuer {
    me: InstanceId,
    session_time: Span,
    horizon: Span,
    open: BTreeMap<InstanceId, Instant>,
    prepared: BTreeSet<InstanceId>,
    known: AssignmentVersion,
    writing: Option<AssignmentVersion>,
    named: bool,
}

impl PromiseIssuer {
    /// An empty book. Promises are given for `horizon` after the assigner's own last renewal.
    pub fn new(me: InstanceId, session_time: Span, horizon: Span) -> Self {
        Self {
            me,
            session_time,
            horizon,
            open: BTreeMap::new(),
            prepared: BTreeSet::new(),
            known: AssignmentVersion::default(),
            writing: None,
            named: false,
        }
    }

    /// Sets the longest term of a promise; promises that were given keep their end.
    pub fn set_session_time(&mut self, session_time: Span) {
        self.session_time = session_time;
    }

    /// This host adopted `assignment`.
    pub fn on_assignment(&mut self, assignment: &Assignment) {
        if assignment.version < self.known {
            return;
        }
        self.known = assignment.version;
        self.named = assignment.is_assigner(&self.me);
        if self.writing.is_some_and(|version| version <= self.known) {
            self.writing = None;
        }
    }

    /// A write of `version` is about to be sent. Askers below it are refused until this or a higher
    /// version is adopted, because a lost answer leaves open whether the write took effect.
    pub fn on_write_started(&mut self, version: AssignmentVersion) {
        self.writing = self.writing.max(Some(version));
    }

    /// The only write that was sent since the last adopted version certainly had no effect.
    pub fn on_write_without_effect(&mut self) {
        self.writing = None;
    }

    /// Answers `ask`; `last_renewal` is when the assigner's own session was last renewed.
    pub fn answer(
        &mut self,
        ask: &RequestedPromise,
        last_renewal: Option<Instant>,
        now: Instant,
    ) -> PromiseAnswer {
        if let Some(refusal) = self.refusal(ask, last_renewal, now) {
            return PromiseAnswer::Refused(refusal);
        }
        // Kept for longer than the asker relies on it, for clocks of different rates.
        self.open.insert(ask.holder.clone(), now + takeover_time(ask.term));
        PromiseAnswer::Granted
    }

    fn refusal(
        &self,
        ask: &RequestedPromise,
        last_renewal: Option<Instant>,
        now: Instant,
    ) -> Option<PromiseRefusal> {
        if ask.assigner != self.me || !self.named {
            return Some(PromiseRefusal::NotAssigner);
        }
        if self.prepared.contains(&ask.holder) {
            return Some(PromiseRefusal::TakeoverPrepared);
        }
        if ask.known_version < self.known
            || self.writing.is_some_and(|version| ask.known_version < version)
        {
            return Some(PromiseRefusal::OlderAssignment);
        }
        if last_renewal.is_none_or(|at| now.since(at) >= self.horizon) {
            return Some(PromiseRefusal::HorizonPassed);
        }
        (ask.term > self.session_time).then_some(PromiseRefusal::TermTooLong)
    }

    /// Gives `instance` no further promise, because a takeover from it begins.
    pub fn prepare_takeover(&mut self, instance: &InstanceId) {
        self.prepared.insert(instance.clone());
    }

    /// `instance` renewed its session before it was fenced; no takeover takes place.
    pub fn cancel_takeover(&mut self, instance: &InstanceId) {
        self.prepared.remove(instance);
    }

    /// Instances from which a takeover has been prepared.
    pub fn prepared_takeovers(&self) -> impl Iterator<Item = &InstanceId> {
        self.prepared.iter()
    }

    /// Whether nothing may be taken from `instance` at `now`.
    pub fn has_open_promise(&self, instance: &InstanceId, now: Instant) -> bool {
        self.open.get(instance).is_some_and(|until| now < *until)
    }

    /// Forgets promises that have ended and takeovers from instances that hold nothing any more.
    pub fn prune(&mut self, assignment: &Assignment, now: Instant) {
        self.open.retain(|_, until| now < *until);
        let involved = |id: &InstanceId| {
            let of = |h: &Holding| h.instance == *id || h.from.as_ref() == Some(id);
            assignment.holdings.values().any(of)
        };
        if self.writing.is_none() {
            self.prepared.retain(involved);
        }
    }
}

/// A holder's round of questions to all assigners.
#[derive(Clone, Debug, Default)]
pub struct PromiseRound {
    asking: Option<Asking>,
    valid_until: Option<Instant>,
}

#[derive(Clone, Debug)]
struct Asking {
    version: AssignmentVersion,
    missing: BTreeSet<InstanceId>,
    began: Instant,
    term: Span,
}

impl PromiseRound {
    /// Begins a round and returns the questions to send.
    pub fn begin(
        &mut self,
        me: &InstanceId,
        assignment: &Assignment,
        term: Span,
        now: Instant,
    ) -> Vec<RequestedPromise> {
        let missing: BTreeSet<_> = assignment.assigner_ids().cloned().collect();
        let known = assignment.version;
        let ask = |assigner: &InstanceId| RequestedPromise {
            holder: me.clone(),
            assigner: assigner.clone(),
            known_version: known,
            term,
        };
        let asks = missing.iter().map(ask).collect();
        self.asking = Some(Asking { version: known, missing, began: now, term });
        asks
    }

    /// The answer to `ask`. Answers of earlier rounds and for other versions do not count.
    pub fn on_answer(&mut self, ask: &RequestedPromise, answer: PromiseAnswer, began: Instant) {
        let Some(asking) = &mut self.asking else { return };
        if asking.began != began || asking.version != ask.known_version {
            return;
        }
        if answer != PromiseAnswer::Granted {
            self.asking = None;
            return;
        }
        if asking.missing.remove(&ask.assigner) && asking.missing.is_empty() {
            let until = asking.began + owner_term(asking.term);
            self.valid_until = self.valid_until.max(Some(until));
            self.asking = None;
        }
    }

    /// Whether a round should begin: one renews promises in the second half of their term, and one
    /// without an answer is repeated after a quarter of it.
    pub fn is_due(&self, term: Span, now: Instant) -> bool {
        let asked = self.asking.as_ref().is_some_and(|asking| now.since(asking.began) < term / 4);
        let fresh = self.valid_until.is_some_and(|until| now + term / 2 < until);
        !asked && !fresh
    }

    /// Until when all assigners keep their promise; counted from before they were asked.
    pub fn valid_until(&self) -> Option<Instant> {
        self.valid_until
    }

    /// Whether the promises hold at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }
}
