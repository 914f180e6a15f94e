//! Leaf protocol without faults.

mod common;

use {
    crate::common::{
        LeafResponse, SearchRequest, address, client, counters, deadline, document,
        fixed_service_time, short_timeout_client, start_leaves_from, start_warm_leaves, wait_for,
    },
    insta::{assert_json_snapshot, assert_snapshot},
    std::{fmt::Write, thread::scope},
    wigeonramp_standin::leaves::{LeafSelector, LeafSettings, RowInputs, Rows},
    wigeonramp_units::{Connections, SnapshotId, Span, UnixMillis},
};

/// Formats status and headers. Boot ids differ in each process, so only their presence is shown.
fn describe(response: &LeafResponse) -> String {
    let mut text = format!("{}", response.status);
    for (name, value) in response.headers.iter().filter(|(_, value)| !value.is_empty()) {
        let shown = if *name == "x-boot" { "some" } else { value };
        write!(text, " {name}={shown}").expect("write");
    }
    text
}

/// Guards against requests that run although the leaf must reject them, and against responses
/// without the headers that clients check.
#[test]
fn requests_get_their_status_and_headers() {
    let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
    let (client, to) = (client(), address(&leaves, "a1"));
    let search = SearchRequest::new(7);
    let cases = [
        ("plain", search.clone()),
        ("other member", search.clone().with_header("x-member", "m2")),
        (
            "newer snapshot",
            search.clone().with_header("x-snapshot", 20).with_header("x-map-version", 2),
        ),
        ("shard of newer map", {
            let moved =
                search.clone().with_header("x-snapshot", 20).with_header("x-map-version", 2);
            moved.with_header("x-shard", "s2")
        }),
        ("unknown snapshot", search.clone().with_header("x-snapshot", 15)),
        ("snapshot with wrong map", search.clone().with_header("x-map-version", 2)),
        ("shard not held", search.clone().with_header("x-shard", "s9")),
        ("past deadline", search.clone().with_header("x-deadline-ms", deadline(-1))),
        ("no deadline", search.clone().without_header("x-deadline-ms")),
        ("bad snapshot", search.clone().with_header("x-snapshot", "ten")),
        ("no attempt", search.clone().without_header("x-attempt")),
    ];
    let mut table = String::new();
    for (name, search) in cases {
        let response = search.send(&client, to).expect("response");
        writeln!(table, "{name}: {}", describe(&response)).expect("write");
    }
    assert_snapshot!(table);
    let mut seen = counters(&leaves);
    assert!(seen.last_request > UnixMillis(0));
    seen.last_request = UnixMillis(0);
    assert_json_snapshot!("counters", seen);
}

/// Guards against rows that do not depend on shard, member, snapshot and request body.
#[test]
fn rows_follow_from_the_request() {
    let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
    let response = SearchRequest::new(1).send(&client(), address(&leaves, "a1")).expect("response");
    let (shard, member) = ("s1".parse().expect("shard"), "m1".parse().expect("member"));
    let body = "{\"q\":1}".as_bytes();
    let inputs = RowInputs { shard: &shard, member: &member, snapshot: SnapshotId(10), body };
    assert_eq!(response.rows(), Rows::compute(inputs, 3));
    assert!(response.digest_matches());
    let other = RowInputs { body: b"{}", ..inputs };
    assert_ne!(response.rows(), Rows::compute(other, 3));
}

/// Guards against more concurrent runs than slots, and against an unbounded queue.
#[test]
fn full_leaf_queues_then_sheds() {
    let leaves = start_warm_leaves(LeafSettings { queue: 1, ..fixed_service_time(Span::secs(60)) });
    let to = address(&leaves, "a1");
    scope(|scope| {
        let sent: Vec<_> = (1..=3)
            .map(|n| scope.spawn(move || SearchRequest::new(n).send(&client(), to)))
            .collect();
        wait_for(&leaves, "a full queue", |c| c.waiting == 1 && c.run == 2);
        let shed = SearchRequest::new(4).send(&client(), to).expect("response");
        assert_eq!(shed.status, 503);
        for attempt in 1..=3 {
            let url = format!("http://{to}/search/{attempt}");
            let deleted = client().delete(&url).call().expect("delete");
            assert_eq!(deleted.status(), 204);
        }
        for sent in sent {
            assert_eq!(sent.join().expect("thread").expect("response").status, 499);
        }
    });
    let counters = counters(&leaves);
    assert_eq!((counters.most_slots, counters.cancelled, counters.shed), (2, 3, 1));
}

/// Guards against a slot that stays occupied after the client closed its connection.
#[test]
fn closed_connection_ends_the_run() {
    let leaves = start_warm_leaves(fixed_service_time(Span::secs(60)));
    let to = address(&leaves, "a1");
    // On a busy machine the client may time out before its request arrives; it retries then.
    while counters(&leaves).run == 0 {
        assert!(SearchRequest::new(1).send(&short_timeout_client(), to).is_err());
    }
    wait_for(&leaves, "the end of the run", |c| c.abandoned > 0 && c.in_flight == 0);
    leaves.set_settings(LeafSelector::default(), fixed_service_time(Span::ZERO)).expect("settings");
    assert_eq!(SearchRequest::new(2).send(&client(), to).expect("response").status, 200);
}

/// Guards against connections beyond the connection limit.
#[test]
fn connection_cap_holds() {
    let mut document = document();
    document.collections[0].leaf_limits.connections = Connections(4);
    let leaves = start_leaves_from(&document, fixed_service_time(Span::ZERO), true);
    let to = address(&leaves, "a1");
    let kept_open: Vec<_> = (0..4)
        .map(|n| {
            let client = client();
            assert_eq!(SearchRequest::new(n).send(&client, to).expect("response").status, 200);
            client
        })
        .collect();
    assert!(SearchRequest::new(9).send(&client(), to).is_err());
    let seen = counters(&leaves);
    assert_eq!((seen.connects, seen.connects_refused, seen.most_connections), (4, 1, 4));
    drop(kept_open);
}

/// Guards against a cancellation of an unknown attempt that is reported as successful.
#[test]
fn cancel_of_unknown_attempt_is_404() {
    let leaves = start_warm_leaves(fixed_service_time(Span::ZERO));
    let url = format!("http://{}/search/5", address(&leaves, "a1"));
    assert_eq!(client().delete(&url).call().expect("response").status(), 404);
}
