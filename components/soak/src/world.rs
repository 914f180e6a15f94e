//! Hosts, leaves, store and callers of one run.

use {
    crate::{
        SoakPlan,
        hosts::{HostProcess, HostSpec, Ports},
        proxy::Proxy,
        traffic::{self, Sent, Traffic},
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
        store::Store,
    },
};

/// Shards of the gathered route.
pub(crate) const SHARDS: usize = 6;
/// Least share of the shards in an answer, in hundredths.
pub(crate) const MIN_SHARE_PERCENT: usize = 66;
/// Records of a gathered answer.
pub(crate) const TOP_K: usize = 5;
/// Host name of all routes.
pub(crate) const HOST: &str = "soak.example";
/// Services of the routes that go to one leaf.
const SINGLE: [&str; 2] = ["one", "two"];
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Threads that send requests.
const CALLERS: usize = 5;
/// Time that a fleet has to get ready at first.
const READY_TIME: Duration = Duration::from_secs(15);
/// Time after the last fault until the fleet is measured.
const RECOVERY_TIME: Duration = Duration::from_secs(6);
/// Time for which it is measured.
const MEASURED: Duration = Duration::from_secs(1);

/// A version of the configuration and when it was written.
#[derive(Clone, Debug)]
pub(crate) struct Version {
    pub at: Instant,
    /// Services of the route that goes to one leaf.
    pub single: String,
    /// Whether the extra route is there.
    pub extra: bool,
}

/// A zone that operators took out.
#[derive(Clone, Debug)]
pub(crate) struct ZoneOut {
    pub zone: &'static str,
    pub from: Instant,
    /// When it was taken back; none until then.
    pub until: Option<Instant>,
}

/// What happened, for the checks.
#[derive(Clone, Debug, Default)]
pub(crate) struct History {
    pub versions: Vec<Version>,
    /// Leaves that left, by id, with the time of the store's word.
    pub left: Vec<(String, Instant)>,
    /// Zones of all leaves.
    pub zones: IndexMap<String, String>,
    pub zones_out: Vec<ZoneOut>,
    /// Times with faults after which promises with a time bound rest.
    pub disturbed: Vec<Instant>,
}

pub(crate) struct World {
    pub rng: SmallRng,
    pub store: Store,
    pub hosts: Vec<HostProcess>,
    pub leaves: Vec<(Leaf, Proxy)>,
    pub history: History,
    version: u64,
    runs: Runs,
    next_leaf: usize,
    traffic: Arc<Traffic>,
    prefix: String,
}

impl World {
    pub fn start(plan: &SoakPlan) -> Result<Self> {
        fs::create_dir_all(&plan.directory)?;
        // An address range of its own keeps runs side by side apart.
        let prefix = format!("127.{}.{}", 20 + std::process::id() % 200, plan.seed % 250);
        let store = Store::start(&format!("{prefix}.254"))?;
        let runs = Runs::default();
        let mut world = Self {
            rng: SmallRng::seed_from_u64(plan.seed),
            hosts: Vec::new(),
            leaves: Vec::new(),
            history: History::default(),
            version: 0,
            runs,
            next_leaf: 0,
            traffic: Arc::default(),
            store,
            prefix,
        };
        for zone in ["a", "b"] {
            for shard in 0..SHARDS {
                world.add_leaf(&format!("shard-{shard}"), zone)?;
            }
            world.add_leaf("one", zone)?;
            world.add_leaf("two", zone)?;
        }
        world.configure("one", false);
        world.start_hosts(plan)?;
        world.start_traffic();
        Ok(world)
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
            };
            let proxy = Proxy::start(&format!("{}.253", self.prefix), self.store.address())?;
            self.hosts.push(HostProcess::start(spec, proxy, &plan.daemon, &plan.directory)?);
        }
        Ok(())
    }

    fn start_traffic(&mut self) {
        let directories: Vec<SocketAddr> =
            self.hosts.iter().filter_map(HostProcess::directory_address).collect();
        let end = Instant::now() + READY_TIME;
        let ready = |at: &SocketAddr| traffic::is_ready(*at);
        while Instant::now() < end && !directories.iter().all(ready) {
            thread::sleep(Duration::from_millis(100));
        }
        for _ in 0..CALLERS {
            let traffic = self.traffic.clone();
            let directories = directories.clone();
            let seed = self.rng.random();
            let caller = traffic.clone();
            traffic.add(thread::spawn(move || caller.send(&directories, seed)));
        }
    }

    /// Starts and registers a leaf.
    pub fn add_leaf(&mut self, service: &str, zone: &str) -> Result<()> {
        self.next_leaf += 1;
        let id = format!("i-{}", self.next_leaf);
        let ip = format!("{}.252", self.prefix);
        // Requests that must not run twice take longer, so that faults meet some of them.
        let longest = if SINGLE.contains(&service) { 40 } else { 6 };
        let work = Duration::from_millis(self.rng.random_range(1..longest));
        let spec = LeafSpec { id: &id, service, zone, ip: &ip, work };
        let leaf = Leaf::start(&spec, &self.store, &self.runs)?;
        let proxy = Proxy::start(&ip, leaf.address())?;
        leaf.set_advertised_address(proxy.address);
        leaf.register("ready");
        self.history.zones.insert(id, zone.to_owned());
        self.leaves.push((leaf, proxy));
        Ok(())
    }

    /// A random leaf; half of the time one that runs requests which must not run twice.
    pub fn draw_leaf(&mut self) -> usize {
        let any = self.rng.random_range(0..self.leaves.len());
        if self.rng.random() {
            return any;
        }
        let is_single = |leaf: &usize| SINGLE.contains(&self.leaves[*leaf].0.service());
        let singles: Vec<usize> = (0..self.leaves.len()).filter(is_single).collect();
        singles.choose(&mut self.rng).copied().unwrap_or(any)
    }

    /// Writes a new version of the configuration.
    pub fn configure(&mut self, single: &str, extra: bool) {
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
        let mut routes = vec![
            gather,
            with(route("read", "/read/", "safe"), "service", json!(single)),
            with(route("write", "/write/", "unsafe"), "service", json!(single)),
        ];
        if extra {
            routes.push(with(route("extra", "/extra/", "safe"), "service", json!("two")));
        }
        let services: Vec<Value> = shards
            .iter()
            .map(String::as_str)
            .chain(["one", "two"])
            .map(|name| json!({ "name": name, "connection_limit": 100 }))
            .collect();
        let spec = json!({ "version": self.version, "routes": routes, "services": services });
        self.store.put("config", "main", spec);
        let single = single.to_owned();
        self.history.versions.push(Version { at: Instant::now(), single, extra });
    }

    /// Takes a zone out; false when one is out already, as the other one has to serve.
    pub fn take_zone_out(&mut self, zone: &'static str) -> bool {
        if self.history.zones_out.iter().any(|out| out.until.is_none()) {
            return false;
        }
        self.store.put("evacuations", zone, json!({}));
        self.history.zones_out.push(ZoneOut { zone, from: Instant::now(), until: None });
        true
    }

    /// Takes the zone back that is out.
    pub fn take_zone_back(&mut self) {
        for out in self.history.zones_out.iter_mut().filter(|out| out.until.is_none()) {
            out.until = Some(Instant::now());
            self.store.delete("evacuations", out.zone);
        }
    }

    /// Promises with a time bound rest for a while from now on.
    pub fn disturb(&mut self) {
        self.history.disturbed.push(Instant::now());
    }

    /// Waits until the fleet has had time to recover; returns the share served afterwards.
    pub fn recover(&mut self) -> f64 {
        thread::sleep(RECOVERY_TIME);
        let from = Instant::now();
        thread::sleep(MEASURED);
        self.traffic.share_served_since(from)
    }

    /// Ends everything; returns what was sent, what ran, and what happened.
    pub fn finish(mut self) -> (Vec<Sent>, Vec<Run>, History) {
        let sent = self.traffic.stop();
        self.hosts.clear();
        // Leaves that are still at work on something record it before their answer.
        thread::sleep(Duration::from_millis(100));
        let runs = match self.runs.lock() {
            Ok(runs) => runs.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        };
        (sent, runs, self.history)
    }
}
