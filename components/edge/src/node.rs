//! The host: its state and its loop.

use {
    crate::{
        callers::CallerConn,
        clock,
        gossip::Gossip,
        journal::Journal,
        known::Known,
        metrics::Metrics,
        peers::Peers,
        requests::{Ended, Request},
        sock::{self, READ_BYTES},
        stopping::Stopping,
        store::StoreSide,
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
        members::{MemberInfo, Membership, OwnState},
        poison::PoisonList,
        state::RoutingState,
    },
    wigeonramp_units::{Instant, Span},
    xxhash_rust::xxh3::xxh3_64,
};

/// Events taken from the system at a time.
const EVENTS: usize = 256;
/// Time between looks at everything that has no timer of its own.
const SWEEP_EVERY: Span = Span::millis(200);
/// The same while the host has nowhere to learn of changes.
const SEARCH_EVERY: Span = Span::millis(50);
/// Processor time of a send and its answer, with its share of everything else.
const SEND_COST: Span = Span(60);
/// A port that an earlier process still holds is tried again for this long.
const LISTEN_TRIES: u32 = 20;
/// Pause between tries to listen.
const LISTEN_PAUSE: Span = Span::millis(100);

/// Why a host ends other than by a signal.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The settings cannot be used.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// An address or the event queue cannot be had.
    #[error("{what}: {source}")]
    System {
        /// What was tried.
        what: String,
        /// What the system said.
        source: std::io::Error,
    },
}

/// What an event belongs to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// A listener.
    Listener(usize),
    /// A connection of a caller, or of whoever asks the host itself.
    Caller(usize),
    /// A connection to a leaf.
    Leaf(usize),
    /// A connection to the store.
    Store(usize),
    /// A stream between hosts.
    Peer(usize),
    /// Datagrams of other hosts.
    Datagrams,
    /// The listener for streams between hosts.
    PeerListener,
}

const KIND_BITS: u32 = 3;

impl Source {
    pub fn token(self) -> Token {
        let (kind, index) = match self {
            Source::Listener(index) => (0, index),
            Source::Caller(index) => (1, index),
            Source::Leaf(index) => (2, index),
            Source::Store(index) => (3, index),
            Source::Peer(index) => (4, index),
            Source::Datagrams => (5, 0),
            Source::PeerListener => (6, 0),
        };
        Token(index << KIND_BITS | kind)
    }

    fn of(token: Token) -> Option<Self> {
        let index = token.0 >> KIND_BITS;
        match token.0 & ((1 << KIND_BITS) - 1) {
            0 => Some(Source::Listener(index)),
            1 => Some(Source::Caller(index)),
            2 => Some(Source::Leaf(index)),
            3 => Some(Source::Store(index)),
            4 => Some(Source::Peer(index)),
            5 => Some(Source::Datagrams),
            6 => Some(Source::PeerListener),
            _ => None,
        }
    }
}

/// What a listener is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Purpose {
    /// Requests of callers.
    Requests,
    /// Questions to the host itself.
    Questions,
    /// Metrics.
    Metrics,
}

/// One host.
pub struct Node {
    pub(crate) settings: NodeSettings,
    pub(crate) settings_path: PathBuf,
    pub(crate) poll: Poll,
    pub(crate) scratch: Vec<u8>,
    pub(crate) listeners: Vec<(TcpListener, Purpose)>,
    pub(crate) callers: Slab<CallerConn>,
    pub(crate) upstreams: Upstreams,
    pub(crate) requests: Slab<Request>,
    pub(crate) ended: VecDeque<Ended>,
    pub(crate) timers: Timers,
    pub(crate) traffic: RoutingState,
    pub(crate) adoption: ActiveCatalog,
    pub(crate) poison: PoisonList,
    pub(crate) members: Membership,
    pub(crate) gossip: Gossip,
    pub(crate) peers: Peers,
    pub(crate) peer_listener: TcpListener,
    pub(crate) following: OriginSelector,
    pub(crate) known: Known,
    pub(crate) started: Instant,
    pub(crate) store: StoreSide,
    pub(crate) journal: Journal,
    pub(crate) metrics: Metrics,
    pub(crate) rng: SmallRng,
    pub(crate) serial: u64,
    pub(crate) now: Instant,
    pub(crate) stopping: Option<Stopping>,
    stop_signal: Arc<AtomicBool>,
    reload_signal: Arc<AtomicBool>,
    next_sweep: Instant,
}

fn system<T>(what: &str, result: std::io::Result<T>) -> Result<T, RunError> {
    result.map_err(|source| RunError::System { what: what.to_owned(), source })
}

impl Node {
    /// Reads the settings and opens all addresses.
    pub fn start(settings_path: &Path) -> Result<Self, RunError> {
        let settings = NodeSettings::load(settings_path)?;
        let now = clock::now();
        let poll = system("event queue", Poll::new())?;
        let seed = xxh3_64(settings.host.as_str().as_bytes()) ^ clock::wall().0 ^ now.0;
        let mut rng = SmallRng::seed_from_u64(seed);
        let own = MemberInfo {
            ip: settings.ip,
            zone: settings.zone.clone(),
            incarnation: clock::wall().0,
            beat: 0,
            ready: false,
            leaving: false,
            rate: 0.0,
            load: 0.0,
            capacity: settings.capacity,
            blind: false,
            age: Span::ZERO,
        };
        let mut leaves = Leaves::new(settings.zone.clone());
        leaves.set_regions(settings.regions.clone());
        let traffic =
            RoutingState::new(leaves, settings.extra_attempts, SmallRng::from_rng(&mut rng));
        let gossip = system("datagrams between hosts", Gossip::open(&settings, &poll, now))?;
        let peer_address = (settings.ip, settings.peer_port).into();
        let mut peer_listener = system("streams between hosts", sock::listen(peer_address))?;
        let added = poll.registry().register(
            &mut peer_listener,
            Source::PeerListener.token(),
            Interest::READABLE,
        );
        system("event queue", added)?;
        let mut members = Membership::new(own, now);
        for seed in &settings.seeds {
            members.listed(*seed, settings.zone.clone());
        }
        let mut node = Self {
            settings_path: settings_path.to_owned(),
            poll,
            scratch: vec![0; READ_BYTES],
            listeners: Vec::new(),
            callers: Slab::new(),
            upstreams: Upstreams::default(),
            requests: Slab::new(),
            ended: VecDeque::new(),
            timers: Timers::default(),
            traffic,
            adoption: ActiveCatalog::new(),
            poison: PoisonList::default(),
            members,
            gossip,
            peers: Peers::default(),
            peer_listener,
            following: OriginSelector::new(now),
            known: Known::default(),
            started: now,
            store: StoreSide::new(settings.store_address, now),
            journal: Journal::new(settings.host.to_string()),
            metrics: Metrics::new(),
            rng,
            serial: 0,
            now,
            stopping: None,
            stop_signal: Arc::default(),
            reload_signal: Arc::default(),
            next_sweep: now,
            settings,
        };
        node.listen()?;
        node.take_signals()?;
        let fields =
            json!({ "zone": node.settings.zone, "incarnation": node.members.own().incarnation });
        node.journal.line("started", fields, now);
        Ok(node)
    }

    fn listen(&mut self) -> Result<(), RunError> {
        let addresses = [
            (self.settings.caller_address, Purpose::Requests),
            (self.settings.directory_address, Purpose::Questions),
            (self.settings.readiness_address, Purpose::Questions),
            ((self.settings.ip, crate::metrics::PORT).into(), Purpose::Metrics),
        ];
        for (address, purpose) in addresses {
            let mut tries = 0;
            let mut listener = loop {
                match sock::listen(address) {
                    Err(err) if err.kind() == ErrorKind::AddrInUse && tries < LISTEN_TRIES => {
                        tries += 1;
                        std::thread::sleep(LISTEN_PAUSE.to_duration());
                    }
                    result => break system(&format!("listen on {address}"), result)?,
                }
            };
            let token = Source::Listener(self.listeners.len()).token();
            let added = self.poll.registry().register(&mut listener, token, Interest::READABLE);
            system("event queue", added)?;
            self.listeners.push((listener, purpose));
        }
        Ok(())
    }

    fn take_signals(&mut self) -> Result<(), RunError> {
        let stop = signal_hook::flag::register(SIGTERM, self.stop_signal.clone());
        system("signals", stop)?;
        let reload = signal_hook::flag::register(SIGHUP, self.reload_signal.clone());
        system("signals", reload)?;
        Ok(())
    }

    /// Serves until a signal stops the process.
    pub fn run(&mut self) -> Result<(), RunError> {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            self.now = clock::now();
            self.do_due_work();
            if self.is_stopped() {
                self.journal.line("stopped", json!({}), self.now);
                self.journal.flush();
                return Ok(());
            }
            self.journal.flush();
            let wait = self.next_due().since(clock::now());
            match self.poll.poll(&mut events, Some(wait.to_duration())) {
                Err(err) if err.kind() != ErrorKind::Interrupted => {
                    return system("event queue", Err(err));
                }
                _ => {}
            }
            self.now = clock::now();
            for event in &events {
                self.on_event(event);
                self.settle();
            }
        }
    }

    fn on_event(&mut self, event: &Event) {
        match Source::of(event.token()) {
            Some(Source::Listener(index)) => self.accept(index),
            Some(Source::Caller(key)) => self.on_caller(key, event.is_writable()),
            Some(Source::Leaf(key)) => self.on_leaf(key),
            Some(Source::Store(index)) => self.on_store(index),
            Some(Source::Peer(key)) => self.on_peer(key),
            Some(Source::Datagrams) => self.on_datagrams(),
            Some(Source::PeerListener) => self.accept_peers(),
            None => {}
        }
    }

    /// Carries out what follows from ended sends, until nothing follows any more.
    pub(crate) fn settle(&mut self) {
        while let Some(ended) = self.ended.pop_front() {
            self.on_ended(ended);
        }
    }

    fn do_due_work(&mut self) {
        if self.stop_signal.swap(false, Ordering::Relaxed) {
            self.begin_stop();
        }
        if self.reload_signal.swap(false, Ordering::Relaxed) {
            self.reload();
        }
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.on_timer(timer);
            self.settle();
        }
        self.pass_on();
        self.drive_store();
        self.drive_gossip();
        if self.now >= self.next_sweep {
            let searching = self.following.origin() == Origin::Nobody;
            self.next_sweep = self.now + if searching { SEARCH_EVERY } else { SWEEP_EVERY };
            self.sweep();
            self.settle();
        }
    }

    /// Passes on what this host has learned.
    fn pass_on(&mut self) {
        if !std::mem::take(&mut self.known.to_tell) {
            return;
        }
        let was_ready = self.members.own().ready;
        self.refresh_shares();
        let now_ready = !was_ready && self.members.own().ready;
        let is_candidate = self.members.is_candidate(self.now);
        if self.following.origin() == Origin::Store || (now_ready && is_candidate) {
            self.send_notice();
        }
        self.tell_followers();
    }

    fn sweep(&mut self) {
        self.drive_following();
        self.keep_followers();
        self.sweep_callers();
        self.sweep_requests();
        self.sweep_upstreams();
        self.sweep_leaves();
        self.drive_stop();
        self.refresh_shares();
        for change in self.traffic.overload_changes() {
            let fields = json!({
                "first_shard": change.first_shard, "taken": change.taken, "late": change.late,
            });
            self.journal.line("overload", fields, self.now);
        }
    }

    fn next_due(&self) -> Instant {
        let watches = self.following.origin() == Origin::Store;
        let store = self.store.next_at(watches);
        let due = [self.timers.next_at(), store, Some(self.gossip.next_at())];
        due.into_iter().flatten().fold(self.next_sweep, Instant::min)
    }

    /// Whether the host can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        self.stopping.is_none() && self.adoption.current().is_some() && self.known.is_complete()
    }

    pub(crate) fn refresh_shares(&mut self) {
        let (rate, sends) = self.metrics.rates(self.now);
        self.members.set_own(OwnState {
            ready: self.is_ready(),
            leaving: self.stopping.is_some(),
            rate,
            load: sends * SEND_COST.0 as f64 / 1e6,
            blind: self.store.is_blind(self.now),
        });
        self.traffic.share = self.members.share(self.now);
        self.traffic.cold_share = self.members.cold_share(self.now);
    }

    /// Reads the settings file again. Addresses of a running process do not change; the bounds do.
    fn reload(&mut self) {
        match NodeSettings::load(&self.settings_path) {
            Ok(settings) => {
                self.traffic.bound = settings.extra_attempts;
                self.settings.stop_grace = settings.stop_grace;
                for seed in &settings.seeds {
                    self.members.listed(*seed, settings.zone.clone());
                }
                self.journal.line("reloaded", json!({}), self.now);
            }
            Err(err) => {
                let fields = json!({ "error": err.to_string(), "kept": "settings in force" });
                self.journal.line("reload_failed", fields, self.now);
            }
        }
    }
}
