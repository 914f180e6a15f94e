//! The loop that feeds a `Query` its events and does what it decides.

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
pub(super) struct Driven {
    pub(super) answer: QueryResult,
    /// Whether the query ended because nobody waits for its answer.
    pub(super) abandoned: bool,
    /// Whether a leaf reset while the query ran there.
    pub(super) reset: bool,
}

struct Open {
    began: Instant,
    route: Route,
    send: AttemptSpec,
}

/// A shard that was asked; asking it again is a retry.
#[derive(Debug, Eq, Hash, PartialEq)]
struct Asked {
    collection: CollectionId,
    shard: ShardId,
    snapshot: SnapshotId,
}

/// One query on its request thread.
pub(super) struct Drive<'a, K, R> {
    abandoned: bool,
    asked: HashSet<Asked>,
    leaf_tracker: &'a LeafTracker,
    cluster: &'a Arc<ClusterView>,
    dispatcher: Dispatcher<'a, K, R>,
    events: Sender<AttemptEvent>,
    incoming: Receiver<AttemptEvent>,
    open: HashMap<AttemptId, Open>,
    parts: &'a EntryParts<K, R>,
    query: &'a QueryRequest,
    reset: bool,
    wake: Option<Instant>,
}

impl<'a, K, R: HolderRights> Drive<'a, K, R> {
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
            asked: HashSet::new(),
            leaf_tracker,
            cluster,
            dispatcher,
            events,
            incoming,
            open: HashMap::new(),
            parts,
            query,
            reset: false,
            wake: None,
        }
    }

    /// Runs to the answer.
    pub(super) fn run(mut self, spec: QuerySpec, view: Arc<LeafView>) -> Driven {
        let document = Arc::clone(&self.cluster.document);
        let now = clock::now();
        let (mut query, mut actions) = Query::new(spec, document, view, now, &mut rand::rng());
        loop {
            if let Some(answer) = self.apply(actions) {
                return Driven { abandoned: self.abandoned, answer, reset: self.reset };
            }
            actions = self.step(&mut query);
        }
    }

    /// Waits for the next event, and takes in all that are there.
    fn step(&mut self, query: &mut Query) -> Vec<Action> {
        let until = self.wake.unwrap_or(self.query.deadline);
        let wait = clock::until(until).to_duration();
        let mut actions = select! {
            recv(self.incoming) -> event => match event {
                Ok(event) => self.take(query, event),
                Err(_) => query.handle(Event::Tick, clock::now()),
            },
            recv(self.query.client) -> _ => return self.abandon(query),
            default(wait) => query.handle(Event::Tick, clock::now()),
        };
        while let Ok(event) = self.incoming.try_recv() {
            actions.extend(self.take(query, event));
        }
        actions
    }

    /// Nobody waits for the answer: ends the query as at its deadline, which cancels its attempts.
    fn abandon(&mut self, query: &mut Query) -> Vec<Action> {
        self.abandoned = true;
        query.handle(Event::Tick, self.query.deadline)
    }

    fn take(&mut self, query: &mut Query, event: AttemptEvent) -> Vec<Action> {
        match event {
            AttemptEvent::Reply(reply) => {
                if let Some(report) = &reply.report {
                    self.leaf_tracker.report(self.cluster, report, clock::now());
                }
                let attempt = reply.attempt;
                let result = self.result_of(*reply);
                self.deliver(query, attempt, result)
            }
            AttemptEvent::Lost(lost) => self.lost(query, &lost),
        }
    }

    fn lost(&mut self, query: &mut Query, lost: &LostAttempts) -> Vec<Action> {
        let mut actions = Vec::new();
        for attempt in &lost.attempts {
            let result = if lost.maybe_sent {
                AttemptResult::Unknown
            } else {
                AttemptResult::NotSent(Refusal::Unreachable)
            };
            self.failed(*attempt, &result, &lost.reason);
            actions.extend(self.deliver(query, *attempt, result));
        }
        actions
    }

    fn deliver(
        &mut self,
        query: &mut Query,
        attempt: AttemptId,
        result: AttemptResult,
    ) -> Vec<Action> {
        let before = query.counters();
        let actions = query.handle(Event::AttemptEnded { attempt, result }, clock::now());
        if query.counters().mismatched > before.mismatched {
            // The attempt stays open: the right reply may still come.
            if let Some(open) = self.open.get(&attempt) {
                self.parts
                    .observer
                    .reply_dropped(&self.about(&open.send), "does not match its attempt");
            }
        } else {
            self.open.remove(&attempt);
        }
        actions
    }

    /// What the reply means to the query; also to latencies, ejection and the timeline.
    fn result_of(&mut self, reply: AttemptReply) -> AttemptResult {
        let now = clock::now();
        let attempt = reply.attempt;
        let (result, reason) = match reply.outcome {
            ReplyOutcome::Answered(rows) => {
                if let Some(open) = self.open.get(&attempt) {
                    let took = now.since(open.began);
                    let id = &open.send.collection;
                    self.leaf_tracker.answered(self.cluster, id, &open.send.leaf, took, now);
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
        self.failed(attempt, &result, &reason);
        result
    }

    fn failed(&mut self, attempt: AttemptId, result: &AttemptResult, reason: &str) {
        let now = clock::now();
        let Some(open) = self.open.get(&attempt) else { return };
        let (name, blames) = match result {
            AttemptResult::Answered(_) => ("answered", false),
            AttemptResult::NotSent(_) => ("not_sent", false),
            AttemptResult::Refused => ("refused", false),
            AttemptResult::Reset => ("reset", true),
            AttemptResult::SnapshotGone => ("snapshot_gone", false),
            AttemptResult::Unknown => ("unknown", true),
        };
        if matches!(result, AttemptResult::Reset) {
            // This host sees both replicas, whose holders each see one.
            let AttemptSpec { alone, leaf, .. } = &open.send;
            self.parts.suspects.record_reset(self.query.fingerprint(), leaf, *alone, now);
            self.reset = true;
        }
        let took = now.since(open.began);
        self.parts.observer.attempt_failed(&self.about(&open.send), name, reason, took);
        if blames {
            let AttemptSpec { collection, leaf, .. } = &open.send;
            if self.leaf_tracker.failed(self.cluster, collection, leaf, now) {
                log::warn!("leaf {leaf} is ejected: too many failures in a row");
            }
        }
    }

    /// Does what the query decided; the answer, when it is finished.
    fn apply(&mut self, actions: Vec<Action>) -> Option<QueryResult> {
        let mut sends = Vec::new();
        let mut cancels = Vec::new();
        let mut answer = None;
        for action in actions {
            match action {
                Action::Send(send) => sends.push(send),
                Action::Cancel { attempt } => {
                    // An attempt of this very batch was not sent yet.
                    sends.retain(|send| send.attempt != attempt);
                    if let Some(open) = self.open.remove(&attempt) {
                        cancels.push((attempt, open.route));
                    }
                }
                Action::WakeAt(at) => self.wake = Some(at),
                Action::Finish(finished) => answer = Some(*finished),
            }
        }
        if !cancels.is_empty() {
            self.dispatcher.cancel(cancels);
        }
        if answer.is_none() && !sends.is_empty() {
            self.send(sends);
        }
        answer
    }

    fn send(&mut self, sends: Vec<AttemptSpec>) {
        for send in &sends {
            let again = !self.asked.insert(Asked {
                collection: send.collection.clone(),
                shard: send.shard.clone(),
                snapshot: send.snapshot,
            });
            match (send.hedge, again) {
                (true, _) => self.parts.observer.hedge_sent(&self.about(send)),
                (false, true) => self.parts.observer.retry_sent(&self.about(send)),
                (false, false) => (),
            }
        }
        let began = clock::now();
        let routes = self.dispatcher.send(sends.clone(), &self.events);
        for (send, route) in sends.into_iter().zip(routes) {
            self.open.insert(send.attempt, Open { began, route, send });
        }
    }

    fn about<'b>(&'b self, send: &'b AttemptSpec) -> AttemptRef<'b> {
        AttemptRef {
            attempt: send.attempt,
            collection: &send.collection,
            leaf: &send.leaf,
            request: &self.query.request,
            shard: &send.shard,
        }
    }
}
