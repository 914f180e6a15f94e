//! A holder's rights to send to its leaves, checked immediately before bytes are sent.

use {
    crate::{
        assignment::{Assignment, AssignmentVersion, Holding},
        handover::{IncomingHandovers, OutgoingHandovers, PendingRelease},
        promise::PromiseRound,
        session::Session,
    },
    wigeonramp_config::Document,
    wigeonramp_units::{InstanceId, Instant, LeafId, Span},
};

/// What a holder may send to a leaf, and why if that is nothing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RightsDecision {
    /// Everything that the leaf can handle.
    Full,
    /// One request at a time to a warm leaf on an existing connection, because neither the session
    /// nor promises are valid.
    WarmOnly,
    /// Nothing.
    None(NoRights),
}

/// Why nothing may be sent to a leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRights {
    /// No assignment or configuration is known yet.
    NothingKnown,
    /// In this instance's assignment the leaf has another holder or none.
    NotHolder,
    /// The old holder has not released the leaf yet.
    AwaitingRelease,
    /// The leaf was released to a new holder.
    Released,
    /// The leaf or its zone is out of service.
    TakenOut,
    /// Neither the store nor a peer has answered for too long.
    Stale,
    /// The session was never written, or it has ended.
    NoSession,
}

/// State of an instance as a holder, from which its rights follow.
#[derive(Clone, Debug)]
pub struct HolderState {
    /// The instance.
    pub instance: InstanceId,
    /// Its session.
    pub session: Session,
    /// Its requests for promises.
    pub promises: PromiseRound,
    /// Handovers to it.
    pub incoming: IncomingHandovers,
    /// Handovers from it.
    pub outgoing: OutgoingHandovers,
    last_contact: Option<Instant>,
    stale_after: Span,
}

impl HolderState {
    /// Creates the state of an instance that has had no contact with the store or a peer.
    pub fn new(instance: InstanceId, session: Session, stale_after: Span) -> Self {
        Self {
            instance,
            session,
            promises: PromiseRound::default(),
            incoming: IncomingHandovers::default(),
            outgoing: OutgoingHandovers::default(),
            last_contact: None,
            stale_after,
        }
    }

    /// Records that the store or a peer answered a call sent at `sent`. Unsolicited messages do not
    /// count: they may have waited in a buffer while the process was paused.
    pub fn record_contact(&mut self, sent: Instant) {
        self.last_contact = self.last_contact.max(Some(sent));
    }

    /// Sets the age of the last contact from which nothing more may be sent.
    pub fn set_stale_after(&mut self, stale_after: Span) {
        self.stale_after = stale_after;
    }

    /// Whether the last contact is too old, or there was none.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.last_contact.is_none_or(|contact| now.since(contact) >= self.stale_after)
    }

    /// Returns the rights to send to `leaf`, under this instance's assignment and configuration.
    pub fn rights(
        &self,
        leaf: &LeafId,
        assignment: &Assignment,
        document: &Document,
        now: Instant,
    ) -> RightsDecision {
        match self.denial(leaf, assignment, document, now) {
            Some(reason) => RightsDecision::None(reason),
            None if self.covered_until(now).is_some() => RightsDecision::Full,
            None => RightsDecision::WarmOnly,
        }
    }

    fn denial(
        &self,
        leaf: &LeafId,
        assignment: &Assignment,
        document: &Document,
        now: Instant,
    ) -> Option<NoRights> {
        if self.session.has_ended() || self.session.last_renewal().is_none() {
            return Some(NoRights::NoSession);
        }
        if self.is_stale(now) {
            return Some(NoRights::Stale);
        }
        let holding = assignment.holdings.get(leaf).filter(|h| h.instance == self.instance);
        let Some(holding) = holding else { return Some(NoRights::NotHolder) };
        if !document.in_service(leaf) {
            return Some(NoRights::TakenOut);
        }
        self.handover_denial(leaf, holding)
    }

    fn handover_denial(&self, leaf: &LeafId, holding: &Holding) -> Option<NoRights> {
        if self.outgoing.is_stopped(leaf, holding.epoch) {
            return Some(NoRights::Released);
        }
        let waits = holding.from.is_some() && !self.incoming.is_released(leaf, holding.epoch);
        waits.then_some(NoRights::AwaitingRelease)
    }

    fn covered_until(&self, now: Instant) -> Option<Instant> {
        let until = self.session.valid_until().max(self.promises.valid_until());
        until.filter(|until| now < *until && !self.session.has_ended())
    }

    /// Whether the session has expired, so that the instance depends on promises.
    pub fn in_doubt(&self, now: Instant) -> bool {
        !self.session.has_ended() && !self.session.is_valid(now)
    }

    /// Whether to begin a round of promises: the session has expired or is about to expire, and no
    /// round is in progress. Beginning early leaves no gap between the session and the promises.
    pub fn needs_promises(&self, now: Instant) -> bool {
        let term = self.session.session_time();
        let has_session = self.session.last_renewal().is_some() && !self.session.has_ended();
        has_session && !self.session.is_valid(now + term / 5) && self.promises.is_due(term, now)
    }

    /// Latest deadline of an attempt at a leaf: the end of the session or of the promises,
    /// whichever is later; if neither is valid, the time at which the last contact becomes too old;
    /// `now` if nothing may be sent.
    pub fn deadline_cap(&self, now: Instant) -> Instant {
        let contact = self.last_contact.filter(|_| !self.session.has_ended());
        let stale_at = contact.map(|contact| contact + self.stale_after);
        self.covered_until(now).or(stale_at).unwrap_or(now).max(now)
    }

    /// Returns the handovers to this instance that still wait for a release.
    pub fn pending_releases(&self, assignment: &Assignment) -> Vec<PendingRelease> {
        let pending = |(leaf, holding): (&LeafId, &Holding)| {
            let from = holding.from.clone()?;
            let waits = holding.instance == self.instance
                && !self.incoming.is_released(leaf, holding.epoch);
            let (leaf, epoch) = (leaf.clone(), holding.epoch);
            waits.then_some(PendingRelease { leaf, epoch, from })
        };
        assignment.holdings.iter().filter_map(pending).collect()
    }

    /// Highest assignment version up to which all handovers to this instance are finished. It is
    /// published in the session record.
    pub fn settled_version(&self, assignment: &Assignment) -> AssignmentVersion {
        let pending = self.pending_releases(assignment);
        let since = |release: &PendingRelease| assignment.holdings[&release.leaf].since_version;
        let first = pending.iter().map(since).min();
        first.map_or(assignment.version, |v| AssignmentVersion(v.0 - 1))
    }
}
