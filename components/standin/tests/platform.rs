//! Platform faults as `HttpStore` reports them, and parts of the protocol that the client does not
//! use.

use {
    insta::{assert_json_snapshot, assert_snapshot},
    std::{
        fmt::Write,
        thread::{spawn, yield_now},
        time::{Duration, Instant},
    },
    ureq::Agent,
    wigeonramp_standin::platform::{
        OutageMode, Platform, PlatformCounters, PlatformFault, PlatformOptions, start,
    },
    wigeonramp_store::{
        HttpStore, HttpStoreTimeouts, ObjectStore, PlatformHost, Precondition, ReadOutcome,
        StoreError, WriteOutcome,
    },
    wigeonramp_units::{Revision, Span},
};

fn platform() -> Platform {
    start(&PlatformOptions::default()).expect("platform")
}

fn store(platform: &Platform) -> HttpStore {
    let timeouts = HttpStoreTimeouts { connect: Span::secs(20), call: Span::secs(20) };
    HttpStore::new(platform.address(), timeouts)
}

/// A client with a short timeout, for calls that are expected to get no response.
fn short_timeout_store(platform: &Platform) -> HttpStore {
    let timeouts = HttpStoreTimeouts { connect: Span::secs(2), call: Span::millis(400) };
    HttpStore::new(platform.address(), timeouts)
}

/// A client with an open connection; with a short timeout if its next call is expected to get no
/// response.
fn connected_store(platform: &Platform, no_response: bool) -> HttpStore {
    let store = if no_response { short_timeout_store(platform) } else { store(platform) };
    // On a busy machine the client with the short timeout may time out before the response.
    while store.get("k").is_err() {}
    store
}

/// A fault, whether its clients have an open connection, and which calls are expected to get no
/// response.
struct Case {
    fault: PlatformFault,
    connected: bool,
    put: bool,
    get: bool,
    watch: bool,
}

fn case(fault: PlatformFault, [put, get, watch]: [bool; 3]) -> Case {
    Case { fault, connected: true, put, get, watch }
}

fn client() -> Agent {
    Agent::config_builder().http_status_as_error(false).proxy(None).build().new_agent()
}

fn outcome<T>(result: &Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::Unavailable { .. }) => "unavailable",
        Err(StoreError::Unknown { .. }) => "unknown",
        Err(StoreError::Malformed { .. }) => "malformed",
    }
}

fn stored_body(platform: &Platform, key: &str) -> Option<String> {
    match platform.backing_store().get(key) {
        Ok(ReadOutcome::Found(object)) => Some(object.body),
        _ => None,
    }
}

/// Guards against a fault that the client reports as a wrong outcome, that applies or drops writes
/// contrary to its description, or that stays active after `clear`.
#[test]
fn faults_show_as_the_right_errors() {
    let (none, all, watch) = ([false; 3], [true; 3], [false, false, true]);
    let cases = [
        // A call on an open connection may be sent before the reset arrives; the next test covers
        // that.
        Case { connected: false, ..case(PlatformFault::Outage { mode: OutageMode::Refuse }, none) },
        case(PlatformFault::Outage { mode: OutageMode::Hang }, all),
        case(PlatformFault::Outage { mode: OutageMode::Unavailable }, none),
        case(PlatformFault::Slow { by: Span::secs(60) }, all),
        case(PlatformFault::LostAnswers { writes: 1 }, none),
        case(PlatformFault::SilentWatch { on: true }, watch),
        case(PlatformFault::SilentConnections {}, all),
    ];
    let mut table = String::new();
    for Case { fault, connected, put, get, watch } in cases {
        let platform = platform();
        let [writer, reader, watcher] = [put, get, watch].map(|no_response| match connected {
            true => connected_store(&platform, no_response),
            false => store(&platform),
        });
        platform.inject_fault(&fault);
        let put = writer.put("k", "v", Precondition::Create);
        let written = stored_body(&platform, "k").is_some();
        let get = reader.get("k");
        let watch = watcher.watch("k", Revision(9), Span::millis(1));
        platform.inject_fault(&PlatformFault::Clear {});
        let after = store(&platform).get("k");
        let name = serde_json::to_string(&fault).expect("fault");
        let [put, get, watch, after] =
            [outcome(&put), outcome(&get), outcome(&watch), outcome(&after)];
        writeln!(
            table,
            "{name}: put {put}, written {written}, get {get}, watch {watch}, cleared {after}"
        )
        .expect("write");
    }
    assert_snapshot!(table);
}

/// Guards against a call that takes effect, or is reported as done or refused, although its
/// connection is being reset, and against reuse of a reset connection.
#[test]
fn open_connections_fail_as_unavailable_or_unknown_when_calls_are_refused() {
    let platform = platform();
    let [writer, reader, watcher] = [(); 3].map(|()| connected_store(&platform, false));
    platform.inject_fault(&PlatformFault::Outage { mode: OutageMode::Refuse });
    let put = || outcome(&writer.put("k", "v", Precondition::Create));
    let get = || outcome(&reader.get("k"));
    let watch = || outcome(&watcher.watch("k", Revision(9), Span::millis(1)));
    for first in [put(), get(), watch()] {
        assert!(["unavailable", "unknown"].contains(&first), "{first}");
    }
    assert_eq!([put(), get(), watch()], ["unavailable"; 3]);
    assert_eq!(stored_body(&platform, "k"), None);
    platform.inject_fault(&PlatformFault::Clear {});
    assert_eq!(stored_body(&platform, "k"), None);
    assert_eq!(get(), "ok");
}

/// Guards against stale reads that also make conditional writes compare with the old revision.
#[test]
fn stale_reads_leave_writes_current() {
    let platform = platform();
    let store = store(&platform);
    store.put("k", "old", Precondition::Create).expect("create");
    platform.inject_fault(&PlatformFault::StaleReads { on: true });
    let put = store.put("k", "new", Precondition::Revision(Revision(1)));
    assert_eq!(put, Ok(WriteOutcome::Written(Revision(2))));
    let Ok(ReadOutcome::Found(stale)) = store.get("k") else { panic!("no object") };
    assert_eq!(stale.body, "old");
    platform.inject_fault(&PlatformFault::StaleReads { on: false });
    let Ok(ReadOutcome::Found(fresh)) = store.get("k") else { panic!("no object") };
    assert_eq!(fresh.body, "new");
}

/// Guards against a watch that keeps waiting after its key changed, and against many waiting
/// watches that block other calls.
#[test]
fn writes_wake_many_waiting_watches() {
    const WATCHES: u64 = 64;
    let platform = platform();
    let watchers: Vec<_> = (0..WATCHES)
        .map(|_| {
            let store = store(&platform);
            spawn(move || store.watch("config/", Revision(0), Span::secs(30)))
        })
        .collect();
    let start = Instant::now();
    while platform.counters().watch < WATCHES {
        assert!(start.elapsed() < Duration::from_secs(20), "watches did not arrive");
        yield_now();
    }
    let store = store(&platform);
    store.put("other", "{}", Precondition::Create).expect("other");
    store.put("config/current", "{}", Precondition::Create).expect("create");
    for watcher in watchers {
        let changes = watcher.join().expect("thread").expect("watch");
        assert_eq!(changes.len(), 1);
        assert_eq!(changes[0].revision, Revision(2));
    }
    assert!(start.elapsed() < Duration::from_secs(30), "watches waited to their end");
}

/// Guards against a host list that shows changes before the configured lag.
#[test]
fn host_list_lags() {
    let lag = Span::secs(3600);
    let options = PlatformOptions { hosts_lag: lag, ..PlatformOptions::default() };
    let lagging = start(&options).expect("platform");
    let undelayed = platform();
    let row = r#"[{"host":"h1","zone":"z1","address":"127.0.0.1:1","leaving":false}]"#;
    for platform in [&lagging, &undelayed] {
        let url = format!("http://{}/v1/hosts", platform.address());
        assert_eq!(client().post(url).send(row).expect("post").status(), 204);
    }
    let expected: Vec<PlatformHost> = serde_json::from_str(row).expect("row");
    assert_eq!(store(&lagging).hosts(), Ok(Vec::new()));
    assert_eq!(store(&undelayed).hosts(), Ok(expected));
}

/// Guards against accepting writes without a precondition, oversized values and malformed calls.
#[test]
fn api_refuses_what_the_protocol_forbids() {
    let platform = platform();
    let base = format!("http://{}/v1", platform.address());
    let put = |key: &str, header: (&str, &str), body: &[u8]| {
        let req = client().put(format!("{base}/objects/{key}")).header(header.0, header.1);
        req.send(body).expect("response").status().as_u16()
    };
    let get = |path: &str| {
        client().get(format!("{base}/{path}")).call().expect("response").status().as_u16()
    };
    let limit = 1024 * 1024;
    let statuses = [
        ("no condition", put("k", ("x-other", "1"), b"v")),
        ("bare revision", put("k", ("if-match", "1"), b"v")),
        ("bad if-none-match", put("k", ("if-none-match", "\"1\""), b"v")),
        ("not UTF-8", put("k", ("if-none-match", "*"), b"\xff")),
        ("not a key", put("a%20b", ("if-none-match", "*"), b"v")),
        ("1 MiB", put("k", ("if-none-match", "*"), &vec![b'x'; limit])),
        ("over 1 MiB", put("l", ("if-none-match", "*"), &vec![b'x'; limit + 1])),
        ("false condition", put("k", ("if-match", "\"9\""), b"v")),
        ("missing object", get("objects/none")),
        ("watch without after", get("watch?prefix=k&wait_ms=1")),
        ("unknown path", get("unknown")),
    ];
    assert_json_snapshot!(statuses);
}

/// Guards against calls that are counted as the wrong kind, and against accepting malformed control
/// requests.
#[test]
fn control_counts_calls_and_refuses_unknown_faults() {
    let platform = platform();
    let store = store(&platform);
    store.get("k").expect("get");
    store.list("k").expect("list");
    store.put("k", "v", Precondition::Create).expect("put");
    store.put("k", "v", Precondition::Create).expect("conflict");
    store.delete("k", Revision(1)).expect("delete");
    store.watch("k", Revision(0), Span::ZERO).expect("watch");
    store.hosts().expect("hosts");
    let control = platform.addresses().control;
    let mut response = client().get(format!("http://{control}/counters")).call().expect("counters");
    let text = response.body_mut().read_to_string().expect("text");
    let counters: PlatformCounters = serde_json::from_str(&text).expect("counters");
    assert_json_snapshot!("platform_counters", counters);
    let post = |body: &str| {
        let url = format!("http://{control}/faults");
        client().post(url).send(body).expect("response").status().as_u16()
    };
    assert_eq!(post(r#"{"kind":"outage","mode":"unavailable"}"#), 204);
    assert!(matches!(store.get("k"), Err(StoreError::Unavailable { .. })));
    assert_eq!(post(r#"{"kind":"clear"}"#), 204);
    assert_eq!(post(r#"{"kind":"clear","mode":"hang"}"#), 400);
    assert_eq!(post(r#"{"kind":"slow","by":"soon"}"#), 400);
}
