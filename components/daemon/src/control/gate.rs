//! What the control threads and the data path share: this host's knowledge and rights, behind one
//! short lock.
//!
//! The lock is never held across a call, a parse of a document or a serialization. The lock of the
//! assigner's state is never taken while this one is held.

use {
    crate::{
        caller::handler::EntryChoice,
        clock,
        control::{
            changing::ChangingTime,
            directory::{Directory, KnownHost},
            waker::Wakers,
        },
        observe::Observer,
        view::{ClusterView, HostView},
    },
    parking_lot::{Condvar, Mutex, MutexGuard},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
    wigeonramp_config::{AdminState, Document},
    wigeonramp_control::{
        adoption::AdoptedVersion,
        assignment::{Assignment, AssignmentVersion},
        drain::DrainState,
        entry::{self, EntryHost, EntryView},
        heartbeat::Versions,
        rights::{HolderRights as RightsRules, Rights as RightsRule},
        session::{Session, takeover_time},
    },
    wigeonramp_serving::upstream::Rights,
    wigeonramp_telemetry::{
        metrics::Metrics,
        timeline::{NewEvent, Timeline},
    },
    wigeonramp_units::{
        BootId, CallerId, ConfigVersion, HostId, InstanceId, Instant, LeafId, Percent, Span, ZoneId,
    },
};

/// Who this host is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Identity {
    /// Its present start.
    pub boot: BootId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Its name.
    pub host: HostId,
    /// Name and start.
    pub instance: InstanceId,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where it stands.
    pub zone: ZoneId,
}

/// Knowledge and rights of this host.
pub struct Core {
    /// The adopted assignment.
    pub assignment: Option<Arc<Assignment>>,
    /// Which assignments were seen.
    pub assignments: AdoptedVersion<AssignmentVersion>,
    /// Which configurations were seen.
    pub configs: AdoptedVersion<ConfigVersion>,
    /// The adopted configuration; version 0 until one is known.
    pub document: Arc<Document>,
    /// State of the stop.
    pub drain: DrainState,
    /// Other hosts.
    pub hosts: Directory,
    /// Whether the session object says that this host is leaving.
    pub leaving_written: bool,
    /// Share of request workers in use.
    pub load: Percent,
    /// This host.
    pub me: Identity,
    /// Session, promises and hand-overs.
    pub rights: RightsRules,
    /// How long claims are remembered.
    pub retention: ChangingTime,
    /// The session time in force.
    pub session_time: ChangingTime,
    /// When the store last answered a call; the time before it was sent.
    pub store_contact: Option<Instant>,
}

impl Core {
    /// Versions that this host knows.
    pub fn versions(&self) -> Versions {
        let assignment = self.assignments.version().unwrap_or_default();
        Versions { config: self.document.version, assignment }
    }

    /// Whether this host is stopping.
    pub fn leaving(&self) -> bool {
        self.drain != DrainState::Serving
    }

    /// Whether this host is a named assigner.
    pub fn is_assigner(&self) -> bool {
        self.names_assigner(&self.me.instance)
    }

    /// Whether `instance` is a named assigner.
    pub fn names_assigner(&self, instance: &InstanceId) -> bool {
        self.assignment.as_ref().is_some_and(|assignment| assignment.is_assigner(instance))
    }

    /// Hosts that share the platform: those heard of late, or those that hold leaves if these are
    /// more. With 570 hosts and 3 heartbeats a second, fewer than a third are heard in time.
    pub fn host_count(&self, now: Instant) -> usize {
        let heard = self.hosts.fresh(self.silent_after(), now).count() + 1;
        let holdings = self.assignment.iter().flat_map(|assignment| assignment.holdings.values());
        heard.max(holdings.map(|holding| &holding.instance).collect::<BTreeSet<_>>().len())
    }

    /// This host as others know it.
    pub fn own(&self, now: Instant) -> KnownHost {
        KnownHost {
            caller_address: self.me.caller_address,
            heard: now,
            instance: self.me.instance.clone(),
            leaving: self.leaving(),
            load: self.load,
            operator_address: self.me.operator_address,
            peer_address: self.me.peer_address,
            versions: self.versions(),
            zone: self.me.zone.clone(),
        }
    }

    /// Age from which a silent host is no longer named to callers or asked by operators.
    pub fn silent_after(&self) -> Span {
        takeover_time(self.document.limits.session_time)
    }

    /// Hosts for the data path, this one included.
    pub fn host_views(&self, now: Instant) -> Vec<HostView> {
        let others = self.hosts.fresh(self.silent_after(), now).map(KnownHost::view);
        others.chain([self.own(now).view()]).collect()
    }

    /// Candidates for callers, this host included.
    pub fn entry_hosts(&self, now: Instant) -> Vec<EntryHost> {
        let zone_in = |zone: &ZoneId| {
            self.document.zones.get(zone).is_none_or(|zone| zone.state == AdminState::In)
        };
        let own = self.own(now);
        let others = self.hosts.fresh(self.silent_after(), now);
        others.chain([&own]).map(|host| host.entry(zone_in(&host.zone))).collect()
    }

    /// A session that has not been written yet, under a new start of the same host.
    pub fn restart(&mut self, boot: BootId, now: Instant) {
        let instance = InstanceId::new(&self.me.host, &boot);
        self.me.instance = instance.clone();
        self.me.boot = boot;
        let session = Session::new(self.session_time.shorter(now), now);
        let stale_after = self.document.limits.stale_after;
        self.rights = RightsRules::new(instance, session, stale_after);
    }
}

/// The shared state of all control threads.
pub struct Gate {
    ask_behind: AtomicBool,
    core: Mutex<Core>,
    /// Signalled when hosts or versions change.
    heard: Condvar,
    observer: Arc<Observer>,
    stopped: AtomicBool,
    wakers: Wakers,
}

impl Gate {
    /// A host that knows nothing and has no session.
    pub fn new(me: Identity, observer: Arc<Observer>) -> Self {
        let document = ClusterView::empty().document;
        let limits = &document.limits;
        let session = Session::new(limits.session_time, clock::now());
        let rights = RightsRules::new(me.instance.clone(), session, limits.stale_after);
        let retention = ChangingTime::new(limits.claim_retention);
        let session_time = ChangingTime::new(limits.session_time);
        let core = Core {
            assignment: None,
            assignments: AdoptedVersion::default(),
            configs: AdoptedVersion::default(),
            document,
            drain: DrainState::Serving,
            hosts: Directory::default(),
            leaving_written: false,
            load: Percent(0),
            me,
            rights,
            retention,
            session_time,
            store_contact: None,
        };
        Self {
            ask_behind: AtomicBool::new(false),
            core: Mutex::new(core),
            heard: Condvar::new(),
            observer,
            stopped: AtomicBool::new(false),
            wakers: Wakers::default(),
        }
    }

    /// The knowledge, for a short look or change.
    pub fn core(&self) -> MutexGuard<'_, Core> {
        self.core.lock()
    }

    /// Sets the bound addresses; before any thread starts.
    pub fn set_addresses(&self, caller: SocketAddr, peer: SocketAddr, operator: SocketAddr) {
        let me = &mut self.core().me;
        me.caller_address = caller;
        me.peer_address = peer;
        me.operator_address = operator;
    }

    /// The present instance of this host.
    pub fn instance(&self) -> InstanceId {
        self.core().me.instance.clone()
    }

    /// The adopted configuration; version 0 until one is known.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.core().document)
    }

    /// A peer answered a call that was sent at `sent`.
    pub fn peer_answered(&self, sent: Instant) {
        self.core().rights.record_contact(sent);
    }

    /// The store answered a call that was sent at `sent`.
    pub fn store_answered(&self, sent: Instant) {
        let mut core = self.core();
        core.rights.record_contact(sent);
        core.store_contact = core.store_contact.max(Some(sent));
    }

    /// Tells waiting operators that hosts or versions changed.
    pub fn hosts_changed(&self) {
        self.heard.notify_all();
    }

    /// Sends heartbeats soon to all hosts that are not known to have the adopted configuration.
    pub fn ask_behind(&self) {
        self.ask_behind.store(true, Ordering::Release);
        self.wakers.gossip.wake();
    }

    /// Whether `ask_behind` was called since the last look.
    pub fn take_ask_behind(&self) -> bool {
        self.ask_behind.swap(false, Ordering::AcqRel)
    }

    /// Waits until `done` gives a value, at most until `deadline`.
    pub fn wait_for<T>(
        &self,
        deadline: Instant,
        mut done: impl FnMut(&Core) -> Option<T>,
    ) -> Option<T> {
        let mut core = self.core();
        loop {
            if let Some(value) = done(&core) {
                return Some(value);
            }
            let left = clock::until(deadline);
            if left == Span::ZERO {
                return None;
            }
            self.heard.wait_for(&mut core, left.to_duration());
        }
    }

    /// Wake-up calls of the threads.
    pub fn wakers(&self) -> &Wakers {
        &self.wakers
    }

    /// The metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        self.observer.metrics()
    }

    /// The timeline of the process.
    pub fn timeline(&self) -> &Timeline {
        self.observer.timeline()
    }

    /// Records an event.
    pub fn record(&self, event: NewEvent) {
        self.timeline().record(event);
    }

    /// Ends all control threads.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.wakers.wake_all();
    }

    /// Whether the threads must end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// What may be sent to `leaf` at `now`.
    pub fn rights(&self, leaf: &LeafId, now: Instant) -> Rights {
        let core = self.core();
        let Some(assignment) = &core.assignment else { return Rights::None };
        match core.rights.rights(leaf, assignment, &core.document, now) {
            RightsRule::Full => Rights::Full,
            RightsRule::WarmOnly => Rights::WarmOnly,
            RightsRule::None(_) => Rights::None,
        }
    }

    /// Hosts for `caller`, in order of preference.
    pub fn entry_addresses(&self, caller: &CallerId) -> EntryChoice {
        let now = clock::now();
        let view = {
            let core = self.core();
            EntryView {
                hosts: core.entry_hosts(now),
                stale_after: core.silent_after(),
                lifetime: core.document.limits.entry_lifetime,
            }
        };
        let answer = entry::choose(&view, caller, None, now);
        EntryChoice { addresses: answer.addresses, lifetime: answer.lifetime }
    }
}
