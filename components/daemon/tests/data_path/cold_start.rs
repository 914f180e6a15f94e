//! Load on leaves just after a cold start, as the leaves count it.

use {
    crate::support::{Cluster, PATIENCE, Shape, assert_truthful, covered},
    serde_json::json,
    std::{thread, time::Instant},
    wigeonramp_standin::leaves::LeafFault,
    wigeonramp_units::Span,
};

const THREADS: usize = 6;
const QUERIES: usize = 30;

const COLD_PER_SECOND: u32 = 20;

fn load(cluster: &Cluster) {
    thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                for n in 0..QUERIES {
                    let body = json!({"thread": thread, "n": n});
                    let answer = cluster.ask(thread % cluster.hosts.len(), &body);
                    assert_truthful(&answer, "m1", &body, cluster.shards());
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

/// Guards against more load than a cold leaf bears, from several entry hosts at once: after the
/// first start, and after a crash under load.
#[test]
fn cold_leaves_never_get_more_than_they_bear() {
    let shape = Shape { cold_per_second: COLD_PER_SECOND, start_warm: false, ..Shape::default() };
    let cluster = Cluster::start(&shape);
    load(&cluster);
    assert_no_violation(&cluster);

    cluster.fault("s0", LeafFault::Crash { down: Span::millis(50) });
    load(&cluster);
    assert_no_violation(&cluster);
    let begun = Instant::now();
    while covered(&cluster.ask(0, &json!("back"))) < cluster.shards() {
        assert!(begun.elapsed() < PATIENCE, "the crashed leaves never came back");
    }
    assert_no_violation(&cluster);
}
