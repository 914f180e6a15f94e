//! Validation of a configuration document before it is written or adopted.

use {
    crate::{
        document::{Collection, Document, PartitionMap},
        error::ValidationError,
        rules,
    },
    std::collections::{HashMap, HashSet},
    wigeonramp_units::{CollectionId, LeafId, ShardId},
};

/// Maximum size of a document as JSON, in bytes; the platform stores values up to 1 MB.
const MAX_DOCUMENT_BYTES: usize = 1_000_000;

impl Document {
    /// Validates ranges, references between entries and the size. Fails at the first invalid key.
    pub fn check(&self) -> Result<(), ValidationError> {
        rules::check_callers(&self.callers, &self.members)?;
        self.check_leaves()?;
        for (id, collection) in &self.collections {
            self.check_collection(id, collection)?;
        }
        rules::check_limits(&self.limits)?;
        self.check_size()
    }

    fn check_size(&self) -> Result<(), ValidationError> {
        let size = serde_json::to_vec(self).expect("documents serialize to JSON").len();
        if size > MAX_DOCUMENT_BYTES {
            let problem = format!("its JSON form has {size} bytes");
            let expected =
                format!("at most {MAX_DOCUMENT_BYTES}, as the platform stores values up to 1 MB");
            return Err(ValidationError::new("document", problem, expected));
        }
        Ok(())
    }

    fn check_leaves(&self) -> Result<(), ValidationError> {
        let mut leaf_by_address = HashMap::new();
        for (id, leaf) in &self.leaves {
            if !self.zones.contains_key(&leaf.zone) {
                let problem = format!("zone {:?} does not exist", leaf.zone.as_str());
                let expected = format!("one of {}", rules::join_ids(self.zones.keys()));
                return Err(ValidationError::new(format!("leaves.{id}.zone"), problem, expected));
            }
            if !self.collections.contains_key(&leaf.collection) {
                let problem = format!("collection {:?} does not exist", leaf.collection.as_str());
                let expected = format!("one of {}", rules::join_ids(self.collections.keys()));
                return Err(ValidationError::new(
                    format!("leaves.{id}.collection"),
                    problem,
                    expected,
                ));
            }
            if let Some(other) = leaf_by_address.insert(leaf.address, id) {
                let problem = format!("{} is also the address of {other}", leaf.address);
                let expected = "a different address for each leaf";
                return Err(ValidationError::new(
                    format!("leaves.{id}.address"),
                    problem,
                    expected,
                ));
            }
        }
        Ok(())
    }

    fn check_collection(
        &self,
        id: &CollectionId,
        collection: &Collection,
    ) -> Result<(), ValidationError> {
        let key = |name: &str| format!("collections.{id}.{name}");
        rules::check_deadlines(&key, collection.soft_deadline, collection.max_deadline)?;
        rules::check_leaf_limits(&key, &collection.leaf_limits)?;
        if collection.maps.is_empty() {
            return Err(ValidationError::new(
                key("maps"),
                "the collection has no maps",
                "at least one map",
            ));
        }
        let ascending = |pair: &[PartitionMap]| {
            pair[0].version < pair[1].version && pair[0].from_snapshot < pair[1].from_snapshot
        };
        if !collection.maps.windows(2).all(ascending) {
            let expected = "versions and first snapshots that increase from map to map";
            return Err(ValidationError::new(key("maps"), "the maps are not in order", expected));
        }
        collection.maps.iter().try_for_each(|map| self.check_map(id, map))
    }

    fn check_map(&self, id: &CollectionId, map: &PartitionMap) -> Result<(), ValidationError> {
        let key = format!("collections.{id}.maps.{}", map.version);
        if map.shards.is_empty() {
            return Err(ValidationError::new(key, "the map has no shards", "at least one shard"));
        }
        let mut shard_by_leaf = HashMap::new();
        for (shard, leaves) in &map.shards {
            let key = format!("{key}.{shard}");
            if leaves.is_empty() {
                return Err(ValidationError::new(
                    key,
                    "the shard has no leaves",
                    "at least one leaf",
                ));
            }
            self.check_replicas(id, &key, leaves)?;
            for leaf in leaves {
                let other: Option<&ShardId> = shard_by_leaf.insert(leaf, shard);
                if let Some(other) = other {
                    let problem = format!("leaf {leaf} also belongs to shard {other}");
                    return Err(ValidationError::new(
                        key,
                        problem,
                        "each leaf in one shard of a map",
                    ));
                }
            }
        }
        Ok(())
    }

    fn check_replicas(
        &self,
        id: &CollectionId,
        key: &str,
        leaves: &[LeafId],
    ) -> Result<(), ValidationError> {
        let mut zones = HashSet::new();
        for leaf_id in leaves {
            let Some(leaf) = self.leaves.get(leaf_id).filter(|leaf| leaf.collection == *id) else {
                let problem = format!("leaf {leaf_id} is not a leaf of {id}");
                return Err(ValidationError::new(key, problem, "leaves of the collection"));
            };
            if !zones.insert(&leaf.zone) {
                let problem = format!("two replicas are in zone {}", leaf.zone);
                return Err(ValidationError::new(key, problem, "replicas in different zones"));
            }
        }
        Ok(())
    }
}
