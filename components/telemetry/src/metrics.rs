//! Metrics of a process, exported in the OpenMetrics text format.
//!
//! Counters and gauges are atomic. Looking up a label set takes only a read lock on its family,
//! except the first time that the label set is used. There is no global registry.

use {
    prometheus_client::{
        encoding::{EncodeLabelSet, text},
        metrics::{
            counter::Counter,
            family::Family,
            gauge::Gauge,
            histogram::{Histogram, exponential_buckets},
        },
        registry::{Metric, Registry},
    },
    std::{fmt::Debug, hash::Hash, sync::atomic::AtomicU64},
};

/// Upper bound of the first latency bucket, in seconds.
const FIRST_BUCKET: f64 = 0.000_25;
/// Ratio between the upper bounds of adjacent buckets.
const BUCKET_FACTOR: f64 = 1.5;
/// Number of buckets; the upper bound of the last one is about 10 s.
const BUCKETS: u16 = 27;

/// Labels of query metrics.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct QueryLabels {
    /// The collection.
    pub collection: String,
    /// `done`, `refused_not_run` or `unknown`.
    pub outcome: String,
}

/// Labels of metrics per collection.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CollectionLabels {
    /// The collection.
    pub collection: String,
}

/// Labels of attempt metrics.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AttemptLabels {
    /// The collection.
    pub collection: String,
    /// Result of the attempt.
    pub result: String,
}

/// Labels of refused requests.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RefusalLabels {
    /// Reason of the refusal.
    pub reason: String,
    /// Priority of the request.
    pub priority: String,
}

/// Labels of the leaf state gauge.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct LeafLabels {
    /// The leaf.
    pub leaf: String,
    /// The state.
    pub state: String,
}

/// Labels of store calls.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StoreLabels {
    /// Kind of the call, such as `session` or `claim`.
    pub kind: String,
    /// Result of the call.
    pub result: String,
}

/// Labels of heartbeat traffic.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct DirectionLabels {
    /// `sent` or `received`.
    pub direction: String,
}

type Latency<L> = Family<L, Histogram, fn() -> Histogram>;

/// Registry with all metrics of a process.
pub struct Metrics {
    registry: Registry,
    /// Queries by collection and outcome.
    pub queries: Family<QueryLabels, Counter>,
    /// Time from the arrival of a query to its response, in seconds.
    pub query_seconds: Latency<CollectionLabels>,
    /// Shards contained in responses.
    pub shards_covered: Family<CollectionLabels, Counter>,
    /// Shards requested by queries.
    pub shards_asked: Family<CollectionLabels, Counter>,
    /// Attempts by collection and result.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Duration of attempts, in seconds.
    pub attempt_seconds: Latency<CollectionLabels>,
    /// Hedges sent.
    pub hedges: Family<CollectionLabels, Counter>,
    /// Retries sent.
    pub retries: Family<CollectionLabels, Counter>,
    /// Refused requests by reason and priority.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Leaf replies that were dropped because they do not match their attempt.
    pub replies_dropped: Counter,
    /// 1 for the current state of each held leaf; updated by `set_leaf_state`.
    leaf_state: Family<LeafLabels, Gauge>,
    /// Calls to the store by kind and result.
    pub store_calls: Family<StoreLabels, Counter>,
    /// Duration of calls to the store, in seconds.
    pub store_seconds: Latency<StoreLabels>,
    /// Version of the adopted configuration.
    pub config_version: Gauge,
    /// Version of the known assignment.
    pub assignment_version: Gauge,
    /// Time until the session expires, in seconds; 0 if it has expired.
    pub session_remaining: Gauge<f64, AtomicU64>,
    /// Heartbeat bytes by direction.
    pub heartbeat_bytes: Family<DirectionLabels, Counter>,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates a registry with all metrics and without label sets.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("wigeonramp");
        let r = &mut registry;
        Metrics {
            queries: add(r, "queries", "Queries by collection and outcome"),
            query_seconds: add_latency(r, "query_seconds", "Time from arrival to answer"),
            shards_covered: add(r, "shards_covered", "Shards that answers contain"),
            shards_asked: add(r, "shards_asked", "Shards that queries asked for"),
            attempts: add(r, "attempts", "Attempts at leaves by result"),
            attempt_seconds: add_latency(r, "attempt_seconds", "Time of attempts at leaves"),
            hedges: add(r, "hedges", "Hedges sent"),
            retries: add(r, "retries", "Retries sent"),
            refusals: add(r, "refusals", "Refusals by reason and priority"),
            replies_dropped: add(r, "replies_dropped", "Replies that match no attempt"),
            leaf_state: add(r, "leaf_state", "1 for the present state of each held leaf"),
            store_calls: add(r, "store_calls", "Calls to the store by kind and result"),
            store_seconds: add_latency(r, "store_seconds", "Time of calls to the store"),
            config_version: add(r, "config_version", "Adopted configuration version"),
            assignment_version: add(r, "assignment_version", "Known assignment version"),
            session_remaining: add(r, "session_remaining_seconds", "Time until session expiry"),
            heartbeat_bytes: add(r, "heartbeat_bytes", "Heartbeat bytes by direction"),
            registry,
        }
    }

    /// Replaces the state `previous` of `leaf` by `state`; `None` stands for no state.
    pub fn set_leaf_state(&self, leaf: &str, previous: Option<&str>, state: Option<&str>) {
        let labels = |state: &str| LeafLabels { leaf: leaf.to_owned(), state: state.to_owned() };
        if let Some(previous) = previous {
            self.leaf_state.remove(&labels(previous));
        }
        if let Some(state) = state {
            self.leaf_state.get_or_create(&labels(state)).set(1);
        }
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self) -> String {
        let mut buf = String::new();
        text::encode(&mut buf, &self.registry).expect("writing to a string does not fail");
        buf
    }
}

fn add<M: Clone + Default + Metric>(registry: &mut Registry, name: &str, help: &str) -> M {
    let metric = M::default();
    registry.register(name, help, metric.clone());
    metric
}

fn add_latency<L>(registry: &mut Registry, name: &str, help: &str) -> Latency<L>
where
    L: Clone + EncodeLabelSet + Eq + Debug + Hash + Send + Sync + 'static,
{
    let family: Latency<L> = Family::new_with_constructor(latency_histogram);
    registry.register(name, help, family.clone());
    family
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET, BUCKET_FACTOR, BUCKETS))
}
