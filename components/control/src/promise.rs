//! Promises of assigners to holders whose session expired.
//!
//! With a promise an assigner guarantees that it takes no leaf from the holder for one term. A
//! holder is covered only if all assigners listed in its assignment give it a promise. Each version
//! of the assignment is written by an assigner of the version before, which refuses holders that
//! know an older version; a covered holder therefore cannot miss a version. Assigners added later
//! observe sessions from scratch, which takes longer than a term.

use {
    crate::{
        assignment::{Assignment, AssignmentVersion, Holding},
        session::{owner_term, takeover_time},
    },
    std::collections::{BTreeMap, BTreeSet},
    wigeonramp_units::{InstanceId, Instant, Span},
};

/// A promise that a holder with an expired session requests from one assigner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestedPromise {
    /// The holder.
    pub holder: InstanceId,
    /// The assigner. Another boot of the same host does not answer for it.
    pub assigner: InstanceId,
    /// Version of the assignment that the holder knows.
    pub known_version: AssignmentVersion,
    /// How long the promise lasts.
    pub term: Span,
}

/// Answer of an assigner to a requested promise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromiseAnswer {
    /// The assigner takes no leaf from the holder for the term.
    Granted,
    /// The assigner gives no promise.
    Refused(PromiseRefusal),
}

/// Reason why an assigner gives no promise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromiseRefusal {
    /// The request is for another instance than this process, or this instance is not an assigner.
    NotAssigner,
    /// A takeover from the holder has been prepared.
    TakeoverPrepared,
    /// The holder knows an older assignment than this assigner.
    OlderAssignment,
    /// The assigner has not renewed its own session within the promise horizon.
    HorizonPassed,
    /// The term is longer than one session time.
    TermTooLong,
}

/// Promises that an assigner has given. Must be guarded by the same lock as the `Assigner`.
#[derive(Clone, Debug)]
pub struct PromiseIssuer {
    me: InstanceId,
    session_time: Span,
    horizon: Span,
    // When each promise ends, by its holder.
    open: BTreeMap<InstanceId, Instant>,
    // Instances from which a takeover has been prepared.
    prepared: BTreeSet<InstanceId>,
    known_version: AssignmentVersion,
    // The highest version whose write was started and may have taken effect.
    pending_write: Option<AssignmentVersion>,
    is_assigner: bool,
}

impl PromiseIssuer {
    /// Creates an issuer without promises. It gives promises until `horizon` after the last renewal
    /// of the assigner's own session.
    pub fn new(me: InstanceId, session_time: Span, horizon: Span) -> Self {
        Self {
            me,
            session_time,
            horizon,
            open: BTreeMap::new(),
            prepared: BTreeSet::new(),
            known_version: AssignmentVersion::default(),
            pending_write: None,
            is_assigner: false,
        }
    }

    /// Sets the session time, which is the longest term of a promise. Open promises keep their end.
    pub fn set_session_time(&mut self, session_time: Span) {
        self.session_time = session_time;
    }

    /// Records that this host adopted `assignment`.
    pub fn on_assignment(&mut self, assignment: &Assignment) {
        if assignment.version < self.known_version {
            return;
        }
        self.known_version = assignment.version;
        self.is_assigner = assignment.is_assigner(&self.me);
        if self.pending_write.is_some_and(|version| version <= self.known_version) {
            self.pending_write = None;
        }
    }

    /// Records that a write of `version` is about to be sent. Holders that know a lower version are
    /// refused until this or a higher version is adopted, because without a response it is unknown
    /// whether the write took effect.
    pub fn on_write_started(&mut self, version: AssignmentVersion) {
        self.pending_write = self.pending_write.max(Some(version));
    }

    /// Records that the only write sent since the last adopted version is known to have had no
    /// effect.
    pub fn on_write_without_effect(&mut self) {
        self.pending_write = None;
    }

    /// Answers `request`; `last_renewal` is when the assigner's own session was last renewed.
    pub fn answer(
        &mut self,
        request: &RequestedPromise,
        last_renewal: Option<Instant>,
        now: Instant,
    ) -> PromiseAnswer {
        if let Some(refusal) = self.refusal(request, last_renewal, now) {
            return PromiseAnswer::Refused(refusal);
        }
        // Kept for longer than the holder relies on it, because clock rates differ.
        self.open.insert(request.holder.clone(), now + takeover_time(request.term));
        PromiseAnswer::Granted
    }

    fn refusal(
        &self,
        request: &RequestedPromise,
        last_renewal: Option<Instant>,
        now: Instant,
    ) -> Option<PromiseRefusal> {
        if request.assigner != self.me || !self.is_assigner {
            return Some(PromiseRefusal::NotAssigner);
        }
        if self.prepared.contains(&request.holder) {
            return Some(PromiseRefusal::TakeoverPrepared);
        }
        if request.known_version < self.known_version
            || self.pending_write.is_some_and(|version| request.known_version < version)
        {
            return Some(PromiseRefusal::OlderAssignment);
        }
        if last_renewal.is_none_or(|at| now.since(at) >= self.horizon) {
            return Some(PromiseRefusal::HorizonPassed);
        }
        (request.term > self.session_time).then_some(PromiseRefusal::TermTooLong)
    }

    /// Gives `instance` no further promise, because a takeover from it is being prepared.
    pub fn prepare_takeover(&mut self, instance: &InstanceId) {
        self.prepared.insert(instance.clone());
    }

    /// Allows promises to `instance` again: it renewed its session before it was fenced, so no
    /// takeover takes place.
    pub fn cancel_takeover(&mut self, instance: &InstanceId) {
        self.prepared.remove(instance);
    }

    /// Instances from which a takeover has been prepared.
    pub fn prepared_takeovers(&self) -> impl Iterator<Item = &InstanceId> {
        self.prepared.iter()
    }

    /// Whether a promise still protects the leaves of `instance` at `now`.
    pub fn has_open_promise(&self, instance: &InstanceId, now: Instant) -> bool {
        self.open.get(instance).is_some_and(|until| now < *until)
    }

    /// Drops promises that have ended, and prepared takeovers from instances that are neither new
    /// nor old holder of any leaf.
    pub fn prune(&mut self, assignment: &Assignment, now: Instant) {
        self.open.retain(|_, until| now < *until);
        let involved = |id: &InstanceId| {
            let of = |h: &Holding| h.instance == *id || h.from.as_ref() == Some(id);
            assignment.holdings.values().any(of)
        };
        if self.pending_write.is_none() {
            self.prepared.retain(involved);
        }
    }
}

/// A holder's requests for promises, sent in rounds to all assigners.
#[derive(Clone, Debug, Default)]
pub struct PromiseRound {
    open: Option<OpenRound>,
    valid_until: Option<Instant>,
}

#[derive(Clone, Debug)]
struct OpenRound {
    version: AssignmentVersion,
    // Assigners that have not granted their promise yet.
    missing: BTreeSet<InstanceId>,
    began: Instant,
    term: Span,
}

impl PromiseRound {
    /// Begins a round and returns the requests to send.
    pub fn begin(
        &mut self,
        me: &InstanceId,
        assignment: &Assignment,
        term: Span,
        now: Instant,
    ) -> Vec<RequestedPromise> {
        let missing: BTreeSet<_> = assignment.assigner_ids().cloned().collect();
        let version = assignment.version;
        let request = |assigner: &InstanceId| RequestedPromise {
            holder: me.clone(),
            assigner: assigner.clone(),
            known_version: version,
            term,
        };
        let requests = missing.iter().map(request).collect();
        self.open = Some(OpenRound { version, missing, began: now, term });
        requests
    }

    /// Records the answer to `request` of the round that began at `began`. Answers of earlier
    /// rounds and for other versions do not count.
    pub fn on_answer(&mut self, request: &RequestedPromise, answer: PromiseAnswer, began: Instant) {
        let Some(round) = &mut self.open else { return };
        if round.began != began || round.version != request.known_version {
            return;
        }
        if answer != PromiseAnswer::Granted {
            self.open = None;
            return;
        }
        if round.missing.remove(&request.assigner) && round.missing.is_empty() {
            let until = round.began + owner_term(round.term);
            self.valid_until = self.valid_until.max(Some(until));
            self.open = None;
        }
    }

    /// Whether a round should begin. Promises are renewed in the second half of their term, and a
    /// round that is still incomplete is repeated after a quarter of the term.
    pub fn is_due(&self, term: Span, now: Instant) -> bool {
        let waiting = self.open.as_ref().is_some_and(|round| now.since(round.began) < term / 4);
        let fresh = self.valid_until.is_some_and(|until| now + term / 2 < until);
        !waiting && !fresh
    }

    /// Until when all assigners keep their promise, counted from before the requests were sent.
    pub fn valid_until(&self) -> Option<Instant> {
        self.valid_until
    }

    /// Whether the promises are valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }
}
