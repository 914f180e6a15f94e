//! Restart of one collection of a query on another snapshot.

use {
    super::{
        canary::Canary,
        coverage::PinnedSnapshot,
        query::{Query, ShardProgress, ShardState},
    },
    crate::snapshot::{self, Choice},
    wigeonramp_config::{Collection, PartitionMap},
    wigeonramp_units::{Instant, ShardId, Span},
};

/// Maximum restarts of one collection in one query; each one repeats all attempts at its shards.
const MAX_RESTARTS: u32 = 2;
/// Expected duration of a restart, in median latencies of the slowest leaf.
const RESTART_MEDIANS: u64 = 3;

impl Query {
    /// Restarts the target on another snapshot if that snapshot covers a larger share of the shards
    /// and the time left suffices. Returns whether it did.
    pub(super) fn restart(&mut self, target: usize, now: Instant) -> bool {
        let config = self.config.clone();
        let id = &self.targets[target].pinned.collection;
        let Some(collection) = config.collections.get(id) else { return false };
        if !self.spec.idempotent || self.targets[target].restarts >= MAX_RESTARTS {
            return false;
        }
        let shards = self.spec.targets[target].shards.as_deref();
        let Some(choice) =
            snapshot::choose(collection, shards, &self.view, &self.missing_snapshots)
        else {
            return false;
        };
        if !self.covers_more(target, choice)
            || !self.has_time_to_restart(target, collection, choice, now)
        {
            return false;
        }
        self.repin(target, collection, choice, now);
        true
    }

    fn covers_more(&self, target: usize, choice: Choice) -> bool {
        let shards = self.shards.iter().filter(|shard| shard.target == target);
        let (mut total, mut reachable) = (0, 0);
        for shard in shards.filter(|shard| !matches!(shard.progress, ShardProgress::Superseded)) {
            total += 1;
            reachable += usize::from(!matches!(shard.progress, ShardProgress::Missing(_)));
        }
        let differs = choice.snapshot != self.targets[target].pinned.snapshot;
        differs && choice.covered * total > reachable * choice.total
    }

    fn has_time_to_restart(
        &self,
        target: usize,
        collection: &Collection,
        choice: Choice,
        now: Instant,
    ) -> bool {
        let map = collection.map_for(choice.snapshot);
        let leaves = map.into_iter().flat_map(|map| map.shards.values().flatten());
        let slowest = leaves.filter_map(|leaf| self.view.get(leaf)).map(|info| info.p50).max();
        let needed = slowest.unwrap_or(Span::ZERO) * RESTART_MEDIANS;
        now + needed < self.targets[target].deadline
    }

    fn repin(&mut self, target: usize, collection: &Collection, choice: Choice, now: Instant) {
        let Some(map) = collection.map_for(choice.snapshot) else { return };
        let in_target: Vec<_> = self.shards.iter().map(|shard| shard.target == target).collect();
        self.cancel_attempts(|attempt| in_target[attempt.shard]);
        for shard in self.shards.iter_mut().filter(|shard| shard.target == target) {
            shard.progress = ShardProgress::Superseded;
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
        let requested = self.spec.targets[target].shards.as_deref();
        self.shards.extend(ShardState::for_map(target, map, requested));
        if self.canary.is_some() {
            self.canary = Some(Canary::new(self.spec.fingerprint, self.current_shards().len()));
        }
        self.start_pending_shards(now);
    }
}

impl ShardState {
    /// Returns the states of the shards of `map` that a query asks for. A requested shard that the
    /// map lacks gets no replicas, so that the result reports it as missing.
    pub(super) fn for_map(
        target: usize,
        map: &PartitionMap,
        requested: Option<&[ShardId]>,
    ) -> Vec<ShardState> {
        match requested {
            None => {
                let all = map.shards.iter();
                all.map(|(shard, replicas)| Self::new(target, shard, replicas)).collect()
            }
            Some(requested) => {
                let mut named: Vec<_> = requested.iter().collect();
                named.sort_unstable();
                named.dedup();
                let replicas = |shard| map.shards.get(shard).map_or(&[][..], Vec::as_slice);
                let named = named.into_iter();
                named.map(|shard| Self::new(target, shard, replicas(shard))).collect()
            }
        }
    }
}
