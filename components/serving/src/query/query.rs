//! The aggregate of one query.

use {
    super::{
        attempt::{Attempt, Kind},
        canary::Canary,
        coverage::{
            Coverage, MissingReason, MissingShard, NotRunReason, Outcome, PinnedSnapshot,
            QueryResult,
        },
        merge::{Counters, ShardResponse},
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

/// Retries of a query: this many, and one for each ten shards.
const BASE_RETRIES: u32 = 2;
const SHARDS_PER_RETRY: usize = 10;

#[derive(Debug)]
pub(super) enum Progress {
    /// Waits for the canary.
    Held,
    Open,
    Covered(Box<ShardResponse>),
    Missing(MissingReason),
    /// Belongs to a snapshot that the query has left.
    Dropped,
}

#[derive(Debug)]
pub(super) struct ShardState {
    pub(super) target: usize,
    pub(super) shard: ShardId,
    pub(super) replicas: Vec<LeafId>,
    pub(super) progress: Progress,
    /// Replicas tried in this round.
    pub(super) tried: Vec<LeafId>,
    pub(super) retry_at: Option<Instant>,
    pub(super) rounds: u32,
    /// Why the last attempt failed.
    pub(super) last: MissingReason,
}

impl ShardState {
    pub(super) fn new(target: usize, shard: &ShardId, replicas: &[LeafId]) -> Self {
        Self {
            target,
            shard: shard.clone(),
            replicas: replicas.to_vec(),
            progress: Progress::Held,
            tried: Vec::new(),
            retry_at: None,
            rounds: 0,
            last: MissingReason::NoReplica,
        }
    }

    fn is_settled(&self) -> bool {
        !matches!(self.progress, Progress::Held | Progress::Open)
    }
}

#[derive(Debug)]
pub(super) struct TargetState {
    pub(super) pinned: PinnedSnapshot,
    /// When the query stops waiting for the target's shards.
    pub(super) give_up: Instant,
    pub(super) hedge: bool,
    pub(super) restarts: u32,
}

/// One caller's query.
#[derive(Debug)]
pub struct Query {
    pub(super) spec: QuerySpec,
    pub(super) config: Arc<Document>,
    pub(super) view: Arc<LeafView>,
    rng: SmallRng,
    pub(super) targets: Vec<TargetState>,
    pub(super) shards: Vec<ShardState>,
    pub(super) attempts: IndexMap<AttemptId, Attempt>,
    /// Leaves that turned out not to have a snapshot.
    pub(super) lost: IndexSet<(LeafId, SnapshotId)>,
    pub(super) canary: Option<Canary>,
    pub(super) next_attempt: u64,
    pub(super) retries_left: u32,
    pub(super) reset_retried: bool,
    /// Whether bytes of an attempt that has ended or was cancelled may have been sent.
    pub(super) bytes_sent: bool,
    pub(super) counters: Counters,
    pub(super) actions: Vec<Action>,
    wake: Option<Instant>,
    finished: bool,
}

impl Query {
    /// Pins snapshots and starts. The leaf view is used for the query's whole life.
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
            lost: IndexSet::new(),
            canary: None,
            retries_left: 0,
            reset_retried: false,
            bytes_sent: false,
            counters: Counters::default(),
            actions: Vec::new(),
            wake: None,
            finished: false,
        };
        match query.pin(now) {
            Ok(()) => query.begin(now),
            Err(reason) => query.finish(Outcome::NotRun(reason)),
        }
        let actions = mem::take(&mut query.actions);
        (query, actions)
    }

    fn pin(&mut self, now: Instant) -> Result<(), NotRunReason> {
        if self.spec.deadline <= now {
            return Err(NotRunReason::Deadline);
        }
        let config = self.config.clone();
        for (index, target) in self.spec.targets.iter().enumerate() {
            let collection = config.collections.get(&target.collection);
            let collection = collection.ok_or(NotRunReason::NoCollection)?;
            let shards = target.shards.as_deref();
            let choice = snapshot::choose(collection, shards, &self.view, &self.lost)
                .ok_or(NotRunReason::NoSnapshot)?;
            let map = collection.map_for(choice.snapshot).ok_or(NotRunReason::NoSnapshot)?;
            let state = self.target_state(target, collection, choice.snapshot, now);
            self.targets.push(TargetState {
                pinned: PinnedSnapshot { map_version: map.version, ..state.pinned },
                ..state
            });
            self.shards.extend(ShardState::of_map(index, map, shards));
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
        let give_up = if soft { now + collection.soft_deadline } else { self.spec.deadline };
        let collection_id = target.collection.clone();
        TargetState {
            pinned: PinnedSnapshot {
                collection: collection_id,
                snapshot,
                map_version: Default::default(),
            },
            give_up: give_up.min(self.spec.deadline),
            hedge: collection.hedge,
            restarts: 0,
        }
    }

    fn begin(&mut self, now: Instant) {
        let retries = self.shards.len() / SHARDS_PER_RETRY;
        self.retries_left = BASE_RETRIES + u32::try_from(retries).unwrap_or(0);
        let config = self.config.clone();
        let collection = |target: &Target| config.collections.get(&target.collection);
        let wanted = self.spec.targets.iter().filter_map(collection).any(|c| c.canary);
        let needed = match self.spec.trust {
            Trust::Known => false,
            Trust::Unseen => wanted,
            Trust::Suspect => true,
        };
        self.canary = needed.then(|| Canary::new(self.spec.fingerprint, self.shards.len()));
        self.start(now);
        self.settle(now);
    }

    /// Starts the shards that may run now: the canary's, or all.
    pub(super) fn start(&mut self, now: Instant) {
        if let Some(canary) = self.canary {
            let shard = self.live()[canary.shard];
            return self.start_shard(shard, self.spec.trust == Trust::Suspect, now);
        }
        for shard in 0..self.shards.len() {
            if matches!(self.shards[shard].progress, Progress::Held) {
                self.start_shard(shard, false, now);
            }
        }
    }

    fn start_shard(&mut self, shard: usize, alone: bool, now: Instant) {
        self.shards[shard].progress = Progress::Open;
        match self.next_replica(shard) {
            Some(leaf) => self.send(shard, leaf, Kind::First, alone, now),
            None => self.shard_failed(shard, self.shards[shard].last, now),
        }
    }

    /// Indices of the shards of the pinned snapshots.
    pub(super) fn live(&self) -> Vec<usize> {
        let live = |i: &usize| !matches!(self.shards[*i].progress, Progress::Dropped);
        (0..self.shards.len()).filter(live).collect()
    }

    /// The replica to try next: in fixed order for the canary, else the one with the least
    /// expected time.
    pub(super) fn next_replica(&mut self, shard: usize) -> Option<LeafId> {
        let state = &self.shards[shard];
        let snapshot = self.targets[state.target].pinned.snapshot;
        let fits = |leaf: &&LeafId| {
            self.view.is_usable(leaf)
                && !state.tried.contains(leaf)
                && !self.lost.contains(&((*leaf).clone(), snapshot))
        };
        let replicas: Vec<_> = state.replicas.iter().filter(fits).collect();
        if self.canary.is_some() {
            let ejected = |leaf: &LeafId| self.view.get(leaf).is_some_and(|info| info.ejected);
            let fit = replicas.iter().find(|leaf| !ejected(leaf));
            return fit.or(replicas.first()).map(|leaf| (*leaf).clone());
        }
        self.view.choose(&replicas, snapshot, &self.spec.zone, &mut self.rng).cloned()
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event, now: Instant) -> Vec<Action> {
        match event {
            Event::AttemptEnded { .. } if self.finished => self.counters.late += 1,
            Event::AttemptEnded { attempt, result } if now < self.spec.deadline => {
                self.partial(attempt, result, now);
            }
            Event::AttemptEnded { .. } => self.counters.late += 1,
            Event::Tick => {}
        }
        if !self.finished {
            self.settle(now);
        }
        mem::take(&mut self.actions)
    }

    /// The shard has a part or has failed for good.
    pub(super) fn shard_settled(&mut self, shard: usize, now: Instant) {
        let Some(canary) = self.canary else { return };
        if self.live().get(canary.shard) != Some(&shard) {
            return;
        }
        match self.shards[shard].progress {
            Progress::Covered(_) => {
                self.canary = None;
                self.start(now);
            }
            Progress::Missing(MissingReason::Reset) => self.stop_held(MissingReason::Canary),
            Progress::Missing(reason @ MissingReason::NotSent(Refusal::Quarantined)) => {
                self.stop_held(reason);
            }
            Progress::Missing(_) => self.move_canary(canary, now),
            _ => {}
        }
    }

    fn stop_held(&mut self, reason: MissingReason) {
        for shard in &mut self.shards {
            if matches!(shard.progress, Progress::Held) {
                let untried = shard.last == MissingReason::NoReplica;
                shard.progress = Progress::Missing(if untried { reason } else { shard.last });
            }
        }
    }

    /// The shard that could not run the canary waits with the others for one that can.
    fn move_canary(&mut self, mut canary: Canary, now: Instant) {
        let live = self.live();
        let left = &mut self.shards[live[canary.shard]];
        let late = matches!(left.progress, Progress::Missing(MissingReason::Late));
        let final_reason =
            matches!(left.last, MissingReason::NoReplica | MissingReason::SnapshotGone);
        if !late && !final_reason {
            left.progress = Progress::Held;
            left.tried.clear();
        }
        while canary.move_on(live.len()) {
            let shard = live[canary.shard];
            if !matches!(self.shards[shard].progress, Progress::Held) {
                continue;
            }
            self.canary = Some(canary);
            return self.start_shard(shard, self.spec.trust == Trust::Suspect, now);
        }
        self.stop_held(MissingReason::Canary);
    }

    pub(super) fn shard_failed(&mut self, shard: usize, reason: MissingReason, now: Instant) {
        self.shards[shard].progress = Progress::Missing(reason);
        let target = self.shards[shard].target;
        if reason == MissingReason::SnapshotGone && self.restart(target, now) {
            return;
        }
        self.shard_settled(shard, now);
    }

    /// Applies what is due at `now`, finishes, or asks to be woken.
    fn settle(&mut self, now: Instant) {
        self.give_up(now);
        if !self.is_settled() {
            self.run_rounds(now);
            self.run_hedges(now);
        }
        if self.is_settled() {
            let outcome = self.outcome();
            return self.finish(outcome);
        }
        let wake = self.next_wake();
        if self.wake != Some(wake) {
            self.wake = Some(wake);
            self.actions.push(Action::WakeAt(wake));
        }
    }

    fn is_settled(&self) -> bool {
        self.shards.iter().all(ShardState::is_settled)
    }

    fn give_up(&mut self, now: Instant) {
        let late: Vec<_> = self.targets.iter().map(|target| target.give_up <= now).collect();
        for (index, shard) in self.shards.iter_mut().enumerate() {
            if !late[shard.target] || shard.is_settled() {
                continue;
            }
            let running = self.attempts.values().any(|attempt| attempt.shard == index);
            let held = matches!(shard.progress, Progress::Held);
            let reason = if running || held { MissingReason::Late } else { shard.last };
            shard.progress = Progress::Missing(reason);
            shard.retry_at = None;
        }
        let shards = &self.shards;
        let over: Vec<_> =
            shards.iter().map(|shard| late.get(shard.target) == Some(&true)).collect();
        self.cancel_attempts(|attempt| over[attempt.shard]);
        self.leave_late_canary(now);
    }

    /// The canary's collection may give up before another one of the same query.
    fn leave_late_canary(&mut self, now: Instant) {
        let Some(canary) = self.canary else { return };
        let Some(&shard) = self.live().get(canary.shard) else { return };
        if matches!(self.shards[shard].progress, Progress::Missing(MissingReason::Late)) {
            self.shard_settled(shard, now);
        }
    }

    fn next_wake(&self) -> Instant {
        let open = |target: usize| {
            self.shards.iter().any(|shard| shard.target == target && !shard.is_settled())
        };
        let targets = self.targets.iter().enumerate().filter(|(index, _)| open(*index));
        let give_up = targets.map(|(_, target)| target.give_up);
        let hedges = self.attempts.values().filter_map(|attempt| attempt.hedge_at);
        let rounds = self.shards.iter().filter_map(|shard| shard.retry_at);
        give_up.chain(hedges).chain(rounds).min().unwrap_or(self.spec.deadline)
    }

    /// Whether bytes of any attempt may have been sent.
    pub(super) fn maybe_sent(&self) -> bool {
        self.bytes_sent || !self.attempts.is_empty()
    }

    fn outcome(&self) -> Outcome {
        let covered = |shard: &ShardState| matches!(shard.progress, Progress::Covered(_));
        if self.shards.iter().any(covered) {
            return Outcome::Done;
        }
        let reason = self.shards.iter().find_map(|shard| match shard.progress {
            Progress::Missing(reason) if reason != MissingReason::Canary => Some(reason),
            _ => None,
        });
        let reason = reason.unwrap_or(MissingReason::Canary);
        match (self.maybe_sent(), self.spec.idempotent) {
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
                Progress::Dropped => continue,
                Progress::Covered(part) => {
                    coverage.covered += 1;
                    responses.push(*part);
                    None
                }
                Progress::Missing(reason) => Some(reason),
                Progress::Held | Progress::Open => Some(MissingReason::NoReplica),
            };
            coverage.total += 1;
            coverage.missing.extend(reason.map(|reason| MissingShard {
                collection: self.targets[shard.target].pinned.collection.clone(),
                shard: shard.shard,
                reason,
            }));
        }
        let pinned = self.targets.iter().map(|target| target.pinned.clone()).collect();
        let answer = QueryResult { outcome, pinned, coverage, responses };
        self.actions.push(Action::Finish(Box::new(answer)));
    }

    /// Dropped replies and extra sends so far.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Whether the answer was given.
    pub fn is_finished(&self) -> bool {
        self.finished
    }
}
