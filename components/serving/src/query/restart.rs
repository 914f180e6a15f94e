//! Restart of a collection's part of a query on another snapshot.

use {
    super::{
        canary::Canary,
        coverage::PinnedSnapshot,
        query::{Progress, Query, ShardState},
    },
    crate::snapshot::{self, Choice},
    wigeonramp_config::{Collection, PartitionMap},
    wigeonramp_units::{Instant, ShardId, Span},
};

/// Restarts of one collection in one query; each one repeats all its sends.
const MAX_RESTARTS: u32 = 2;
/// A restart takes about this many median latencies of the slowest leaf.
const RESTART_TIMES: u64 = 3;

impl Query {
    /// Restarts the target on another snapshot if that covers more and there is time.
    pub(super) fn restart(&mut self, target: usize, now: Instant) -> bool {
        let config = self.config.clone();
        let id = &self.targets[target].pinned.collection;
        let Some(collection) = config.collections.get(id) else { return false };
        if !self.spec.idempotent || self.targets[target].restarts >= MAX_RESTARTS {
            return false;
        }
        let shards = self.spec.targets[target].shards.as_deref();
        let Some(choice) = snapshot::choose(collection, shards, &self.view, &self.lost) else {
            return false;
        };
        if !self.gains(target, choice) || !self.has_time(target, collection, choice, now) {
            return false;
        }
        self.repin(target, collection, choice, now);
        true
    }

    fn gains(&self, target: usize, choice: Choice) -> bool {
        let live = self.shards.iter().filter(|shard| shard.target == target);
        let (mut total, mut reachable) = (0, 0);
        for shard in live.filter(|shard| !matches!(shard.progress, Progress::Dropped)) {
            total += 1;
            reachable += usize::from(!matches!(shard.progress, Progress::Missing(_)));
        }
        let other = choice.snapshot != self.targets[target].pinned.snapshot;
        other && choice.covered * total > reachable * choice.total
    }

    fn has_time(
        &self,
        target: usize,
        collection: &Collection,
        choice: Choice,
        now: Instant,
    ) -> bool {
        let map = collection.map_for(choice.snapshot);
        let leaves = map.into_iter().flat_map(|map| map.shards.values().flatten());
        let slowest = leaves.filter_map(|leaf| self.view.get(leaf)).map(|info| info.p50).max();
        let needed = slowest.unwrap_or(Span::ZERO) * RESTART_TIMES;
        now + needed < self.targets[target].give_up
    }

    fn repin(&mut self, target: usize, collection: &Collection, choice: Choice, now: Instant) {
        let Some(map) = collection.map_for(choice.snapshot) else { return };
        let in_target: Vec<_> = self.shards.iter().map(|shard| shard.target == target).collect();
        self.cancel_attempts(|attempt| in_target[attempt.shard]);
        for shard in self.shards.iter_mut().filter(|shard| shard.target == target) {
            shard.progress = Progress::Dropped;
            shard.retry_at = None;
        }
        let state = &mut self.targets[target];
        state.restarts += 1;
        state.pinned = PinnedSnapshot {
            collection: state.pinned.collection.clone(),
            snapshot: choice.snapshot,
            map_version: map.version,
        };
        self.counters.restarts += 1;
        let wanted = self.spec.targets[target].shards.as_deref();
        self.shards.extend(ShardState::of_map(target, map, wanted));
        if self.canary.is_some() {
            self.canary = Some(Canary::new(self.spec.fingerprint, self.live().len()));
        }
        self.start(now);
    }
}

impl ShardState {
    /// The shards of `map` that a query asks for. A named shard that the map lacks is kept without
    /// replicas, so that the answer names it as missing.
    pub(super) fn of_map(
        target: usize,
        map: &PartitionMap,
        wanted: Option<&[ShardId]>,
    ) -> Vec<ShardState> {
        match wanted {
            None => {
                let all = map.shards.iter();
                all.map(|(shard, replicas)| Self::new(target, shard, replicas)).collect()
            }
            Some(wanted) => {
                let mut named: Vec<_> = wanted.iter().collect();
                named.sort_unstable();
                named.dedup();
                let replicas = |shard| map.shards.get(shard).map_or(&[][..], Vec::as_slice);
                let named = named.into_iter();
                named.map(|shard| Self::new(target, shard, replicas(shard))).collect()
            }
        }
    }
}
