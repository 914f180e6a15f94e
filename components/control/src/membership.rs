//! Which instances are live, leaving or silent.
//!
//! Session counters are timed on the observer's own clock. The platform's host list lags, so it can
//! show that a host is leaving, but never ends a session.

use {
    crate::session::{SessionRecord, takeover_time},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
    },
    wigeonramp_units::{HostId, InstanceId, Instant, Revision, Span, ZoneId},
};

/// One session object as read from the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SessionObject {
    /// Its body.
    pub record: SessionRecord,
    /// Its revision.
    pub revision: Revision,
}

/// One row of the platform's host list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// The host.
    pub host: HostId,
    /// Whether the platform is about to stop it.
    pub leaving: bool,
}

/// Condition of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// Renews its session.
    Live,
    /// Renews its session and is about to stop.
    Leaving,
    /// Has not renewed for a session time.
    Silent,
    /// Has not renewed for the takeover time.
    Expired,
}

/// An instance as the observer sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceView {
    /// The session as last read.
    pub session: SessionObject,
    /// When the counter was last seen to change, on the observer's clock.
    pub last_change: Instant,
    /// Whether a renewal was seen since observation started.
    pub renewal_seen: bool,
    /// The condition that follows from `changed`.
    pub liveness: Liveness,
}

impl InstanceView {
    /// The zone of the instance.
    pub fn zone(&self) -> &ZoneId {
        &self.session.record.zone
    }

    /// Whether the instance renews its session, leaving or not.
    pub fn is_renewing(&self) -> bool {
        matches!(self.liveness, Liveness::Live | Liveness::Leaving)
    }

    /// Whether the instance may be given leaves: a renewal was seen, and it is not leaving.
    pub fn is_live(&self) -> bool {
        self.renewal_seen && self.liveness == Liveness::Live
    }
}

/// All sessions at one point in time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MembershipView {
    /// When the last complete list of sessions was asked for.
    pub listed_at: Option<Instant>,
    /// When observation last started from scratch.
    pub observed_since: Instant,
    /// Instances with a session object.
    pub instances: BTreeMap<InstanceId, InstanceView>,
    /// Hosts that the platform listed before and lists no longer. A host that was never listed may
    /// be new, since the list lags.
    pub delisted_hosts: BTreeSet<HostId>,
}

impl MembershipView {
    /// Whether `instance` renews its session and is not leaving.
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        self.instances.get(instance).is_some_and(InstanceView::is_live)
    }

    /// Whether the process of `instance` is known to have ended: its host runs a newer instance, or
    /// the platform no longer lists the host.
    pub fn has_ended(&self, instance: &InstanceId) -> bool {
        let host = instance.host();
        let other = |(id, view): (&InstanceId, &InstanceView)| {
            id != instance && id.host() == host && view.is_live()
        };
        self.delisted_hosts.contains(&host) || self.instances.iter().any(other)
    }
}

#[derive(Clone, Debug)]
struct Observed {
    seen: SessionObject,
    changed: Instant,
    renewed: bool,
}

/// The observer of all sessions.
#[derive(Clone, Debug)]
pub struct Membership {
    session_time: Span,
    sessions: BTreeMap<InstanceId, Observed>,
    platform: BTreeMap<HostId, bool>,
    unlisted: BTreeSet<HostId>,
    leaving: BTreeSet<InstanceId>,
    heard: BTreeMap<InstanceId, Instant>,
    listed: Option<Instant>,
    restarted: Instant,
}

impl Membership {
    /// An observer that has seen nothing.
    pub fn new(session_time: Span, now: Instant) -> Self {
        Self {
            session_time,
            sessions: BTreeMap::new(),
            platform: BTreeMap::new(),
            unlisted: BTreeSet::new(),
            leaving: BTreeSet::new(),
            heard: BTreeMap::new(),
            listed: None,
            restarted: now,
        }
    }

    /// Sets the session time that silence is compared with.
    pub fn set_session_time(&mut self, session_time: Span) {
        self.session_time = session_time;
    }

    /// A complete list of sessions, asked for at `sent`. A gap of a session time between two lists
    /// counts as an outage; lists that arrive out of order are ignored.
    pub fn on_session_list(&mut self, sent: Instant, sessions: Vec<SessionObject>, now: Instant) {
        if self.listed.is_some_and(|listed| sent < listed) {
            return;
        }
        if self.listed.is_some_and(|listed| now.since(listed) > self.session_time) {
            self.restart_observation(now);
        }
        self.listed = Some(sent);
        let mut old = mem::take(&mut self.sessions);
        for seen in sessions {
            let id = seen.record.instance.clone();
            let observed = observe(old.remove(&id), seen, now);
            self.sessions.insert(id, observed);
        }
        self.leaving.retain(|id| self.sessions.contains_key(id));
    }

    /// Starts all observations from scratch: after a store outage, or with the assigner role.
    pub fn restart_observation(&mut self, now: Instant) {
        self.restarted = now;
        for observed in self.sessions.values_mut() {
            observed.changed = now;
            observed.renewed = false;
        }
    }

    /// The platform's host list.
    pub fn on_host_list(&mut self, hosts: Vec<ListedHost>) {
        let listed = hosts.into_iter().map(|row| (row.host, row.leaving)).collect();
        let old = mem::replace(&mut self.platform, listed);
        self.unlisted.extend(old.into_keys());
        self.unlisted.retain(|host| !self.platform.contains_key(host));
    }

    /// A heartbeat of `instance`.
    pub fn on_heartbeat(&mut self, instance: &InstanceId, leaving: bool, now: Instant) {
        self.heard.insert(instance.clone(), now);
        if leaving {
            self.leaving.insert(instance.clone());
        }
        let keep = takeover_time(self.session_time) * 4;
        self.heard.retain(|_, heard| now.since(*heard) < keep);
    }

    /// When `instance` was last heard by a heartbeat.
    pub fn last_heartbeat(&self, instance: &InstanceId) -> Option<Instant> {
        self.heard.get(instance).copied()
    }

    /// The condition of all instances.
    pub fn view(&self, now: Instant) -> MembershipView {
        let view = |(id, observed): (&InstanceId, &Observed)| {
            let liveness = self.liveness(id, observed, now);
            let (seen, changed) = (observed.seen.clone(), observed.changed);
            (
                id.clone(),
                InstanceView {
                    session: seen,
                    last_change: changed,
                    renewal_seen: observed.renewed,
                    liveness,
                },
            )
        };
        MembershipView {
            listed_at: self.listed,
            observed_since: self.restarted,
            instances: self.sessions.iter().map(view).collect(),
            delisted_hosts: self.unlisted.clone(),
        }
    }

    fn liveness(&self, id: &InstanceId, observed: &Observed, now: Instant) -> Liveness {
        let record = &observed.seen.record;
        let quiet = now.since(observed.changed);
        if quiet >= takeover_time(self.session_time) {
            return Liveness::Expired;
        }
        if quiet >= self.session_time {
            return Liveness::Silent;
        }
        let platform = self.platform.get(&record.host);
        if record.leaving || platform == Some(&true) || self.leaving.contains(id) {
            return Liveness::Leaving;
        }
        Liveness::Live
    }
}

fn observe(old: Option<Observed>, seen: SessionObject, now: Instant) -> Observed {
    match old {
        Some(old) if old.seen.record.counter == seen.record.counter => Observed { seen, ..old },
        Some(_) => Observed { seen, changed: now, renewed: true },
        None => Observed { seen, changed: now, renewed: false },
    }
}
