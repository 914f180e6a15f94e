//! Queries while leaves or holders fail.

use {
    crate::support::{
        Cluster, ClusterOptions, Login, SNAPSHOT, TIMEOUT, assert_consistent, covered,
    },
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

/// Longer than any test runs.
const FOREVER: Span = Span::secs(600);
const ALWAYS: Percent = Percent(100);

/// Guards against a merge that loses, duplicates or confuses the results of shards, on any entry
/// host.
#[test]
fn every_entry_host_gives_a_complete_response() {
    let cluster = Cluster::start(&ClusterOptions { hosts: 3, ..ClusterOptions::default() });
    cluster.warm_up();
    for host in 0..3 {
        let body = json!({"part": host});
        let response = cluster.query(host, &body);
        assert_consistent(&response, "m1", &body, 4);
        assert_eq!(covered(&response), 4, "{response:?}");
    }
}

/// Guards against coverage that counts a shard without rows, and against missing shards although
/// one replica is left.
#[test]
fn killed_leaves_are_replaced_or_named_as_missing() {
    let cluster = Cluster::start(&ClusterOptions::default());
    cluster.warm_up();
    cluster.fault("s0-a", LeafFault::Crash { down: FOREVER });
    let body = json!("one replica left");
    let response = cluster.query(0, &body);
    assert_consistent(&response, "m1", &body, 4);
    assert_eq!(covered(&response), 4, "{response:?}");

    cluster.fault("s0-b", LeafFault::Crash { down: FOREVER });
    let body = json!("no replica left");
    let response = cluster.query(1, &body);
    assert_consistent(&response, "m1", &body, 4);
    assert_eq!(covered(&response), 3, "{response:?}");
    assert_eq!(response.collections[0].coverage.missing[0].shard.as_str(), "s0");
    let finished = cluster.last_event(1, EventKind::QueryFinished);
    assert!(
        finished.contains("missing=s0="),
        "the event has no reason for the missing shard: {finished}"
    );
}

/// Guards against queries that wait for a connection without responses, and against treating its
/// leaf as failed although it answers on new connections.
#[test]
fn silent_connections_are_closed_and_their_leaves_used_again() {
    let cluster = Cluster::start(&ClusterOptions::default());
    cluster.warm_up();
    cluster.fault("s", LeafFault::Silent {});
    let begun = Instant::now();
    let mut n = 0;
    loop {
        let body = json!({"after the silence": n});
        let response = cluster.query(n % 2, &body);
        assert_consistent(&response, "m1", &body, 4);
        if covered(&response) == 4 {
            break;
        }
        assert!(begun.elapsed() < TIMEOUT, "{response:?}");
        n += 1;
    }
    assert!(cluster.count_events(EventKind::LeafConnection) > 0, "no connection was closed");
}

/// Guards against rows of another request, truncated rows, or rows of unknown origin in a response.
#[test]
fn invalid_responses_never_reach_the_caller() {
    let faults = [
        LeafFault::TruncatedBody { percent: ALWAYS },
        LeafFault::WrongDigest { percent: ALWAYS },
        LeafFault::DoubledHeaders { percent: ALWAYS },
        LeafFault::CrossedHeaders { percent: ALWAYS },
        LeafFault::CrossedAnswer { percent: ALWAYS },
    ];
    for fault in faults {
        let cluster = Cluster::start(&ClusterOptions::default());
        cluster.warm_up();
        // The fault `CrossedAnswer` repeats an earlier response. A leaf without one would send its
        // own, correct response.
        let replicas = cluster.leaves.statuses("s1");
        assert!(replicas.iter().all(|leaf| leaf.counters.answered > 0), "{replicas:?}");
        cluster.fault("s1-a", fault.clone());
        let body = json!("one replica wrong");
        let response = cluster.query(0, &body);
        assert_consistent(&response, "m1", &body, 4);
        assert_eq!(covered(&response), 4, "{fault:?}: {response:?}");

        cluster.fault("s1-b", fault.clone());
        let body = json!("both replicas wrong");
        let response = cluster.query(1, &body);
        assert_consistent(&response, "m1", &body, 4);
        let missing = &response.collections[0].coverage.missing;
        assert_eq!(missing.len(), 1, "{fault:?}: {response:?}");
        assert_eq!(missing[0].shard.as_str(), "s1");
    }
}

/// Guards against a request that crashes every leaf that runs it and is sent repeatedly to each
/// host.
#[test]
fn a_crashing_request_crashes_at_most_two_leaves() {
    let cluster = Cluster::start(&ClusterOptions { canary: true, ..ClusterOptions::default() });
    cluster.warm_up();
    let down = Span::millis(1);
    cluster.fault("s", LeafFault::CrashOn { text: "poison".to_owned(), down });
    for n in 0..6 {
        let response = cluster.query(n % 2, &json!("poison"));
        assert_eq!(covered(&response), 0, "{response:?}");
    }
    // The hosts exchange no heartbeats, so neither learns of the crashes seen by the other. Each
    // leaf crashes at most once running the request next to others and once running it alone.
    let leaves = cluster.leaves.statuses("");
    let crashes: Vec<u64> = leaves.iter().map(|leaf| leaf.counters.crashes).collect();
    assert!(crashes.iter().filter(|crashes| **crashes > 0).count() <= 2, "{crashes:?}");
    assert!(crashes.iter().all(|crashes| *crashes <= 2), "{crashes:?}");
    assert!(crashes.iter().sum::<u64>() > 0, "no leaf crashed");
    let harmless = json!("harmless");
    let begun = Instant::now();
    while covered(&cluster.query(0, &harmless)) < 4 {
        assert!(begun.elapsed() < TIMEOUT, "other requests did not reach all shards again");
    }
}

/// Guards against a request that is refused as not run but was sent to a leaf.
#[test]
fn a_host_without_rights_sends_nothing_and_says_so() {
    let cluster = Cluster::start(&ClusterOptions { hosts: 1, ..ClusterOptions::default() });
    cluster.warm_up();
    cluster.hosts[0].control.rights_lost.store(true, std::sync::atomic::Ordering::Release);
    cluster.leaves.reset_counters();
    let response = cluster.query(0, &json!("without rights"));
    assert!(matches!(response.outcome, QueryOutcome::RefusedNotRun { .. }), "{response:?}");
    let arrived: u64 = cluster.leaves.statuses("").iter().map(|leaf| leaf.counters.arrived).sum();
    assert_eq!(arrived, 0);
}

/// Guards against work that is lost with a holder although another holder has a replica.
#[test]
fn a_stopped_holder_costs_no_coverage() {
    let mut cluster = Cluster::start(&ClusterOptions::default());
    cluster.warm_up();
    let stopped = cluster.hosts.pop().expect("two hosts");
    assert!(stopped.data.stop(TIMEOUT));
    let body = json!("one holder left");
    let response = cluster.query(0, &body);
    assert_consistent(&response, "m1", &body, 4);
    assert_eq!(covered(&response), 4, "{response:?}");
}

/// Guards against slow leaves that determine the latency of every query, and against attempts that
/// keep a slot although the other attempt of the hedge has answered.
#[test]
fn slow_leaves_are_hedged_and_the_slower_attempt_is_cancelled() {
    let options = ClusterOptions {
        cold_per_second: 100,
        service: Span::millis(20),
        shards: 2,
        ..ClusterOptions::default()
    };
    let cluster = &Cluster::start(&options);
    cluster.warm_up();
    let begun = Instant::now();
    let all_warm = || {
        let reports = cluster.hosts.iter().flat_map(|host| host.data.held_leaves().reports());
        reports.into_iter().all(|report| report.state == "warm")
    };
    while !all_warm() {
        assert!(begun.elapsed() < TIMEOUT, "the leaves did not become warm");
        thread::scope(|scope| {
            (0..4).for_each(|n| drop(scope.spawn(move || cluster.query(n % 2, &json!("ramp")))));
        });
    }
    cluster.fault("s", LeafFault::Straggle { percent: Percent(10), factor: 10 });
    let cancelled =
        || -> u64 { cluster.leaves.statuses("").iter().map(|leaf| leaf.counters.cancelled).sum() };
    while cancelled() == 0 {
        assert!(begun.elapsed() < TIMEOUT, "no attempt was cancelled");
        let body = json!("hedged");
        let response = cluster.query(0, &body);
        assert_consistent(&response, "m1", &body, 2);
        assert_eq!(covered(&response), 2, "{response:?}");
    }
    assert!(cluster.count_events(EventKind::Hedge) > 0);
}

/// Guards against rows of two snapshots in one response, and against queries for a snapshot that no
/// leaf has any more.
#[test]
fn a_lost_snapshot_is_replaced_by_the_one_that_leaves_have() {
    let cluster = Cluster::start(&ClusterOptions::default());
    cluster.warm_up();
    let snapshot = SNAPSHOT.next();
    let map_version = MapVersion(1);
    cluster.fault("s", LeafFault::AddSnapshot { snapshot, map_version, shards: None });
    cluster.fault("s", LeafFault::DropSnapshot { snapshot: SNAPSHOT });
    let begun = Instant::now();
    let body = json!("newer");
    let response = loop {
        let response = cluster.query(0, &body);
        assert_consistent(&response, "m1", &body, 4);
        if covered(&response) == 4 {
            break response;
        }
        assert!(begun.elapsed() < TIMEOUT, "{response:?}");
    };
    assert_eq!(response.collections[0].snapshot, Some(snapshot));
}

/// Guards against queries that are not counted because they were refused or their outcome is
/// unknown.
#[test]
fn queries_are_counted_by_collection_whatever_their_outcome() {
    let cluster = Cluster::start(&ClusterOptions { hosts: 1, ..ClusterOptions::default() });
    cluster.warm_up();
    let host = &cluster.hosts[0];
    let count = |outcome: &str| {
        let labels = QueryLabels { collection: "quotes".to_owned(), outcome: outcome.to_owned() };
        host.data.observer().metrics().queries.get_or_create(&labels).get()
    };
    let done = count("done");
    cluster.query(0, &json!("harmless"));
    assert_eq!(count("done"), done + 1);

    let down = Span::millis(1);
    cluster.fault("s0", LeafFault::CrashOn { text: "poison".to_owned(), down });
    let unix_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis();
    let request = json!({"collections": ["quotes"], "body": "poison", "shard": "s0",
        "idempotent": false, "request_id": format!("{unix_ms}-a")});
    let reply = cluster.post(0, &Login::FIRST, request.to_string());
    assert_eq!(count("unknown"), 1, "{}", reply.text);

    host.control.rights_lost.store(true, std::sync::atomic::Ordering::Release);
    let response = cluster.query(0, &json!("without rights"));
    assert_eq!(count("refused_not_run"), 1, "{response:?}");
    let late = json!({"collections": ["quotes"], "body": "late", "timeout_ms": 0});
    let reply = cluster.post(0, &Login::FIRST, late.to_string());
    assert_eq!(count("refused_not_run"), 2, "{}", reply.text);
    assert_eq!(count("done"), done + 1);
}
