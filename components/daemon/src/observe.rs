//! Records the timeline events and metrics of the data path.
//!
//! Events are recorded for queries, for attempts that end without rows, and for changes of leaves.
//! Attempts that end with rows are only counted: with an event for each, the ring buffer of the
//! timeline would hold less than a second at full load.

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

const MICROS_PER_SECOND: f64 = 1e6;

/// Records events and metrics of one host.
pub struct Observer {
    metrics: Arc<Metrics>,
    timeline: Arc<Timeline>,
}

/// The fields of an attempt that its events contain.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRef<'a> {
    /// The attempt.
    pub attempt: AttemptId,
    /// The queried collection.
    pub collection: &'a CollectionId,
    /// The queried leaf.
    pub leaf: &'a LeafId,
    /// Id of the request.
    pub request: &'a RequestId,
    /// The queried shard.
    pub shard: &'a ShardId,
}

/// The fields of the event of a finished query.
#[derive(Clone, Copy, Debug)]
pub struct QuerySummary<'a> {
    /// Version of the configuration that the query ran with.
    pub config: ConfigVersion,
    /// Number of shards in the response.
    pub covered: u32,
    /// `done`, `refused_not_run` or `unknown`, the latter two with a reason.
    pub outcome: &'a str,
    /// The first missing shards, each with its reason; empty if none is missing.
    pub missing: &'a str,
    /// Id of the request.
    pub request: &'a RequestId,
    /// Time from the arrival of the request to the response.
    pub took: Span,
    /// Number of queried shards.
    pub total: u32,
}

/// Coverage of one collection in a finished query.
#[derive(Clone, Copy, Debug)]
pub struct CoverageSummary<'a> {
    /// The collection.
    pub collection: &'a CollectionId,
    /// Number of shards in the response.
    pub covered: u32,
    /// Time from the arrival of the request to the response.
    pub took: Span,
    /// Number of queried shards.
    pub total: u32,
}

fn seconds(span: Span) -> f64 {
    span.0 as f64 / MICROS_PER_SECOND
}

fn collection_labels(collection: &CollectionId) -> CollectionLabels {
    CollectionLabels { collection: collection.to_string() }
}

fn attempt_event(kind: EventKind, attempt: &AttemptRef<'_>) -> NewEvent {
    NewEvent::now(kind)
        .request(attempt.request)
        .leaf(attempt.leaf)
        .field("attempt", attempt.attempt)
        .field("shard", attempt.shard)
}

impl Observer {
    /// Creates an observer that records events in `timeline` and values in `metrics`.
    pub fn new(timeline: Arc<Timeline>, metrics: Arc<Metrics>) -> Self {
        Self { metrics, timeline }
    }

    /// Returns the timeline.
    pub fn timeline(&self) -> &Arc<Timeline> {
        &self.timeline
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> &Arc<Metrics> {
        &self.metrics
    }

    /// Records that a leaf changed its state; `from` or `to` is `None` if the leaf was not held
    /// before or is no longer held.
    pub fn leaf_state_changed(
        &self,
        leaf: &LeafId,
        epoch: Epoch,
        from: Option<LeafState>,
        to: Option<LeafState>,
    ) {
        let name = |state: LeafState| state.as_str();
        self.metrics.set_leaf_state(leaf.as_str(), from.map(name), to.map(name));
        let event = NewEvent::now(EventKind::LeafState).leaf(leaf).epoch(epoch);
        let event = event.field("from", from.map_or("none", name));
        self.timeline.record(event.field("to", to.map_or("none", name)));
    }

    /// Records an event of a connection to a leaf, described by `what`.
    pub fn connection_event(&self, leaf: &LeafId, what: &str) {
        let event = NewEvent::now(EventKind::LeafConnection).leaf(leaf);
        self.timeline.record(event.field("what", what));
    }

    /// Records that a connection was closed because its leaf sent no response there, while it
    /// answers on a new connection.
    pub fn silent_connection_closed(&self, leaf: &LeafId, request: &RequestId, attempt: AttemptId) {
        let event = NewEvent::now(EventKind::LeafConnection).leaf(leaf).request(request);
        let event =
            event.field("what", "closed: no response, but the leaf answers on a new connection");
        self.timeline.record(event.field("attempt", attempt));
    }

    /// Records that a leaf reset its connection while it ran a request, and the new verdict on the
    /// request.
    pub fn leaf_reset(
        &self,
        leaf: &LeafId,
        fingerprint: Fingerprint,
        alone: bool,
        verdict: Verdict,
    ) {
        log::warn!("leaf {leaf} reset while request {fingerprint} ran, verdict {verdict:?}");
        let event =
            NewEvent::now(EventKind::Quarantine).leaf(leaf).field("fingerprint", fingerprint);
        let event = event.field("alone", alone);
        self.timeline.record(event.field("verdict", format!("{verdict:?}").to_lowercase()));
    }

    /// Records that a suspected request succeeded and is no longer suspected.
    pub fn suspect_cleared(&self, leaf: &LeafId, fingerprint: Fingerprint) {
        let event =
            NewEvent::now(EventKind::Quarantine).leaf(leaf).field("fingerprint", fingerprint);
        self.timeline.record(event.field("verdict", "cleared"));
    }

    /// Records that the holder dropped a leaf's response because it did not match its request.
    pub fn invalid_response(&self, attempt: &AttemptRef<'_>, what: &str) {
        self.reply_dropped(attempt, what);
    }

    /// Records that a reply was dropped because it did not match its attempt.
    pub fn reply_dropped(&self, attempt: &AttemptRef<'_>, what: &str) {
        self.metrics.replies_dropped.inc();
        log::warn!(
            "leaf {}: response to attempt {} dropped: {what}",
            attempt.leaf,
            attempt.attempt
        );
        self.timeline.record(attempt_event(EventKind::ReplyDropped, attempt).field("what", what));
    }

    /// Records that a hedge was sent.
    pub fn hedge_sent(&self, attempt: &AttemptRef<'_>) {
        self.metrics.hedges.get_or_create(&collection_labels(attempt.collection)).inc();
        self.timeline.record(attempt_event(EventKind::Hedge, attempt));
    }

    /// Records that a retry was sent.
    pub fn retry_sent(&self, attempt: &AttemptRef<'_>) {
        self.metrics.retries.get_or_create(&collection_labels(attempt.collection)).inc();
        self.timeline.record(attempt_event(EventKind::Retry, attempt));
    }

    /// Counts an attempt that ended with rows.
    pub fn attempt_answered(&self, collection: &CollectionId, took: Span) {
        self.attempt_ended(collection, "answered", took);
    }

    /// Records an attempt that ended without rows.
    pub fn attempt_failed(
        &self,
        attempt: &AttemptRef<'_>,
        result: &'static str,
        reason: &str,
        took: Span,
    ) {
        self.attempt_ended(attempt.collection, result, took);
        let event = attempt_event(EventKind::AttemptFinished, attempt).field("result", result);
        let event = event.field("reason", reason);
        self.timeline.record(event.field("took_us", took.0));
    }

    fn attempt_ended(&self, collection: &CollectionId, result: &str, took: Span) {
        let labels =
            AttemptLabels { collection: collection.to_string(), result: result.to_owned() };
        self.metrics.attempts.get_or_create(&labels).inc();
        let labels = collection_labels(collection);
        self.metrics.attempt_seconds.get_or_create(&labels).observe(seconds(took));
    }

    /// Records that a request was refused before it ran.
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
        let event = NewEvent::now(EventKind::QueryRefused).field("reason", reason);
        let event = event.field("priority", priority);
        self.timeline.record(match request {
            Some(request) => event.request(request),
            None => event,
        });
    }

    /// Records the event of a finished query.
    pub fn query_finished(&self, query: &QuerySummary<'_>) {
        let event = NewEvent::now(EventKind::QueryFinished).request(query.request);
        let event = event.config_version(query.config).field("outcome", query.outcome);
        let event = event.field("covered", query.covered).field("total", query.total);
        let event = event.field("took_us", query.took.0);
        self.timeline.record(match query.missing {
            "" => event,
            missing => event.field("missing", missing),
        });
    }

    /// Counts a query with any outcome under one of its collections.
    pub fn query_counted(&self, collection: &CollectionId, outcome: &str) {
        let labels =
            QueryLabels { collection: collection.to_string(), outcome: outcome.to_owned() };
        self.metrics.queries.get_or_create(&labels).inc();
    }

    /// Records latency and coverage of a finished query for one of its collections.
    pub fn coverage(&self, coverage: &CoverageSummary<'_>) {
        let labels = collection_labels(coverage.collection);
        self.metrics.query_seconds.get_or_create(&labels).observe(seconds(coverage.took));
        self.metrics.shards_covered.get_or_create(&labels).inc_by(coverage.covered.into());
        self.metrics.shards_asked.get_or_create(&labels).inc_by(coverage.total.into());
    }
}
