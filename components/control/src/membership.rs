//! Membership: which instances are live, leaving or silent, as one observer sees them.
//!
//! The observer times changes of the session counters on its own clock. The platform's host list
//! lags, so it can mark a host as leaving, but never ends a session.

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

/// Liveness of an instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Liveness {
    /// The instance renews its session.
    Live,
    /// The instance renews its session and is about to stop.
    Leaving,
    /// The session was not renewed for a session time.
    Silent,
    /// The session was not renewed for the takeover time.
    Expired,
}

/// An instance as the observer sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct InstanceView {
    /// The session as last read.
    pub session: SessionObject,
    /// When the observer last saw the session counter change, on its own clock.
    pub last_change: Instant,
    /// Whether a renewal was seen since the observation started.
    pub renewal_seen: bool,
    /// Liveness, derived from `last_change`, the leaving marks and the session time.
    pub liveness: Liveness,
}

impl InstanceView {
    /// Zone of the instance.
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

/// View of all sessions at one point in time.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MembershipView {
    /// When the last complete list of sessions was requested.
    pub listed_at: Option<Instant>,
    /// When the observation last started from scratch.
    pub observed_since: Instant,
    /// Instances with a session object.
    pub instances: BTreeMap<InstanceId, InstanceView>,
    /// Hosts that the platform listed earlier and no longer lists. A host that was never listed is
    /// not among them: it may be new, since the list lags.
    pub delisted_hosts: BTreeSet<HostId>,
}

impl MembershipView {
    /// Whether `instance` may be given leaves; see [`InstanceView::is_live`].
    pub fn is_live(&self, instance: &InstanceId) -> bool {
        self.instances.get(instance).is_some_and(InstanceView::is_live)
    }

    /// Whether the process of `instance` is known to have ended: its host runs a newer instance, or
    /// the platform no longer lists the host.
    pub fn has_ended(&self, instance: &InstanceId) -> bool {
        let host = instance.host();
        let is_newer = |(id, view): (&InstanceId, &InstanceView)| {
            id != instance && id.host() == host && view.is_live()
        };
        self.delisted_hosts.contains(&host) || self.instances.iter().any(is_newer)
    }
}

#[derive(Clone, Debug)]
struct ObservedSession {
    session: SessionObject,
    last_change: Instant,
    renewal_seen: bool,
}

/// Observer of all sessions.
#[derive(Clone, Debug)]
pub struct Membership {
    session_time: Span,
    sessions: BTreeMap<InstanceId, ObservedSession>,
    // The leaving mark of each host in the platform's host list.
    platform_hosts: BTreeMap<HostId, bool>,
    delisted_hosts: BTreeSet<HostId>,
    // Instances whose heartbeats announced that they are leaving.
    leaving: BTreeSet<InstanceId>,
    last_heartbeats: BTreeMap<InstanceId, Instant>,
    listed_at: Option<Instant>,
    observed_since: Instant,
}

impl Membership {
    /// Creates an observer that has seen no sessions yet.
    pub fn new(session_time: Span, now: Instant) -> Self {
        Self {
            session_time,
            sessions: BTreeMap::new(),
            platform_hosts: BTreeMap::new(),
            delisted_hosts: BTreeSet::new(),
            leaving: BTreeSet::new(),
            last_heartbeats: BTreeMap::new(),
            listed_at: None,
            observed_since: now,
        }
    }

    /// Sets the session time, from which liveness is derived.
    pub fn set_session_time(&mut self, session_time: Span) {
        self.session_time = session_time;
    }

    /// Records a complete list of sessions that was requested at `sent`. Ignores a list that
    /// arrives out of order. A gap of more than a session time between two lists counts as a store
    /// outage and restarts the observation.
    pub fn on_session_list(&mut self, sent: Instant, sessions: Vec<SessionObject>, now: Instant) {
        if self.listed_at.is_some_and(|listed| sent < listed) {
            return;
        }
        if self.listed_at.is_some_and(|listed| now.since(listed) > self.session_time) {
            self.restart_observation(now);
        }
        self.listed_at = Some(sent);
        let mut old = mem::take(&mut self.sessions);
        for session in sessions {
            let id = session.record.instance.clone();
            let observed = observe(old.remove(&id), session, now);
            self.sessions.insert(id, observed);
        }
        self.leaving.retain(|id| self.sessions.contains_key(id));
    }

    /// Restarts the observation of all sessions from scratch, after a store outage or when this
    /// instance becomes an assigner.
    pub fn restart_observation(&mut self, now: Instant) {
        self.observed_since = now;
        for observed in self.sessions.values_mut() {
            observed.last_change = now;
            observed.renewal_seen = false;
        }
    }

    /// Records the platform's host list.
    pub fn on_host_list(&mut self, hosts: Vec<ListedHost>) {
        let listed = hosts.into_iter().map(|host| (host.host, host.leaving)).collect();
        let old = mem::replace(&mut self.platform_hosts, listed);
        self.delisted_hosts.extend(old.into_keys());
        self.delisted_hosts.retain(|host| !self.platform_hosts.contains_key(host));
    }

    /// Records a heartbeat of `instance`.
    pub fn on_heartbeat(&mut self, instance: &InstanceId, leaving: bool, now: Instant) {
        self.last_heartbeats.insert(instance.clone(), now);
        if leaving {
            self.leaving.insert(instance.clone());
        }
        let retention = takeover_time(self.session_time) * 4;
        self.last_heartbeats.retain(|_, at| now.since(*at) < retention);
    }

    /// When the last heartbeat of `instance` arrived.
    pub fn last_heartbeat(&self, instance: &InstanceId) -> Option<Instant> {
        self.last_heartbeats.get(instance).copied()
    }

    /// Returns the view of all sessions at `now`.
    pub fn view(&self, now: Instant) -> MembershipView {
        let view = |(id, observed): (&InstanceId, &ObservedSession)| {
            let liveness = self.liveness(id, observed, now);
            let ObservedSession { session, last_change, renewal_seen } = observed.clone();
            (id.clone(), InstanceView { session, last_change, renewal_seen, liveness })
        };
        MembershipView {
            listed_at: self.listed_at,
            observed_since: self.observed_since,
            instances: self.sessions.iter().map(view).collect(),
            delisted_hosts: self.delisted_hosts.clone(),
        }
    }

    fn liveness(&self, id: &InstanceId, observed: &ObservedSession, now: Instant) -> Liveness {
        let record = &observed.session.record;
        let silence = now.since(observed.last_change);
        if silence >= takeover_time(self.session_time) {
            return Liveness::Expired;
        }
        if silence >= self.session_time {
            return Liveness::Silent;
        }
        let platform_leaving = self.platform_hosts.get(&record.host) == Some(&true);
        if record.leaving || platform_leaving || self.leaving.contains(id) {
            return Liveness::Leaving;
        }
        Liveness::Live
    }
}

fn observe(old: Option<ObservedSession>, session: SessionObject, now: Instant) -> ObservedSession {
    match old {
        Some(old) if old.session.record.counter == session.record.counter => {
            ObservedSession { session, ..old }
        }
        Some(_) => ObservedSession { session, last_change: now, renewal_seen: true },
        None => ObservedSession { session, last_change: now, renewal_seen: false },
    }
}
