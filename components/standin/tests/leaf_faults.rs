//! Faults of leaves as a client observes them.

mod common;

use {
    crate::common::{
        LeafResponse, SearchRequest, address, client, counters, fixed_service_time, inject_fault,
        short_timeout_client, start_warm_leaves, wait_for,
    },
    insta::assert_snapshot,
    std::{fmt::Write, thread::spawn},
    ureq::Error as HttpError,
    wigeonramp_standin::leaves::{
        Health, HealthReport, LeafFault, LeafSelector, LeafSettings, Leaves,
    },
    wigeonramp_units::{MapVersion, Percent, SnapshotId, Span},
};

const ALL: Percent = Percent(100);

fn send_search(leaves: &Leaves, attempt: u64) -> Result<LeafResponse, HttpError> {
    SearchRequest::new(attempt).send(&client(), address(leaves, "a1"))
}

fn search_status(leaves: &Leaves, attempt: u64) -> u16 {
    send_search(leaves, attempt).expect("response").status
}

fn health(leaves: &Leaves) -> Health {
    let url = format!("http://{}/health", address(leaves, "a1"));
    let mut response = client().get(&url).call().expect("health");
    let text = response.body_mut().read_to_string().expect("body");
    serde_json::from_str(&text).expect("health")
}

/// Guards against faulty responses that a client cannot tell from correct ones, and against faults
/// that stay active after `clear`.
#[test]
fn faulty_answers_differ_in_what_readers_check() {
    let leaves = start_warm_leaves(fixed_service_time(Span::millis(1)));
    let percent = ALL;
    let faults = [
        (LeafFault::TruncatedBody { percent }, client()),
        (LeafFault::WrongDigest { percent }, client()),
        (LeafFault::DoubledHeaders { percent }, client()),
        (LeafFault::CrossedHeaders { percent }, client()),
        (LeafFault::CrossedAnswer { percent }, client()),
        (LeafFault::Late { percent, by: Span::secs(60) }, short_timeout_client()),
        (LeafFault::Straggle { percent, factor: 60_000 }, short_timeout_client()),
        (LeafFault::Shed { percent }, client()),
        (LeafFault::Leaving { on: true }, client()),
        (LeafFault::DropSnapshot { snapshot: SnapshotId(10) }, client()),
    ];
    let to = address(&leaves, "a1");
    let mut table = String::new();
    for (injected, search_client) in faults {
        let name = serde_json::to_string(&injected).expect("fault");
        let before = SearchRequest::new(1).with_header("x-member", "m2").send(&client(), to);
        assert_eq!(before.expect("response").status, 200);
        inject_fault(&leaves, injected);
        let seen = match SearchRequest::new(2).send(&search_client, to) {
            Ok(response) => format!(
                "{} attempt={} member={} digest matches={} cut={}",
                response.status,
                response.header("x-attempt"),
                response.header("x-member"),
                response.digest_matches(),
                response.truncated
            ),
            Err(err) => err.to_string(),
        };
        writeln!(table, "{name}: {seen}").expect("write");
        inject_fault(&leaves, LeafFault::Clear {});
    }
    assert_snapshot!(table);
}

/// Guards against a delayed response that keeps its slot occupied.
#[test]
fn late_answers_free_their_slots() {
    let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
    let to = address(&leaves, "a1");
    inject_fault(&leaves, LeafFault::Late { percent: ALL, by: Span::secs(60) });
    let searches: Vec<_> =
        (1..=3).map(|n| spawn(move || SearchRequest::new(n).send(&client(), to))).collect();
    wait_for(&leaves, "three runs in two slots", |c| c.run == 3);
    inject_fault(&leaves, LeafFault::Crash { down: Span::ZERO });
    for search in searches {
        assert!(search.join().expect("thread").is_err());
    }
    assert_eq!(counters(&leaves).answered, 0);
}

/// Guards against a crash after which connections stay open, the boot id stays the same or the leaf
/// stays warm.
#[test]
fn crashing_request_takes_the_leaf_down() {
    let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
    let to = address(&leaves, "a1");
    let reused_client = client();
    let before = SearchRequest::new(1).send(&reused_client, to).expect("response");
    inject_fault(&leaves, LeafFault::CrashOn { text: "poison".to_owned(), down: Span::secs(3600) });
    assert!(SearchRequest::new(2).with_body("poison").send(&client(), to).is_err());
    wait_for(&leaves, "the crash", |c| c.crashes == 1 && c.open_connections == 0);
    assert!(matches!(send_search(&leaves, 3), Err(HttpError::Io(_) | HttpError::ConnectionFailed)));
    assert_eq!(counters(&leaves).arrived, 2);
    // A second crash with no downtime replaces the restart that is due in an hour.
    inject_fault(&leaves, LeafFault::Crash { down: Span::ZERO });
    wait_for(&leaves, "the restart", |c| c.cold_starts == 1);
    let after = loop {
        // The listener opens shortly after the new boot id is set.
        if let Ok(response) = SearchRequest::new(4).send(&reused_client, to) {
            break response;
        }
    };
    assert_ne!(before.header("x-boot"), after.header("x-boot"));
    assert!(leaves.statuses("a1").remove(0).cold);
    assert!(!leaves.statuses("a2").remove(0).cold);
}

/// Guards against a crash by a request that does not contain the crash text.
#[test]
fn crash_hits_only_matching_bodies() {
    let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
    inject_fault(&leaves, LeafFault::CrashOn { text: "poison".to_owned(), down: Span::ZERO });
    assert_eq!(search_status(&leaves, 1), 200);
    inject_fault(&leaves, LeafFault::CrashOn { text: String::new(), down: Span::ZERO });
    let search = SearchRequest::new(2).with_body("poison");
    assert_eq!(search.send(&client(), address(&leaves, "a1")).expect("response").status, 200);
    assert_eq!(counters(&leaves).crashes, 0);
}

/// Guards against silence that also affects new connections, and against running requests of silent
/// connections.
#[test]
fn silent_connections_stay_silent_and_new_ones_work() {
    let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
    let to = address(&leaves, "a1");
    let old = short_timeout_client();
    // On a busy machine the client may time out before the response; it retries then.
    while SearchRequest::new(1).send(&old, to).is_err() {}
    wait_for(&leaves, "the end of timed-out requests", |c| c.in_flight == 0);
    let run = counters(&leaves).run;
    inject_fault(&leaves, LeafFault::Silent {});
    assert!(matches!(SearchRequest::new(2).send(&old, to), Err(HttpError::Timeout(_))));
    assert_eq!(search_status(&leaves, 3), 200);
    assert_eq!(counters(&leaves).run, run + 1);
}

/// Guards against a response that is sent on a connection that became silent while the request ran.
#[test]
fn silence_holds_back_answers_in_flight() {
    let leaves = start_warm_leaves(fixed_service_time(Span::secs(60)));
    let to = address(&leaves, "a1");
    let sent = spawn(move || SearchRequest::new(1).send(&client(), to));
    wait_for(&leaves, "the run", |c| c.run == 1);
    inject_fault(&leaves, LeafFault::Silent {});
    let url = format!("http://{to}/search/1");
    assert_eq!(client().delete(&url).call().expect("cancel").status(), 204);
    wait_for(&leaves, "the end of the run", |c| c.cancelled == 1);
    // Without the silence the client would get status 499 before this reset.
    inject_fault(&leaves, LeafFault::Crash { down: Span::ZERO });
    assert!(sent.join().expect("thread").is_err());
}

/// Guards against a closed listener that closes open connections or cannot be reopened.
#[test]
fn closed_listener_refuses_only_new_connections() {
    let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
    let to = address(&leaves, "a1");
    let old = client();
    assert_eq!(SearchRequest::new(1).send(&old, to).expect("response").status, 200);
    inject_fault(&leaves, LeafFault::Listener { open: false });
    assert_eq!(SearchRequest::new(2).send(&old, to).expect("response").status, 200);
    assert!(send_search(&leaves, 3).is_err());
    inject_fault(&leaves, LeafFault::Listener { open: true });
    assert_eq!(search_status(&leaves, 4), 200);
}

/// Guards against a leaf that still accepts the old map version after a repartition.
#[test]
fn repartition_replaces_the_layout_of_a_snapshot() {
    let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
    let (client, to) = (client(), address(&leaves, "a1"));
    let (snapshot, map_version) = (SnapshotId(10), MapVersion(3));
    inject_fault(&leaves, LeafFault::AddSnapshot { snapshot, map_version, shards: None });
    let old = SearchRequest::new(1).send(&client, to).expect("response");
    assert_eq!((old.status, old.header("x-snapshots")), (409, "10,20"));
    let new =
        SearchRequest::new(2).with_header("x-map-version", 3).send(&client, to).expect("response");
    assert_eq!(new.status, 200);
    inject_fault(&leaves, LeafFault::DropSnapshot { snapshot });
    let gone =
        SearchRequest::new(3).with_header("x-map-version", 3).send(&client, to).expect("response");
    assert_eq!((gone.status, gone.header("x-snapshots")), (409, "20"));
}

/// Guards against a cold start that keeps the boot id, or resets connections that must stay open.
#[test]
fn turning_cold_keeps_or_breaks_connections() {
    for break_connections in [false, true] {
        let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
        let (client, to) = (client(), address(&leaves, "a1"));
        let before = SearchRequest::new(1).send(&client, to).expect("response");
        inject_fault(&leaves, LeafFault::TurnCold { break_connections });
        if break_connections {
            wait_for(&leaves, "the end of connections", |c| c.open_connections == 0);
        }
        let open = counters(&leaves).open_connections;
        assert_eq!(open, u64::from(!break_connections));
        let after = send_search(&leaves, 2).expect("response");
        assert_ne!(before.header("x-boot"), after.header("x-boot"));
    }
}

/// Guards against a `/health` that reports the actual state when it is set to report another.
#[test]
fn health_reports_the_configured_state() {
    let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
    inject_fault(&leaves, LeafFault::TurnCold { break_connections: false });
    for (report, cold, load) in [
        (HealthReport::Truthful, true, 0),
        (HealthReport::AlwaysWell, false, 0),
        (HealthReport::AlwaysIll, true, 100),
    ] {
        let settings = LeafSettings { health: report, ..fixed_service_time(Span::ZERO) };
        leaves.set_settings(LeafSelector::default(), settings).expect("settings");
        let seen = health(&leaves);
        assert_eq!((seen.cold, seen.load), (cold, Percent(load)), "{report:?}");
    }
}

/// Guards against accepting misspelled control requests, which would set another fault or none.
#[test]
fn control_refuses_what_it_does_not_know() {
    let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
    let control = leaves.addresses().control;
    let mut table = String::new();
    for (path, body) in [
        ("faults", r#"{"on":{"leaves":["a1"]},"fault":{"kind":"shed","percent":100}}"#),
        ("faults", r#"{"fault":{"kind":"clear"}}"#),
        ("faults", r#"{"fault":{"kind":"clear","percent":1}}"#),
        ("faults", r#"{"fault":{"kind":"melt"}}"#),
        ("faults", r#"{"fault":{"kind":"shed","percent":101}}"#),
        ("faults", r#"{"fault":{"kind":"crash","down":"2h"}}"#),
        ("faults", r#"{"fault":{"kind":"crash","down":"300min"}}"#),
        ("faults", r#"{"on":{"leafs":[]},"fault":{"kind":"clear"}}"#),
        ("faults", r#"{"on":{"leaves":["b"]},"fault":{"kind":"clear"}}"#),
        ("faults", r#"{"on":{"zones":["z2"]},"fault":{"kind":"silent"}}"#),
        ("settings", r#"{"settings":{"rows":5}}"#),
        ("settings", r#"{"settings":{"row":5}}"#),
        ("unknown", "{}"),
    ] {
        let mut response =
            client().post(format!("http://{control}/{path}")).send(body).expect("post");
        let text = response.body_mut().read_to_string().expect("text");
        writeln!(table, "{path} {body}: {} {text}", response.status().as_u16()).expect("write");
    }
    assert_snapshot!(table);
    assert_eq!(send_search(&leaves, 1).expect("response").rows().rows.len(), 5);
}
