//! Guards against renamed metrics, which break dashboards without an error, and against a leaf that
//! has two states at once.

use {
    insta::assert_snapshot,
    wigeonramp_telemetry::metrics::{
        AttemptLabels, CollectionLabels, DirectionLabels, Metrics, QueryLabels, RefusalLabels,
        StoreLabels,
    },
};

/// Creates metrics with a value in each family, because a family without values is not encoded.
fn metrics_with_values() -> Metrics {
    let metrics = Metrics::new();
    let text = || "x".to_owned();
    let collection = CollectionLabels { collection: text() };
    let attempt = AttemptLabels { collection: text(), result: text() };
    let store = StoreLabels { kind: text(), result: text() };
    metrics.queries.get_or_create(&QueryLabels { collection: text(), outcome: text() }).inc();
    metrics.query_seconds.get_or_create(&collection).observe(0.1);
    metrics.shards_covered.get_or_create(&collection).inc();
    metrics.shards_asked.get_or_create(&collection).inc();
    metrics.attempts.get_or_create(&attempt).inc();
    metrics.attempt_seconds.get_or_create(&collection).observe(0.1);
    metrics.hedges.get_or_create(&collection).inc();
    metrics.retries.get_or_create(&collection).inc();
    metrics.refusals.get_or_create(&RefusalLabels { reason: text(), priority: text() }).inc();
    metrics.set_leaf_state("x", None, Some("warm"));
    metrics.store_calls.get_or_create(&store).inc();
    metrics.store_seconds.get_or_create(&store).observe(0.1);
    metrics.heartbeat_bytes.get_or_create(&DirectionLabels { direction: text() }).inc();
    metrics
}

#[test]
fn names_and_types_of_all_metrics() {
    let text = metrics_with_values().encode();
    let types: Vec<_> = text.lines().filter(|line| line.starts_with("# TYPE")).collect();
    assert_snapshot!(types.join("\n"));
}

#[test]
fn values_appear_with_their_labels() {
    let metrics = Metrics::new();
    let collection = "quote-desk".to_owned();
    let labels = QueryLabels { collection: collection.clone(), outcome: "done".to_owned() };
    metrics.queries.get_or_create(&labels).inc();
    metrics.query_seconds.get_or_create(&CollectionLabels { collection }).observe(0.02);
    metrics.session_remaining.set(2.5);
    metrics.set_leaf_state("quote-desk/07/a", None, Some("cold"));
    metrics.set_leaf_state("quote-desk/07/a", Some("cold"), Some("ramping"));
    let text = metrics.encode();
    let is_value = |line: &&str| !line.starts_with('#') && !line.contains("_bucket");
    assert_snapshot!(text.lines().filter(is_value).collect::<Vec<_>>().join("\n"));
}
