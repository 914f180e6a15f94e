//! State machine of one query.

use {
    super::{
        attempt::{Attempt, AttemptKind},
        canary::Canary,
        coverage::{
            Coverage, MissingReason, MissingShard, NotRunReason, Outcome, PinnedSnapshot,
            QueryResult,
        },
        response::{Counters, ShardResponse},
        spec::{Action, Event, QuerySpec, Target, Trust},
        view::LeafView,
    },
    crate::{snapshot, upstream::Refusal},
    indexmap::{IndexMap, IndexSet},
    rand::{Rng, SeedableRng, rngs::SmallRng},
    std::{mem, sync::Arc},
    wigeonramp_config::{Collection, Document, Prefer},
    wigeonramp_units::{AttemptId, Instant, LeafId, ShardId, SnapshotId},
};

/// Retries that each query may send, in addition to one for each ten shards.
const BASE_RETRIES: u32 = 2;
const SHARDS_PER_RETRY: usize = 10;

#[derive(Debug)]
pub(super) enum ShardProgress {
    /// Not sent yet, because the canary has not succeeded.
    Pending,
    InProgress,
    Covered(Box<ShardResponse>),
    Missing(MissingReason),
    /// Belongs to a snapshot that a restart has replaced.
    Superseded,
}

#[derive(Debug)]
pub(super) struct ShardState {
    /// Index in `Query::targets`.
    pub(super) target: usize,
    pub(super) shard: ShardId,
    pub(super) replicas: Vec<LeafId>,
    pub(super) progress: ShardProgress,
    /// Replicas tried in the current round.
    pub(super) tried: Vec<LeafId>,
    /// When the next round starts.
    pub(super) retry_at: Option<Instant>,
    pub(super) rounds: u32,
    /// Why the last attempt failed.
    pub(super) last_failure: MissingReason,
}

impl ShardState {
    pub(super) fn new(target: usize, shard: &ShardId, replicas: &[LeafId]) -> Self {
        Self {
            target,
            shard: shard.clone(),
            replicas: replicas.to_vec(),
            progress: ShardProgress::Pending,
            tried: Vec::new(),
            retry_at: None,
            rounds: 0,
            last_failure: MissingReason::NoReplica,
        }
    }

    fn is_settled(&self) -> bool {
        !matches!(self.progress, ShardProgress::Pending | ShardProgress::InProgress)
    }
}

#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) pinned: PinnedSnapshot,
    /// When the query stops waiting for the target's shards: the soft deadline of a collection that
    /// prefers latency, otherwise the deadline of the query.
    pub(super) deadline: Instant,
    pub(super) hedge: bool,
    pub(super) restarts: u32,
}

/// A running query.
#[derive(Debug)]
pub struct Query {
    pub(super) spec: QuerySpec,
    pub(super) config: Arc<Document>,
    pub(super) view: Arc<LeafView>,
    rng: SmallRng,
    pub(super) targets: Vec<TargetState>,
    pub(super) shards: Vec<ShardState>,
    pub(super) attempts: IndexMap<AttemptId, Attempt>,
    /// Snapshots that leaves had reported but no longer had when asked.
    pub(super) missing_snapshots: IndexSet<(LeafId, SnapshotId)>,
    pub(super) canary: Option<Canary>,
    pub(super) next_attempt: u64,
    pub(super) retries_left: u32,
    pub(super) retried_after_reset: bool,
    /// Whether bytes of an attempt that has since ended or been cancelled may have been sent.
    pub(super) bytes_sent: bool,
    pub(super) counters: Counters,
    pub(super) actions: Vec<Action>,
    wake_at: Option<Instant>,
    finished: bool,
}

impl Query {
    /// Pins a snapshot of each collection and starts the query, which uses the same `view` until it
    /// finishes.
    pub fn new(
        spec: QuerySpec,
        config: Arc<Document>,
        view: Arc<LeafView>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> (Query, Vec<Action>) {
        let mut query = Query {
            next_attempt: spec.first_attempt.get(),
            spec,
            config,
            view,
            rng: SmallRng::seed_from_u64(rng.next_u64()),
            targets: Vec::new(),
            shards: Vec::new(),
            attempts: IndexMap::new(),
            missing_snapshots: IndexSet::new(),
            canary: None,
            retries_left: 0,
            retried_after_reset: false,
            bytes_sent: false,
            counters: Counters::default(),
            actions: Vec::new(),
            wake_at: None,
            finished: false,
        };
        match query.pin_snapshots(now) {
            Ok(()) => query.start(now),
            Err(reason) => query.finish(Outcome::NotRun(reason)),
        }
        let actions = mem::take(&mut query.actions);
        (query, actions)
    }

    fn pin_snapshots(&mut self, now: Instant) -> Result<(), NotRunReason> {
        if self.spec.deadline <= now {
            return Err(NotRunReason::Deadline);
        }
        let config = self.config.clone();
        for (index, target) in self.spec.targets.iter().enumerate() {
            let collection = config.collections.get(&target.collection);
            let collection = collection.ok_or(NotRunReason::NoCollection)?;
            let shards = target.shards.as_deref();
            let choice = snapshot::choose(collection, shards, &self.view, &self.missing_snapshots)
                .ok_or(NotRunReason::NoSnapshot)?;
            let map = collection.map_for(choice.snapshot).ok_or(NotRunReason::NoSnapshot)?;
            let state = self.target_state(target, collection, choice.snapshot, now);
            self.targets.push(TargetState {
                pinned: PinnedSnapshot { map_version: map.version, ..state.pinned },
                ..state
            });
            self.shards.extend(ShardState::for_map(index, map, shards));
        }
        match self.shards.len() {
            0 => Err(NotRunReason::NoCollection),
            n if n > 1 && !self.spec.idempotent => Err(NotRunReason::NotOneShard),
            _ => Ok(()),
        }
    }

    fn target_state(
        &self,
        target: &Target,
        collection: &Collection,
        snapshot: SnapshotId,
        now: Instant,
    ) -> TargetState {
        let soft = self.spec.idempotent && collection.prefer == Prefer::Latency;
        let deadline = if soft { now + collection.soft_deadline } else { self.spec.deadline };
        let collection_id = target.collection.clone();
        TargetState {
            pinned: PinnedSnapshot {
                collection: collection_id,
                snapshot,
                map_version: Default::default(),
            },
            deadline: deadline.min(self.spec.deadline),
            hedge: collection.hedge,
            restarts: 0,
        }
    }

    fn start(&mut self, now: Instant) {
        let retries = self.shards.len() / SHARDS_PER_RETRY;
        self.retries_left = BASE_RETRIES + u32::try_from(retries).unwrap_or(0);
        let config = self.config.clone();
        let collection = |target: &Target| config.collections.get(&target.collection);
        let configured = self.spec.targets.iter().filter_map(collection).any(|c| c.canary);
        let needed = match self.spec.trust {
            Trust::Known => false,
            Trust::Unseen => configured,
            Trust::Suspected => true,
        };
        self.canary = needed.then(|| Canary::new(self.spec.fingerprint, self.shards.len()));
        self.start_pending_shards(now);
        self.advance(now);
    }

    /// Starts the canary's shard while there is a canary, otherwise all pending shards.
    pub(super) fn start_pending_shards(&mut self, now: Instant) {
        if let Some(canary) = self.canary {
            let shard = self.current_shards()[canary.shard];
            return self.start_shard(shard, self.spec.trust == Trust::Suspected, now);
        }
        for shard in 0..self.shards.len() {
            if matches!(self.shards[shard].progress, ShardProgress::Pending) {
                self.start_shard(shard, false, now);
            }
        }
    }

    fn start_shard(&mut self, shard: usize, alone: bool, now: Instant) {
        self.shards[shard].progress = ShardProgress::InProgress;
        match self.next_replica(shard) {
            Some(leaf) => self.send(shard, leaf, AttemptKind::Initial, alone, now),
            None => self.fail_shard(shard, self.shards[shard].last_failure, now),
        }
    }

    /// Returns the indices of the shards of the pinned snapshots.
    pub(super) fn current_shards(&self) -> Vec<usize> {
        let is_current = |i: &usize| !matches!(self.shards[*i].progress, ShardProgress::Superseded);
        (0..self.shards.len()).filter(is_current).collect()
    }

    /// Returns the replica to try next: the first one in the partition map's order for a canary,
    /// otherwise the one with the lowest expected latency.
    pub(super) fn next_replica(&mut self, shard: usize) -> Option<LeafId> {
        let state = &self.shards[shard];
        let snapshot = self.targets[state.target].pinned.snapshot;
        let is_candidate = |leaf: &&LeafId| {
            self.view.is_usable(leaf)
                && !state.tried.contains(leaf)
                && !self.missing_snapshots.contains(&((*leaf).clone(), snapshot))
        };
        let replicas: Vec<_> = state.replicas.iter().filter(is_candidate).collect();
        if self.canary.is_some() {
            let ejected = |leaf: &LeafId| self.view.get(leaf).is_some_and(|info| info.ejected);
            let preferred = replicas.iter().find(|leaf| !ejected(leaf));
            return preferred.or(replicas.first()).map(|leaf| (*leaf).clone());
        }
        self.view.choose(&replicas, snapshot, &self.spec.zone, &mut self.rng).cloned()
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match event {
            Event::AttemptEnded { .. } if self.finished => self.counters.late += 1,
            Event::AttemptEnded { attempt, result } if now < self.spec.deadline => {
                self.attempt_ended(attempt, result, now);
            }
            Event::AttemptEnded { .. } => self.counters.late += 1,
            Event::Tick => {}
        }
        if !self.finished {
            self.advance(now);
        }
        mem::take(&mut self.actions)
    }

    /// Called when a shard is covered or permanently missing. If it is the canary's shard, starts
    /// the other shards, moves the canary, or fails the pending shards.
    pub(super) fn on_shard_settled(&mut self, shard: usize, now: Instant) {
        let Some(canary) = self.canary else { return };
        if self.current_shards().get(canary.shard) != Some(&shard) {
            return;
        }
        match self.shards[shard].progress {
            ShardProgress::Covered(_) => {
                self.canary = None;
                self.start_pending_shards(now);
            }
            ShardProgress::Missing(MissingReason::Reset) => {
                self.fail_pending_shards(MissingReason::Canary)
            }
            ShardProgress::Missing(reason @ MissingReason::NotSent(Refusal::Quarantined)) => {
                self.fail_pending_shards(reason);
            }
            ShardProgress::Missing(_) => self.move_canary(canary, now),
            _ => {}
        }
    }

    fn fail_pending_shards(&mut self, reason: MissingReason) {
        for shard in &mut self.shards {
            if matches!(shard.progress, ShardProgress::Pending) {
                let untried = shard.last_failure == MissingReason::NoReplica;
                shard.progress =
                    ShardProgress::Missing(if untried { reason } else { shard.last_failure });
            }
        }
    }

    /// Moves the canary to the next shard. The shard that could not run it becomes pending again,
    /// unless its deadline has passed or it has no replica with the snapshot.
    fn move_canary(&mut self, mut canary: Canary, now: Instant) {
        let current = self.current_shards();
        let previous = &mut self.shards[current[canary.shard]];
        let expired = matches!(previous.progress, ShardProgress::Missing(MissingReason::Late));
        let permanent =
            matches!(previous.last_failure, MissingReason::NoReplica | MissingReason::SnapshotGone);
        if !expired && !permanent {
            previous.progress = ShardProgress::Pending;
            previous.tried.clear();
        }
        while canary.advance(current.len()) {
            let shard = current[canary.shard];
            if !matches!(self.shards[shard].progress, ShardProgress::Pending) {
                continue;
            }
            self.canary = Some(canary);
            return self.start_shard(shard, self.spec.trust == Trust::Suspected, now);
        }
        self.fail_pending_shards(MissingReason::Canary);
    }

    /// Restarts the shard's collection on another snapshot or marks the shard as missing.
    pub(super) fn fail_shard(&mut self, shard: usize, reason: MissingReason, now: Instant) {
        self.shards[shard].progress = ShardProgress::Missing(reason);
        let target = self.shards[shard].target;
        if reason == MissingReason::SnapshotGone && self.restart(target, now) {
            return;
        }
        self.on_shard_settled(shard, now);
    }

    /// Runs what is due at `now`; then finishes the query or requests the next wake-up.
    fn advance(&mut self, now: Instant) {
        self.expire_targets(now);
        if !self.is_settled() {
            self.start_due_rounds(now);
            self.send_due_hedges(now);
        }
        if self.is_settled() {
            let outcome = self.outcome();
            return self.finish(outcome);
        }
        let wake_at = self.next_wake();
        if self.wake_at != Some(wake_at) {
            self.wake_at = Some(wake_at);
            self.actions.push(Action::WakeAt(wake_at));
        }
    }

    fn is_settled(&self) -> bool {
        self.shards.iter().all(ShardState::is_settled)
    }

    /// Marks the open shards of collections whose deadline has passed as missing.
    fn expire_targets(&mut self, now: Instant) {
        let expired: Vec<_> = self.targets.iter().map(|target| target.deadline <= now).collect();
        for (index, shard) in self.shards.iter_mut().enumerate() {
            if !expired[shard.target] || shard.is_settled() {
                continue;
            }
            let running = self.attempts.values().any(|attempt| attempt.shard == index);
            let pending = matches!(shard.progress, ShardProgress::Pending);
            let reason = if running || pending { MissingReason::Late } else { shard.last_failure };
            shard.progress = ShardProgress::Missing(reason);
            shard.retry_at = None;
        }
        let shards = &self.shards;
        let in_expired: Vec<_> =
            shards.iter().map(|shard| expired.get(shard.target) == Some(&true)).collect();
        self.cancel_attempts(|attempt| in_expired[attempt.shard]);
        self.abandon_expired_canary(now);
    }

    /// Moves the canary to another shard if the deadline of its collection has passed; another
    /// collection of the query may have a later deadline.
    fn abandon_expired_canary(&mut self, now: Instant) {
        let Some(canary) = self.canary else { return };
        let Some(&shard) = self.current_shards().get(canary.shard) else { return };
        if matches!(self.shards[shard].progress, ShardProgress::Missing(MissingReason::Late)) {
            self.on_shard_settled(shard, now);
        }
    }

    fn next_wake(&self) -> Instant {
        let open = |target: usize| {
            self.shards.iter().any(|shard| shard.target == target && !shard.is_settled())
        };
        let targets = self.targets.iter().enumerate().filter(|(index, _)| open(*index));
        let deadlines = targets.map(|(_, target)| target.deadline);
        let hedges = self.attempts.values().filter_map(|attempt| attempt.hedge_at);
        let rounds = self.shards.iter().filter_map(|shard| shard.retry_at);
        deadlines.chain(hedges).chain(rounds).min().unwrap_or(self.spec.deadline)
    }

    /// Returns whether bytes of any attempt may have been sent.
    pub(super) fn may_have_sent(&self) -> bool {
        self.bytes_sent || !self.attempts.is_empty()
    }

    fn outcome(&self) -> Outcome {
        let covered = |shard: &ShardState| matches!(shard.progress, ShardProgress::Covered(_));
        if self.shards.iter().any(covered) {
            return Outcome::Done;
        }
        let reason = self.shards.iter().find_map(|shard| match shard.progress {
            ShardProgress::Missing(reason) if reason != MissingReason::Canary => Some(reason),
            _ => None,
        });
        let reason = reason.unwrap_or(MissingReason::Canary);
        match (self.may_have_sent(), self.spec.idempotent) {
            (false, _) => Outcome::NotRun(NotRunReason::NoLeaf(reason)),
            (true, true) => Outcome::Done,
            (true, false) => Outcome::Unknown(reason),
        }
    }

    fn finish(&mut self, outcome: Outcome) {
        self.cancel_attempts(|_| true);
        self.finished = true;
        let mut coverage = Coverage::default();
        let mut responses = Vec::new();
        for shard in mem::take(&mut self.shards) {
            let reason = match shard.progress {
                ShardProgress::Superseded => continue,
                ShardProgress::Covered(response) => {
                    coverage.covered += 1;
                    responses.push(*response);
                    None
                }
                ShardProgress::Missing(reason) => Some(reason),
                ShardProgress::Pending | ShardProgress::InProgress => {
                    Some(MissingReason::NoReplica)
                }
            };
            coverage.total += 1;
            coverage.missing.extend(reason.map(|reason| MissingShard {
                collection: self.targets[shard.target].pinned.collection.clone(),
                shard: shard.shard,
                reason,
            }));
        }
        let pinned = self.targets.iter().map(|target| target.pinned.clone()).collect();
        let result = QueryResult { outcome, pinned, coverage, responses };
        self.actions.push(Action::Finish(Box::new(result)));
    }

    /// Returns the counts of dropped responses and extra attempts so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns whether the query has emitted [`Action::Finish`].
    pub fn is_finished(&self) -> bool {
        self.finished
    }
}
