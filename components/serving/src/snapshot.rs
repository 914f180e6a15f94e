//! Selection of the snapshot that a query is pinned to.

use {
    crate::query::LeafView,
    indexmap::IndexSet,
    wigeonramp_config::{Collection, PartitionMap},
    wigeonramp_units::{LeafId, ShardId, SnapshotId},
};

/// A snapshot and the number of shards that it covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Number of shards with a usable leaf that reports the snapshot.
    pub covered: usize,
    /// Number of shards queried.
    pub total: usize,
}

/// Returns the newest of the snapshots that cover the largest share of the shards, according to the
/// reports of the leaves. Only `shards` count, if given. `missing` lists snapshots that leaves had
/// reported but no longer had when asked.
pub fn choose(
    collection: &Collection,
    shards: Option<&[ShardId]>,
    view: &LeafView,
    missing: &IndexSet<(LeafId, SnapshotId)>,
) -> Option<Choice> {
    let reported = reported(collection, view);
    let choices = reported.into_iter().filter_map(|snapshot| {
        let map = collection.map_for(snapshot)?;
        Some(coverage_of(map, shards, snapshot, view, missing))
    });
    choices.filter(|choice| choice.covered > 0).max_by(|a, b| {
        let shares = (a.covered * b.total).cmp(&(b.covered * a.total));
        shares.then(a.snapshot.cmp(&b.snapshot))
    })
}

fn reported(collection: &Collection, view: &LeafView) -> IndexSet<SnapshotId> {
    let leaves = collection.maps.iter().flat_map(|map| map.shards.values()).flatten();
    leaves.filter_map(|leaf| view.get(leaf)).flat_map(|info| &info.snapshots).copied().collect()
}

fn coverage_of(
    map: &PartitionMap,
    shards: Option<&[ShardId]>,
    snapshot: SnapshotId,
    view: &LeafView,
    missing: &IndexSet<(LeafId, SnapshotId)>,
) -> Choice {
    let is_queried = |shard: &ShardId| shards.is_none_or(|shards| shards.contains(shard));
    let has = |leaf: &LeafId| {
        let reports = view.get(leaf).is_some_and(|info| info.snapshots.contains(&snapshot));
        let is_missing = !missing.is_empty() && missing.contains(&(leaf.clone(), snapshot));
        reports && !is_missing && view.is_usable(leaf)
    };
    let queried = map.shards.iter().filter(|(shard, _)| is_queried(shard));
    let (mut covered, mut total) = (0, 0);
    for (_, replicas) in queried {
        total += 1;
        covered += usize::from(replicas.iter().any(has));
    }
    Choice { snapshot, covered, total }
}
