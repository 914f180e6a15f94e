//! An instance's lease on its right to hold leaves.
//!
//! Only the instance itself writes its session object, always conditional on the revision of its last
//! write. An assigner deletes the object, conditional on the revision it observed, before it moves
//! the instance's leaves. A renewal and that deletion exclude each other, so an instance whose
//! session was deleted can never renew it: it is fenced, and goes on under a new boot id.

use {
    crate::{assignment::AssignmentVersion, backoff::jittered},
    rand::Rng,
    serde::{Deserialize, Serialize},
    std::{collections::BTreeMap, net::SocketAddr},
    wigeonramp_units::{BootId, ConfigVersion, HostId, InstanceId, Instant, Percent, Span, ZoneId},
};

/// Share of a term that its owner relies on, in hundredths; the rest covers clock rates that differ
/// by up to 1% on each side.
const TRUSTED_PERCENT: u64 = 98;
/// Silence after which a session may be taken over, in hundredths of the session time.
const TAKEOVER_PERCENT: u64 = 125;

/// The part of `term` that its owner relies on.
pub(crate) const fn trusted(term: Span) -> Span {
    term.percent(TRUSTED_PERCENT)
}

/// Silence, on the observer's clock, after which an instance's leaves may be taken over.
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
    /// The zone it stands in.
    pub zone: ZoneId,
    /// Where other hosts connect.
    pub peer_address: SocketAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Rises with each renewal.
    pub counter: u64,
    /// Whether the instance is about to stop.
    pub leaving: bool,
    /// Configuration that the instance adopted.
    pub config_version: ConfigVersion,
    /// Share of request workers in use.
    pub load_percent: Percent,
    /// All hand-overs to this instance up to this assignment version are finished.
    pub settled: AssignmentVersion,
}

impl SessionRecord {
    /// The object key of `instance`'s session.
    pub fn key(instance: &InstanceId) -> String {
        format!("session/{instance}")
    }
}

/// One renewal to write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Renewal {
    /// Counter to write.
    pub counter: u64,
    /// When the renewal was decided, before it was sent.
    pub sent: Instant,
}

/// What reading the own session object showed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadBack {
    /// The object holds a renewal that had not been confirmed before.
    Renewed,
    /// The unconfirmed renewal has not taken effect so far.
    NotYet,
    /// An assigner deleted the session; the process needs a new boot id.
    Fenced,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    Open,
    Fenced,
    Closed,
}

/// The owner's side of a session.
#[derive(Clone, Debug)]
pub struct Session {
    time: Span,
    phase: Phase,
    counter: u64,
    confirmed: Option<u64>,
    valid_from: Option<Instant>,
    unconfirmed: BTreeMap<u64, Instant>,
    due: Instant,
}

impl Session {
    /// A session that has not been written yet; its first renewal is due at once.
    pub fn new(session_time: Span, now: Instant) -> Self {
        Self {
            time: session_time,
            phase: Phase::Open,
            counter: 0,
            confirmed: None,
            valid_from: None,
            unconfirmed: BTreeMap::new(),
            due: now,
        }
    }

    /// Sets the session time; also applies to the renewals that are confirmed already.
    pub fn set_session_time(&mut self, session_time: Span) {
        self.time = session_time;
    }

    /// Starts a renewal; the next one falls due a third of the session time later, with jitter.
    pub fn start_renewal(&mut self, now: Instant, rng: &mut impl Rng) -> Renewal {
        self.counter += 1;
        self.unconfirmed.insert(self.counter, now);
        self.due = now + jittered(self.time / 3, rng);
        Renewal { counter: self.counter, sent: now }
    }

    /// The write of `counter` took effect. Does nothing for a fenced or closed session.
    pub fn confirm_renewal(&mut self, counter: u64, sent: Instant, now: Instant) {
        if self.phase != Phase::Open || sent > now {
            return;
        }
        self.unconfirmed.retain(|other, _| *other > counter);
        self.confirmed = self.confirmed.max(Some(counter));
        self.valid_from = self.valid_from.max(Some(sent));
    }

    /// The object was read, after a lost answer or a conflict; `found` is the counter in it.
    pub fn read_back(&mut self, found: Option<u64>, now: Instant) -> ReadBack {
        if self.phase != Phase::Open {
            return ReadBack::Fenced;
        }
        match found {
            Some(counter) if Some(counter) < self.confirmed => self.fence(),
            Some(counter) => self.found(counter, now),
            None if self.confirmed.is_some() || self.first_write_is_old(now) => self.fence(),
            None => ReadBack::NotYet,
        }
    }

    fn found(&mut self, counter: u64, now: Instant) -> ReadBack {
        let Some(sent) = self.unconfirmed.get(&counter).copied() else { return ReadBack::NotYet };
        self.confirm_renewal(counter, sent, now);
        ReadBack::Renewed
    }

    // A first write of unknown fate may have taken effect and been fenced since then.
    fn first_write_is_old(&self, now: Instant) -> bool {
        self.unconfirmed.values().next().is_some_and(|sent| now.since(*sent) > self.time)
    }

    fn fence(&mut self) -> ReadBack {
        self.phase = Phase::Fenced;
        ReadBack::Fenced
    }

    /// Ends the session before its object is deleted at a graceful stop.
    pub fn close(&mut self) {
        self.phase = Phase::Closed;
    }

    /// Whether an assigner ended the session; the process needs a new boot id.
    pub fn is_fenced(&self) -> bool {
        self.phase == Phase::Fenced
    }

    /// Whether the session ended for good, by an assigner or by a graceful stop.
    pub fn has_ended(&self) -> bool {
        self.phase != Phase::Open
    }

    /// When the last confirmed renewal was sent.
    pub fn last_renewal(&self) -> Option<Instant> {
        self.valid_from
    }

    /// When the session expires; `None` before the first renewal and after the end.
    pub fn valid_until(&self) -> Option<Instant> {
        if self.has_ended() {
            return None;
        }
        self.valid_from.map(|from| from + trusted(self.time))
    }

    /// Whether the session is valid at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// How long the session lasts without renewal.
    pub fn session_time(&self) -> Span {
        self.time
    }

    /// When the next renewal falls due.
    pub fn next_renewal(&self) -> Instant {
        self.due
    }
}
