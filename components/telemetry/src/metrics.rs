//! Metrics of one process.
//!
//! Counters and gauges are atomic; a family's map is locked for reading only, except when a label
//! set is seen for the first time. There is no global registry.

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

/// Upper bound of the first latency bucket in seconds.
const FIRST_BUCKET: f64 = 0.000_25;
/// Factor from bucket to bucket.
const BUCKET_FACTOR: f64 = 1.5;
/// Number of buckets; the last bound is about 10 s.
const BUCKETS: u16 = 27;

/// Labels of queries.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct QueryLabels {
    /// The collection.
    pub collection: String,
    /// `done`, `refused_not_run` or `unknown`.
    pub outcome: String,
}

/// Labels of what belongs to a collection.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct CollectionLabels {
    /// The collection.
    pub collection: String,
}

/// Labels of attempts.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AttemptLabels {
    /// The collection.
    pub collection: String,
    /// How the attempt ended.
    pub result: String,
}

/// Labels of refusals.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RefusalLabels {
    /// Why it was refused.
    pub reason: String,
    /// Priority of the request.
    pub priority: String,
}

/// Labels of a leaf's state.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct LeafLabels {
    /// The leaf.
    pub leaf: String,
    /// The state.
    pub state: String,
}

/// Labels of calls to the store.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct StoreLabels {
    /// Kind of the call, such as `session` or `claim`.
    pub kind: String,
    /// How it ended.
    pub result: String,
}

/// Labels of heartbeat traffic.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct DirectionLabels {
    /// `sent` or `received`.
    pub direction: String,
}

type Latency<L> = Family<L, Histogram, fn() -> Histogram>;

/// All metrics of a process; shared by reference.
pub struct Metrics {
    registry: Registry,
    /// Queries by collection and outcome.
    pub queries: Family<QueryLabels, Counter>,
    /// Time from a query's arrival to its answer in seconds.
    pub query_seconds: Latency<CollectionLabels>,
    /// Shards that answers contain.
    pub shards_covered: Family<CollectionLabels, Counter>,
    /// Shards that queries asked for.
    pub shards_asked: Family<CollectionLabels, Counter>,
    /// Attempts at leaves by collection and result.
    pub attempts: Family<AttemptLabels, Counter>,
    /// Time from an attempt's start to its end in seconds.
    pub attempt_seconds: Latency<CollectionLabels>,
    /// Hedges sent.
    pub hedges: Family<CollectionLabels, Counter>,
    /// Retries sent.
    pub retries: Family<CollectionLabels, Counter>,
    /// Refusals by reason and priority.
    pub refusals: Family<RefusalLabels, Counter>,
    /// Replies that were dropped because they do not match their attempt.
    pub replies_dropped: Counter,
    /// 1 for the present state of each held leaf; set through `set_leaf_state`.
    leaf_state: Family<LeafLabels, Gauge>,
    /// Calls to the store by kind and result.
    pub store_calls: Family<StoreLabels, Counter>,
    /// Time of calls to the store in seconds.
    pub store_seconds: Latency<StoreLabels>,
    /// Adopted configuration version.
    pub config_version: Gauge,
    /// Known assignment version.
    pub assignment_version: Gauge,
    /// Time until the session expires in seconds; 0 if it has expired.
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
    /// A registry with all families and no values.
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

    /// Sets the state of `leaf`; `previous` is the state that it leaves, if it had one.
    pub fn set_leaf_state(&self, leaf: &str, previous: Option<&str>, state: Option<&str>) {
        let labels = |state: &str| LeafLabels { leaf: leaf.to_owned(), state: state.to_owned() };
        if let Some(previous) = previous {
            self.leaf_state.remove(&labels(previous));
        }
        if let Some(state) = state {
            self.leaf_state.get_or_create(&labels(state)).set(1);
        }
    }

    /// All metrics in the OpenMetrics text format.
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
