//! The leaf protocol without faults.

mod common;

use {
    crate::common::{
        Answer, Search, address, client, counters, deadline, document, fixed, impatient, leaves,
        start_document, wait_for,
    },
    insta::{assert_json_snapshot, assert_snapshot},
    std::{fmt::Write, thread::scope},
    wigeonramp_standin::leaves::{LeafSelector, LeafSettings, RowInputs, Rows},
    wigeonramp_units::{Connections, SnapshotId, Span, UnixMillis},
};

/// A boot id is new in each process, so tables only show whether there is one.
fn describe(answer: &Answer) -> String {
    let mut text = format!("{}", answer.status);
    for (name, value) in answer.headers.iter().filter(|(_, value)| !value.is_empty()) {
        let shown = if *name == "x-boot" { "some" } else { value };
        write!(text, " {name}={shown}").expect("write");
    }
    text
}

/// Guards against requests that run although the leaf must refuse them, and against answers that
/// lack the headers that readers check.
#[test]
fn requests_get_their_status_and_headers() {
    let leaves = leaves(fixed(Span::ZERO));
    let (client, to) = (client(), address(&leaves, "a1"));
    let search = Search::attempt(7);
    let cases = [
        ("plain", search.clone()),
        ("other member", search.clone().with("x-member", "m2")),
        ("newer snapshot", search.clone().with("x-snapshot", 20).with("x-map-version", 2)),
        ("shard of newer map", {
            let moved = search.clone().with("x-snapshot", 20).with("x-map-version", 2);
            moved.with("x-shard", "s2")
        }),
        ("unknown snapshot", search.clone().with("x-snapshot", 15)),
        ("snapshot with wrong map", search.clone().with("x-map-version", 2)),
        ("shard not held", search.clone().with("x-shard", "s9")),
        ("past deadline", search.clone().with("x-deadline-ms", deadline(-1))),
        ("no deadline", search.clone().without("x-deadline-ms")),
        ("bad snapshot", search.clone().with("x-snapshot", "ten")),
        ("no attempt", search.clone().without("x-attempt")),
    ];
    let mut table = String::new();
    for (name, search) in cases {
        let answer = search.send(&client, to).expect("answer");
        writeln!(table, "{name}: {}", describe(&answer)).expect("write");
    }
    assert_snapshot!(table);
    let mut seen = counters(&leaves);
    assert!(seen.last_request > UnixMillis(0));
    seen.last_request = UnixMillis(0);
    assert_json_snapshot!("counters", seen);
}

/// Guards against rows that do not prove shard, member, snapshot and request body.
#[test]
fn rows_follow_from_the_request() {
    let leaves = leaves(fixed(Span::ZERO));
    let answer = Search::attempt(1).send(&client(), address(&leaves, "a1")).expect("answer");
    let (shard, member) = ("s1".parse().expect("shard"), "m1".parse().expect("member"));
    let body = "{\"q\":1}".as_bytes();
    let source = RowInputs { shard: &shard, member: &member, snapshot: SnapshotId(10), body };
    assert_eq!(answer.rows(), Rows::compute(source, 3));
    assert!(answer.digest_matches());
    let other = RowInputs { body: b"{}", ..source };
    assert_ne!(answer.rows(), Rows::compute(other, 3));
}

/// Guards against more runs at once than slots, and against an unbounded queue.
#[test]
fn full_leaf_queues_then_sheds() {
    let leaves = leaves(LeafSettings { queue: 1, ..fixed(Span::secs(60)) });
    let to = address(&leaves, "a1");
    scope(|scope| {
        let sent: Vec<_> =
            (1..=3).map(|n| scope.spawn(move || Search::attempt(n).send(&client(), to))).collect();
        wait_for(&leaves, "a full queue", |c| c.waiting == 1 && c.run == 2);
        let shed = Search::attempt(4).send(&client(), to).expect("answer");
        assert_eq!(shed.status, 503);
        for attempt in 1..=3 {
            let url = format!("http://{to}/search/{attempt}");
            let deleted = client().delete(&url).call().expect("delete");
            assert_eq!(deleted.status(), 204);
        }
        for sent in sent {
            assert_eq!(sent.join().expect("thread").expect("answer").status, 499);
        }
    });
    let counters = counters(&leaves);
    assert_eq!((counters.most_slots, counters.cancelled, counters.shed), (2, 3, 1));
}

/// Guards against a slot that stays taken after its sender is gone.
#[test]
fn closed_connection_ends_the_run() {
    let leaves = leaves(fixed(Span::secs(60)));
    let to = address(&leaves, "a1");
    // On a busy machine the client may give up before its request arrives; it tries again then.
    while counters(&leaves).run == 0 {
        assert!(Search::attempt(1).send(&impatient(), to).is_err());
    }
    wait_for(&leaves, "the end of the run", |c| c.abandoned > 0 && c.in_flight == 0);
    leaves.set_settings(LeafSelector::default(), fixed(Span::ZERO)).expect("settings");
    assert_eq!(Search::attempt(2).send(&client(), to).expect("answer").status, 200);
}

/// Guards against connections beyond the cap.
#[test]
fn connection_cap_holds() {
    let mut document = document();
    document.collections[0].leaf_limits.connections = Connections(4);
    let leaves = start_document(&document, fixed(Span::ZERO), true);
    let to = address(&leaves, "a1");
    let kept: Vec<_> = (0..4)
        .map(|n| {
            let client = client();
            assert_eq!(Search::attempt(n).send(&client, to).expect("answer").status, 200);
            client
        })
        .collect();
    assert!(Search::attempt(9).send(&client(), to).is_err());
    let seen = counters(&leaves);
    assert_eq!((seen.connects, seen.connects_refused, seen.most_connections), (4, 1, 4));
    drop(kept);
}

/// Guards against a cancel that claims to have ended an attempt that is not there.
#[test]
fn cancel_of_unknown_attempt_is_404() {
    let leaves = leaves(fixed(Span::ZERO));
    let url = format!("http://{}/search/5", address(&leaves, "a1"));
    assert_eq!(client().delete(&url).call().expect("answer").status(), 404);
}
