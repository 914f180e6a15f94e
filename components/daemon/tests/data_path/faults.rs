//! Queries while leaves fail.

use {
    crate::support::{Cluster, Login, PATIENCE, SNAPSHOT, Shape, assert_truthful, covered},
    serde_json::json,
    std::{
        thread,
        time::{Instant, SystemTime, UNIX_EPOCH},
    },
    wigeonramp_config::caller_api::QueryOutcome,
    wigeonramp_standin::leaves::LeafFault,
    wigeonramp_telemetry::{metrics::QueryLabels, timeline::EventKind},
    wigeonramp_units::{MapVersion, Percent, Span},
};

/// Longer than a test runs.
const LONG: Span = Span::secs(600);
const ALWAYS: Percent = Percent(100);

/// Guards against a merge that loses, doubles or mixes up parts, from any entry host.
#[test]
fn every_entry_host_gives_the_whole_answer() {
    let cluster = Cluster::start(&Shape { hosts: 3, ..Shape::default() });
    cluster.warm_up();
    for host in 0..3 {
        let body = json!({"part": host});
        let answer = cluster.ask(host, &body);
        assert_truthful(&answer, "m1", &body, 4);
        assert_eq!(covered(&answer), 4, "{answer:?}");
    }
}

/// Guards against coverage that claims a shard without rows, and against a lost replica that
/// costs coverage.
#[test]
fn killed_leaves_are_replaced_or_named_as_missing() {
    let cluster = Cluster::start(&Shape::default());
    cluster.warm_up();
    cluster.fault("s0-a", LeafFault::Crash { down: LONG });
    let body = json!("one replica left");
    let answer = cluster.ask(0, &body);
    assert_truthful(&answer, "m1", &body, 4);
    assert_eq!(covered(&answer), 4, "{answer:?}");

    cluster.fault("s0-b", LeafFault::Crash { down: LONG });
    let body = json!("no replica left");
    let answer = cluster.ask(1, &body);
    assert_truthful(&answer, "m1", &body, 4);
    assert_eq!(covered(&answer), 3, "{answer:?}");
    assert_eq!(answer.collections[0].coverage.missing[0].shard.as_str(), "s0");
    let finished = cluster.last_event(1, EventKind::QueryFinished);
    assert!(finished.contains("missing=s0="), "the timeline names no reason: {finished}");
}

/// Guards against a query that waits for a connection that has gone silent, and against blaming
/// the leaf, which answers on new connections.
#[test]
fn silent_connections_are_left_and_their_leaves_used_again() {
    let cluster = Cluster::start(&Shape::default());
    cluster.warm_up();
    cluster.fault("s", LeafFault::Silent {});
    let begun = Instant::now();
    let mut n = 0;
    loop {
        let body = json!({"after the silence": n});
        let answer = cluster.ask(n % 2, &body);
        assert_truthful(&answer, "m1", &body, 4);
        if covered(&answer) == 4 {
            break;
        }
        assert!(begun.elapsed() < PATIENCE, "{answer:?}");
        n += 1;
    }
    assert!(cluster.events(EventKind::LeafConnection) > 0, "no connection was given up");
}

/// Guards against rows of another request, half of the rows, or rows whose origin is unclear.
#[test]
fn wrong_answers_never_reach_the_caller() {
    let faults = [
        LeafFault::TruncatedBody { percent: ALWAYS },
        LeafFault::WrongDigest { percent: ALWAYS },
        LeafFault::DoubledHeaders { percent: ALWAYS },
        LeafFault::CrossedHeaders { percent: ALWAYS },
        LeafFault::CrossedAnswer { percent: ALWAYS },
    ];
    for fault in faults {
        let cluster = Cluster::start(&Shape::default());
        cluster.warm_up();
        // Crossed answers repeat an earlier one; a leaf without any sends its own, right answer.
        let replicas = cluster.leaves.statuses("s1");
        assert!(replicas.iter().all(|leaf| leaf.counters.answered > 0), "{replicas:?}");
        cluster.fault("s1-a", fault.clone());
        let body = json!("one replica wrong");
        let answer = cluster.ask(0, &body);
        assert_truthful(&answer, "m1", &body, 4);
        assert_eq!(covered(&answer), 4, "{fault:?}: {answer:?}");

        cluster.fault("s1-b", fault.clone());
        let body = json!("both replicas wrong");
        let answer = cluster.ask(1, &body);
        assert_truthful(&answer, "m1", &body, 4);
        let missing = &answer.collections[0].coverage.missing;
        assert_eq!(missing.len(), 1, "{fault:?}: {answer:?}");
        assert_eq!(missing[0].shard.as_str(), "s1");
    }
}

/// Guards against a request that crashes every leaf which runs it, sent again through each host.
#[test]
fn a_crashing_request_harms_at_most_two_leaves() {
    let cluster = Cluster::start(&Shape { canary: true, ..Shape::default() });
    cluster.warm_up();
    let down = Span::millis(1);
    cluster.fault("s", LeafFault::CrashOn { text: "poison".to_owned(), down });
    for n in 0..6 {
        let answer = cluster.ask(n % 2, &json!("poison"));
        assert_eq!(covered(&answer), 0, "{answer:?}");
    }
    // No heartbeat tells one host what the other has seen. Each leaf crashes at most once with the
    // request next to others and once with the request alone.
    let leaves = cluster.leaves.statuses("");
    let crashes: Vec<u64> = leaves.iter().map(|leaf| leaf.counters.crashes).collect();
    assert!(crashes.iter().filter(|crashes| **crashes > 0).count() <= 2, "{crashes:?}");
    assert!(crashes.iter().all(|crashes| *crashes <= 2), "{crashes:?}");
    assert!(crashes.iter().sum::<u64>() > 0, "the fault was never met");
    let innocent = json!("harmless");
    let begun = Instant::now();
    while covered(&cluster.ask(0, &innocent)) < 4 {
        assert!(begun.elapsed() < PATIENCE, "other requests suffer");
    }
}

/// Guards against refusals that are not true: what a refused request did to the leaves.
#[test]
fn a_host_without_rights_sends_nothing_and_says_so() {
    let cluster = Cluster::start(&Shape { hosts: 1, ..Shape::default() });
    cluster.warm_up();
    cluster.hosts[0].control.lost.store(true, std::sync::atomic::Ordering::Release);
    cluster.leaves.reset_counters();
    let answer = cluster.ask(0, &json!("without rights"));
    assert!(matches!(answer.outcome, QueryOutcome::RefusedNotRun { .. }), "{answer:?}");
    let arrived: u64 = cluster.leaves.statuses("").iter().map(|leaf| leaf.counters.arrived).sum();
    assert_eq!(arrived, 0);
}

/// Guards against work that is lost with a holder although another holder has a replica.
#[test]
fn a_stopped_holder_costs_no_coverage() {
    let mut cluster = Cluster::start(&Shape::default());
    cluster.warm_up();
    let stopped = cluster.hosts.pop().expect("two hosts");
    assert!(stopped.data.stop(PATIENCE));
    let body = json!("one holder left");
    let answer = cluster.ask(0, &body);
    assert_truthful(&answer, "m1", &body, 4);
    assert_eq!(covered(&answer), 4, "{answer:?}");
}

/// Guards against slow leaves that set the latency of every query, and against losers of a hedge
/// that keep a slot.
#[test]
fn slow_leaves_are_hedged_and_the_loser_is_cancelled() {
    let shape =
        Shape { cold_per_second: 100, service: Span::millis(20), shards: 2, ..Shape::default() };
    let cluster = &Cluster::start(&shape);
    cluster.warm_up();
    let begun = Instant::now();
    let all_warm = || {
        let reports = cluster.hosts.iter().flat_map(|host| host.data.held_leaves().reports());
        reports.into_iter().all(|report| report.state == "warm")
    };
    while !all_warm() {
        assert!(begun.elapsed() < PATIENCE, "the leaves never warmed up");
        thread::scope(|scope| {
            (0..4).for_each(|n| drop(scope.spawn(move || cluster.ask(n % 2, &json!("ramp")))));
        });
    }
    cluster.fault("s", LeafFault::Straggle { percent: Percent(10), factor: 10 });
    let cancelled =
        || -> u64 { cluster.leaves.statuses("").iter().map(|leaf| leaf.counters.cancelled).sum() };
    while cancelled() == 0 {
        assert!(begun.elapsed() < PATIENCE, "no loser was cancelled");
        let body = json!("hedged");
        let answer = cluster.ask(0, &body);
        assert_truthful(&answer, "m1", &body, 2);
        assert_eq!(covered(&answer), 2, "{answer:?}");
    }
    assert!(cluster.events(EventKind::Hedge) > 0);
}

/// Guards against rows of two snapshots in one answer, and against a snapshot that is asked for
/// although no leaf has it any more.
#[test]
fn a_lost_snapshot_is_replaced_by_the_one_that_leaves_have() {
    let cluster = Cluster::start(&Shape::default());
    cluster.warm_up();
    let snapshot = SNAPSHOT.next();
    let map_version = MapVersion(1);
    cluster.fault("s", LeafFault::AddSnapshot { snapshot, map_version, shards: None });
    cluster.fault("s", LeafFault::DropSnapshot { snapshot: SNAPSHOT });
    let begun = Instant::now();
    let body = json!("newer");
    let answer = loop {
        let answer = cluster.ask(0, &body);
        assert_truthful(&answer, "m1", &body, 4);
        if covered(&answer) == 4 {
            break answer;
        }
        assert!(begun.elapsed() < PATIENCE, "{answer:?}");
    };
    assert_eq!(answer.collections[0].snapshot, Some(snapshot));
}

/// Guards against refused and unknown queries that no counter shows.
#[test]
fn queries_are_counted_by_collection_whatever_their_outcome() {
    let cluster = Cluster::start(&Shape { hosts: 1, ..Shape::default() });
    cluster.warm_up();
    let host = &cluster.hosts[0];
    let counted = |outcome: &str| {
        let labels = QueryLabels { collection: "quotes".to_owned(), outcome: outcome.to_owned() };
        host.data.observer().metrics().queries.get_or_create(&labels).get()
    };
    let done = counted("done");
    cluster.ask(0, &json!("harmless"));
    assert_eq!(counted("done"), done + 1);

    let down = Span::millis(1);
    cluster.fault("s0", LeafFault::CrashOn { text: "poison".to_owned(), down });
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis();
    let request = json!({"collections": ["quotes"], "body": "poison", "shard": "s0",
        "idempotent": false, "request_id": format!("{unix_ms}-a")});
    let answer = cluster.post(0, &Login::FIRST, request.to_string());
    assert_eq!(counted("unknown"), 1, "{}", answer.text);

    host.control.lost.store(true, std::sync::atomic::Ordering::Release);
    let answer = cluster.ask(0, &json!("without rights"));
    assert_eq!(counted("refused_not_run"), 1, "{answer:?}");
    let late = json!({"collections": ["quotes"], "body": "late", "timeout_ms": 0});
    let answer = cluster.post(0, &Login::FIRST, late.to_string());
    assert_eq!(counted("refused_not_run"), 2, "{}", answer.text);
    assert_eq!(counted("done"), done + 1);
}
