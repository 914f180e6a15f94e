//! Promises: guarantees that keep a holder's leaves in service while it cannot renew its session.
//!
//! A holder whose session has expired or is about to expire requests a promise from each assigner
//! that its assignment lists. An assigner that grants it takes no leaf from the holder for one term.
//! The holder is covered, so that it keeps sending to its leaves, only while the promises of all
//! these assigners are valid.
//!
//! A covered holder cannot miss a version of the assignment: each version is written by an assigner
//! of the version before, and an assigner refuses holders that know an older version than its own.
//! Assigners added later observe sessions from scratch before they take over any leaf, which takes
//! longer than a term. A standby instance that replaces silent assigners takes over no leaf before
//! the promises of those assigners have ended.

use {
    crate::{
        assignment::{Assignment, AssignmentVersion, Holding},
        session::{owner_term, takeover_time},
    },
    std::collections::{BTreeMap, BTreeSet},
    wigeonramp_units::{InstanceId, Instant, Span},
};

/// A holder's request for a promise to one assigner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestedPromise {
    /// The holder.
    pub holder: InstanceId,
    /// The assigner. After a restart, its host refuses the request, because it is then another
    /// instance.
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
    /// The holder knows an older version than the assigner has adopted or has started to write.
    OlderAssignment,
    /// The assigner has not renewed its own session within the promise horizon, the time for which
    /// it gives promises without contact to the store.
    HorizonPassed,
    /// The term is longer than one session time.
    TermTooLong,
}

/// Promises that an assigner has given, and the takeovers that it has prepared, which exclude new
/// promises. Must be guarded by the same lock as the `Assigner`.
#[derive(Clone, Debug)]
pub struct PromiseIssuer {
    this_instance: InstanceId,
    session_time: Span,
    horizon: Span,
    // End of each promise, by holder.
    promised_until: BTreeMap<InstanceId, Instant>,
    // Instances from which a takeover has been prepared; they get no promises.
    prepared_takeovers: BTreeSet<InstanceId>,
    known_version: AssignmentVersion,
    // The highest version whose write was started and may take effect. Cleared once it or a higher
    // version is adopted, or once the write is known to have had no effect.
    pending_write: Option<AssignmentVersion>,
    is_assigner: bool,
}

impl PromiseIssuer {
    /// Creates an issuer without promises. It gives promises until `horizon` after the last renewal
    /// of the assigner's own session.
    pub fn new(this_instance: InstanceId, session_time: Span, horizon: Span) -> Self {
        Self {
            this_instance,
            session_time,
            horizon,
            promised_until: BTreeMap::new(),
            prepared_takeovers: BTreeSet::new(),
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
        self.is_assigner = assignment.is_assigner(&self.this_instance);
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

    /// Records that a write is known to have had no effect. It must be the only write sent since the
    /// last adopted version.
    pub fn on_write_without_effect(&mut self) {
        self.pending_write = None;
    }

    /// Grants or refuses `request`. `last_renewal` is when this assigner last renewed its own
    /// session.
    pub fn answer(
        &mut self,
        request: &RequestedPromise,
        last_renewal: Option<Instant>,
        now: Instant,
    ) -> PromiseAnswer {
        if let Some(refusal) = self.refusal(request, last_renewal, now) {
            return PromiseAnswer::Refused(refusal);
        }
        // Kept for longer than the term, on only part of which the holder relies, because the two
        // clocks may run at different rates.
        self.promised_until.insert(request.holder.clone(), now + takeover_time(request.term));
        PromiseAnswer::Granted
    }

    fn refusal(
        &self,
        request: &RequestedPromise,
        last_renewal: Option<Instant>,
        now: Instant,
    ) -> Option<PromiseRefusal> {
        if request.assigner != self.this_instance || !self.is_assigner {
            return Some(PromiseRefusal::NotAssigner);
        }
        if self.prepared_takeovers.contains(&request.holder) {
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

    /// Refuses further promises to `instance`, because a takeover from it is being prepared. A
    /// promise that is still open stays valid.
    pub fn prepare_takeover(&mut self, instance: &InstanceId) {
        self.prepared_takeovers.insert(instance.clone());
    }

    /// Allows promises to `instance` again, because it renewed its session before it was fenced (its
    /// session object deleted), so no takeover takes place.
    pub fn cancel_takeover(&mut self, instance: &InstanceId) {
        self.prepared_takeovers.remove(instance);
    }

    /// Instances from which a takeover has been prepared.
    pub fn prepared_takeovers(&self) -> impl Iterator<Item = &InstanceId> {
        self.prepared_takeovers.iter()
    }

    /// Whether a promise still protects the leaves of `instance` at `now`.
    pub fn has_open_promise(&self, instance: &InstanceId, now: Instant) -> bool {
        self.promised_until.get(instance).is_some_and(|until| now < *until)
    }

    /// Drops promises that have ended, and prepared takeovers from instances that neither hold a
    /// leaf nor have one to release. Prepared takeovers stay while the outcome of a write is unknown.
    pub fn prune(&mut self, assignment: &Assignment, now: Instant) {
        self.promised_until.retain(|_, until| now < *until);
        let is_involved = |id: &InstanceId| {
            let involves = |h: &Holding| h.instance == *id || h.from.as_ref() == Some(id);
            assignment.holdings.values().any(involves)
        };
        if self.pending_write.is_none() {
            self.prepared_takeovers.retain(is_involved);
        }
    }
}

/// Promises that a holder has obtained, and its current round of requests. A round asks all
/// assigners and succeeds only if all of them grant their promise.
#[derive(Clone, Debug, Default)]
pub struct PromiseRound {
    // The round whose answers are still awaited.
    open: Option<OpenRound>,
    // When the promises of the last complete round end.
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
    /// Begins a round, which replaces an open one, and returns the requests to send.
    pub fn begin(
        &mut self,
        holder: &InstanceId,
        assignment: &Assignment,
        term: Span,
        now: Instant,
    ) -> Vec<RequestedPromise> {
        let missing: BTreeSet<_> = assignment.assigner_ids().cloned().collect();
        let version = assignment.version;
        let request = |assigner: &InstanceId| RequestedPromise {
            holder: holder.clone(),
            assigner: assigner.clone(),
            known_version: version,
            term,
        };
        let requests = missing.iter().map(request).collect();
        self.open = Some(OpenRound { version, missing, began: now, term });
        requests
    }

    /// Records the answer to `request`, which belongs to the round that began at `began`. Answers
    /// to earlier rounds or for other versions are ignored. A refusal ends the round.
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

    /// Whether a round should begin. Promises are renewed in the second half of their term. A round
    /// that still misses answers is repeated after a quarter of the term, a refused one at once.
    pub fn is_due(&self, term: Span, now: Instant) -> bool {
        let is_waiting = self.open.as_ref().is_some_and(|round| now.since(round.began) < term / 4);
        let has_time_left = self.valid_until.is_some_and(|until| now + term / 2 < until);
        !is_waiting && !has_time_left
    }

    /// Time until which the holder may rely on the promises of all assigners. Their term counts from
    /// before the requests were sent, so that it ends here before it ends at any assigner.
    pub fn valid_until(&self) -> Option<Instant> {
        self.valid_until
    }

    /// Whether the promises are valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }
}
