//! State and event loop of a host.

use {
    crate::{
        callers::{CallerConn, ClientLimits},
        clock,
        gossip::Gossip,
        journal::Journal,
        link_probes::Probe,
        metrics::Metrics,
        peers::Peers,
        quotas::QuotaState,
        relays::Relay,
        replicated::ReplicatedState,
        requests::{EndedAttempt, Request},
        sock::{self, READ_BYTES},
        stopping::Stopping,
        store::StoreClient,
        timers::Timers,
        upstreams::Upstreams,
    },
    mio::{Events, Interest, Poll, Token, event::Event, net::TcpListener},
    rand::{SeedableRng, rngs::SmallRng},
    serde_json::json,
    signal_hook::consts::{SIGHUP, SIGTERM},
    slab::Slab,
    std::{
        collections::VecDeque,
        io::ErrorKind,
        path::{Path, PathBuf},
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
    wigeonramp_platform::settings::{NodeSettings, SettingsError},
    wigeonramp_routing::{
        catalog::ActiveCatalog,
        follow::{Origin, OriginSelector},
        leaves::Leaves,
        limits::LeafLimits,
        members::{MemberInfo, Membership, OwnState},
        poison::PoisonList,
        quotas::Quotas,
        reconcile::Reconciler,
        releases::Releases,
        state::RoutingState,
    },
    wigeonramp_units::{Instant, Span},
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of events per poll.
const MAX_EVENTS: usize = 256;
/// Interval of the sweep, which handles everything without its own timer.
const SWEEP_INTERVAL: Span = Span::millis(200);
/// Interval of the sweep while the host seeks an origin to receive changes from, may have lost its
/// links to leaves, or stops.
const URGENT_SWEEP_INTERVAL: Span = Span::millis(50);
/// CPU time of an attempt and its response, including its share of all other work.
const ATTEMPT_COST: Span = Span(60);
/// Serial numbers of requests for permits per millisecond of the incarnation number.
const SERIALS_PER_INCARNATION: u64 = 1_000;
/// Maximum number of retries to listen on a port that an earlier process still holds.
const MAX_LISTEN_RETRIES: u32 = 20;
/// Pause between these retries.
const LISTEN_RETRY_PAUSE: Span = Span::millis(100);

/// Error that keeps a host from starting or ends it.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings could not be loaded.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// A socket, the event queue or a signal handler failed.
    #[error("{what}: {source}")]
    System {
        /// What failed.
        what: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
}

/// Source of an event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EventSource {
    /// A listener.
    Listener(usize),
    /// A connection from a caller, or to an endpoint of the host itself.
    Caller(usize),
    /// A connection to a leaf.
    Leaf(usize),
    /// A connection to the store.
    Store(usize),
    /// A stream to or from another host.
    Peer(usize),
    /// The socket for datagrams from other hosts.
    Datagrams,
    /// The listener for streams from other hosts.
    PeerListener,
    /// A connection that shows whether a leaf can be reached.
    Probe(usize),
    /// A connection to another host, which a request is passed on to.
    Relay(usize),
}

/// Number of low bits of a token that hold the kind of source; the others hold the index.
const KIND_BITS: u32 = 4;

impl EventSource {
    pub fn token(self) -> Token {
        let (kind, index) = match self {
            EventSource::Listener(index) => (0, index),
            EventSource::Caller(index) => (1, index),
            EventSource::Leaf(index) => (2, index),
            EventSource::Store(index) => (3, index),
            EventSource::Peer(index) => (4, index),
            EventSource::Datagrams => (5, 0),
            EventSource::PeerListener => (6, 0),
            EventSource::Probe(index) => (7, index),
            EventSource::Relay(index) => (8, index),
        };
        Token(index << KIND_BITS | kind)
    }

    fn from_token(token: Token) -> Option<Self> {
        let index = token.0 >> KIND_BITS;
        match token.0 & ((1 << KIND_BITS) - 1) {
            0 => Some(EventSource::Listener(index)),
            1 => Some(EventSource::Caller(index)),
            2 => Some(EventSource::Leaf(index)),
            3 => Some(EventSource::Store(index)),
            4 => Some(EventSource::Peer(index)),
            5 => Some(EventSource::Datagrams),
            6 => Some(EventSource::PeerListener),
            7 => Some(EventSource::Probe(index)),
            8 => Some(EventSource::Relay(index)),
            _ => None,
        }
    }
}

/// Purpose of a listener.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ListenerPurpose {
    /// Callers' requests.
    Requests,
    /// Resolve and readiness requests to the host itself.
    Endpoints,
    /// Metrics.
    Metrics,
}

/// A host: its state and event loop.
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) settings_path: PathBuf,
    pub(crate) poll: Poll,
    pub(crate) scratch: Vec<u8>,
    pub(crate) listeners: Vec<(TcpListener, ListenerPurpose)>,
    pub(crate) callers: Slab<CallerConn>,
    pub(crate) clients: ClientLimits,
    pub(crate) upstreams: Upstreams,
    pub(crate) probes: Slab<Probe>,
    pub(crate) relays: Slab<Relay>,
    pub(crate) requests: Slab<Request>,
    pub(crate) ended_attempts: VecDeque<EndedAttempt>,
    /// Keys and serial numbers of requests that wait for permits.
    pub(crate) awaiting_permits: Vec<(usize, u64)>,
    pub(crate) quota_state: QuotaState,
    pub(crate) timers: Timers,
    pub(crate) routing: RoutingState,
    pub(crate) active_catalog: ActiveCatalog,
    pub(crate) poison: PoisonList,
    pub(crate) members: Membership,
    pub(crate) gossip: Gossip,
    pub(crate) peers: Peers,
    pub(crate) peer_listener: TcpListener,
    pub(crate) origin_selector: OriginSelector,
    pub(crate) replicated: ReplicatedState,
    pub(crate) reconciler: Reconciler,
    pub(crate) started: Instant,
    pub(crate) store: StoreClient,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    pub(crate) rng: SmallRng,
    pub(crate) serial: u64,
    pub(crate) now: Instant,
    pub(crate) stopping: Option<Stopping>,
    stop_signal: Arc<AtomicBool>,
    reload_signal: Arc<AtomicBool>,
    pub(crate) next_sweep: Instant,
    pub(crate) next_limit_usage: Instant,
}

fn system_result<T>(what: &str, result: std::io::Result<T>) -> Result<T, RunError> {
    result.map_err(|source| RunError::System { what: what.to_owned(), source })
}

impl Node {
    /// Loads the settings and opens all listeners.
    pub fn start(settings_path: &Path) -> Result<Self, RunError> {
        let settings = NodeSettings::load(settings_path)?;
        let now = clock::now();
        let poll = system_result("event queue", Poll::new())?;
        let seed = xxh3_64(settings.host.as_str().as_bytes()) ^ clock::wall().0 ^ now.0;
        let mut rng = SmallRng::seed_from_u64(seed);
        let own = MemberInfo {
            ip: settings.ip,
            zone: settings.zone.clone(),
            incarnation: clock::wall().0,
            heartbeat: 0,
            ready: false,
            leaving: false,
            rate: 0.0,
            load: 0.0,
            capacity: settings.capacity,
            store_failing: false,
            links_lost: false,
            age: Span::ZERO,
        };
        let mut leaves = Leaves::new(settings.zone.clone());
        leaves.set_regions(settings.regions.clone());
        let first_serial = own.incarnation * SERIALS_PER_INCARNATION;
        let limits = LeafLimits::new(settings.ip, first_serial);
        let quotas = Quotas::new(settings.ip, first_serial, settings.accounts, now);
        let routing = RoutingState::new(
            leaves,
            limits,
            Releases::new(settings.ip, settings.releases, first_serial),
            settings.extra_attempts,
            SmallRng::from_rng(&mut rng),
        );
        let gossip = system_result("datagrams between hosts", Gossip::open(&settings, &poll, now))?;
        let peer_address = (settings.ip, settings.peer_port).into();
        let mut peer_listener = system_result("streams between hosts", sock::listen(peer_address))?;
        let registered = poll.registry().register(
            &mut peer_listener,
            EventSource::PeerListener.token(),
            Interest::READABLE,
        );
        system_result("event queue", registered)?;
        let mut members = Membership::new(own, now);
        // A seed is assumed to be in this host's zone until its first heartbeat.
        for seed in &settings.seeds {
            members.add_by_address(*seed, settings.zone.clone());
        }
        let mut node = Self {
            settings_path: settings_path.to_owned(),
            poll,
            scratch: vec![0; READ_BYTES],
            listeners: Vec::new(),
            callers: Slab::new(),
            clients: ClientLimits::new(&settings, now),
            upstreams: Upstreams::default(),
            probes: Slab::new(),
            relays: Slab::new(),
            requests: Slab::new(),
            ended_attempts: VecDeque::new(),
            awaiting_permits: Vec::new(),
            quota_state: QuotaState::new(quotas),
            timers: Timers::default(),
            routing,
            active_catalog: ActiveCatalog::new(),
            poison: PoisonList::default(),
            members,
            gossip,
            peers: Peers::default(),
            peer_listener,
            origin_selector: OriginSelector::new(now),
            replicated: ReplicatedState::new(settings.releases.is_some()),
            reconciler: Reconciler::default(),
            started: now,
            store: StoreClient::new(settings.store_address, settings.releases.is_some(), now),
            journal: Journal::new(settings.host.to_string()),
            metrics: Metrics::new(),
            rng,
            serial: 0,
            now,
            stopping: None,
            stop_signal: Arc::default(),
            reload_signal: Arc::default(),
            next_sweep: now,
            next_limit_usage: now,
            settings,
        };
        node.listen()?;
        node.register_signals()?;
        let fields =
            json!({ "zone": node.settings.zone, "incarnation": node.members.own().incarnation });
        node.journal.record("started", fields, now);
        Ok(node)
    }

    fn listen(&mut self) -> Result<(), RunError> {
        let addresses = [
            (self.settings.caller_address, ListenerPurpose::Requests),
            (self.settings.directory_address, ListenerPurpose::Endpoints),
            (self.settings.readiness_address, ListenerPurpose::Endpoints),
            ((self.settings.ip, crate::metrics::PORT).into(), ListenerPurpose::Metrics),
        ];
        for (address, purpose) in addresses {
            let mut retries = 0;
            let mut listener = loop {
                match sock::listen(address) {
                    Err(err)
                        if err.kind() == ErrorKind::AddrInUse && retries < MAX_LISTEN_RETRIES =>
                    {
                        retries += 1;
                        std::thread::sleep(LISTEN_RETRY_PAUSE.to_duration());
                    }
                    result => break system_result(&format!("listen on {address}"), result)?,
                }
            };
            let token = EventSource::Listener(self.listeners.len()).token();
            let registered =
                self.poll.registry().register(&mut listener, token, Interest::READABLE);
            system_result("event queue", registered)?;
            self.listeners.push((listener, purpose));
        }
        Ok(())
    }

    fn register_signals(&mut self) -> Result<(), RunError> {
        let stop = signal_hook::flag::register(SIGTERM, self.stop_signal.clone());
        system_result("signals", stop)?;
        let reload = signal_hook::flag::register(SIGHUP, self.reload_signal.clone());
        system_result("signals", reload)?;
        Ok(())
    }

    /// Serves until a signal stops the host.
    pub fn run(&mut self) -> Result<(), RunError> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        loop {
            self.now = clock::now();
            self.run_due_work();
            if self.is_stopped() {
                self.journal.record("stopped", json!({}), self.now);
                self.journal.flush();
                return Ok(());
            }
            self.journal.flush();
            let timeout = self.next_due().since(clock::now());
            match self.poll.poll(&mut events, Some(timeout.to_duration())) {
                Err(err) if err.kind() != ErrorKind::Interrupted => {
                    return system_result("event queue", Err(err));
                }
                _ => {}
            }
            self.now = clock::now();
            for event in &events {
                self.on_event(event);
                self.process_ended_attempts();
            }
        }
    }

    fn on_event(&mut self, event: &Event) {
        match EventSource::from_token(event.token()) {
            Some(EventSource::Listener(index)) => self.accept(index),
            Some(EventSource::Caller(key)) => self.on_caller(key, event),
            Some(EventSource::Leaf(key)) => self.on_leaf(key),
            Some(EventSource::Store(index)) => self.on_store(index),
            Some(EventSource::Peer(key)) => self.on_peer(key),
            Some(EventSource::Datagrams) => self.on_datagrams(),
            Some(EventSource::PeerListener) => self.accept_peers(),
            Some(EventSource::Probe(key)) => self.on_link_probe(key),
            Some(EventSource::Relay(key)) => self.on_relay(key),
            None => {}
        }
    }

    /// Processes ended attempts, including those that end while this runs.
    pub(crate) fn process_ended_attempts(&mut self) {
        while let Some(ended) = self.ended_attempts.pop_front() {
            self.on_attempt_ended(ended);
        }
    }

    fn run_due_work(&mut self) {
        if self.stop_signal.swap(false, Ordering::Relaxed) {
            self.start_stopping();
        }
        if self.reload_signal.swap(false, Ordering::Relaxed) {
            self.reload();
        }
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.on_timer(timer);
            self.process_ended_attempts();
        }
        self.resume_clients();
        self.propagate_changes();
        self.start_due_calls();
        self.send_due_heartbeat();
        self.send_limit_messages();
        self.send_quota_messages();
        self.advance_releases();
        if self.now >= self.next_sweep {
            let is_urgent = self.stopping.is_some()
                || self.origin_selector.origin() == Origin::Nobody
                || self.origin_selector.is_outdated()
                || self.routing.links.is_in_doubt();
            self.next_sweep =
                self.now + if is_urgent { URGENT_SWEEP_INTERVAL } else { SWEEP_INTERVAL };
            self.sweep();
            self.process_ended_attempts();
        }
    }

    /// Propagates changes of the replicated state to other hosts.
    fn propagate_changes(&mut self) {
        if !std::mem::take(&mut self.replicated.unsent_changes) {
            return;
        }
        let was_ready = self.members.own().ready;
        self.refresh_shares();
        let became_ready = !was_ready && self.members.own().ready;
        let is_candidate = self.members.is_candidate(self.now);
        if self.origin_selector.origin() == Origin::Store || (became_ready && is_candidate) {
            self.announce_state();
        }
        self.update_followers();
    }

    fn sweep(&mut self) {
        self.check_store_health();
        self.select_origin();
        self.send_keepalives();
        self.sweep_callers();
        self.sweep_requests();
        self.sweep_upstreams();
        self.sweep_links();
        self.sweep_relays();
        self.sweep_leaves();
        self.sweep_releases();
        self.report_limited_sends();
        self.report_quotas();
        self.advance_stop();
        self.refresh_shares();
        for change in self.routing.overload_changes() {
            let fields = json!({
                "first_shard": change.first_shard, "taken": change.admitted_share,
                "late": change.late_share,
            });
            self.journal.record("overload", fields, self.now);
        }
    }

    fn next_due(&self) -> Instant {
        let watches_store = self.origin_selector.origin() == Origin::Store;
        let store = self.store.next_at(watches_store);
        let heartbeat = Some(self.gossip.next_at());
        let messages =
            [self.next_limit_message(), self.next_quota_message(), self.next_release_work()];
        let due = [self.timers.next_at(), store, heartbeat, self.clients.next_at()];
        due.into_iter().chain(messages).flatten().fold(self.next_sweep, Instant::min)
    }

    /// Whether the host can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping.is_none()
            && self.active_catalog.current().is_some()
            && self.replicated.is_complete()
    }

    /// Updates this host's advertised state and the shares of traffic that follow from it.
    pub(crate) fn refresh_shares(&mut self) {
        let (rate, attempts) = self.metrics.rates(self.now);
        self.members.set_own(OwnState {
            ready: self.is_ready(),
            leaving: self.stopping.is_some(),
            rate,
            load: attempts * ATTEMPT_COST.0 as f64 / 1e6,
            store_failing: self.store.is_failing(),
            links_lost: self.routing.links.is_lost(),
        });
        self.routing.traffic_share = self.members.traffic_share(self.now);
        self.routing.cold_share = self.members.cold_share(self.now);
        self.upstreams.hosts = Some(self.members.host_counts(self.now));
    }

    /// Reloads the settings file. The limits and seeds take effect; addresses of a running process
    /// do not change.
    fn reload(&mut self) {
        match NodeSettings::load(&self.settings_path) {
            Ok(settings) => {
                self.routing.extra_attempt_limit = settings.extra_attempts;
                self.settings.stop_grace = settings.stop_grace;
                self.settings.accounts = settings.accounts;
                self.quota_state.quotas.set_bounds(settings.accounts);
                for seed in &settings.seeds {
                    self.members.add_by_address(*seed, settings.zone.clone());
                }
                self.journal.record("reloaded", json!({}), self.now);
            }
            Err(err) => {
                let fields = json!({ "error": err.to_string(), "kept": "settings in force" });
                self.journal.record("reload_failed", fields, self.now);
            }
        }
    }
}
