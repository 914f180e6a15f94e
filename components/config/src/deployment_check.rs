//! Validation of a declared deployment before it is expanded.

use {
    crate::{
        deployment::{DeclaredCollection, DeclaredMap, Deployment},
        error::ValidationError,
        rules,
    },
    indexmap::IndexMap,
    std::{collections::HashSet, net::SocketAddr},
    wigeonramp_units::{CollectionId, LeafId},
};

/// Maximum length of a collection id, so that the leaf ids derived from it stay valid.
const MAX_COLLECTION_ID_LEN: usize = 100;
/// Maximum number of shards of a collection; a document with more would exceed the 1 MB that the
/// platform stores.
const MAX_SERVICES: u64 = 4096;
/// Maximum number of replicas of a shard, which are named a to z.
const MAX_REPLICAS: u64 = 26;

impl Deployment {
    pub(crate) fn check(&self) -> Result<(), ValidationError> {
        if self.zones.is_empty() {
            return Err(ValidationError::new("zones", "no zone is declared", "at least one zone"));
        }
        self.check_zones()?;
        rules::check_callers(&self.callers, &self.members)?;
        for (id, collection) in &self.collections {
            self.check_collection(id, collection)?;
        }
        self.check_addresses()?;
        self.check_leaves_out()?;
        rules::check_limits(&self.limits)
    }

    fn check_zones(&self) -> Result<(), ValidationError> {
        match self.zones.iter().find(|(_, zone)| zone.region.trim().is_empty()) {
            Some((id, _)) => {
                let key = format!("zones.{id}.region");
                Err(ValidationError::new(key, "the name is empty", "the name of a region"))
            }
            None => Ok(()),
        }
    }

    fn check_collection(
        &self,
        id: &CollectionId,
        collection: &DeclaredCollection,
    ) -> Result<(), ValidationError> {
        let key = |name: &str| format!("collections.{id}.{name}");
        if id.as_str().len() > MAX_COLLECTION_ID_LEN {
            let problem = format!("the id has {} characters", id.as_str().len());
            return Err(ValidationError::new(format!("collections.{id}"), problem, "at most 100"));
        }
        let soft = collection.soft_deadline.unwrap_or(collection.max_deadline);
        rules::check_deadlines(&key, soft, collection.max_deadline)?;
        check_maps(&key, collection)?;
        rules::check_range(&key("replicas"), collection.replicas.into(), 1, MAX_REPLICAS)?;
        self.check_replica_zones(&key, collection)?;
        check_ports(&key, collection)?;
        rules::check_leaf_limits(&key, &collection.leaf_limits)
    }

    fn check_replica_zones(
        &self,
        key: &impl Fn(&str) -> String,
        collection: &DeclaredCollection,
    ) -> Result<(), ValidationError> {
        let mut seen = HashSet::new();
        for zone in &collection.zones {
            if !self.zones.contains_key(zone) {
                let problem = format!("zone {:?} is not declared", zone.as_str());
                let expected = format!("zones from {}", rules::join_ids(self.zones.keys()));
                return Err(ValidationError::new(key("zones"), problem, expected));
            }
            if !seen.insert(zone) {
                let problem = format!("zone {:?} is listed twice", zone.as_str());
                return Err(ValidationError::new(key("zones"), problem, "each zone once"));
            }
        }
        if collection.replicas as usize > collection.zones.len() {
            let zones = collection.zones.len();
            let problem = format!("{} replicas for {zones} zones", collection.replicas);
            let expected = "no more replicas than zones, as replicas of one shard are placed in \
                            different zones";
            return Err(ValidationError::new(key("replicas"), problem, expected));
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), ValidationError> {
        let mut leaf_by_address: IndexMap<SocketAddr, LeafId> = IndexMap::new();
        for (id, leaf) in self.expand().leaves {
            if let Some(other) = leaf_by_address.get(&leaf.address) {
                let key = format!("collections.{}.first_leaf", leaf.collection);
                let problem = format!("leaves {other} and {id} both have address {}", leaf.address);
                return Err(ValidationError::new(
                    key,
                    problem,
                    "a different address for each leaf",
                ));
            }
            leaf_by_address.insert(leaf.address, id);
        }
        Ok(())
    }

    fn check_leaves_out(&self) -> Result<(), ValidationError> {
        let leaves = self.expand().leaves;
        match self.leaves_out.iter().find(|id| !leaves.contains_key(*id)) {
            Some(id) => {
                let problem = format!("leaf {:?} does not exist", id.as_str());
                let expected = "ids of declared leaves, such as \"quote-desk/07/a\"";
                Err(ValidationError::new("leaves_out", problem, expected))
            }
            None => Ok(()),
        }
    }
}

fn check_maps(
    key: &impl Fn(&str) -> String,
    collection: &DeclaredCollection,
) -> Result<(), ValidationError> {
    let expected = "either services or maps";
    match (collection.services, collection.maps.is_empty()) {
        (None, true) => {
            return Err(ValidationError::new(
                key("services"),
                "neither services nor maps is given",
                expected,
            ));
        }
        (Some(_), false) => {
            return Err(ValidationError::new(
                key("maps"),
                "both services and maps are given",
                expected,
            ));
        }
        (Some(services), true) => {
            return rules::check_range(&key("services"), services.into(), 1, MAX_SERVICES);
        }
        (None, false) => {}
    }
    for map in &collection.maps {
        rules::check_range(&key("maps.services"), map.services.into(), 1, MAX_SERVICES)?;
    }
    let ascending = |pair: &[DeclaredMap]| {
        pair[0].version < pair[1].version && pair[0].from_snapshot < pair[1].from_snapshot
    };
    if !collection.maps.windows(2).all(ascending) {
        let expected = "versions and first snapshots that increase from map to map";
        return Err(ValidationError::new(key("maps"), "the maps are not in order", expected));
    }
    Ok(())
}

fn check_ports(
    key: &impl Fn(&str) -> String,
    collection: &DeclaredCollection,
) -> Result<(), ValidationError> {
    let first = u64::from(collection.first_leaf.port());
    let last = first + collection.leaf_count().saturating_sub(1);
    if first == 0 || last > u64::from(u16::MAX) {
        let problem = format!("{} leaves need ports {first} to {last}", collection.leaf_count());
        return Err(ValidationError::new(key("first_leaf"), problem, "ports from 1 to 65535"));
    }
    Ok(())
}
