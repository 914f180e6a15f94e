//! The cases.

use {
    crate::{
        Outcome,
        client::{Clients, is_ready},
        host::{Host, Net, SIGTERM, ZONES},
        leaf::{Arrival, Leaf, Spec},
        record::Record,
        store::Store,
    },
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::{Arc, Mutex},
        thread,
        time::{Duration, Instant},
    },
};

/// Bounds of the settings.
const CONTACT: Duration = Duration::from_millis(4_000);
const CONFIG_APPLY: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(3_000);

fn secs(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

fn text(err: std::io::Error) -> String {
    err.to_string()
}

/// A small deployment: store, leaves of one service, hosts and clients.
struct Fleet {
    store: Store,
    hosts: Vec<Host>,
    leaves: Vec<Leaf>,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    clients: Clients,
    record: Record,
    start: Instant,
}

struct Size {
    hosts: usize,
    leaves: usize,
    slots: u32,
    work_ms: u64,
    timeout_ms: u64,
    crashes_at: Option<&'static str>,
}

const SERVICE: &str = "docs";

/// Returns a manifest whose routes `/NAME/` all lead to the only service.
fn manifest(version: u32, names: &[&str], timeout_ms: u64) -> String {
    let host = crate::client::HOST_NAME;
    let route = |name: &&str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"{host}\",\"path_prefix\":\"/{name}/\",\
             \"kind\":\"safe\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":600,\
             \"priority\":2,\"attempts\":2,\"service\":\"{SERVICE}\"}}"
        )
    };
    let routes: Vec<String> = names.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\
         \"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"connection_limit\":248,\"warmup_s\":3.0,\"warmup_per_s\":0}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}}}",
        routes.join(",")
    )
}

impl Fleet {
    fn start(size: &Size, daemon: &str, work: &str, record: &Record) -> Result<Self, String> {
        let net = Net::find().map_err(text)?;
        let store = Store::new(record);
        store.put("config", "main", manifest(3, &["docs"], size.timeout_ms).as_bytes());
        let arrivals = Arc::default();
        let mut leaves = Vec::new();
        for n in 0..size.leaves {
            let spec = Spec {
                id: format!("i-{n:04x}"),
                service: SERVICE,
                zone: ZONES[n % ZONES.len()].to_owned(),
                ip: net.ip(100),
                slots: size.slots,
                work: Duration::from_millis(size.work_ms),
            };
            let leaf = Leaf::start(spec, size.crashes_at, &store, &arrivals, record);
            leaves.push(leaf.map_err(text)?);
        }
        let mut hosts = Vec::new();
        for n in 1..=size.hosts {
            let address = store.listen(&net.ip(200), n).map_err(text)?;
            let host = Host::start(&net, n, size.hosts, address, daemon, work, record);
            hosts.push(host.map_err(text)?);
        }
        let directories = hosts.iter().map(|host| host.directory).collect();
        let clients = Clients::new(directories, record);
        let start = Instant::now();
        let fleet =
            Self { store, hosts, leaves, arrivals, clients, record: record.clone(), start };
        for host in &fleet.hosts {
            while !is_ready(host.readiness) {
                if start.elapsed() > secs(15.0) {
                    return Err(format!("{} is not ready", host.name));
                }
                thread::sleep(secs(0.05));
            }
        }
        // Traffic starts 10 s after the machines.
        fleet.wait_until(10.0);
        Ok(fleet)
    }

    fn wait_until(&self, seconds: f64) {
        thread::sleep((self.start + secs(seconds)).saturating_duration_since(Instant::now()));
    }

    fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    fn report_answers(&self) {
        let mut statuses = std::collections::BTreeMap::new();
        for answer in self.clients.answers() {
            *statuses.entry(answer.status).or_insert(0) += 1;
        }
        self.record.say(&format!("answers by status (0: none): {statuses:?}"));
    }
}

pub fn run(
    case: &str,
    daemon: &str,
    work: &str,
    record: Record,
    trouble: bool,
) -> Result<Outcome, String> {
    match case {
        "unreadable-entry" => unreadable_entry(daemon, work, &record, trouble),
        "stopped-without-manifest" => stopped_without_manifest(daemon, work, &record, trouble),
        "watchers-limited" => watchers_turned_away(daemon, work, &record, trouble, true),
        "watchers-unanswered" => watchers_turned_away(daemon, work, &record, trouble, false),
        "crashing-request" => crashing_request(daemon, work, &record, trouble),
        _ => Err(format!("unknown case {case}")),
    }
}

/// An entry of another writer with bytes that can't be read; then a leaf reports `draining`.
fn unreadable_entry(
    daemon: &str,
    work: &str,
    record: &Record,
    trouble: bool,
) -> Result<Outcome, String> {
    let size =
        Size { hosts: 3, leaves: 6, slots: 3, work_ms: 20, timeout_ms: 5_000, crashes_at: None };
    let mut fleet = Fleet::start(&size, daemon, work, record)?;
    for (n, zone) in ZONES.into_iter().enumerate() {
        fleet.clients.start(zone, n, "/docs/", secs(0.1), secs(5.0));
    }
    fleet.wait_until(13.0);
    if trouble {
        let entry = match std::env::var("VARIANT").as_deref() {
            // The bytes themselves.
            Ok("raw") => b"{\"service\":\"docs\",\"note\":\"\xff\xfe\"}".to_vec(),
            // A field of another type: a number that no floating-point number holds.
            Ok("number") => b"{\"service\":\"docs\",\"slots\":1e400}".to_vec(),
            // A field of another type: lists within lists.
            Ok("nested") => {
                let (open, close) = ("[".repeat(200), "]".repeat(200));
                format!("{{\"service\":\"docs\",\"slots\":{open}{close}}}").into_bytes()
            }
            // A string whose bytes were not text: JSON by its grammar, but no Unicode text.
            _ => b"{\"service\":\"docs\",\"note\":\"\\udcff\\udcfe\"}".to_vec(),
        };
        record.say("another writer's entry appears");
        fleet.store.put("servers", "x-9c41", &entry);
    }
    fleet.wait_until(18.0);
    let leaf = fleet.leaves[0].clone();
    let acked = leaf.register("draining");
    record.say(&format!("leaf {} is draining, acknowledged", leaf.id()));
    // It serves on for drain_ms and a little longer, then it leaves.
    fleet.wait_until(26.0);
    leaf.unregister();
    leaf.end();
    fleet.clients.stop();
    fleet.report_answers();
    let arrivals = fleet.arrivals();
    let to_leaf = arrivals.iter().filter(|a| a.leaf == leaf.id() && a.ran);
    let late: Vec<&Arrival> = to_leaf.filter(|a| a.at > acked + DRAIN).collect();
    record.say(&format!("requests that reached it over {DRAIN:?} after the ack: {}", late.len()));
    if let Some(last) = late.last() {
        record.say(&format!("the last one came {:?} after the ack", last.at - acked));
    }
    // Not judged: what RECOVER says of a loss of power of all machines.
    fleet.hosts.iter_mut().for_each(Host::kill);
    fleet.wait_until(27.0);
    for host in &mut fleet.hosts {
        host.spawn().map_err(text)?;
    }
    fleet.wait_until(40.0);
    let begin = Instant::now();
    for n in 0..50 {
        let front = fleet.hosts[n % fleet.hosts.len()].front;
        fleet.clients.send(front, &format!("/docs/recovered-{n}"), secs(5.0));
    }
    let answers = fleet.clients.answers();
    let served = answers.iter().filter(|a| a.sent >= begin && a.status == 200).count();
    record.say(&format!("not judged: 12 s after all hosts were killed, {served} of 50 are served"));
    Ok(if late.is_empty() { Outcome::Held } else { Outcome::Broken })
}

/// All hosts are killed while the store is down, and are then stopped in turn.
fn stopped_without_manifest(
    daemon: &str,
    work: &str,
    record: &Record,
    trouble: bool,
) -> Result<Outcome, String> {
    let size =
        Size { hosts: 3, leaves: 6, slots: 3, work_ms: 20, timeout_ms: 5_000, crashes_at: None };
    let mut fleet = Fleet::start(&size, daemon, work, record)?;
    for (n, zone) in ZONES.into_iter().enumerate() {
        fleet.clients.start(zone, n, "/docs/", secs(0.1), secs(5.0));
    }
    fleet.wait_until(13.0);
    if trouble {
        fleet.store.set_down(true);
        fleet.wait_until(13.2);
        fleet.hosts.iter_mut().for_each(Host::kill);
        fleet.wait_until(13.7);
        for host in &mut fleet.hosts {
            host.spawn().map_err(text)?;
        }
    }
    // The platform stops the machines in turn, and starts each one again after its end.
    let mut is_down = trouble;
    let mut stopped = 0;
    while fleet.start.elapsed() < secs(30.0) {
        let now = fleet.start.elapsed().as_secs_f64();
        if stopped < fleet.hosts.len() && now >= 14.5 + stopped as f64 {
            fleet.hosts[stopped].signal(SIGTERM);
            stopped += 1;
        }
        if is_down && now >= 17.5 {
            fleet.store.set_down(false);
            is_down = false;
        }
        for host in &mut fleet.hosts[..stopped] {
            if host.has_ended() {
                host.spawn().map_err(text)?;
            }
        }
        thread::sleep(secs(0.02));
    }
    fleet.clients.stop();
    fleet.report_answers();
    let answers = fleet.clients.answers();
    let wrong = answers.iter().filter(|a| a.status == 404).count();
    record.say(&format!("proper requests answered with 404: {wrong}; 10 are allowed"));
    Ok(if wrong > 10 { Outcome::Broken } else { Outcome::Held })
}

/// The store turns away the machines that watch it, a third of all: it answers with 429, or not at
/// all, the latter four times. Then a route is added and a leaf leaves.
fn watchers_turned_away(
    daemon: &str,
    work: &str,
    record: &Record,
    trouble: bool,
    by_429: bool,
) -> Result<Outcome, String> {
    let size =
        Size { hosts: 12, leaves: 9, slots: 3, work_ms: 20, timeout_ms: 5_000, crashes_at: None };
    let fleet = Fleet::start(&size, daemon, work, record)?;
    for (n, zone) in ZONES.into_iter().enumerate() {
        fleet.clients.start(zone, n, "/docs/", secs(0.1), secs(5.0));
    }
    let occasions = if by_429 { 1 } else { 4 };
    let mut broken = false;
    for number in 0..occasions {
        let begin = 14.0 + 24.0 * number as f64;
        let turned_away = if trouble { Some(by_429) } else { None };
        broken |= turn_watchers_away(&fleet, &size, begin, number, turned_away)?;
    }
    fleet.clients.stop();
    fleet.report_answers();
    Ok(if broken { Outcome::Broken } else { Outcome::Held })
}

/// One occasion; `turned_away` tells whether by 429. Returns whether a rule was broken.
fn turn_watchers_away(
    fleet: &Fleet,
    size: &Size,
    begin: f64,
    number: usize,
    turned_away: Option<bool>,
) -> Result<bool, String> {
    let record = &fleet.record;
    fleet.wait_until(begin);
    let watching = fleet.store.watched();
    record.say(&format!("machines that watch the store: {watching:?}"));
    if watching.len() * 100 > size.hosts * 35 {
        return Err("more machines than 0.35 of all watch the store".to_owned());
    }
    match turned_away {
        Some(true) => fleet.store.set_limited(&watching),
        Some(false) => fleet.store.set_silent(&watching),
        None => {}
    }
    fleet.wait_until(begin + 0.05);
    let new_routes: Vec<String> = (0..=number).map(|n| format!("extra-{n}")).collect();
    let mut names: Vec<&str> = new_routes.iter().map(String::as_str).collect();
    names.push("docs");
    let routes = manifest(4 + 3 * number as u32, &names, size.timeout_ms);
    let added = fleet.store.put("config", "main", routes.as_bytes());
    record.say("a manifest with one more route is acknowledged");
    let leaf = fleet.leaves[number].clone();
    let drained = leaf.register("draining");
    record.say(&format!("leaf {} is draining, acknowledged", leaf.id()));
    // Requests on the new route and on the old one go directly to each machine.
    let prefix = format!("/extra-{number}/");
    for (n, host) in fleet.hosts.iter().enumerate() {
        let (clients, front, start) = (fleet.clients.clone(), host.front, fleet.start);
        let target = format!("{prefix}{n}");
        thread::spawn(move || {
            while start.elapsed() < secs(begin + 10.0) {
                clients.send(front, &target, secs(5.0));
                clients.send(front, &format!("/docs/direct-{n}"), secs(5.0));
                thread::sleep(secs(0.1));
            }
        });
    }
    fleet.wait_until(begin + 9.0);
    if turned_away.is_some() {
        fleet.store.set_silent(&BTreeSet::new());
        fleet.store.set_limited(&BTreeSet::new());
    }
    fleet.wait_until(begin + 11.0);
    // Only machines that the store answers are in touch.
    let in_touch: BTreeSet<SocketAddr> = (1..=fleet.hosts.len())
        .filter(|number| turned_away.is_none() || !watching.contains(number))
        .map(|number| fleet.hosts[number - 1].front)
        .collect();
    let answers = fleet.clients.answers();
    let known = answers.iter().filter(|a| in_touch.contains(&a.address));
    let old: Vec<_> = known
        .clone()
        .filter(|a| a.target.starts_with(&prefix) && a.status == 404)
        .filter(|a| a.sent > added + CONFIG_APPLY)
        .collect();
    let latest = old.iter().map(|a| a.sent - added).max();
    record.say(&format!(
        "CONFIG: 404 from machines in touch to requests sent over {CONFIG_APPLY:?} after the ack: \
         {}, the last one {latest:?} after it",
        old.len()
    ));
    let sent: BTreeSet<&str> = known.map(|a| a.id.as_str()).collect();
    let arrivals = fleet.arrivals();
    let late: Vec<&Arrival> = arrivals
        .iter()
        .filter(|a| a.ran && a.leaf == leaf.id() && a.at > drained + DRAIN)
        .filter(|a| sent.contains(a.id.as_str()))
        .collect();
    let latest = late.iter().map(|a| a.at - drained).max();
    record.say(&format!(
        "DRAIN: requests from machines in touch that reached the leaf over {DRAIN:?} after the ack: \
         {}, the last one {latest:?} after it",
        late.len()
    ));
    leaf.unregister();
    leaf.end();
    Ok(!old.is_empty() || !late.is_empty())
}

/// A request that crashes each leaf that begins to run it comes again and again.
fn crashing_request(
    daemon: &str,
    work: &str,
    record: &Record,
    trouble: bool,
) -> Result<Outcome, String> {
    let size = Size {
        hosts: 12,
        leaves: 12,
        slots: 3,
        work_ms: 120,
        timeout_ms: 5_000,
        crashes_at: trouble.then_some("/drum-7719"),
    };
    let fleet = Fleet::start(&size, daemon, work, record)?;
    for (n, zone) in ZONES.into_iter().enumerate() {
        fleet.clients.start(zone, n, "/docs/", secs(4.0), secs(5.0));
    }
    fleet.wait_until(11.0);
    let target = "/docs/drum-7719";
    let all: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.front).collect();
    let mut repeats = 0;
    while fleet.start.elapsed() < secs(105.0) {
        let mut known = all.clone();
        fleet.clients.addresses(ZONES[repeats % ZONES.len()], repeats, &mut known);
        fleet.clients.send(known[repeats % known.len()], target, secs(5.0));
        repeats += 1;
        thread::sleep(secs(5.0));
    }
    fleet.clients.stop();
    fleet.report_answers();
    let arrivals = fleet.arrivals();
    let runs: Vec<&Arrival> = arrivals.iter().filter(|a| a.target == target && a.ran).collect();
    record.say(&format!("the request came {repeats} times and began to run {} times", runs.len()));
    let Some(third) = runs.get(2) else { return Ok(Outcome::Held) };
    let later = runs.iter().filter(|run| run.at > third.at + CONTACT);
    let retries: BTreeSet<&str> = later.map(|run| run.id.as_str()).collect();
    record.say(&format!(
        "retries that reached leaves over {CONTACT:?} after the third run: {}; 3 are allowed",
        retries.len()
    ));
    let crashed = size.crashes_at.is_some();
    Ok(if crashed && retries.len() > 3 { Outcome::Broken } else { Outcome::Held })
}
