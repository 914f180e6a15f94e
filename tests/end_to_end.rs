//! Queries through the whole system, with platform, leaves and hosts as separate processes.

use {
    serde_json::{Value, json},
    sha2::{Digest, Sha256},
    std::{
        fs,
        io::{BufRead, BufReader},
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    wigeonramp_store::{HttpStore, HttpStoreTimeouts, ObjectStore, Precondition},
};

const TOKEN: &str = "token-of-quotes";
/// Time in which hosts must discover each other and cover all shards.
const TIMEOUT: Duration = Duration::from_secs(20);
const SHARDS: u32 = 4;

/// A child process with the JSON line that it printed when ready; killed when dropped.
struct Process {
    child: Child,
    ready: Value,
}

impl Process {
    fn start(mut command: Command) -> Self {
        let mut child = command.stdout(Stdio::piped()).spawn().expect("the binary starts");
        let mut line = String::new();
        let out = child.stdout.take().expect("stdout is piped");
        BufReader::new(out).read_line(&mut line).expect("the process prints a line");
        let ready = serde_json::from_str(&line).expect("the line is JSON");
        Self { child, ready }
    }

    fn address(&self, key: &str) -> SocketAddr {
        self.ready[key].as_str().and_then(|text| text.parse().ok()).expect("an address")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn document() -> Value {
    let shards: Value = (0..SHARDS)
        .map(|n| (format!("s{n}"), json!([format!("s{n}-a"), format!("s{n}-b")])))
        .collect::<serde_json::Map<_, _>>()
        .into();
    let leaves: Value = (0..SHARDS)
        .flat_map(|n| [("a", "z1"), ("b", "z2")].map(|(r, zone)| (format!("s{n}-{r}"), zone)))
        .map(|(id, zone)| {
            let leaf = json!({"address": "127.0.0.1:0", "zone": zone, "collection": "quotes",
                "state": "in"});
            (id, leaf)
        })
        .collect::<serde_json::Map<_, _>>()
        .into();
    let hash: String =
        Sha256::digest(TOKEN.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect();
    json!({
        "version": 1, "op": "first",
        "zones": {"z1": {"region": "r", "state": "in"}, "z2": {"region": "r", "state": "in"}},
        "members": {"m1": {}},
        "callers": {"quoting": {"member": "m1", "priority": "urgent", "token_sha256": hash}},
        "collections": {"quotes": {
            "prefer": "coverage", "soft_deadline": "500ms", "max_deadline": "2s",
            "hedge": true, "canary": true,
            "leaf_limits": {"slots": 2, "connections": 20, "connect_cost": "1ms",
                "cold_in_flight": 1, "cold_per_second": 20},
            "maps": [{"version": 1, "from_snapshot": 7, "shards": shards}],
        }},
        "leaves": leaves,
        "limits": {"entry_lifetime": "5s", "max_body": 65536, "hedge_budget": 5,
            "retry_budget": 10, "ordinary_floor": 10, "max_ejected": 30,
            "claim_retention": "10min", "quarantine": "10min", "session_time": "4s",
            "stale_after": "2s"},
    })
}

fn write_file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, content).expect("the target directory is writable");
    path
}

fn start_standin(args: &[&str]) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wigeonramp-standin"));
    command.args(args);
    Process::start(command)
}

fn start_host(n: u32, platform: SocketAddr) -> Process {
    let settings = format!(
        "host = \"h{n}\"\nzone = \"z{}\"\ncaller_listen = \"127.0.0.1:0\"\n\
         peer_listen = \"127.0.0.1:0\"\noperator_listen = \"127.0.0.1:0\"\n\
         platform = \"http://{platform}\"\n\n[log]\nlevel = \"warn\"\n",
        n % 2 + 1
    );
    let path = write_file(&format!("host-{n}.toml"), &settings);
    let mut command = Command::new(env!("CARGO_BIN_EXE_wigeonrampd"));
    command.arg("--settings").arg(path);
    Process::start(command)
}

fn query(host: SocketAddr) -> Value {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build()
        .into();
    let body = json!({"collections": ["quotes"], "body": {"part": "A-17"}});
    agent
        .post(format!("http://{host}/v1/query"))
        .header("authorization", format!("Bearer {TOKEN}"))
        .header("x-caller", "quoting")
        .send(body.to_string())
        .expect("the host answers")
        .body_mut()
        .read_json()
        .expect("the response is JSON")
}

/// Guards against a host that covers only the shards of leaves that it holds itself, and against
/// leaves that stay without a holder after their holder was killed.
#[test]
fn a_query_to_any_host_covers_all_shards_also_after_a_kill() {
    let platform = start_standin(&["platform", "--listen", "127.0.0.1:0"]);
    let mut document = document();
    let path = write_file("document.json", &document.to_string());
    let leaves = start_standin(&[
        "leaves",
        "--deployment",
        path.to_str().expect("the path is text"),
        "--control",
        "127.0.0.1:0",
    ]);
    for (id, address) in leaves.ready["leaves"].as_object().expect("leaves by id") {
        document["leaves"][id]["address"] = address.clone();
    }
    let store = HttpStore::new(platform.address("platform"), HttpStoreTimeouts::default());
    store
        .put("config/current", &document.to_string(), Precondition::Create)
        .expect("the platform is up");
    let mut hosts: Vec<Process> =
        (0..3).map(|n| start_host(n, platform.address("platform"))).collect();
    hosts.iter().for_each(assert_full_coverage);
    // The other hosts take its leaves over; until then replicas that they hold are used, if any.
    hosts.remove(0);
    hosts.iter().for_each(assert_full_coverage);
}

fn assert_full_coverage(host: &Process) {
    let start = Instant::now();
    let coverage = loop {
        let response = query(host.address("caller"));
        let coverage = response["collections"][0]["coverage"].clone();
        if coverage["covered"] == json!(SHARDS) || start.elapsed() > TIMEOUT {
            break coverage;
        }
    };
    assert_eq!(coverage, json!({"covered": SHARDS, "total": SHARDS, "missing": []}));
}
