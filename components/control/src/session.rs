//! Sessions: an instance's lease on its right to hold leaves.
//!
//! Only the instance itself writes its session object, always conditional on the revision of its
//! last write. An assigner deletes the object, conditional on the revision it observed, before it
//! moves the instance's leaves. At most one of a renewal and such a deletion can succeed, so an
//! instance whose session was deleted can never renew it: the instance is fenced and continues
//! under a new boot id.

use {
    crate::{assignment::AssignmentVersion, backoff::jittered},
    rand::Rng,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
    wigeonramp_units::{BootId, ConfigVersion, HostId, InstanceId, Instant, Percent, Span, ZoneId},
};

/// Part of a term, in percent, during which its owner relies on it. The rest covers clock rates
/// that are off by up to 1% on each side.
const OWNER_TERM_PERCENT: u64 = 98;
/// Time without a renewal after which a session may be taken over, in percent of the session time.
const TAKEOVER_PERCENT: u64 = 125;

/// The part of `term` during which its owner relies on it.
pub(crate) const fn owner_term(term: Span) -> Span {
    term.percent(OWNER_TERM_PERCENT)
}

/// Time without a renewal, on the observer's clock, after which an instance's leaves may be taken
/// over.
pub const fn takeover_time(session_time: Span) -> Span {
    session_time.percent(TAKEOVER_PERCENT)
}

/// Body of the object `session/<host>@<boot>`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SessionRecord {
    /// The instance that owns the session.
    pub instance: InstanceId,
    /// Its host.
    pub host: HostId,
    /// Its boot.
    pub boot: BootId,
    /// Its zone.
    pub zone: ZoneId,
    /// Address at which other hosts connect.
    pub peer_address: SocketAddr,
    /// Address at which callers connect.
    pub caller_address: SocketAddr,
    /// Address at which operators connect.
    pub operator_address: SocketAddr,
    /// Incremented with each renewal.
    pub counter: u64,
    /// Whether the instance is about to stop.
    pub leaving: bool,
    /// Version of the configuration that the instance adopted.
    pub config_version: ConfigVersion,
    /// Share of the query limit in use.
    pub load_percent: Percent,
    /// Assignment version up to which all handovers to this instance are finished.
    pub settled: AssignmentVersion,
}

impl SessionRecord {
    /// The store key of the session object of `instance`.
    pub fn key(instance: &InstanceId) -> String {
        format!("session/{instance}")
    }
}

/// One renewal to write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Renewal {
    /// Counter to write.
    pub counter: u64,
    /// When the renewal was prepared, before the write was sent.
    pub sent: Instant,
}

/// Result of reading back the session object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadBack {
    /// A renewal that was unconfirmed so far has taken effect.
    Renewed,
    /// The unconfirmed renewal has not taken effect yet.
    NotYet,
    /// The session has ended, usually because an assigner deleted it. The process needs a new boot
    /// id.
    Fenced,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Open,
    Fenced,
    Closed,
}

/// A session, as its owner tracks it.
#[derive(Clone, Debug)]
pub struct Session {
    session_time: Span,
    phase: Phase,
    counter: u64,
    confirmed: Option<u64>,
    last_renewal: Option<Instant>,
    // When each unconfirmed renewal was sent, by its counter.
    unconfirmed: BTreeMap<u64, Instant>,
    next_renewal: Instant,
}

impl Session {
    /// Creates a session that has not been written yet; its first renewal is due at once.
    pub fn new(session_time: Span, now: Instant) -> Self {
        Self {
            session_time,
            phase: Phase::Open,
            counter: 0,
            confirmed: None,
            last_renewal: None,
            unconfirmed: BTreeMap::new(),
            next_renewal: now,
        }
    }

    /// Sets the session time, also for renewals that are already confirmed.
    pub fn set_session_time(&mut self, session_time: Span) {
        self.session_time = session_time;
    }

    /// Starts a renewal. The next one is due a third of the session time later, with jitter.
    pub fn start_renewal(&mut self, now: Instant, rng: &mut impl Rng) -> Renewal {
        self.counter += 1;
        self.unconfirmed.insert(self.counter, now);
        self.next_renewal = now + jittered(self.session_time / 3, rng);
        Renewal { counter: self.counter, sent: now }
    }

    /// Records that the renewal with `counter`, sent at `sent`, took effect. Does nothing if the
    /// session has ended.
    pub fn confirm_renewal(&mut self, counter: u64, sent: Instant, now: Instant) {
        if self.phase != Phase::Open || sent > now {
            return;
        }
        self.unconfirmed.retain(|other, _| *other > counter);
        self.confirmed = self.confirmed.max(Some(counter));
        self.last_renewal = self.last_renewal.max(Some(sent));
    }

    /// Records the counter `found` in the session object, which was read after a conflict or a lost
    /// response; `None` if the object does not exist.
    pub fn read_back(&mut self, found: Option<u64>, now: Instant) -> ReadBack {
        if self.phase != Phase::Open {
            return ReadBack::Fenced;
        }
        match found {
            Some(counter) if Some(counter) < self.confirmed => self.fence(),
            Some(counter) => self.confirm_found(counter, now),
            None if self.confirmed.is_some() || self.first_write_may_be_fenced(now) => self.fence(),
            None => ReadBack::NotYet,
        }
    }

    fn confirm_found(&mut self, counter: u64, now: Instant) -> ReadBack {
        let Some(sent) = self.unconfirmed.get(&counter).copied() else { return ReadBack::NotYet };
        self.confirm_renewal(counter, sent, now);
        ReadBack::Renewed
    }

    // A first write whose response was lost may have taken effect and then been fenced.
    fn first_write_may_be_fenced(&self, now: Instant) -> bool {
        self.unconfirmed.values().next().is_some_and(|sent| now.since(*sent) > self.session_time)
    }

    fn fence(&mut self) -> ReadBack {
        self.phase = Phase::Fenced;
        ReadBack::Fenced
    }

    /// Ends the session at a graceful stop, before its object is deleted.
    pub fn close(&mut self) {
        self.phase = Phase::Closed;
    }

    /// Whether an assigner ended the session; the process needs a new boot id.
    pub fn is_fenced(&self) -> bool {
        self.phase == Phase::Fenced
    }

    /// Whether the session has ended, by an assigner or by a graceful stop.
    pub fn has_ended(&self) -> bool {
        self.phase != Phase::Open
    }

    /// When the last confirmed renewal was sent.
    pub fn last_renewal(&self) -> Option<Instant> {
        self.last_renewal
    }

    /// When the session expires; `None` before the first renewal and after the end.
    pub fn valid_until(&self) -> Option<Instant> {
        if self.has_ended() {
            return None;
        }
        self.last_renewal.map(|sent| sent + owner_term(self.session_time))
    }

    /// Whether the session is valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// How long the session lasts without a renewal.
    pub fn session_time(&self) -> Span {
        self.session_time
    }

    /// When the next renewal is due.
    pub fn next_renewal(&self) -> Instant {
        self.next_renewal
    }
}
