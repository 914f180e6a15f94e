//! Every fault of the leaves, as its sender sees it.

mod common;

use {
    crate::common::{
        Answer, Search, address, client, counters, fault, fixed, impatient, leaves, wait_for,
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

fn ask(leaves: &Leaves, attempt: u64) -> Result<Answer, HttpError> {
    Search::attempt(attempt).send(&client(), address(leaves, "a1"))
}

fn status(leaves: &Leaves, attempt: u64) -> u16 {
    ask(leaves, attempt).expect("answer").status
}

fn health(leaves: &Leaves) -> Health {
    let url = format!("http://{}/health", address(leaves, "a1"));
    let mut answer = client().get(&url).call().expect("health");
    let text = answer.body_mut().read_to_string().expect("body");
    serde_json::from_str(&text).expect("health")
}

/// Guards against a faulty answer that a reader could not tell from a good one, and against
/// faults that `clear` leaves on.
#[test]
fn faulty_answers_differ_in_what_readers_check() {
    let leaves = leaves(fixed(Span::millis(1)));
    let percent = ALL;
    let faults = [
        (LeafFault::TruncatedBody { percent }, client()),
        (LeafFault::WrongDigest { percent }, client()),
        (LeafFault::DoubledHeaders { percent }, client()),
        (LeafFault::CrossedHeaders { percent }, client()),
        (LeafFault::CrossedAnswer { percent }, client()),
        (LeafFault::Late { percent, by: Span::secs(60) }, impatient()),
        (LeafFault::Straggle { percent, factor: 60_000 }, impatient()),
        (LeafFault::Shed { percent }, client()),
        (LeafFault::Leaving { on: true }, client()),
        (LeafFault::DropSnapshot { snapshot: SnapshotId(10) }, client()),
    ];
    let to = address(&leaves, "a1");
    let mut table = String::new();
    for (set, sender) in faults {
        let name = serde_json::to_string(&set).expect("fault");
        let before = Search::attempt(1).with("x-member", "m2").send(&client(), to);
        assert_eq!(before.expect("answer").status, 200);
        fault(&leaves, set);
        let seen = match Search::attempt(2).send(&sender, to) {
            Ok(answer) => format!(
                "{} attempt={} member={} digest matches={} cut={}",
                answer.status,
                answer.header("x-attempt"),
                answer.header("x-member"),
                answer.digest_matches(),
                answer.cut
            ),
            Err(err) => err.to_string(),
        };
        writeln!(table, "{name}: {seen}").expect("write");
        fault(&leaves, LeafFault::Clear {});
    }
    assert_snapshot!(table);
}

/// Guards against a held back answer that keeps its slot.
#[test]
fn late_answers_free_their_slots() {
    let leaves = leaves(fixed(Span::ZERO));
    let to = address(&leaves, "a1");
    fault(&leaves, LeafFault::Late { percent: ALL, by: Span::secs(60) });
    let senders: Vec<_> =
        (1..=3).map(|n| spawn(move || Search::attempt(n).send(&client(), to))).collect();
    wait_for(&leaves, "three runs in two slots", |c| c.run == 3);
    fault(&leaves, LeafFault::Crash { down: Span::ZERO });
    for sender in senders {
        assert!(sender.join().expect("thread").is_err());
    }
    assert_eq!(counters(&leaves).answered, 0);
}

/// Guards against a crash that leaves connections, boot id or warmth as they were.
#[test]
fn crashing_request_takes_the_leaf_down() {
    let leaves = leaves(fixed(Span::ZERO));
    let to = address(&leaves, "a1");
    let bystander = client();
    let before = Search::attempt(1).send(&bystander, to).expect("answer");
    fault(&leaves, LeafFault::CrashOn { text: "poison".to_owned(), down: Span::secs(3600) });
    assert!(Search::attempt(2).body("poison").send(&client(), to).is_err());
    wait_for(&leaves, "the crash", |c| c.crashes == 1 && c.open_connections == 0);
    assert!(matches!(ask(&leaves, 3), Err(HttpError::Io(_) | HttpError::ConnectionFailed)));
    assert_eq!(counters(&leaves).arrived, 2);
    // A second, short crash replaces the restart that is due in an hour.
    fault(&leaves, LeafFault::Crash { down: Span::ZERO });
    wait_for(&leaves, "the restart", |c| c.cold_starts == 1);
    let after = loop {
        // The listener opens just after the new boot id is set.
        if let Ok(answer) = Search::attempt(4).send(&bystander, to) {
            break answer;
        }
    };
    assert_ne!(before.header("x-boot"), after.header("x-boot"));
    assert!(leaves.statuses("a1").remove(0).cold);
    assert!(!leaves.statuses("a2").remove(0).cold);
}

/// Guards against a crash text that is found in requests that don't contain it.
#[test]
fn crash_hits_only_matching_bodies() {
    let leaves = leaves(fixed(Span::ZERO));
    fault(&leaves, LeafFault::CrashOn { text: "poison".to_owned(), down: Span::ZERO });
    assert_eq!(status(&leaves, 1), 200);
    fault(&leaves, LeafFault::CrashOn { text: String::new(), down: Span::ZERO });
    let search = Search::attempt(2).body("poison");
    assert_eq!(search.send(&client(), address(&leaves, "a1")).expect("answer").status, 200);
    assert_eq!(counters(&leaves).crashes, 0);
}

/// Guards against silence that also hits new connections, or that runs requests nobody sees.
#[test]
fn silent_connections_stay_silent_and_new_ones_work() {
    let leaves = leaves(fixed(Span::ZERO));
    let to = address(&leaves, "a1");
    let old = impatient();
    // On a busy machine the client may give up on a good answer; it tries again then.
    while Search::attempt(1).send(&old, to).is_err() {}
    wait_for(&leaves, "the end of given up requests", |c| c.in_flight == 0);
    let run = counters(&leaves).run;
    fault(&leaves, LeafFault::Silent {});
    assert!(matches!(Search::attempt(2).send(&old, to), Err(HttpError::Timeout(_))));
    assert_eq!(status(&leaves, 3), 200);
    assert_eq!(counters(&leaves).run, run + 1);
}

/// Guards against an answer that goes out on a connection that fell silent while it was computed.
#[test]
fn silence_holds_back_answers_in_flight() {
    let leaves = leaves(fixed(Span::secs(60)));
    let to = address(&leaves, "a1");
    let sent = spawn(move || Search::attempt(1).send(&client(), to));
    wait_for(&leaves, "the run", |c| c.run == 1);
    fault(&leaves, LeafFault::Silent {});
    let url = format!("http://{to}/search/1");
    assert_eq!(client().delete(&url).call().expect("cancel").status(), 204);
    wait_for(&leaves, "the end of the run", |c| c.cancelled == 1);
    // Without the silence the sender would get status 499 before this reset.
    fault(&leaves, LeafFault::Crash { down: Span::ZERO });
    assert!(sent.join().expect("thread").is_err());
}

/// Guards against a closed listener that ends open connections or cannot be opened again.
#[test]
fn closed_listener_refuses_only_new_connections() {
    let leaves = leaves(fixed(Span::ZERO));
    let to = address(&leaves, "a1");
    let old = client();
    assert_eq!(Search::attempt(1).send(&old, to).expect("answer").status, 200);
    fault(&leaves, LeafFault::Listener { open: false });
    assert_eq!(Search::attempt(2).send(&old, to).expect("answer").status, 200);
    assert!(ask(&leaves, 3).is_err());
    fault(&leaves, LeafFault::Listener { open: true });
    assert_eq!(status(&leaves, 4), 200);
}

/// Guards against a repartition after which the old layout is still answered.
#[test]
fn repartition_replaces_the_layout_of_a_snapshot() {
    let leaves = leaves(fixed(Span::ZERO));
    let (client, to) = (client(), address(&leaves, "a1"));
    let (snapshot, map_version) = (SnapshotId(10), MapVersion(3));
    fault(&leaves, LeafFault::AddSnapshot { snapshot, map_version, shards: None });
    let old = Search::attempt(1).send(&client, to).expect("answer");
    assert_eq!((old.status, old.header("x-snapshots")), (409, "10,20"));
    let new = Search::attempt(2).with("x-map-version", 3).send(&client, to).expect("answer");
    assert_eq!(new.status, 200);
    fault(&leaves, LeafFault::DropSnapshot { snapshot });
    let gone = Search::attempt(3).with("x-map-version", 3).send(&client, to).expect("answer");
    assert_eq!((gone.status, gone.header("x-snapshots")), (409, "20"));
}

/// Guards against a cold start that keeps the boot id, or breaks connections it must keep.
#[test]
fn turning_cold_keeps_or_breaks_connections() {
    for break_connections in [false, true] {
        let leaves = leaves(fixed(Span::ZERO));
        let (client, to) = (client(), address(&leaves, "a1"));
        let before = Search::attempt(1).send(&client, to).expect("answer");
        fault(&leaves, LeafFault::TurnCold { break_connections });
        if break_connections {
            wait_for(&leaves, "the end of connections", |c| c.open_connections == 0);
        }
        let open = counters(&leaves).open_connections;
        assert_eq!(open, u64::from(!break_connections));
        let after = ask(&leaves, 2).expect("answer");
        assert_ne!(before.header("x-boot"), after.header("x-boot"));
    }
}

/// Guards against a misleading `/health` that tells the truth.
#[test]
fn health_misleads_as_told() {
    let leaves = leaves(fixed(Span::ZERO));
    fault(&leaves, LeafFault::TurnCold { break_connections: false });
    for (report, cold, load) in [
        (HealthReport::Truthful, true, 0),
        (HealthReport::AlwaysWell, false, 0),
        (HealthReport::AlwaysIll, true, 100),
    ] {
        let settings = LeafSettings { health: report, ..fixed(Span::ZERO) };
        leaves.set_settings(LeafSelector::default(), settings).expect("settings");
        let seen = health(&leaves);
        assert_eq!((seen.cold, seen.load), (cold, Percent(load)), "{report:?}");
    }
}

/// Guards against control requests with a typing error that are taken as another fault.
#[test]
fn control_refuses_what_it_does_not_know() {
    let leaves = leaves(fixed(Span::ZERO));
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
        let mut answer =
            client().post(format!("http://{control}/{path}")).send(body).expect("post");
        let text = answer.body_mut().read_to_string().expect("text");
        writeln!(table, "{path} {body}: {} {text}", answer.status().as_u16()).expect("write");
    }
    assert_snapshot!(table);
    assert_eq!(ask(&leaves, 1).expect("answer").rows().rows.len(), 5);
}
