//! The snapshots that a leaf holds.

use {
    std::collections::BTreeMap,
    wigeonramp_config::Collection,
    wigeonramp_units::{LeafId, MapVersion, ShardId, SnapshotId},
};

/// How one snapshot is laid out.
#[derive(Clone, Debug)]
struct Layout {
    map_version: MapVersion,
    /// Shards of the snapshot that the leaf holds; `None` holds any.
    shards: Option<Vec<ShardId>>,
}

/// Snapshots with their layouts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Index {
    snapshots: BTreeMap<SnapshotId, Layout>,
    declared: BTreeMap<MapVersion, Vec<ShardId>>,
}

impl Index {
    /// The snapshots that the collection's partition maps begin with.
    pub(crate) fn declared(collection: &Collection, leaf: &LeafId) -> Self {
        let mut index = Self::default();
        for map in &collection.maps {
            let held = map.shards.iter().filter(|(_, leaves)| leaves.contains(leaf));
            let shards = held.map(|(shard, _)| shard.clone()).collect();
            index.declared.insert(map.version, shards);
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
        let shards = shards.or_else(|| self.declared.get(&map_version).cloned());
        self.snapshots.insert(snapshot, Layout { map_version, shards });
    }

    pub(crate) fn drop_snapshot(&mut self, snapshot: SnapshotId) {
        self.snapshots.remove(&snapshot);
    }

    /// Whether the leaf can answer for the shard on the snapshot and map version.
    pub(crate) fn holds(&self, snapshot: SnapshotId, map: MapVersion, shard: &ShardId) -> bool {
        self.snapshots.get(&snapshot).is_some_and(|layout| {
            let has_shard = layout.shards.as_ref().is_none_or(|shards| shards.contains(shard));
            layout.map_version == map && has_shard
        })
    }

    /// The snapshots in ascending order.
    pub(crate) fn snapshots(&self) -> Vec<SnapshotId> {
        self.snapshots.keys().copied().collect()
    }
}
