//! Choice of the snapshot that a query is pinned to.

use {
    crate::query::LeafView,
    indexmap::IndexSet,
    wigeonramp_config::{Collection, PartitionMap},
    wigeonramp_units::{LeafId, ShardId, SnapshotId},
};

/// A snapshot and how many shards it covers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Choice {
    /// The snapshot.
    pub snapshot: SnapshotId,
    /// Shards with a usable leaf that reports it.
    pub covered: usize,
    /// Shards asked for.
    pub total: usize,
}

/// The newest of the snapshots that cover most shards, by what the leaves report. `shards` limits
/// the shards that count; `lost` names leaves that turned out not to have a snapshot.
pub fn choose(
    collection: &Collection,
    shards: Option<&[ShardId]>,
    view: &LeafView,
    lost: &IndexSet<(LeafId, SnapshotId)>,
) -> Option<Choice> {
    let reported = reported(collection, view);
    let choices = reported.into_iter().filter_map(|snapshot| {
        let map = collection.map_for(snapshot)?;
        Some(cover(map, shards, snapshot, view, lost))
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

fn cover(
    map: &PartitionMap,
    shards: Option<&[ShardId]>,
    snapshot: SnapshotId,
    view: &LeafView,
    lost: &IndexSet<(LeafId, SnapshotId)>,
) -> Choice {
    let asked = |shard: &ShardId| shards.is_none_or(|shards| shards.contains(shard));
    let has = |leaf: &LeafId| {
        let reports = view.get(leaf).is_some_and(|info| info.snapshots.contains(&snapshot));
        let lost = !lost.is_empty() && lost.contains(&(leaf.clone(), snapshot));
        reports && !lost && view.is_usable(leaf)
    };
    let wanted = map.shards.iter().filter(|(shard, _)| asked(shard));
    let (mut covered, mut total) = (0, 0);
    for (_, replicas) in wanted {
        total += 1;
        covered += usize::from(replicas.iter().any(has));
    }
    Choice { snapshot, covered, total }
}
