//! Snapshots that a leaf holds.

use {
    std::collections::BTreeMap,
    wigeonramp_config::Collection,
    wigeonramp_units::{LeafId, MapVersion, ShardId, SnapshotId},
};

/// Partitioning of one snapshot.
#[derive(Clone, Debug)]
struct Layout {
    map_version: MapVersion,
    /// Shards of the snapshot that the leaf holds; `None` for all shards.
    shards: Option<Vec<ShardId>>,
}

/// Snapshots of a leaf and the shards it holds in them.
#[derive(Clone, Debug, Default)]
pub(crate) struct SnapshotIndex {
    snapshots: BTreeMap<SnapshotId, Layout>,
    /// Shards of this leaf in the declared partition maps.
    declared_shards: BTreeMap<MapVersion, Vec<ShardId>>,
}

impl SnapshotIndex {
    /// Builds the index with the first snapshot of each of the collection's partition maps.
    pub(crate) fn from_collection(collection: &Collection, leaf: &LeafId) -> Self {
        let mut index = Self::default();
        for map in &collection.maps {
            let held_shards = map.shards.iter().filter(|(_, leaves)| leaves.contains(leaf));
            let shards = held_shards.map(|(shard, _)| shard.clone()).collect();
            index.declared_shards.insert(map.version, shards);
            index.add(map.from_snapshot, map.version, None);
        }
        index
    }

    pub(crate) fn add(
        &mut self,
        snapshot: SnapshotId,
        map_version: MapVersion,
        shards: Option<Vec<ShardId>>,
    ) {
        let shards = shards.or_else(|| self.declared_shards.get(&map_version).cloned());
        self.snapshots.insert(snapshot, Layout { map_version, shards });
    }

    pub(crate) fn drop_snapshot(&mut self, snapshot: SnapshotId) {
        self.snapshots.remove(&snapshot);
    }

    /// Returns whether the leaf holds the shard in the snapshot with this map version.
    pub(crate) fn holds(&self, snapshot: SnapshotId, map: MapVersion, shard: &ShardId) -> bool {
        self.snapshots.get(&snapshot).is_some_and(|layout| {
            let has_shard = layout.shards.as_ref().is_none_or(|shards| shards.contains(shard));
            layout.map_version == map && has_shard
        })
    }

    /// Returns the snapshots in ascending order.
    pub(crate) fn snapshots(&self) -> Vec<SnapshotId> {
        self.snapshots.keys().copied().collect()
    }
}
