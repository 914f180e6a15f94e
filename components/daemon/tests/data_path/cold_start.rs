//! Load on leaves after a cold start, as counted by the leaves.

use {
    crate::support::{Cluster, ClusterOptions, TIMEOUT, assert_consistent, covered},
    serde_json::json,
    std::{thread, time::Instant},
    wigeonramp_standin::leaves::LeafFault,
    wigeonramp_units::Span,
};

const THREADS: usize = 6;
const QUERIES: usize = 30;

const COLD_PER_SECOND: u32 = 20;

fn run_load(cluster: &Cluster) {
    thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                for n in 0..QUERIES {
                    let body = json!({"thread": thread, "n": n});
                    let response = cluster.query(thread % cluster.hosts.len(), &body);
                    assert_consistent(&response, "m1", &body, cluster.shards());
                }
            });
        }
    });
}

fn assert_no_violation(cluster: &Cluster) {
    for leaf in cluster.leaves.statuses("") {
        let counters = &leaf.counters;
        assert_eq!(counters.cold_violations, 0, "{leaf:?}");
        assert!(counters.most_cold_in_flight <= 1, "{leaf:?}");
        assert!(counters.most_cold_per_second <= COLD_PER_SECOND.into(), "{leaf:?}");
    }
}

/// Guards against load above the limits of a cold leaf from several entry hosts at once, after the
/// first start and after a crash under load.
#[test]
fn cold_leaves_never_get_more_than_their_limits() {
    let options = ClusterOptions {
        cold_per_second: COLD_PER_SECOND,
        start_warm: false,
        ..ClusterOptions::default()
    };
    let cluster = Cluster::start(&options);
    run_load(&cluster);
    assert_no_violation(&cluster);

    cluster.fault("s0", LeafFault::Crash { down: Span::millis(50) });
    run_load(&cluster);
    assert_no_violation(&cluster);
    let begun = Instant::now();
    while covered(&cluster.query(0, &json!("recovered"))) < cluster.shards() {
        assert!(begun.elapsed() < TIMEOUT, "the crashed leaves were not queried again");
    }
    assert_no_violation(&cluster);
}
