//! A fleet of hosts with a platform and leaves in this process, and clients for operators and
//! callers.

use {
    serde::{Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicU64, Ordering},
        },
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    ureq::{Agent, http::StatusCode},
    wigeonramp_config::{
        Document, HostSettings, LogSettings,
        api::{
            CONFIRM_PATH, ConfirmRequest, ConfirmResponse, Intent, PLAN_PATH, PlanRequest,
            PlanResponse, STATUS_PATH, StatusResponse,
        },
        caller_api::{QueryOutcome, QueryResponse},
        token_sha256,
    },
    wigeonramp_daemon::host::Host,
    wigeonramp_standin::{
        leaves::{self, LeafCounters, Leaves, LeavesOptions},
        platform::{self, Platform, PlatformOptions},
    },
    wigeonramp_store::{
        Change, HttpStore, HttpStoreTimeouts, Object, ObjectStore, PlatformHost, Precondition,
        ReadOutcome, StoreError, WriteOutcome,
    },
    wigeonramp_units::{Revision, Span},
};

/// Timeout of every wait and call in these tests.
pub const TIMEOUT: Duration = Duration::from_secs(30);
const CALLER: &str = "c1";
const TOKEN: &str = "t1";
const ZONES: usize = 3;
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A host in the tests.
pub type TestHost = Host<HttpStore>;

/// Changes the calls of one host to the store; every call that it does not change is made as it is.
pub trait Interceptor: Send + Sync + 'static {
    fn get(&self, store: &HttpStore, key: &str) -> Result<ReadOutcome, StoreError> {
        store.get(key)
    }

    fn list(&self, store: &HttpStore, prefix: &str) -> Result<Vec<Object>, StoreError> {
        store.list(prefix)
    }

    fn put(
        &self,
        store: &HttpStore,
        key: &str,
        body: &str,
        precondition: Precondition,
    ) -> Result<WriteOutcome, StoreError> {
        store.put(key, body, precondition)
    }
}

/// A store whose calls pass through an interceptor.
pub struct InterceptedStore<I> {
    pub inner: HttpStore,
    pub interceptor: I,
}

impl<I: Interceptor> ObjectStore for InterceptedStore<I> {
    fn get(&self, key: &str) -> Result<ReadOutcome, StoreError> {
        self.interceptor.get(&self.inner, key)
    }

    fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        self.interceptor.list(&self.inner, prefix)
    }

    fn put(
        &self,
        key: &str,
        body: &str,
        precondition: Precondition,
    ) -> Result<WriteOutcome, StoreError> {
        self.interceptor.put(&self.inner, key, body, precondition)
    }

    fn delete(&self, key: &str, revision: Revision) -> Result<WriteOutcome, StoreError> {
        self.inner.delete(key, revision)
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Span) -> Result<Vec<Change>, StoreError> {
        self.inner.watch(prefix, after, wait)
    }

    fn hosts(&self) -> Result<Vec<PlatformHost>, StoreError> {
        self.inner.hosts()
    }
}

/// Hosts with their platform and leaves.
pub struct Fleet {
    pub hosts: Vec<TestHost>,
    pub leaves: Leaves,
    pub platform: Platform,
    declared: Document,
}

/// Returns a deployment whose leaves have no ports yet.
pub fn declared(shards: usize) -> Document {
    let mut maps = serde_json::Map::new();
    let mut leaves = serde_json::Map::new();
    for n in 0..shards {
        let replica = |letter: &str| format!("s{n}-{letter}");
        maps.insert(format!("s{n}"), json!([replica("a"), replica("b")]));
        for (letter, zone) in [("a", n % ZONES), ("b", (n + 1) % ZONES)] {
            let leaf = json!({"address": "127.0.0.1:0", "zone": format!("z{}", zone + 1),
                "collection": "quotes", "state": "in"});
            leaves.insert(replica(letter), leaf);
        }
    }
    let zone = json!({"region": "r", "state": "in"});
    let caller = json!({"member": "m1", "priority": "urgent", "token_sha256": token_sha256(TOKEN)});
    let document = json!({
        "version": 0, "op": "none",
        "zones": {"z1": zone, "z2": zone, "z3": zone},
        "members": {"m1": {}},
        "callers": {CALLER: caller},
        "collections": {"quotes": {
            "prefer": "coverage", "soft_deadline": "500ms", "max_deadline": "1s",
            "hedge": true, "canary": false,
            "leaf_limits": {"slots": 2, "connections": 20, "connect_cost": "1ms",
                "cold_in_flight": 1, "cold_per_second": 100},
            "maps": [{"version": 1, "from_snapshot": 7, "shards": maps}],
        }},
        "leaves": leaves,
        "limits": {"entry_lifetime": "500ms", "session_time": "1s", "stale_after": "1s"},
    });
    serde_json::from_value(document).expect("the document is well formed")
}

/// Returns the settings of one host, on ports that the system chooses.
pub fn settings(n: usize, platform: SocketAddr) -> HostSettings {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    HostSettings {
        host: format!("h{n}").parse().expect("a host id"),
        zone: format!("z{}", n % ZONES + 1).parse().expect("a zone id"),
        caller_listen: any,
        peer_listen: any,
        operator_listen: any,
        platform: format!("http://{platform}"),
        seeds: Vec::new(),
        caller_workers: 16,
        log: LogSettings::default(),
    }
}

impl Fleet {
    /// Starts hosts on an empty platform.
    pub fn undeclared(hosts: usize, shards: usize) -> Self {
        let mut declared = declared(shards);
        let options = LeavesOptions { ephemeral_ports: true, ..LeavesOptions::default() };
        let leaves = leaves::start(&declared, &options).expect("the leaves start");
        for (id, leaf) in &mut declared.leaves {
            leaf.address = leaves.address(id).expect("every leaf was started");
        }
        let platform = platform::start(&PlatformOptions::default()).expect("the platform starts");
        let timeouts = HttpStoreTimeouts { connect: Span::millis(250), call: Span::millis(500) };
        let hosts = (0..hosts).map(|n| {
            let store = HttpStore::new(platform.address(), timeouts);
            Host::start(&settings(n, platform.address()), store).expect("the host starts")
        });
        Self { hosts: hosts.collect(), leaves, platform, declared }
    }

    /// Starts hosts, brings the first declaration into force and waits until they serve.
    pub fn start(hosts: usize, shards: usize) -> Self {
        let fleet = Self::undeclared(hosts, shards);
        fleet.bring_up();
        fleet
    }

    /// Brings the first declaration into force and waits until the hosts serve.
    pub fn bring_up(&self) {
        self.all_know_each_other();
        let response = self.change(0, self.declaration());
        assert!(matches!(response, ConfirmResponse::InForce { .. }), "{response:?}");
        let shards = self.declared.leaves.len() / 2;
        wait_for("all leaves are held and all hosts serve", || {
            let serves = |n| self.query(n, &json!("start")).is_some_and(|a| covered(&a) == shards);
            self.held() == 2 * shards && (0..self.hosts.len()).all(serves)
        });
    }

    pub fn declaration(&self) -> Intent {
        Intent::Declare { document: Box::new(self.declared.clone()) }
    }

    pub fn all_know_each_other(&self) {
        wait_for("every host knows all hosts", || {
            (0..self.hosts.len()).all(|n| self.status(n).hosts.len() == self.hosts.len())
        });
    }

    pub fn status(&self, host: usize) -> StatusResponse {
        get(self.hosts[host].addresses().operator, STATUS_PATH)
    }

    /// Number of leaves that are held by any host.
    pub fn held(&self) -> usize {
        let leaves = (0..self.hosts.len()).flat_map(|n| self.status(n).leaves);
        leaves.map(|leaf| leaf.leaf).collect::<BTreeSet<_>>().len()
    }

    /// Returns the plan, or the status and reason of the refusal.
    pub fn plan(&self, host: usize, intent: Intent) -> Result<PlanResponse, (StatusCode, String)> {
        self.plan_with(host, intent, false)
    }

    pub fn plan_with(
        &self,
        host: usize,
        intent: Intent,
        allow_coverage_loss: bool,
    ) -> Result<PlanResponse, (StatusCode, String)> {
        let request = PlanRequest { intent, allow_coverage_loss };
        let (status, text) = post(self.hosts[host].addresses().operator, PLAN_PATH, &request);
        if status != StatusCode::OK {
            return Err((status, text));
        }
        Ok(serde_json::from_str(&text).expect("a plan"))
    }

    pub fn confirm(&self, host: usize, plan: PlanResponse) -> ConfirmResponse {
        confirm_at(self.hosts[host].addresses().operator, plan)
    }

    /// Plans and confirms a change.
    pub fn change(&self, host: usize, intent: Intent) -> ConfirmResponse {
        self.confirm(host, self.plan(host, intent).expect("a plan"))
    }

    /// Sends a query to one host. Returns `None` if it did not answer.
    pub fn query(&self, host: usize, body: &Value) -> Option<QueryResponse> {
        query(
            self.hosts[host].addresses().caller,
            &json!({
                "collections": ["quotes"], "body": body,
            }),
        )
    }

    /// Returns the counters of all leaves whose id starts with `prefix`.
    pub fn counters(&self, prefix: &str) -> Vec<LeafCounters> {
        self.leaves.statuses(prefix).into_iter().map(|leaf| leaf.counters).collect()
    }
}

/// Confirms a plan at one host.
pub fn confirm_at(operator: SocketAddr, plan: PlanResponse) -> ConfirmResponse {
    let (status, text) = post(operator, CONFIRM_PATH, &ConfirmRequest { plan });
    assert_eq!(status, StatusCode::OK, "{text}");
    serde_json::from_str(&text).expect("a response to a confirmation")
}

/// Sends a query. Returns `None` if no response arrived.
pub fn query(caller: SocketAddr, request: &Value) -> Option<QueryResponse> {
    let result = agent()
        .post(format!("http://{caller}/v1/query"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("x-caller", CALLER)
        .send(request.to_string());
    let text = result.ok()?.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}

pub fn covered(response: &QueryResponse) -> usize {
    response.collections.first().map_or(0, |collection| collection.coverage.covered as usize)
}

/// Waits until `done` returns true and returns the time it took. Panics after `TIMEOUT`.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !done() {
        assert!(start.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {what}");
        thread::sleep(POLL_INTERVAL);
    }
    start.elapsed()
}

fn agent() -> Agent {
    Agent::config_builder().http_status_as_error(false).timeout_global(Some(TIMEOUT)).build().into()
}

pub fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let mut response = agent().get(format!("http://{address}{path}")).call().expect("a response");
    response.body_mut().read_json().expect("a JSON body")
}

pub fn post(address: SocketAddr, path: &str, body: &impl Serialize) -> (StatusCode, String) {
    let body = serde_json::to_string(body).expect("JSON");
    let mut response =
        agent().post(format!("http://{address}{path}")).send(body).expect("a response");
    (response.status(), response.body_mut().read_to_string().expect("text"))
}

/// Callers that request entry addresses, use them for their lifetime, and send queries.
pub struct Load {
    pub lost: Arc<AtomicU64>,
    pub done: Arc<AtomicU64>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Load {
    /// Starts `threads` callers that request entry addresses from `hosts`.
    pub fn start(threads: usize, hosts: Vec<SocketAddr>) -> Self {
        let (lost, done, stop) = Default::default();
        let mut load = Self { lost, done, stop, threads: Vec::new() };
        for n in 0..threads {
            let (lost, done) = (Arc::clone(&load.lost), Arc::clone(&load.done));
            let (stop, hosts) = (Arc::clone(&load.stop), hosts.clone());
            load.threads.push(thread::spawn(move || call(n, &hosts, &lost, &done, &stop)));
        }
        load
    }

    /// Waits until `n` more queries are done.
    pub fn wait_for_queries(&self, n: u64) {
        let before = self.done.load(Ordering::Relaxed);
        wait_for("more queries are done", || self.done.load(Ordering::Relaxed) >= before + n);
    }

    /// Ends all callers. Returns the number of queries that got no response.
    pub fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.threads.into_iter().for_each(|thread| thread.join().expect("a caller ends"));
        self.lost.load(Ordering::Relaxed)
    }
}

fn call(n: usize, hosts: &[SocketAddr], lost: &AtomicU64, done: &AtomicU64, stop: &AtomicBool) {
    let (mut addresses, mut expiry) = (Vec::new(), Instant::now());
    let mut count = n;
    while !stop.load(Ordering::Relaxed) {
        if Instant::now() >= expiry {
            (addresses, expiry) = entry_addresses(hosts);
            if addresses.is_empty() {
                continue;
            }
        }
        count += 1;
        let request = json!({"collections": ["quotes"], "body": count % 16});
        match query(addresses[0], &request).map(|response| response.outcome) {
            Some(QueryOutcome::Done) => drop(done.fetch_add(1, Ordering::Relaxed)),
            // A refusal is a complete response, so it does not count as lost.
            Some(_) => (),
            None => drop(lost.fetch_add(1, Ordering::Relaxed)),
        }
    }
}

/// Returns the entry addresses and when they expire. Their lifetime starts before the request is
/// sent.
fn entry_addresses(hosts: &[SocketAddr]) -> (Vec<SocketAddr>, Instant) {
    let sent = Instant::now();
    for host in hosts {
        let response = agent()
            .get(format!("http://{host}/v1/entry"))
            .header("authorization", format!("Bearer {TOKEN}"))
            .header("x-caller", CALLER)
            .call();
        let Ok(mut response) = response else { continue };
        let Ok(body) = response.body_mut().read_json::<Value>() else { continue };
        let Some(addresses) = body["addresses"].as_array() else { continue };
        let addresses = addresses.iter().filter_map(|a| a.as_str()?.parse().ok()).collect();
        let lifetime = body["lifetime_ms"].as_u64().unwrap_or_default();
        return (addresses, sent + Duration::from_millis(lifetime));
    }
    (Vec::new(), sent)
}
