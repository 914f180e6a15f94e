//! A small cluster in this process: leaf stand-ins and data paths with a fixed control side.

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
        caller::handler::{EntryAddresses, EntryChoice},
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

/// Events that the timeline of a host keeps.
const RING: usize = 4096;
pub const SNAPSHOT: SnapshotId = SnapshotId(7);
/// Longer than any query of these tests may take.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Control side that changes its mind only when told, and grants every claim unless told not to.
#[derive(Default)]
pub struct FixedControl {
    pub claims_fail: AtomicBool,
    pub lost: AtomicBool,
}

impl HolderRights for FixedControl {
    fn rights(&self, _: &LeafId, _: Instant) -> Rights {
        if self.lost.load(Ordering::Acquire) { Rights::None } else { Rights::Full }
    }

    fn deadline_cap(&self, now: Instant) -> Instant {
        now + Span::secs(4)
    }
}

impl EntryAddresses for FixedControl {
    fn entry_addresses(&self, _: &CallerIdentity) -> EntryChoice {
        EntryChoice { addresses: Vec::new(), lifetime: Span::secs(5) }
    }
}

impl PeerControl for FixedControl {
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

impl RequestClaims for FixedControl {
    fn claim(&self, _: &QueryRequest) -> ClaimDecision {
        if self.claims_fail.load(Ordering::Acquire) {
            return ClaimDecision::NotRun("the claim could not be written".to_owned());
        }
        ClaimDecision::Granted
    }

    fn record(&self, _: &QueryRequest, _: &ClaimedOutcome) {}
}

pub struct Host {
    pub control: Arc<FixedControl>,
    pub data: DataPath<FixedControl>,
}

impl Host {
    fn start(n: usize, caller_workers: u32) -> Self {
        let control = Arc::new(FixedControl::default());
        let boot = format!("b{n}").parse().expect("a boot id");
        let settings = settings(n, caller_workers);
        let shared_view = Arc::new(SharedView::new());
        let data =
            DataPath::start(&settings, &boot, Arc::clone(&control), shared_view, observer(n))
                .expect("the host starts");
        Self { control, data }
    }
}

/// What a test changes about the cluster.
pub struct Shape {
    pub caller_workers: u32,
    pub canary: bool,
    pub cold_per_second: u32,
    pub hosts: usize,
    pub service: Span,
    pub shards: u32,
    pub start_warm: bool,
}

impl Default for Shape {
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

fn document(shape: &Shape) -> Value {
    let mut shards = serde_json::Map::new();
    let mut leaves = serde_json::Map::new();
    for n in 0..shape.shards {
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
            "hedge": true, "canary": shape.canary,
            "leaf_limits": {"slots": 2, "connections": 20, "connect_cost": "1ms",
                "cold_in_flight": 1, "cold_per_second": shape.cold_per_second},
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
    let timeline = Timeline::new(host.host, host.zone, boot, RING);
    Arc::new(Observer::new(Arc::new(timeline), Arc::new(Metrics::new())))
}

impl Cluster {
    pub fn start(shape: &Shape) -> Self {
        let mut document: Document =
            serde_json::from_value(document(shape)).expect("the document is well formed");
        let service = ServiceTime { median: shape.service, ..ServiceTime::default() };
        let options = LeavesOptions {
            ephemeral_ports: true,
            start_warm: shape.start_warm,
            settings: LeafSettings { service, ..LeafSettings::default() },
            ..LeavesOptions::default()
        };
        let leaves = leaves::start(&document, &options).expect("the leaves start");
        for (id, leaf) in &mut document.leaves {
            leaf.address = leaves.address(id).expect("every leaf was started");
        }
        let hosts = (0..shape.hosts).map(|n| Host::start(n, shape.caller_workers)).collect();
        let cluster = Self { document: Arc::new(document), hosts, leaves };
        cluster.adopt();
        cluster
    }

    /// Starts a host that has not adopted a configuration; returns its number.
    pub fn add_host_without_view(&mut self) -> usize {
        let n = self.hosts.len();
        self.hosts.push(Host::start(n, 16));
        n
    }

    /// Gives every host the same view; the replicas of a shard have different holders.
    fn adopt(&self) {
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
            host.data.adopt(view, |_| HoldingStart::Cold);
        }
    }

    pub fn fault(&self, prefix: &str, fault: LeafFault) {
        self.leaves.inject_fault(LeafSelector::prefix(prefix), fault).expect("the leaves exist");
    }

    /// Events of one kind at all hosts.
    pub fn events(&self, kind: EventKind) -> usize {
        let filter = TimelineFilter { kind: Some(kind), ..TimelineFilter::default() };
        self.hosts.iter().map(|host| host.data.observer().timeline().read(&filter).len()).sum()
    }

    /// Text of a host's last event of one kind.
    pub fn last_event(&self, host: usize, kind: EventKind) -> String {
        let filter = TimelineFilter { kind: Some(kind), ..TimelineFilter::default() };
        let events = self.hosts[host].data.observer().timeline().read(&filter);
        events.last().map(ToString::to_string).unwrap_or_default()
    }

    pub fn ask(&self, host: usize, body: &Value) -> QueryResponse {
        let request = json!({"collections": ["quotes"], "body": body});
        let answer = self.post(host, &Login::FIRST, request.to_string());
        serde_json::from_str(&answer.text).unwrap_or_else(|err| panic!("{err}: {}", answer.text))
    }

    pub fn post(&self, host: usize, login: &Login, body: String) -> Answer {
        let address = self.hosts[host].data.addresses().caller;
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(PATIENCE))
            .build()
            .into();
        let mut response = agent
            .post(format!("http://{address}/v1/query"))
            .header("authorization", format!("Bearer {}", login.token))
            .header("x-caller", login.caller)
            .send(body)
            .expect("the host answers");
        let text = response.body_mut().read_to_string().expect("the answer is text");
        Answer { status: response.status(), text }
    }

    /// Asks until the answer covers everything and every leaf has answered: each then has a
    /// connection, and an earlier answer that a fault can repeat.
    pub fn warm_up(&self) {
        let begun = std::time::Instant::now();
        for host in 0..self.hosts.len() {
            while covered(&self.ask(host, &json!("warm-up"))) < self.shards() {
                assert!(begun.elapsed() < PATIENCE, "the answer never covered everything");
            }
        }
        let answered = || self.leaves.statuses("").iter().all(|leaf| leaf.counters.answered > 0);
        while !answered() {
            self.ask(0, &json!("warm-up"));
            assert!(begun.elapsed() < PATIENCE, "the leaves never all answered");
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

pub struct Answer {
    pub status: StatusCode,
    pub text: String,
}

pub fn covered(answer: &QueryResponse) -> u32 {
    answer.collections.first().map_or(0, |collection| collection.coverage.covered)
}

/// Checks that the answer says exactly what it contains, and that every row is the right one.
pub fn assert_truthful(answer: &QueryResponse, member: &str, body: &Value, shards: u32) {
    assert_eq!(answer.outcome, QueryOutcome::Done);
    let collection = &answer.collections[0];
    let coverage = &collection.coverage;
    assert_eq!(coverage.total, shards);
    assert_eq!(coverage.covered as usize, collection.parts.len());
    assert_eq!(coverage.total as usize, collection.parts.len() + coverage.missing.len());
    let sent = body.to_string();
    let member = member.parse().expect("a member id");
    for part in &collection.parts {
        assert!(coverage.missing.iter().all(|missing| missing.shard != part.shard));
        let rows: Rows = serde_json::from_str(&part.payload).expect("the rows are whole");
        let source = RowInputs {
            shard: &part.shard,
            member: &member,
            snapshot: collection.snapshot.expect("parts have a snapshot"),
            body: sent.as_bytes(),
        };
        assert_eq!(rows, Rows::compute(source, part.rows));
    }
}
