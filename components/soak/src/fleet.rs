//! Hosts, leaves, store and callers of one run, and the history of what was done to them.

use {
    crate::{
        SoakPlan,
        accounts::{self, KeySpan},
        callers::{self, Callers, RequestRecord},
        hosts::{HostProcess, HostSpec, Ports},
        proxy::Proxy,
        releases::{FIRST_VERSION, Release},
    },
    indexmap::IndexMap,
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    serde_json::{Value, json},
    std::{
        fs,
        io::Result,
        net::SocketAddr,
        sync::Arc,
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::{
        leaf::{Leaf, LeafSpec, Run, Runs},
        store::{Door, Store, StoreFault},
    },
};

/// Number of shards of the gather route.
pub(crate) const SHARDS: usize = 6;
/// Minimum share of the shards in a gathered response, in percent.
pub(crate) const MIN_SHARE_PERCENT: usize = 66;
/// Number of records in a gathered response.
pub(crate) const TOP_K: usize = 5;
/// Host name of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Services of the routes that send a request to one leaf.
const SINGLE_LEAF_SERVICES: [&str; 2] = ["one", "two"];
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Number of threads that send requests.
const CALLER_THREADS: usize = 5;
/// Share of the hosts that the store turns away while it serves the others, in percent.
const MAX_TURNED_AWAY_PERCENT: usize = 35;
/// Longest wait for all hosts to become ready after their start.
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after the last fault until the recovery is measured.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time for which the recovery is measured.
const MEASURE_TIME: Duration = Duration::from_secs(1);

/// A version of the configuration and the time when it was written.
#[derive(Clone, Debug)]
pub(crate) struct ConfigVersion {
    pub written_at: Instant,
    /// Service of the read and write routes.
    pub service: String,
    /// Whether the extra route exists.
    pub has_extra_route: bool,
}

/// A zone that was taken out of service.
#[derive(Clone, Debug)]
pub(crate) struct ZoneEvacuation {
    pub zone: &'static str,
    pub start: Instant,
    /// Time when the zone was put back into service, if it was.
    pub end: Option<Instant>,
}

/// A request limit that a leaf named.
#[derive(Clone, Debug)]
pub(crate) struct NamedLimit {
    /// Id of the leaf.
    pub leaf: String,
    /// Requests per second.
    pub limit: f64,
    pub start: Instant,
    /// Time when the leaf named it no longer, if it did.
    pub end: Option<Instant>,
}

/// A time in which a leaf turned all requests away and asked for pauses.
#[derive(Clone, Debug)]
pub(crate) struct LeafPause {
    /// Id of the leaf.
    pub leaf: String,
    /// Length of each pause.
    pub pause: Duration,
    pub start: Instant,
    /// Time when the leaf took requests again, if it did.
    pub end: Option<Instant>,
}

/// A time in which the store turned some hosts away.
#[derive(Clone, Debug)]
pub(crate) struct TurnedAway {
    /// IP addresses of the hosts.
    pub hosts: Vec<String>,
    pub start: Instant,
    /// Time when the store served them again, if it did.
    pub end: Option<Instant>,
}

/// Changes and disturbances of a run with their times, for the checks.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub versions: Vec<ConfigVersion>,
    /// Ids of draining leaves and the time when they were registered as draining.
    pub draining: Vec<(String, Instant)>,
    /// Zones of all leaves by leaf id.
    pub leaf_zones: IndexMap<String, String>,
    pub evacuations: Vec<ZoneEvacuation>,
    pub limits: Vec<NamedLimit>,
    /// Ids of leaves that said that they were leaving, and the time when they began to.
    pub leaving: Vec<(String, Instant)>,
    pub pauses: Vec<LeafPause>,
    /// Requests that arrived at leaves which asked for pauses, also those that were turned away: leaf,
    /// request and time.
    pub arrivals: Vec<(String, String, Instant)>,
    /// IP addresses of hosts that were killed, paused or stopped, and started or resumed again, with the
    /// time.
    pub interruptions: Vec<(String, Instant)>,
    /// Times in which the store turned hosts away and served the others.
    pub turned_away: Vec<TurnedAway>,
    /// Keys of accounts, also removed ones; empty if there are no accounts.
    pub keys: Vec<KeySpan>,
    /// Orders of releases and what became of them.
    pub releases: Vec<Release>,
    /// Times of faults after which invariants with a time limit are not checked for a while.
    pub disturbances: Vec<Instant>,
}

/// All processes and stand-ins of a run.
pub(crate) struct Fleet {
    pub rng: SmallRng,
    pub store: Store,
    pub hosts: Vec<HostProcess>,
    /// The addresses of the store that the hosts use, one each.
    pub doors: Vec<Door>,
    /// Leaves, each with the proxy through which hosts reach it.
    pub leaves: Vec<(Leaf, Proxy)>,
    pub history: History,
    /// Versions of the leaves of services whose release was completed.
    pub versions: IndexMap<&'static str, &'static str>,
    version: u64,
    /// Configuration that was written last.
    config: Value,
    runs: Runs,
    next_leaf: usize,
    callers: Arc<Callers>,
    /// First three bytes of the loopback addresses of this run.
    prefix: String,
}

impl Fleet {
    /// Starts store, leaves, hosts and callers.
    pub fn start(plan: &SoakPlan) -> Result<Self> {
        fs::create_dir_all(&plan.directory)?;
        // Each run has its own address range, so that concurrent runs do not collide.
        let prefix = format!("127.{}.{}", 20 + std::process::id() % 200, plan.seed % 250);
        let store = Store::start(&format!("{prefix}.254"))?;
        let runs = Runs::default();
        let mut fleet = Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            hosts: Vec::new(),
            doors: Vec::new(),
            leaves: Vec::new(),
            history: History::default(),
            versions: IndexMap::new(),
            version: 0,
            config: Value::Null,
            runs,
            next_leaf: 0,
            callers: Arc::default(),
            store,
            prefix,
        };
        for zone in ["a", "b"] {
            for shard in 0..SHARDS {
                fleet.add_leaf(&format!("shard-{shard}"), zone)?;
            }
            fleet.add_leaf("one", zone)?;
            fleet.add_leaf("two", zone)?;
        }
        if plan.has_accounts() {
            fleet.history.keys = accounts::first_keys();
        }
        fleet.configure("one", false);
        fleet.start_hosts(plan)?;
        fleet.start_callers();
        Ok(fleet)
    }

    fn start_hosts(&mut self, plan: &SoakPlan) -> Result<()> {
        let ports = Ports::find_free(&format!("{}.1", self.prefix))?;
        let ips: Vec<String> = (1..=plan.hosts).map(|n| format!("{}.{n}", self.prefix)).collect();
        for (n, ip) in ips.iter().enumerate() {
            let spec = HostSpec {
                name: format!("host-{}", n + 1),
                ip: ip.clone(),
                zone: ZONES[n % ZONES.len()],
                ports,
                seeds: &ips[..ips.len().min(3)],
                bounds: plan.bounds(),
            };
            let door = self.store.open_door(&format!("{}.254", self.prefix))?;
            let proxy = Proxy::start(&format!("{}.253", self.prefix), door.address())?;
            self.doors.push(door);
            self.hosts.push(HostProcess::start(spec, proxy, &plan.daemon, &plan.directory)?);
        }
        Ok(())
    }

    fn start_callers(&mut self) {
        let directories: Vec<SocketAddr> =
            self.hosts.iter().filter_map(HostProcess::directory_address).collect();
        let deadline = Instant::now() + READY_TIMEOUT;
        let ready = |at: &SocketAddr| callers::is_ready(*at);
        while Instant::now() < deadline && !directories.iter().all(ready) {
            thread::sleep(Duration::from_millis(100));
        }
        for _ in 0..CALLER_THREADS {
            let callers = self.callers.clone();
            let directories = directories.clone();
            let seed = self.rng.random();
            let thread = thread::spawn(move || callers.run_caller(&directories, seed));
            self.callers.add_thread(thread);
        }
    }

    /// Starts a leaf behind a proxy and registers it as ready.
    pub fn add_leaf(&mut self, service: &str, zone: &str) -> Result<()> {
        // Non-idempotent requests take longer, so that faults hit some while they run.
        let max_ms = if SINGLE_LEAF_SERVICES.contains(&service) { 40 } else { 6 };
        let work = Duration::from_millis(self.rng.random_range(1..max_ms));
        let index = self.start_leaf(service, zone, work)?;
        let leaf = &self.leaves[index].0;
        leaf.set_version(self.versions.get(service).copied().unwrap_or(FIRST_VERSION));
        leaf.register("ready");
        Ok(())
    }

    /// Starts a leaf behind a proxy without registering it; returns its index.
    pub fn start_leaf(&mut self, service: &str, zone: &str, work: Duration) -> Result<usize> {
        self.next_leaf += 1;
        let id = format!("i-{}", self.next_leaf);
        let ip = format!("{}.252", self.prefix);
        let spec = LeafSpec { id: &id, service, zone, ip: &ip, work };
        let leaf = Leaf::start(&spec, &self.store, &self.runs)?;
        let proxy = Proxy::start(&ip, leaf.address())?;
        leaf.set_advertised_address(proxy.address);
        self.history.leaf_zones.insert(id, zone.to_owned());
        self.leaves.push((leaf, proxy));
        Ok(self.leaves.len() - 1)
    }

    /// Returns the work of the leaf of a service that was started last.
    pub fn work_of(&self, service: &str) -> Duration {
        let last = self.leaves.iter().rev().find(|(leaf, _)| leaf.service() == service);
        last.map_or(Duration::ZERO, |(leaf, _)| leaf.work())
    }

    /// Returns the index of a random leaf; half of the time one that runs non-idempotent requests.
    pub fn pick_leaf(&mut self) -> usize {
        let any = self.rng.random_range(0..self.leaves.len());
        if self.rng.random() {
            return any;
        }
        let has_single_leaf_service =
            |leaf: &usize| SINGLE_LEAF_SERVICES.contains(&self.leaves[*leaf].0.service());
        let candidates: Vec<usize> =
            (0..self.leaves.len()).filter(has_single_leaf_service).collect();
        candidates.choose(&mut self.rng).copied().unwrap_or(any)
    }

    /// Writes a new version of the configuration, with `service` for the read and write routes.
    pub fn configure(&mut self, service: &str, has_extra_route: bool) {
        self.version += self.rng.random_range(1..4);
        let shards: Vec<String> = (0..SHARDS).map(|n| format!("shard-{n}")).collect();
        let route = |name: &str, prefix: &str, kind: &str| {
            json!({
                "name": name, "host": HOST, "path_prefix": prefix, "kind": kind, "attempts": 2,
                "timeout_ms": 800, "target_latency_ms": 100, "priority": 1,
            })
        };
        let with = |mut route: Value, key: &str, value: Value| {
            route[key] = value;
            route
        };
        let mut gather = with(route("gather", "/gather/", "safe"), "gather", json!(shards));
        gather["top_k"] = json!(TOP_K);
        gather["min_success_share"] = json!(MIN_SHARE_PERCENT as f64 / 100.0);
        let has_accounts = !self.history.keys.is_empty();
        let mut routes = vec![
            gather,
            with(route("read", "/read/", "safe"), "service", json!(service)),
            with(route("write", "/write/", "unsafe"), "service", json!(service)),
        ];
        if has_extra_route {
            let mut extra = with(route("extra", "/extra/", "safe"), "service", json!("two"));
            if has_accounts {
                extra["public"] = json!(true);
            }
            routes.push(extra);
        }
        let services: Vec<Value> = shards
            .iter()
            .map(String::as_str)
            .chain(["one", "two"])
            .map(|name| json!({ "name": name, "connection_limit": 100 }))
            .collect();
        let mut spec = json!({ "version": self.version, "routes": routes, "services": services });
        if has_accounts {
            spec["tenants"] = accounts::tenants(&self.history.keys);
        }
        self.store.put("config", "main", spec.clone());
        self.config = spec;
        let (written_at, service) = (Instant::now(), service.to_owned());
        self.history.versions.push(ConfigVersion { written_at, service, has_extra_route });
    }

    /// Writes a new version of the configuration in which only the accounts differ.
    pub fn configure_again(&mut self) {
        let Some(last) = self.history.versions.last().cloned() else { return };
        self.configure(&last.service, last.has_extra_route);
    }

    /// Sets the keys of which callers present one with each request.
    pub fn set_caller_keys(&self, keys: Vec<Option<String>>) {
        self.callers.set_keys(keys);
    }

    /// Writes everything again that operators and leaves have written, after the store has come back
    /// from a copy.
    pub fn write_again(&mut self) {
        self.store.put("config", "main", self.config.clone());
        for zone in ZONES {
            let is_out = |out: &ZoneEvacuation| out.zone == zone && out.end.is_none();
            match self.history.evacuations.iter().any(is_out) {
                true => self.store.put("evacuations", zone, json!({})),
                false => self.store.delete("evacuations", zone),
            }
        }
        for (leaf, _) in &self.leaves {
            leaf.register_again();
        }
    }

    /// Takes a zone out of service. Returns false if a zone is out already, as leaves are in two
    /// zones only and one of them has to serve.
    pub fn evacuate_zone(&mut self, zone: &'static str) -> bool {
        if self.history.evacuations.iter().any(|out| out.end.is_none()) {
            return false;
        }
        self.store.put("evacuations", zone, json!({}));
        self.history.evacuations.push(ZoneEvacuation { zone, start: Instant::now(), end: None });
        true
    }

    /// Puts the zone that is out back into service.
    pub fn end_evacuation(&mut self) {
        for out in self.history.evacuations.iter_mut().filter(|out| out.end.is_none()) {
            out.end = Some(Instant::now());
            self.store.delete("evacuations", out.zone);
        }
    }

    /// Has the store turn away a third of the hosts, those that watch it first. Returns false if it turns
    /// some away already, or if there are too few hosts.
    pub fn turn_hosts_away(&mut self, fault: StoreFault) -> bool {
        let count = self.hosts.len() * MAX_TURNED_AWAY_PERCENT / 100;
        if count == 0 || self.history.turned_away.iter().any(|away| away.end.is_none()) {
            return false;
        }
        let mut order: Vec<usize> = (0..self.hosts.len()).collect();
        order.sort_by_key(|host| !self.doors[*host].is_watched());
        order.truncate(count);
        order.iter().for_each(|host| self.doors[*host].set_fault(fault));
        let hosts = order.iter().map(|host| self.hosts[*host].ip.clone()).collect();
        let (start, end) = (Instant::now(), None);
        self.history.turned_away.push(TurnedAway { hosts, start, end });
        true
    }

    /// Has the store serve all hosts.
    pub fn serve_all_hosts(&mut self) {
        self.doors.iter().for_each(|door| door.set_fault(StoreFault::None));
        for away in self.history.turned_away.iter_mut().filter(|away| away.end.is_none()) {
            away.end = Some(Instant::now());
        }
    }

    /// Records that a host was killed, paused or stopped, or started or resumed again.
    pub fn record_interruption(&mut self, host: usize) {
        self.history.interruptions.push((self.hosts[host].ip.clone(), Instant::now()));
    }

    /// Suspends the checks of invariants with a time limit for a while from now on.
    pub fn record_disturbance(&mut self) {
        self.history.disturbances.push(Instant::now());
    }

    /// Gives the fleet time to recover and returns the share of requests that succeed afterwards.
    pub fn success_share_after_recovery(&mut self) -> f64 {
        thread::sleep(RECOVERY_TIME);
        let start = Instant::now();
        thread::sleep(MEASURE_TIME);
        self.callers.success_share_since(start)
    }

    /// Stops callers and hosts; returns the requests, the runs of leaves and the history.
    pub fn finish(mut self) -> (Vec<RequestRecord>, Vec<Run>, History) {
        let requests = self.callers.stop();
        self.hosts.iter().for_each(|host| host.store_proxy.stop());
        self.hosts.clear();
        // Leaves that still run a request record it before they respond.
        thread::sleep(Duration::from_millis(100));
        let runs = match self.runs.lock() {
            Ok(runs) => runs.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        };
        let asked = |leaf: &Leaf| self.history.pauses.iter().any(|pause| pause.leaf == leaf.id());
        let arrivals = self.leaves.iter().filter(|(leaf, _)| asked(leaf)).flat_map(|(leaf, _)| {
            leaf.arrivals().into_iter().map(|(req, at)| (leaf.id().to_owned(), req, at))
        });
        self.history.arrivals = arrivals.collect();
        for (leaf, proxy) in &self.leaves {
            proxy.stop();
            leaf.crash();
        }
        self.store.stop();
        (requests, runs, self.history)
    }
}
