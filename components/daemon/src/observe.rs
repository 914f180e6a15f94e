//! What operators can ask about afterwards: timeline and metrics of the data path.
//!
//! An attempt that answers leaves no event; the ring would hold less than a second at full load.
//! Every attempt, query and leaf whose outcome an operator would ask about does.

use {
    std::sync::Arc,
    wigeonramp_config::Priority,
    wigeonramp_serving::{quarantine::Verdict, upstream::LeafState},
    wigeonramp_telemetry::{
        metrics::{AttemptLabels, CollectionLabels, Metrics, QueryLabels, RefusalLabels},
        timeline::{EventKind, NewEvent, Timeline},
    },
    wigeonramp_units::{
        AttemptId, CollectionId, ConfigVersion, Epoch, Fingerprint, LeafId, RequestId, ShardId,
        Span,
    },
};

const MICROS: f64 = 1e6;

/// Timeline and metrics of one host.
pub struct Observer {
    metrics: Arc<Metrics>,
    timeline: Arc<Timeline>,
}

/// An attempt, for events about it.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRef<'a> {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its collection.
    pub collection: &'a CollectionId,
    /// The leaf.
    pub leaf: &'a LeafId,
    /// The request.
    pub request: &'a RequestId,
    /// The shard.
    pub shard: &'a ShardId,
}

/// A finished query, for its event.
#[derive(Clone, Copy, Debug)]
pub struct QuerySummary<'a> {
    /// The configuration that it ran under.
    pub config: ConfigVersion,
    /// Shards in the answer.
    pub covered: u32,
    /// `done`, `refused_not_run` or `unknown`, with its reason.
    pub outcome: &'a str,
    /// The first shards without rows, each with the reason; empty when none is missing.
    pub missing: &'a str,
    /// The request.
    pub request: &'a RequestId,
    /// Time from arrival to answer.
    pub took: Span,
    /// Shards asked for.
    pub total: u32,
}

/// Shards of one collection in a finished query.
#[derive(Clone, Copy, Debug)]
pub struct CoverageSummary<'a> {
    /// The collection.
    pub collection: &'a CollectionId,
    /// Shards in the answer.
    pub covered: u32,
    /// Time from arrival to answer.
    pub took: Span,
    /// Shards asked for.
    pub total: u32,
}

fn seconds(span: Span) -> f64 {
    span.0 as f64 / MICROS
}

fn collection_labels(collection: &CollectionId) -> CollectionLabels {
    CollectionLabels { collection: collection.to_string() }
}

fn about(kind: EventKind, attempt: &AttemptRef<'_>) -> NewEvent {
    NewEvent::now(kind)
        .request(attempt.request)
        .leaf(attempt.leaf)
        .field("attempt", attempt.attempt)
        .field("shard", attempt.shard)
}

impl Observer {
    /// Events go to `timeline`, numbers to `metrics`.
    pub fn new(timeline: Arc<Timeline>, metrics: Arc<Metrics>) -> Self {
        Self { metrics, timeline }
    }

    /// The timeline.
    pub fn timeline(&self) -> &Arc<Timeline> {
        &self.timeline
    }

    /// The metrics.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// A leaf entered another state; `None` when it is no longer held.
    pub fn leaf_state_changed(
        &self,
        leaf: &LeafId,
        epoch: Epoch,
        from: Option<LeafState>,
        to: Option<LeafState>,
    ) {
        let name = |state: LeafState| state.as_str();
        self.metrics.set_leaf_state(leaf.as_str(), from.map(name), to.map(name));
        let entry = NewEvent::now(EventKind::LeafState).leaf(leaf).epoch(epoch);
        let entry = entry.field("from", from.map_or("none", name));
        self.timeline.record(entry.field("to", to.map_or("none", name)));
    }

    /// Something happened to a connection to a leaf.
    pub fn connection_event(&self, leaf: &LeafId, what: &str) {
        let entry = NewEvent::now(EventKind::LeafConnection).leaf(leaf);
        self.timeline.record(entry.field("what", what));
    }

    /// A connection is given up although its request has no answer.
    pub fn silent_connection_closed(&self, leaf: &LeafId, request: &RequestId, attempt: AttemptId) {
        let entry = NewEvent::now(EventKind::LeafConnection).leaf(leaf).request(request);
        let entry = entry.field("what", "closed: silent, the leaf answers on a new one");
        self.timeline.record(entry.field("attempt", attempt));
    }

    /// A request ran when its leaf reset.
    pub fn leaf_reset(&self, leaf: &LeafId, fingerprint: Fingerprint, alone: bool, now: Verdict) {
        log::warn!("leaf {leaf} reset while request {fingerprint} ran, verdict {now:?}");
        let entry =
            NewEvent::now(EventKind::Quarantine).leaf(leaf).field("fingerprint", fingerprint);
        let entry = entry.field("alone", alone);
        self.timeline.record(entry.field("verdict", format!("{now:?}").to_lowercase()));
    }

    /// A suspected request succeeded.
    pub fn suspect_cleared(&self, leaf: &LeafId, fingerprint: Fingerprint) {
        let entry =
            NewEvent::now(EventKind::Quarantine).leaf(leaf).field("fingerprint", fingerprint);
        self.timeline.record(entry.field("verdict", "cleared"));
    }

    /// A leaf's answer did not match its call and was dropped at the holder.
    pub fn invalid_response(&self, attempt: &AttemptRef<'_>, what: &str) {
        self.reply_dropped(attempt, what);
    }

    /// A reply did not match its attempt and was dropped in the merge.
    pub fn reply_dropped(&self, attempt: &AttemptRef<'_>, what: &str) {
        self.metrics.replies_dropped.inc();
        log::warn!("leaf {}: answer to attempt {} dropped: {what}", attempt.leaf, attempt.attempt);
        self.timeline.record(about(EventKind::ReplyDropped, attempt).field("what", what));
    }

    /// A hedge was sent.
    pub fn hedge_sent(&self, attempt: &AttemptRef<'_>) {
        self.metrics.hedges.get_or_create(&collection_labels(attempt.collection)).inc();
        self.timeline.record(about(EventKind::Hedge, attempt));
    }

    /// A retry was sent.
    pub fn retry_sent(&self, attempt: &AttemptRef<'_>) {
        self.metrics.retries.get_or_create(&collection_labels(attempt.collection)).inc();
        self.timeline.record(about(EventKind::Retry, attempt));
    }

    /// An attempt ended with rows.
    pub fn attempt_answered(&self, collection: &CollectionId, took: Span) {
        self.attempt_ended(collection, "answered", took);
    }

    /// An attempt ended without rows.
    pub fn attempt_failed(
        &self,
        attempt: &AttemptRef<'_>,
        result: &'static str,
        reason: &str,
        took: Span,
    ) {
        self.attempt_ended(attempt.collection, result, took);
        let entry = about(EventKind::AttemptFinished, attempt).field("result", result);
        let entry = entry.field("reason", reason);
        self.timeline.record(entry.field("took_us", took.0));
    }

    fn attempt_ended(&self, collection: &CollectionId, result: &str, took: Span) {
        let labels =
            AttemptLabels { collection: collection.to_string(), result: result.to_owned() };
        self.metrics.attempts.get_or_create(&labels).inc();
        let labels = collection_labels(collection);
        self.metrics.attempt_seconds.get_or_create(&labels).observe(seconds(took));
    }

    /// A request was refused before it ran.
    pub fn query_refused(
        &self,
        request: Option<&RequestId>,
        reason: &str,
        priority: Option<Priority>,
    ) {
        let priority = match priority {
            Some(Priority::Urgent) => "urgent",
            Some(Priority::Ordinary) => "ordinary",
            None => "unknown",
        };
        let labels = RefusalLabels { reason: reason.to_owned(), priority: priority.to_owned() };
        self.metrics.refusals.get_or_create(&labels).inc();
        let entry = NewEvent::now(EventKind::QueryRefused).field("reason", reason);
        let entry = entry.field("priority", priority);
        self.timeline.record(match request {
            Some(request) => entry.request(request),
            None => entry,
        });
    }

    /// A query was answered.
    pub fn query_finished(&self, query: &QuerySummary<'_>) {
        let entry = NewEvent::now(EventKind::QueryFinished).request(query.request);
        let entry = entry.config_version(query.config).field("outcome", query.outcome);
        let entry = entry.field("covered", query.covered).field("total", query.total);
        let entry = entry.field("took_us", query.took.0);
        self.timeline.record(match query.missing {
            "" => entry,
            missing => entry.field("missing", missing),
        });
    }

    /// Counts a query under one of its collections, whatever its outcome.
    pub fn query_counted(&self, collection: &CollectionId, outcome: &str) {
        let labels =
            QueryLabels { collection: collection.to_string(), outcome: outcome.to_owned() };
        self.metrics.queries.get_or_create(&labels).inc();
    }

    /// Records what an answer contains of one collection.
    pub fn coverage(&self, coverage: &CoverageSummary<'_>) {
        let labels = collection_labels(coverage.collection);
        self.metrics.query_seconds.get_or_create(&labels).observe(seconds(coverage.took));
        self.metrics.shards_covered.get_or_create(&labels).inc_by(coverage.covered.into());
        self.metrics.shards_asked.get_or_create(&labels).inc_by(coverage.total.into());
    }
}
