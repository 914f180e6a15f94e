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
            host_directory::{HostDirectory, KnownHost},
            transitional::TransitionalSpan,
            wakers::Wakers,
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
pub struct HostIdentity {
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
pub struct HostState {
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
    pub hosts: HostDirectory,
    /// Whether the session object says that this host is leaving.
    pub leaving_written: bool,
    /// Share of request workers in use.
    pub load: Percent,
    /// This host.
    pub identity: HostIdentity,
    /// Session, promises and hand-overs.
    pub rights: RightsRules,
    /// How long claims are remembered.
    pub retention: TransitionalSpan,
    /// The session time in force.
    pub session_time: TransitionalSpan,
    /// When the store last answered a call; the time before it was sent.
    pub store_contact: Option<Instant>,
}

impl HostState {
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
        self.lists_as_assigner(&self.identity.instance)
    }

    /// Whether `instance` is a named assigner.
    pub fn lists_as_assigner(&self, instance: &InstanceId) -> bool {
        self.assignment.as_ref().is_some_and(|assignment| assignment.is_assigner(instance))
    }

    /// Hosts that share the platform: those heard of late, or those that hold leaves if these are
    /// more. With 570 hosts and 3 heartbeats a second, fewer than a third are heard in time.
    pub fn host_count(&self, now: Instant) -> usize {
        let heard = self.hosts.heard_within(self.silent_after(), now).count() + 1;
        let holdings = self.assignment.iter().flat_map(|assignment| assignment.holdings.values());
        heard.max(holdings.map(|holding| &holding.instance).collect::<BTreeSet<_>>().len())
    }

    /// This host as others know it.
    pub fn this_host(&self, now: Instant) -> KnownHost {
        KnownHost {
            caller_address: self.identity.caller_address,
            last_heard: now,
            instance: self.identity.instance.clone(),
            leaving: self.leaving(),
            load: self.load,
            operator_address: self.identity.operator_address,
            peer_address: self.identity.peer_address,
            versions: self.versions(),
            zone: self.identity.zone.clone(),
        }
    }

    /// Age from which a silent host is no longer named to callers or asked by operators.
    pub fn silent_after(&self) -> Span {
        takeover_time(self.document.limits.session_time)
    }

    /// Hosts for the data path, this one included.
    pub fn host_views(&self, now: Instant) -> Vec<HostView> {
        let others = self.hosts.heard_within(self.silent_after(), now).map(KnownHost::to_view);
        others.chain([self.this_host(now).to_view()]).collect()
    }

    /// Candidates for callers, this host included.
    pub fn entry_hosts(&self, now: Instant) -> Vec<EntryHost> {
        let zone_in = |zone: &ZoneId| {
            self.document.zones.get(zone).is_none_or(|zone| zone.state == AdminState::In)
        };
        let own = self.this_host(now);
        let others = self.hosts.heard_within(self.silent_after(), now);
        others.chain([&own]).map(|host| host.to_entry_host(zone_in(&host.zone))).collect()
    }

    /// A session that has not been written yet, under a new start of the same host.
    pub fn restart(&mut self, boot: BootId, now: Instant) {
        let instance = InstanceId::new(&self.identity.host, &boot);
        self.identity.instance = instance.clone();
        self.identity.boot = boot;
        let session = Session::new(self.session_time.lower_bound(now), now);
        let stale_after = self.document.limits.stale_after;
        self.rights = RightsRules::new(instance, session, stale_after);
    }
}

/// The shared state of all control threads.
pub struct SharedState {
    notify_outdated_hosts: AtomicBool,
    state: Mutex<HostState>,
    /// Signalled when hosts or versions change.
    heard: Condvar,
    observer: Arc<Observer>,
    stopped: AtomicBool,
    wakers: Wakers,
}

impl SharedState {
    /// A host that knows nothing and has no session.
    pub fn new(identity: HostIdentity, observer: Arc<Observer>) -> Self {
        let document = ClusterView::empty().document;
        let limits = &document.limits;
        let session = Session::new(limits.session_time, clock::now());
        let rights = RightsRules::new(identity.instance.clone(), session, limits.stale_after);
        let retention = TransitionalSpan::new(limits.claim_retention);
        let session_time = TransitionalSpan::new(limits.session_time);
        let state = HostState {
            assignment: None,
            assignments: AdoptedVersion::default(),
            configs: AdoptedVersion::default(),
            document,
            drain: DrainState::Serving,
            hosts: HostDirectory::default(),
            leaving_written: false,
            load: Percent(0),
            identity,
            rights,
            retention,
            session_time,
            store_contact: None,
        };
        Self {
            notify_outdated_hosts: AtomicBool::new(false),
            state: Mutex::new(state),
            heard: Condvar::new(),
            observer,
            stopped: AtomicBool::new(false),
            wakers: Wakers::default(),
        }
    }

    /// The knowledge, for a short look or change.
    pub fn lock(&self) -> MutexGuard<'_, HostState> {
        self.state.lock()
    }

    /// Sets the bound addresses; before any thread starts.
    pub fn set_addresses(&self, caller: SocketAddr, peer: SocketAddr, operator: SocketAddr) {
        let identity = &mut self.lock().identity;
        identity.caller_address = caller;
        identity.peer_address = peer;
        identity.operator_address = operator;
    }

    /// The present instance of this host.
    pub fn instance(&self) -> InstanceId {
        self.lock().identity.instance.clone()
    }

    /// The adopted configuration; version 0 until one is known.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.lock().document)
    }

    /// A peer answered a call that was sent at `sent`.
    pub fn record_peer_contact(&self, sent: Instant) {
        self.lock().rights.record_contact(sent);
    }

    /// The store answered a call that was sent at `sent`.
    pub fn record_store_contact(&self, sent: Instant) {
        let mut state = self.lock();
        state.rights.record_contact(sent);
        state.store_contact = state.store_contact.max(Some(sent));
    }

    /// Tells waiting operators that hosts or versions changed.
    pub fn notify_hosts_changed(&self) {
        self.heard.notify_all();
    }

    /// Sends heartbeats soon to all hosts that are not known to have the adopted configuration.
    pub fn notify_outdated_hosts(&self) {
        self.notify_outdated_hosts.store(true, Ordering::Release);
        self.wakers.gossip.wake();
    }

    /// Whether `notify_outdated_hosts` was called since the last look.
    pub fn take_outdated_request(&self) -> bool {
        self.notify_outdated_hosts.swap(false, Ordering::AcqRel)
    }

    /// Waits until `done` gives a value, at most until `deadline`.
    pub fn wait_for<T>(
        &self,
        deadline: Instant,
        mut done: impl FnMut(&HostState) -> Option<T>,
    ) -> Option<T> {
        let mut state = self.lock();
        loop {
            if let Some(value) = done(&state) {
                return Some(value);
            }
            let left = clock::until(deadline);
            if left == Span::ZERO {
                return None;
            }
            self.heard.wait_for(&mut state, left.to_duration());
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
        let state = self.lock();
        let Some(assignment) = &state.assignment else { return Rights::None };
        match state.rights.rights(leaf, assignment, &state.document, now) {
            RightsRule::Full => Rights::Full,
            RightsRule::WarmOnly => Rights::WarmOnly,
            RightsRule::None(_) => Rights::None,
        }
    }

    /// Hosts for `caller`, in order of preference.
    pub fn entry_addresses(&self, caller: &CallerId) -> EntryChoice {
        let now = clock::now();
        let view = {
            let state = self.lock();
            EntryView {
                hosts: state.entry_hosts(now),
                stale_after: state.silent_after(),
                lifetime: state.document.limits.entry_lifetime,
            }
        };
        let answer = entry::choose(&view, caller, None, now);
        EntryChoice { addresses: answer.addresses, lifetime: answer.lifetime }
    }
}
