//! State that the control threads and the data path share: this host's view of the cluster and its
//! rights, behind one lock.
//!
//! The lock is held only briefly, never during a call, the parsing of a document or a
//! serialization. The lock of the assigner's state is never taken while this one is held.

use {
    crate::{
        caller::handler::EntryAddressList,
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
        rights::{HolderState, RightsDecision},
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

/// Identity of this host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostIdentity {
    /// Boot id of the current process.
    pub boot: BootId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Name of the host.
    pub host: HostId,
    /// Name of the host and boot id.
    pub instance: InstanceId,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Availability zone of the host.
    pub zone: ZoneId,
}

/// This host's view of the cluster and its rights.
pub struct HostState {
    /// The adopted assignment.
    pub assignment: Option<Arc<Assignment>>,
    /// Version and digest of the adopted assignment.
    pub assignment_adoption: AdoptedVersion<AssignmentVersion>,
    /// Version and digest of the adopted configuration.
    pub config_adoption: AdoptedVersion<ConfigVersion>,
    /// The adopted configuration; version 0 until one is known.
    pub document: Arc<Document>,
    /// State of the graceful stop.
    pub drain: DrainState,
    /// Other hosts.
    pub hosts: HostDirectory,
    /// Whether the session object says that this host is leaving.
    pub leaving_written: bool,
    /// Share of the query limit in use.
    pub load: Percent,
    /// This host.
    pub identity: HostIdentity,
    /// Session, promises and handovers.
    pub rights: HolderState,
    /// Retention time of claims.
    pub retention: TransitionalSpan,
    /// Session time.
    pub session_time: TransitionalSpan,
    /// Time at which the last call that the store answered was sent.
    pub store_contact: Option<Instant>,
}

impl HostState {
    /// Versions of the adopted configuration and assignment.
    pub fn versions(&self) -> Versions {
        let assignment = self.assignment_adoption.version().unwrap_or_default();
        Versions { config: self.document.version, assignment }
    }

    /// Whether this host is stopping.
    pub fn is_leaving(&self) -> bool {
        self.drain != DrainState::Serving
    }

    /// Whether the assignment lists this instance as an assigner.
    pub fn is_assigner(&self) -> bool {
        self.lists_as_assigner(&self.identity.instance)
    }

    /// Whether the assignment lists `instance` as an assigner.
    pub fn lists_as_assigner(&self, instance: &InstanceId) -> bool {
        self.assignment.as_ref().is_some_and(|assignment| assignment.is_assigner(instance))
    }

    /// Number of hosts that share the platform: the hosts heard from recently, or the holders in
    /// the assignment if there are more of these. With 570 hosts and 3 heartbeats a second, fewer
    /// than a third of the hosts are heard from in time.
    pub fn host_count(&self, now: Instant) -> usize {
        let heard = self.hosts.heard_within(self.silent_after(), now).count() + 1;
        let holdings = self.assignment.iter().flat_map(|assignment| assignment.holdings.values());
        heard.max(holdings.map(|holding| &holding.instance).collect::<BTreeSet<_>>().len())
    }

    /// This host as other hosts see it.
    pub fn this_host(&self, now: Instant) -> KnownHost {
        KnownHost {
            caller_address: self.identity.caller_address,
            last_heard: now,
            instance: self.identity.instance.clone(),
            leaving: self.is_leaving(),
            load: self.load,
            operator_address: self.identity.operator_address,
            peer_address: self.identity.peer_address,
            versions: self.versions(),
            zone: self.identity.zone.clone(),
        }
    }

    /// Age of the last report after which a host is silent: callers are no longer directed to it,
    /// confirmations do not wait for it, and the status omits it.
    pub fn silent_after(&self) -> Span {
        takeover_time(self.document.limits.session_time)
    }

    /// Hosts for the data path, including this one.
    pub fn host_views(&self, now: Instant) -> Vec<HostView> {
        let others = self.hosts.heard_within(self.silent_after(), now).map(KnownHost::to_view);
        others.chain([self.this_host(now).to_view()]).collect()
    }

    /// Hosts that callers may be directed to, including this one.
    pub fn entry_hosts(&self, now: Instant) -> Vec<EntryHost> {
        let in_service = |zone: &ZoneId| {
            self.document.zones.get(zone).is_none_or(|zone| zone.state == AdminState::In)
        };
        let this_host = self.this_host(now);
        let others = self.hosts.heard_within(self.silent_after(), now);
        others.chain([&this_host]).map(|host| host.to_entry_host(in_service(&host.zone))).collect()
    }

    /// Continues under a new boot id, with a session that is not written yet.
    pub fn restart(&mut self, boot: BootId, now: Instant) {
        let instance = InstanceId::new(&self.identity.host, &boot);
        self.identity.instance = instance.clone();
        self.identity.boot = boot;
        let session = Session::new(self.session_time.lower_bound(now), now);
        let stale_after = self.document.limits.stale_after;
        self.rights = HolderState::new(instance, session, stale_after);
    }
}

/// State shared by all control threads and the data path.
pub struct SharedState {
    /// Whether the next round of heartbeats goes to all hosts without the adopted configuration.
    outdated_requested: AtomicBool,
    state: Mutex<HostState>,
    /// Notified when hosts or versions change.
    hosts_changed: Condvar,
    observer: Arc<Observer>,
    stopped: AtomicBool,
    wakers: Wakers,
}

impl SharedState {
    /// Creates the state of a host without configuration, assignment and session.
    pub fn new(identity: HostIdentity, observer: Arc<Observer>) -> Self {
        let document = ClusterView::empty().document;
        let limits = &document.limits;
        let session = Session::new(limits.session_time, clock::now());
        let rights = HolderState::new(identity.instance.clone(), session, limits.stale_after);
        let retention = TransitionalSpan::new(limits.claim_retention);
        let session_time = TransitionalSpan::new(limits.session_time);
        let state = HostState {
            assignment: None,
            assignment_adoption: AdoptedVersion::default(),
            config_adoption: AdoptedVersion::default(),
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
            outdated_requested: AtomicBool::new(false),
            state: Mutex::new(state),
            hosts_changed: Condvar::new(),
            observer,
            stopped: AtomicBool::new(false),
            wakers: Wakers::default(),
        }
    }

    /// Locks the state. The guard must be held only briefly.
    pub fn lock(&self) -> MutexGuard<'_, HostState> {
        self.state.lock()
    }

    /// Sets the bound addresses; called before any thread starts.
    pub fn set_addresses(&self, caller: SocketAddr, peer: SocketAddr, operator: SocketAddr) {
        let identity = &mut self.lock().identity;
        identity.caller_address = caller;
        identity.peer_address = peer;
        identity.operator_address = operator;
    }

    /// Current instance of this host.
    pub fn instance(&self) -> InstanceId {
        self.lock().identity.instance.clone()
    }

    /// The adopted configuration; version 0 until one is known.
    pub fn document(&self) -> Arc<Document> {
        Arc::clone(&self.lock().document)
    }

    /// Records that a peer answered a call sent at `sent`.
    pub fn record_peer_contact(&self, sent: Instant) {
        self.lock().rights.record_contact(sent);
    }

    /// Records that the store answered a call sent at `sent`.
    pub fn record_store_contact(&self, sent: Instant) {
        let mut state = self.lock();
        state.rights.record_contact(sent);
        state.store_contact = state.store_contact.max(Some(sent));
    }

    /// Wakes the threads in [`Self::wait_for`] after hosts or versions changed.
    pub fn notify_hosts_changed(&self) {
        self.hosts_changed.notify_all();
    }

    /// Requests heartbeats to all hosts that have not reported the adopted configuration.
    pub fn notify_outdated_hosts(&self) {
        self.outdated_requested.store(true, Ordering::Release);
        self.wakers.gossip.wake();
    }

    /// Returns and clears the request of [`Self::notify_outdated_hosts`].
    pub fn take_outdated_request(&self) -> bool {
        self.outdated_requested.swap(false, Ordering::AcqRel)
    }

    /// Waits until `done` returns a value, at most until `deadline`.
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
            let remaining = clock::until(deadline);
            if remaining == Span::ZERO {
                return None;
            }
            self.hosts_changed.wait_for(&mut state, remaining.to_duration());
        }
    }

    /// Wakers of the control threads.
    pub fn wakers(&self) -> &Wakers {
        &self.wakers
    }

    /// Metrics of the process.
    pub fn metrics(&self) -> &Metrics {
        self.observer.metrics()
    }

    /// Timeline of the process.
    pub fn timeline(&self) -> &Timeline {
        self.observer.timeline()
    }

    /// Records an event in the timeline.
    pub fn record(&self, event: NewEvent) {
        self.timeline().record(event);
    }

    /// Tells all control threads to end.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Release);
        self.wakers.wake_all();
    }

    /// Whether the control threads have to end.
    pub fn is_stopped(&self) -> bool {
        self.stopped.load(Ordering::Acquire)
    }

    /// What may be sent to `leaf` at `now`.
    pub fn rights(&self, leaf: &LeafId, now: Instant) -> Rights {
        let state = self.lock();
        let Some(assignment) = &state.assignment else { return Rights::None };
        match state.rights.rights(leaf, assignment, &state.document, now) {
            RightsDecision::Full => Rights::Full,
            RightsDecision::WarmOnly => Rights::WarmOnly,
            RightsDecision::None(_) => Rights::None,
        }
    }

    /// Hosts for `caller`, in order of preference.
    pub fn entry_addresses(&self, caller: &CallerId) -> EntryAddressList {
        let now = clock::now();
        let view = {
            let state = self.lock();
            EntryView {
                hosts: state.entry_hosts(now),
                stale_after: state.silent_after(),
                lifetime: state.document.limits.entry_lifetime,
            }
        };
        let choice = entry::choose(&view, caller, None, now);
        EntryAddressList { addresses: choice.addresses, lifetime: choice.lifetime }
    }
}
