//! A small in-process cluster of simulated leaves and data paths with a static control plane.

use {
    indexmap::IndexMap,
    serde_json::{Value, json},
    sha2::{Digest as Sha2Digest, Sha256},
    std::{
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    ureq::{Agent, http::StatusCode},
    wigeonramp_config::{
        Document, HostSettings, LogSettings,
        caller_api::{QueryOutcome, QueryResponse},
    },
    wigeonramp_daemon::{
        caller::handler::{EntryAddressList, EntryAddresses},
        data_path::DataPath,
        entry::{
            QueryRequest,
            claims::{ClaimDecision, ClaimedOutcome, RequestClaims},
            request::CallerIdentity,
        },
        holder::leaf::HoldingStart,
        observe::Observer,
        peer::server::PeerControl,
        view::{ClusterView, Holder, HolderRights, HostView, SharedView},
    },
    wigeonramp_proto::peer::{
        FetchDocumentReply, FetchDocumentRequest, Heartbeat, PromiseReply, PromiseRequest,
        ReleaseReply, ReleaseRequest,
    },
    wigeonramp_serving::upstream::Rights,
    wigeonramp_standin::leaves::{
        self, LeafFault, LeafSelector, LeafSettings, Leaves, LeavesOptions, RowInputs, Rows,
        ServiceTime,
    },
    wigeonramp_telemetry::{
        metrics::Metrics,
        timeline::{EventKind, Timeline, TimelineFilter},
    },
    wigeonramp_units::{Epoch, Instant, LeafId, Percent, SnapshotId, Span},
};

/// Maximum number of events in the timeline of a host.
const TIMELINE_CAPACITY: usize = 4096;
pub const SNAPSHOT: SnapshotId = SnapshotId(7);
/// Longest time that these tests wait for a condition or a response.
pub const TIMEOUT: Duration = Duration::from_secs(20);

/// A control plane that gives full rights to all leaves and grants every claim, unless a test
/// disables this.
#[derive(Default)]
pub struct StaticControl {
    pub claims_fail: AtomicBool,
    /// Whether the host has no rights to send to leaves.
    pub rights_lost: AtomicBool,
}

impl HolderRights for StaticControl {
    fn rights(&self, _: &LeafId, _: Instant) -> Rights {
        if self.rights_lost.load(Ordering::Acquire) { Rights::None } else { Rights::Full }
    }

    fn deadline_cap(&self, now: Instant) -> Instant {
        now + Span::secs(4)
    }
}

impl EntryAddresses for StaticControl {
    fn entry_addresses(&self, _: &CallerIdentity) -> EntryAddressList {
        EntryAddressList { addresses: Vec::new(), lifetime: Span::secs(5) }
    }
}

impl PeerControl for StaticControl {
    fn heartbeat(&self, _: Heartbeat) -> Heartbeat {
        Heartbeat::default()
    }

    fn fetch(&self, _: FetchDocumentRequest) -> FetchDocumentReply {
        FetchDocumentReply::default()
    }

    fn release(&self, _: ReleaseRequest) -> ReleaseReply {
        ReleaseReply::default()
    }

    fn promise(&self, _: PromiseRequest) -> PromiseReply {
        PromiseReply::default()
    }
}

impl RequestClaims for StaticControl {
    fn claim(&self, _: &QueryRequest) -> ClaimDecision {
        if self.claims_fail.load(Ordering::Acquire) {
            return ClaimDecision::NotRun("the claim could not be written".to_owned());
        }
        ClaimDecision::Granted
    }

    fn record(&self, _: &QueryRequest, _: &ClaimedOutcome) {}
}

pub struct Host {
    pub control: Arc<StaticControl>,
    pub data: DataPath<StaticControl>,
}

impl Host {
    fn start(n: usize, caller_workers: u32) -> Self {
        let control = Arc::new(StaticControl::default());
        let boot = format!("b{n}").parse().expect("a boot id");
        let settings = settings(n, caller_workers);
        let shared_view = Arc::new(SharedView::new());
        let data =
            DataPath::start(&settings, &boot, Arc::clone(&control), shared_view, observer(n))
                .expect("the host starts");
        Self { control, data }
    }
}

/// Configuration of a test cluster.
pub struct ClusterOptions {
    pub caller_workers: u32,
    pub canary: bool,
    pub cold_per_second: u32,
    pub hosts: usize,
    pub service: Span,
    pub shards: u32,
    pub start_warm: bool,
}

impl Default for ClusterOptions {
    fn default() -> Self {
        Self {
            caller_workers: 16,
            canary: false,
            cold_per_second: 50,
            hosts: 2,
            service: Span::millis(1),
            shards: 4,
            start_warm: true,
        }
    }
}

pub struct Cluster {
    pub document: Arc<Document>,
    pub hosts: Vec<Host>,
    pub leaves: Leaves,
}

fn token_hash(token: &str) -> String {
    Sha256::digest(token.as_bytes()).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn document(options: &ClusterOptions) -> Value {
    let mut shards = serde_json::Map::new();
    let mut leaves = serde_json::Map::new();
    for n in 0..options.shards {
        shards.insert(format!("s{n}"), json!([format!("s{n}-a"), format!("s{n}-b")]));
        for (replica, zone) in [("a", "z1"), ("b", "z2")] {
            let leaf = json!({"address": "127.0.0.1:0", "zone": zone, "collection": "quotes",
                "state": "in"});
            leaves.insert(format!("s{n}-{replica}"), leaf);
        }
    }
    let caller = |member: &str, token: &str| json!({"member": member, "priority": "ordinary", "token_sha256": token_hash(token)});
    json!({
        "version": 1, "op": "first",
        "zones": {"z1": {"region": "r", "state": "in"}, "z2": {"region": "r", "state": "in"}},
        "members": {"m1": {}, "m2": {}},
        "callers": {"c1": caller("m1", "t1"), "c2": caller("m2", "t2")},
        "collections": {"quotes": {
            "prefer": "coverage", "soft_deadline": "500ms", "max_deadline": "3s",
            "hedge": true, "canary": options.canary,
            "leaf_limits": {"slots": 2, "connections": 20, "connect_cost": "1ms",
                "cold_in_flight": 1, "cold_per_second": options.cold_per_second},
            "maps": [{"version": 1, "from_snapshot": SNAPSHOT.get(), "shards": shards}],
        }},
        "leaves": leaves,
        "limits": {"entry_lifetime": "5s", "max_body": 4096, "hedge_budget": 5,
            "retry_budget": 10, "ordinary_floor": 10, "max_ejected": 30,
            "claim_retention": "10min", "quarantine": "10min", "session_time": "4s",
            "stale_after": "2s"},
    })
}

fn settings(n: usize, caller_workers: u32) -> HostSettings {
    let any = "127.0.0.1:0".parse().expect("an address");
    HostSettings {
        host: format!("h{n}").parse().expect("a host id"),
        zone: format!("z{}", n % 2 + 1).parse().expect("a zone id"),
        caller_listen: any,
        peer_listen: any,
        operator_listen: any,
        platform: "http://127.0.0.1:1".to_owned(),
        seeds: Vec::new(),
        caller_workers,
        log: LogSettings::default(),
    }
}

fn observer(n: usize) -> Arc<Observer> {
    let host = settings(n, 1);
    let boot = format!("b{n}").parse().expect("a boot id");
    let timeline = Timeline::new(host.host, host.zone, boot, TIMELINE_CAPACITY);
    Arc::new(Observer::new(Arc::new(timeline), Arc::new(Metrics::new())))
}

impl Cluster {
    pub fn start(options: &ClusterOptions) -> Self {
        let mut document: Document =
            serde_json::from_value(document(options)).expect("the document is well formed");
        let service = ServiceTime { median: options.service, ..ServiceTime::default() };
        let leaves_options = LeavesOptions {
            ephemeral_ports: true,
            start_warm: options.start_warm,
            settings: LeafSettings { service, ..LeafSettings::default() },
            ..LeavesOptions::default()
        };
        let leaves = leaves::start(&document, &leaves_options).expect("the leaves start");
        for (id, leaf) in &mut document.leaves {
            leaf.address = leaves.address(id).expect("every leaf was started");
        }
        let hosts = (0..options.hosts).map(|n| Host::start(n, options.caller_workers)).collect();
        let cluster = Self { document: Arc::new(document), hosts, leaves };
        cluster.adopt_view();
        cluster
    }

    /// Starts a host that has not adopted a configuration. Returns its index.
    pub fn add_host_without_view(&mut self) -> usize {
        let n = self.hosts.len();
        self.hosts.push(Host::start(n, 16));
        n
    }

    /// Gives every host the same view. With several hosts, the replicas of a shard have different
    /// holders.
    fn adopt_view(&self) {
        let hosts = self.hosts.iter().map(|host| HostView {
            caller_address: host.data.addresses().caller,
            host: host.data.instance().host(),
            instance: host.data.instance().clone(),
            leaving: false,
            load: Percent(0),
            peer_address: host.data.addresses().peer,
            zone: "z1".parse().expect("a zone id"),
        });
        let hosts: Vec<HostView> = hosts.collect();
        let holders: IndexMap<LeafId, Holder> = self
            .document
            .leaves
            .keys()
            .enumerate()
            .map(|(n, leaf)| {
                let host = &hosts[n % hosts.len()];
                let holder = Holder {
                    address: host.peer_address,
                    epoch: Epoch(1),
                    instance: host.instance.clone(),
                    releasing: None,
                };
                (leaf.clone(), holder)
            })
            .collect();
        for host in &self.hosts {
            let view = ClusterView {
                document: Arc::clone(&self.document),
                holders: holders.clone(),
                hosts: hosts.clone(),
            };
            host.data.apply_view(view, |_| HoldingStart::Cold);
        }
    }

    pub fn fault(&self, prefix: &str, fault: LeafFault) {
        self.leaves.inject_fault(LeafSelector::prefix(prefix), fault).expect("the leaves exist");
    }

    /// Returns the number of events of one kind on all hosts.
    pub fn count_events(&self, kind: EventKind) -> usize {
        let filter = TimelineFilter { kind: Some(kind), ..TimelineFilter::default() };
        self.hosts.iter().map(|host| host.data.observer().timeline().read(&filter).len()).sum()
    }

    /// Returns the text of a host's last event of one kind, or an empty string.
    pub fn last_event(&self, host: usize, kind: EventKind) -> String {
        let filter = TimelineFilter { kind: Some(kind), ..TimelineFilter::default() };
        let events = self.hosts[host].data.observer().timeline().read(&filter);
        events.last().map(ToString::to_string).unwrap_or_default()
    }

    /// Sends an idempotent query to all shards.
    pub fn query(&self, host: usize, body: &Value) -> QueryResponse {
        let request = json!({"collections": ["quotes"], "body": body});
        let reply = self.post(host, &Login::FIRST, request.to_string());
        serde_json::from_str(&reply.text).unwrap_or_else(|err| panic!("{err}: {}", reply.text))
    }

    pub fn post(&self, host: usize, login: &Login, body: String) -> HttpReply {
        let address = self.hosts[host].data.addresses().caller;
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(TIMEOUT))
            .build()
            .into();
        let mut response = agent
            .post(format!("http://{address}/v1/query"))
            .header("authorization", format!("Bearer {}", login.token))
            .header("x-caller", login.caller)
            .send(body)
            .expect("the host answers");
        let text = response.body_mut().read_to_string().expect("the response is text");
        HttpReply { status: response.status(), text }
    }

    /// Sends queries until the response of each host covers all shards and every leaf has answered.
    /// Each leaf then has a connection, and an earlier response that a fault can repeat.
    pub fn warm_up(&self) {
        let begun = std::time::Instant::now();
        for host in 0..self.hosts.len() {
            while covered(&self.query(host, &json!("warm-up"))) < self.shards() {
                assert!(begun.elapsed() < TIMEOUT, "the responses did not cover all shards");
            }
        }
        let all_answered =
            || self.leaves.statuses("").iter().all(|leaf| leaf.counters.answered > 0);
        while !all_answered() {
            self.query(0, &json!("warm-up"));
            assert!(begun.elapsed() < TIMEOUT, "some leaves did not answer");
        }
    }

    pub fn shards(&self) -> u32 {
        let map = &self.document.collections[0].maps[0];
        u32::try_from(map.shards.len()).expect("few shards")
    }
}

pub struct Login {
    pub caller: &'static str,
    pub token: &'static str,
}

impl Login {
    pub const FIRST: Self = Self { caller: "c1", token: "t1" };
    pub const SECOND: Self = Self { caller: "c2", token: "t2" };
}

pub struct HttpReply {
    pub status: StatusCode,
    pub text: String,
}

/// Returns the number of covered shards of the first collection.
pub fn covered(response: &QueryResponse) -> u32 {
    response.collections.first().map_or(0, |collection| collection.coverage.covered)
}

/// Checks that the coverage matches the shards in the response, and that the rows are those of the
/// query and the member.
pub fn assert_consistent(response: &QueryResponse, member: &str, body: &Value, shards: u32) {
    assert_eq!(response.outcome, QueryOutcome::Done);
    let collection = &response.collections[0];
    let coverage = &collection.coverage;
    assert_eq!(coverage.total, shards);
    assert_eq!(coverage.covered as usize, collection.parts.len());
    assert_eq!(coverage.total as usize, collection.parts.len() + coverage.missing.len());
    let query_body = body.to_string();
    let member = member.parse().expect("a member id");
    for part in &collection.parts {
        assert!(coverage.missing.iter().all(|missing| missing.shard != part.shard));
        let rows: Rows = serde_json::from_str(&part.payload).expect("the rows are complete");
        let inputs = RowInputs {
            shard: &part.shard,
            member: &member,
            snapshot: collection.snapshot.expect("parts have a snapshot"),
            body: query_body.as_bytes(),
        };
        assert_eq!(rows, Rows::compute(inputs, part.rows));
    }
}
