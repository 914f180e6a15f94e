//! Host processes with stand-ins around them, and clients for their operator and caller APIs.

use {
    rustix::process::{Pid, Signal, kill_process},
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    serde_json::{Value, json},
    std::{
        collections::BTreeSet,
        env,
        fmt::Display,
        fs,
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::PathBuf,
        process::{self, Child, Command, ExitStatus, Stdio},
        sync::atomic::{AtomicUsize, Ordering},
        thread,
        time::{Duration, Instant},
    },
    ureq::Agent,
    wigeonramp_config::{
        Document,
        api::{
            CONFIRM_PATH, ConfirmRequest, ConfirmResponse, Intent, PLAN_PATH, PlanRequest,
            PlanResponse, STATUS_PATH, StatusResponse,
        },
        caller_api::QueryResponse,
        token_sha256,
    },
    wigeonramp_standin::{
        leaves::{self, LeafCounters, Leaves, LeavesOptions},
        platform::{self, Platform, PlatformOptions},
    },
    wigeonramp_units::{InstanceId, LeafId},
};

/// Time after which any wait in these tests fails.
pub const TIMEOUT: Duration = Duration::from_secs(40);
/// Interval at which an awaited state is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
const CALLER: &str = "c1";
const TOKEN: &str = "t1";
const ZONES: usize = 3;

/// JSON line that a host prints when it is ready.
#[derive(Clone, Debug, Deserialize)]
pub struct Ready {
    pub caller: SocketAddr,
    pub instance: InstanceId,
    pub operator: SocketAddr,
    pub peer: SocketAddr,
}

/// A host process; killed when dropped.
pub struct HostProcess {
    child: Child,
    pub ready: Ready,
    settings: PathBuf,
}

impl HostProcess {
    /// Starts the host `h{n}` and waits until it is ready.
    pub fn start(n: usize, platform: SocketAddr, seeds: &[SocketAddr]) -> Self {
        static NEXT: AtomicUsize = AtomicUsize::new(0);
        let file = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = env::temp_dir().join(format!("wigeonramp-fleet-{}-{file}.toml", process::id()));
        let seeds: Vec<String> =
            seeds.iter().map(|seed| format!("{:?}", seed.to_string())).collect();
        let text = format!(
            "host = \"h{n}\"\nzone = \"z{}\"\ncaller_listen = \"127.0.0.1:0\"\n\
             peer_listen = \"127.0.0.1:0\"\noperator_listen = \"127.0.0.1:0\"\n\
             platform = \"http://{platform}\"\nseeds = [{}]\ncaller_workers = 16\n\n\
             [log]\nlevel = \"error\"\n",
            n % ZONES + 1,
            seeds.join(", "),
        );
        fs::write(&path, text).expect("the temporary directory is writable");
        let mut child = Command::new(env!("CARGO_BIN_EXE_wigeonrampd"))
            .arg("--settings")
            .arg(&path)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("stdout is piped");
        BufReader::new(out).read_line(&mut line).expect("the process prints a line");
        let ready = serde_json::from_str(&line).expect("the line is JSON");
        Self { child, ready, settings: path }
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.child.id()).expect("a process id");
        let pid = Pid::from_raw(id).expect("a process id above 0");
        kill_process(pid, signal).expect("the process has not been waited for");
    }

    pub fn status(&self) -> StatusResponse {
        get(self.ready.operator, STATUS_PATH)
    }

    /// Waits until the process has ended.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the process ends", || {
            status = self.child.try_wait().expect("the process can be waited for");
            status.is_some()
        });
        status.expect("the process has ended")
    }

    pub fn query(&self, body: &Value) -> Option<QueryResponse> {
        query(self.ready.caller, &json!({"collections": ["quotes"], "body": body}))
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

/// Hosts with the stand-ins of leaves and platform.
pub struct Fleet {
    pub hosts: Vec<HostProcess>,
    pub leaves: Leaves,
    pub platform: Platform,
    pub shards: usize,
}

/// Returns a document with `shards` shards of two replicas each.
fn deployment(shards: usize) -> Document {
    let mut maps = serde_json::Map::new();
    let mut leaves = serde_json::Map::new();
    for n in 0..shards {
        maps.insert(format!("s{n}"), json!([format!("s{n}-a"), format!("s{n}-b")]));
        for (letter, zone) in [("a", n % ZONES), ("b", (n + 1) % ZONES)] {
            let leaf = json!({"address": "127.0.0.1:0", "zone": format!("z{}", zone + 1),
                "collection": "quotes", "state": "in"});
            leaves.insert(format!("s{n}-{letter}"), leaf);
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

/// Describes a host's view of the other hosts and of the store.
fn describe_view(status: &StatusResponse) -> String {
    let hosts: Vec<String> = status.hosts.iter().map(|host| format!("{host:?}")).collect();
    format!(
        "{}: last store response {:?} ms ago, hosts {hosts:?}",
        status.host, status.store_contact_ms
    )
}

impl Fleet {
    /// Starts hosts, puts a deployment in force and waits until all leaves are held and all hosts
    /// cover all shards.
    pub fn start(hosts: usize, shards: usize) -> Self {
        let mut document = deployment(shards);
        let options = LeavesOptions { ephemeral_ports: true, ..LeavesOptions::default() };
        let leaves = leaves::start(&document, &options).expect("the leaves start");
        for (id, leaf) in &mut document.leaves {
            leaf.address = leaves.address(id).expect("every leaf was started");
        }
        let platform = platform::start(&PlatformOptions::default()).expect("the platform starts");
        let start = |n| HostProcess::start(n, platform.address(), &[]);
        let hosts: Vec<_> = (0..hosts).map(start).collect();
        let fleet = Self { hosts, leaves, platform, shards };
        wait_until("every host knows all hosts", || {
            let all: Vec<StatusResponse> = fleet.hosts.iter().map(HostProcess::status).collect();
            if all.iter().all(|status| status.hosts.len() == all.len()) {
                return Ok(());
            }
            Err(all.iter().map(describe_view).collect::<Vec<String>>().join("; "))
        });
        let operator = fleet.hosts[0].ready.operator;
        let intent = Intent::Declare { document: Box::new(document) };
        let request = PlanRequest { intent, allow_coverage_loss: false };
        let plan: PlanResponse = post(operator, PLAN_PATH, &request);
        let response: ConfirmResponse = post(operator, CONFIRM_PATH, &ConfirmRequest { plan });
        assert!(matches!(response, ConfirmResponse::InForce { .. }), "{response:?}");
        fleet.wait_for_service(&fleet.hosts);
        fleet
    }

    /// Waits until `hosts` hold all leaves and each of them covers all shards. Returns the time
    /// until the leaves were held.
    pub fn wait_for_service<'a>(
        &self,
        hosts: impl IntoIterator<Item = &'a HostProcess> + Clone,
    ) -> Duration {
        let held_after = self.wait_for_holdings(hosts.clone());
        for host in hosts {
            wait_for("a host covers all shards", || self.is_covered(host));
        }
        held_after
    }

    /// Waits until `hosts` hold all leaves. Returns the time it took.
    pub fn wait_for_holdings<'a>(
        &self,
        hosts: impl IntoIterator<Item = &'a HostProcess> + Clone,
    ) -> Duration {
        wait_for("the hosts hold all leaves", || {
            // Both holders list a moving leaf until the handover is finished.
            let leaves = hosts.clone().into_iter().flat_map(|host| host.status().leaves);
            let held: BTreeSet<LeafId> = leaves.map(|leaf| leaf.leaf).collect();
            held.len() == 2 * self.shards
        })
    }

    /// Returns whether a query to `host` covers all shards.
    pub fn is_covered(&self, host: &HostProcess) -> bool {
        host.query(&json!("cover")).is_some_and(|response| covered(&response) == self.shards)
    }

    /// Sends queries until all leaves are warm.
    pub fn warm_up(&self) {
        wait_for("all leaves are warm", || {
            for host in &self.hosts {
                for n in 0..8 {
                    let _ = host.query(&n.into());
                }
            }
            let mut leaves = self.hosts.iter().flat_map(|host| host.status().leaves);
            leaves.all(|leaf| leaf.state == "warm")
        });
    }

    /// Returns the counters of all leaves.
    pub fn counters(&self) -> Vec<LeafCounters> {
        self.leaves.statuses("").into_iter().map(|leaf| leaf.counters).collect()
    }
}

/// Returns the number of shards that the first collection of a response covers.
pub fn covered(response: &QueryResponse) -> usize {
    response.collections.first().map_or(0, |collection| collection.coverage.covered as usize)
}

/// Sends a query to the host with this caller address. Returns `None` if no usable response
/// arrived.
pub fn query(address: SocketAddr, request: &Value) -> Option<QueryResponse> {
    let result = agent()
        .post(format!("http://{address}/v1/query"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("x-caller", CALLER)
        .send(request.to_string());
    let text = result.ok()?.body_mut().read_to_string().ok()?;
    serde_json::from_str(&text).ok()
}

/// Returns the entry addresses that the host with this caller address names, and their lifetime.
pub fn entry_addresses(address: SocketAddr) -> Option<(Vec<SocketAddr>, Duration)> {
    let result = agent()
        .get(format!("http://{address}/v1/entry"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("x-caller", CALLER)
        .call();
    let body: Value = result.ok()?.body_mut().read_json().ok()?;
    let addresses = body["addresses"].as_array()?;
    let addresses = addresses.iter().filter_map(|a| a.as_str()?.parse().ok()).collect();
    Some((addresses, Duration::from_millis(body["lifetime_ms"].as_u64()?)))
}

/// Waits until `done` returns true; panics after `TIMEOUT`. Returns the time it took.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) -> Duration {
    wait_until(what, || if done() { Ok(()) } else { Err("not yet") })
}

/// Like `wait_for`; the panic message shows the last state, which `check` returns as an error.
fn wait_until<S: Display>(what: &str, mut check: impl FnMut() -> Result<(), S>) -> Duration {
    let start = Instant::now();
    while let Err(state) = check() {
        assert!(start.elapsed() < TIMEOUT, "not within {TIMEOUT:?}: {what}: {state}");
        thread::sleep(POLL_INTERVAL);
    }
    start.elapsed()
}

fn agent() -> Agent {
    Agent::config_builder().http_status_as_error(false).timeout_global(Some(TIMEOUT)).build().into()
}

pub fn get<T: DeserializeOwned>(address: SocketAddr, path: &str) -> T {
    let mut res = agent().get(format!("http://{address}{path}")).call().expect("a response");
    res.body_mut().read_json().expect("a JSON body")
}

pub fn get_text(address: SocketAddr, path: &str) -> String {
    let mut res = agent().get(format!("http://{address}{path}")).call().expect("a response");
    res.body_mut().read_to_string().expect("a text")
}

fn post<T: DeserializeOwned>(address: SocketAddr, path: &str, body: &impl Serialize) -> T {
    let body = serde_json::to_string(body).expect("JSON");
    let mut res = agent().post(format!("http://{address}{path}")).send(body).expect("a response");
    res.body_mut().read_json().expect("a JSON body")
}
