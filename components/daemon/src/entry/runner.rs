//! The event loop of one query: passes events to the `Query` state machine and executes its
//! actions.

use {
    crate::{
        clock,
        entry::{
            EntryParts, QueryRequest,
            dispatch::{Dispatcher, Route},
            leaf_tracker::LeafTracker,
        },
        observe::AttemptRef,
        peer::client::{AttemptEvent, LostAttempts},
        reply::{AttemptReply, ReplyOutcome},
        view::{ClusterView, HolderRights},
    },
    crossbeam::{
        channel::{Receiver, Sender, unbounded},
        select,
    },
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
    wigeonramp_serving::{
        query::{
            Action, AttemptResult, AttemptSpec, Event, LeafResponse, LeafView, Query, QueryResult,
            QuerySpec,
        },
        upstream::Refusal,
    },
    wigeonramp_units::{AttemptId, CollectionId, Instant, ShardId, SnapshotId},
};

/// A finished query.
pub(super) struct FinishedQuery {
    /// Whether the query ended early because its caller disconnected.
    pub(super) abandoned: bool,
    /// Whether a leaf reset its connection while it ran the query.
    pub(super) reset: bool,
    pub(super) result: QueryResult,
}

/// An attempt that was sent and has not ended.
struct OpenAttempt {
    route: Route,
    sent_at: Instant,
    spec: AttemptSpec,
}

/// A shard for which an attempt was sent. A further attempt is a retry unless it is a hedge.
#[derive(Debug, Eq, Hash, PartialEq)]
struct QueriedShard {
    collection: CollectionId,
    shard: ShardId,
    snapshot: SnapshotId,
}

/// Runs one query on its request thread.
pub(super) struct QueryRunner<'a, K, R> {
    abandoned: bool,
    cluster: &'a Arc<ClusterView>,
    dispatcher: Dispatcher<'a, K, R>,
    events: Sender<AttemptEvent>,
    incoming: Receiver<AttemptEvent>,
    leaf_tracker: &'a LeafTracker,
    open: HashMap<AttemptId, OpenAttempt>,
    parts: &'a EntryParts<K, R>,
    queried_shards: HashSet<QueriedShard>,
    query: &'a QueryRequest,
    reset: bool,
    wake_at: Option<Instant>,
}

impl<'a, K, R: HolderRights> QueryRunner<'a, K, R> {
    pub(super) fn new(
        query: &'a QueryRequest,
        cluster: &'a Arc<ClusterView>,
        leaf_tracker: &'a LeafTracker,
        parts: &'a EntryParts<K, R>,
        dispatcher: Dispatcher<'a, K, R>,
    ) -> Self {
        let (events, incoming) = unbounded();
        Self {
            abandoned: false,
            cluster,
            dispatcher,
            events,
            incoming,
            leaf_tracker,
            open: HashMap::new(),
            parts,
            queried_shards: HashSet::new(),
            query,
            reset: false,
            wake_at: None,
        }
    }

    /// Runs the query until it is finished.
    pub(super) fn run(mut self, spec: QuerySpec, view: Arc<LeafView>) -> FinishedQuery {
        let document = Arc::clone(&self.cluster.document);
        let now = clock::now();
        let (mut query, mut actions) = Query::new(spec, document, view, now, &mut rand::rng());
        loop {
            if let Some(result) = self.execute(actions) {
                return FinishedQuery { abandoned: self.abandoned, reset: self.reset, result };
            }
            actions = self.next_actions(&mut query);
        }
    }

    /// Waits for the next event and handles it together with all that are already queued.
    fn next_actions(&mut self, query: &mut Query) -> Vec<Action> {
        let until = self.wake_at.unwrap_or(self.query.deadline);
        let wait = clock::until(until).to_duration();
        let mut actions = select! {
            recv(self.incoming) -> event => match event {
                Ok(event) => self.handle(query, event),
                Err(_) => query.handle(Event::Tick, clock::now()),
            },
            recv(self.query.client_gone) -> _ => return self.abandon(query),
            default(wait) => query.handle(Event::Tick, clock::now()),
        };
        while let Ok(event) = self.incoming.try_recv() {
            actions.extend(self.handle(query, event));
        }
        actions
    }

    /// Ends the query of a disconnected caller as if its deadline had passed, which cancels its
    /// attempts.
    fn abandon(&mut self, query: &mut Query) -> Vec<Action> {
        self.abandoned = true;
        query.handle(Event::Tick, self.query.deadline)
    }

    fn handle(&mut self, query: &mut Query, event: AttemptEvent) -> Vec<Action> {
        match event {
            AttemptEvent::Reply(reply) => {
                if let Some(report) = &reply.report {
                    self.leaf_tracker.report(self.cluster, report, clock::now());
                }
                let attempt = reply.attempt;
                let result = self.record_reply(*reply);
                self.end_attempt(query, attempt, result)
            }
            AttemptEvent::Lost(lost) => self.handle_lost(query, &lost),
        }
    }

    fn handle_lost(&mut self, query: &mut Query, lost: &LostAttempts) -> Vec<Action> {
        let mut actions = Vec::new();
        for attempt in &lost.attempts {
            let result = if lost.maybe_sent {
                AttemptResult::Unknown
            } else {
                AttemptResult::NotSent(Refusal::Unreachable)
            };
            self.record_failure(*attempt, &result, &lost.reason);
            actions.extend(self.end_attempt(query, *attempt, result));
        }
        actions
    }

    fn end_attempt(
        &mut self,
        query: &mut Query,
        attempt: AttemptId,
        result: AttemptResult,
    ) -> Vec<Action> {
        let before = query.counters();
        let actions = query.handle(Event::AttemptEnded { attempt, result }, clock::now());
        if query.counters().mismatched > before.mismatched {
            // The attempt stays open, because the matching reply may still arrive.
            if let Some(open) = self.open.get(&attempt) {
                self.parts
                    .observer
                    .reply_dropped(&self.attempt_ref(&open.spec), "does not match its attempt");
            }
        } else {
            self.open.remove(&attempt);
        }
        actions
    }

    /// Records a reply in the leaf tracker, the timeline and the metrics, and converts it to a
    /// result for the query.
    fn record_reply(&mut self, reply: AttemptReply) -> AttemptResult {
        let now = clock::now();
        let attempt = reply.attempt;
        let (result, reason) = match reply.outcome {
            ReplyOutcome::Answered(rows) => {
                if let Some(open) = self.open.get(&attempt) {
                    let took = now.since(open.sent_at);
                    let id = &open.spec.collection;
                    self.leaf_tracker.record_success(self.cluster, id, &open.spec.leaf, took, now);
                    self.parts.observer.attempt_answered(id, took);
                }
                return AttemptResult::Answered(LeafResponse {
                    request: reply.request,
                    leaf: reply.leaf,
                    shard: reply.shard,
                    member: reply.member,
                    snapshot: reply.snapshot,
                    map_version: reply.map_version,
                    rows: rows.count,
                    digest: rows.digest,
                    payload: rows.payload,
                });
            }
            ReplyOutcome::NotSent(refusal) => {
                (AttemptResult::NotSent(refusal), refusal.to_string())
            }
            ReplyOutcome::Refused(reason) => (AttemptResult::Refused, reason),
            ReplyOutcome::Reset(reason) => (AttemptResult::Reset, reason),
            ReplyOutcome::SnapshotGone => (AttemptResult::SnapshotGone, String::new()),
            ReplyOutcome::Unknown(reason) => (AttemptResult::Unknown, reason),
        };
        self.record_failure(attempt, &result, &reason);
        result
    }

    /// Records an attempt that ended without rows. A reset or a missing response counts against the
    /// leaf.
    fn record_failure(&mut self, attempt: AttemptId, result: &AttemptResult, reason: &str) {
        let now = clock::now();
        let Some(open) = self.open.get(&attempt) else { return };
        let (name, is_leaf_fault) = match result {
            AttemptResult::Answered(_) => ("answered", false),
            AttemptResult::NotSent(_) => ("not_sent", false),
            AttemptResult::Refused => ("refused", false),
            AttemptResult::Reset => ("reset", true),
            AttemptResult::SnapshotGone => ("snapshot_gone", false),
            AttemptResult::Unknown => ("unknown", true),
        };
        if matches!(result, AttemptResult::Reset) {
            // Resets of both replicas are seen here, while each of their holders may see only one.
            let AttemptSpec { alone, leaf, .. } = &open.spec;
            self.parts.suspects.record_reset(self.query.fingerprint(), leaf, *alone, now);
            self.reset = true;
        }
        let took = now.since(open.sent_at);
        self.parts.observer.attempt_failed(&self.attempt_ref(&open.spec), name, reason, took);
        if is_leaf_fault {
            let AttemptSpec { collection, leaf, .. } = &open.spec;
            if self.leaf_tracker.record_failure(self.cluster, collection, leaf, now) {
                log::warn!("leaf {leaf} is ejected: too many consecutive failures");
            }
        }
    }

    /// Executes the actions of the query. Returns its result once it is finished.
    fn execute(&mut self, actions: Vec<Action>) -> Option<QueryResult> {
        let mut batch = Vec::new();
        let mut cancelled = Vec::new();
        let mut result = None;
        for action in actions {
            match action {
                Action::Send(spec) => batch.push(spec),
                Action::Cancel { attempt } => {
                    // An attempt of this batch has not been sent yet.
                    batch.retain(|spec| spec.attempt != attempt);
                    if let Some(open) = self.open.remove(&attempt) {
                        cancelled.push((attempt, open.route));
                    }
                }
                Action::WakeAt(at) => self.wake_at = Some(at),
                Action::Finish(finished) => result = Some(*finished),
            }
        }
        if !cancelled.is_empty() {
            self.dispatcher.cancel(cancelled);
        }
        if result.is_none() && !batch.is_empty() {
            self.send(batch);
        }
        result
    }

    fn send(&mut self, batch: Vec<AttemptSpec>) {
        for spec in &batch {
            let queried_before = !self.queried_shards.insert(QueriedShard {
                collection: spec.collection.clone(),
                shard: spec.shard.clone(),
                snapshot: spec.snapshot,
            });
            match (spec.hedge, queried_before) {
                (true, _) => self.parts.observer.hedge_sent(&self.attempt_ref(spec)),
                (false, true) => self.parts.observer.retry_sent(&self.attempt_ref(spec)),
                (false, false) => (),
            }
        }
        let sent_at = clock::now();
        let routes = self.dispatcher.send(batch.clone(), &self.events);
        for (spec, route) in batch.into_iter().zip(routes) {
            self.open.insert(spec.attempt, OpenAttempt { route, sent_at, spec });
        }
    }

    fn attempt_ref<'b>(&'b self, spec: &'b AttemptSpec) -> AttemptRef<'b> {
        AttemptRef {
            attempt: spec.attempt,
            collection: &spec.collection,
            leaf: &spec.leaf,
            request: &self.query.request,
            shard: &spec.shard,
        }
    }
}
