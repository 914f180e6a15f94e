//! What a holder may send to a leaf, checked immediately before bytes are sent.

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

/// What may be sent to a leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rights {
    /// Everything that the leaf bears.
    Full,
    /// One request at a time to a warm leaf on an existing connection.
    WarmOnly,
    /// Nothing.
    None(NoRights),
}

/// Why nothing may be sent to a leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRights {
    /// No assignment or configuration is known yet.
    NothingKnown,
    /// The own assignment names another holder, or none.
    NotHolder,
    /// The old holder has not released the leaf.
    AwaitingRelease,
    /// The leaf was released to a new holder.
    Released,
    /// The leaf or its zone is taken out.
    TakenOut,
    /// Neither store nor peers have been reached for too long.
    Stale,
    /// The session never began, was ended by an assigner or was closed.
    NoSession,
}

/// Everything that an instance's rights depend on.
#[derive(Clone, Debug)]
pub struct HolderRights {
    /// The instance.
    pub me: InstanceId,
    /// Its session.
    pub session: Session,
    /// Its promises from assigners.
    pub promises: PromiseRound,
    /// Hand-overs to it.
    pub incoming: IncomingHandovers,
    /// Hand-overs from it.
    pub outgoing: OutgoingHandovers,
    contact: Option<Instant>,
    stale_after: Span,
}

impl HolderRights {
    /// Rights of an instance that has had no contact.
    pub fn new(me: InstanceId, session: Session, stale_after: Span) -> Self {
        Self {
            me,
            session,
            promises: PromiseRound::default(),
            incoming: IncomingHandovers::default(),
            outgoing: OutgoingHandovers::default(),
            contact: None,
            stale_after,
        }
    }

    /// Store or peer answered a call that was sent at `sent`. Messages that arrive unasked do not
    /// count: they may have waited in a buffer while the process was paused.
    pub fn record_contact(&mut self, sent: Instant) {
        self.contact = self.contact.max(Some(sent));
    }

    /// Sets the age of the last contact at which nothing more is sent.
    pub fn set_stale_after(&mut self, stale_after: Span) {
        self.stale_after = stale_after;
    }

    /// Whether the last contact is too old.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.contact.is_none_or(|contact| now.since(contact) >= self.stale_after)
    }

    /// The rights on `leaf` under the own view of assignment and configuration.
    pub fn rights(
        &self,
        leaf: &LeafId,
        assignment: &Assignment,
        document: &Document,
        now: Instant,
    ) -> Rights {
        match self.obstacle(leaf, assignment, document, now) {
            Some(reason) => Rights::None(reason),
            None if self.covered_until(now).is_some() => Rights::Full,
            None => Rights::WarmOnly,
        }
    }

    fn obstacle(
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
        let holding = assignment.holdings.get(leaf).filter(|h| h.instance == self.me);
        let Some(holding) = holding else { return Some(NoRights::NotHolder) };
        if !document.in_service(leaf) {
            return Some(NoRights::TakenOut);
        }
        self.handover_obstacle(leaf, holding)
    }

    fn handover_obstacle(&self, leaf: &LeafId, holding: &Holding) -> Option<NoRights> {
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

    /// Whether the session has expired and promises are needed.
    pub fn in_doubt(&self, now: Instant) -> bool {
        !self.session.has_ended() && !self.session.is_valid(now)
    }

    /// Whether to begin a round of promises: the session has expired or is about to, and no round is
    /// under way. Asking a little early leaves no gap between session and promises.
    pub fn needs_promises(&self, now: Instant) -> bool {
        let term = self.session.session_time();
        let began = self.session.last_renewal().is_some() && !self.session.has_ended();
        began && !self.session.is_valid(now + term / 5) && self.promises.is_due(term, now)
    }

    /// Latest deadline that may be given to a leaf: the end of session or promises, or of the
    /// freshness when neither holds. It is `now` when nothing may be sent.
    pub fn deadline_cap(&self, now: Instant) -> Instant {
        let contact = self.contact.filter(|_| !self.session.has_ended());
        let fresh = contact.map(|contact| contact + self.stale_after);
        self.covered_until(now).or(fresh).unwrap_or(now).max(now)
    }

    /// Hand-overs to this instance that still wait for a release.
    pub fn pending_releases(&self, assignment: &Assignment) -> Vec<PendingRelease> {
        let ask = |(leaf, holding): (&LeafId, &Holding)| {
            let from = holding.from.clone()?;
            let waits =
                holding.instance == self.me && !self.incoming.is_released(leaf, holding.epoch);
            let (leaf, epoch) = (leaf.clone(), holding.epoch);
            waits.then_some(PendingRelease { leaf, epoch, from })
        };
        assignment.holdings.iter().filter_map(ask).collect()
    }

    /// Highest assignment version up to which all hand-overs to this instance are finished; goes
    /// into the session record.
    pub fn settled_version(&self, assignment: &Assignment) -> AssignmentVersion {
        let waiting = self.pending_releases(assignment);
        let since = |ask: &PendingRelease| assignment.holdings[&ask.leaf].since_version;
        let first = waiting.iter().map(since).min();
        first.map_or(assignment.version, |v| AssignmentVersion(v.0 - 1))
    }
}
