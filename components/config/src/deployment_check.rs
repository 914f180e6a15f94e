//! Rules that a declared deployment must keep before it can expand.

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

/// Longest collection id, so that leaf ids stay within their limit.
const MAX_COLLECTION_ID: usize = 100;
/// Most shards of one collection; a document with more exceeds the platform's 1 MB.
const MAX_SERVICES: u64 = 4096;
/// Replicas are named a to z.
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
        if id.as_str().len() > MAX_COLLECTION_ID {
            let problem = format!("the id has {} characters", id.as_str().len());
            return Err(ValidationError::new(format!("collections.{id}"), problem, "at most 100"));
        }
        let soft = collection.soft_deadline.unwrap_or(collection.max_deadline);
        rules::check_deadlines(&key, soft, collection.max_deadline)?;
        check_maps(&key, collection)?;
        rules::in_range(&key("replicas"), collection.replicas.into(), 1, MAX_REPLICAS)?;
        self.check_spread(&key, collection)?;
        check_ports(&key, collection)?;
        rules::check_leaf_limits(&key, &collection.leaf_limits)
    }

    fn check_spread(
        &self,
        key: &impl Fn(&str) -> String,
        collection: &DeclaredCollection,
    ) -> Result<(), ValidationError> {
        let mut seen = HashSet::new();
        for zone in &collection.zones {
            if !self.zones.contains_key(zone) {
                let problem = format!("zone {:?} is not declared", zone.as_str());
                let expected = format!("zones out of {}", rules::listed(self.zones.keys()));
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
            let expected = "no more replicas than zones, as replicas of one shard stand in \
                            different zones";
            return Err(ValidationError::new(key("replicas"), problem, expected));
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), ValidationError> {
        let mut taken: IndexMap<SocketAddr, LeafId> = IndexMap::new();
        for (id, leaf) in self.expand().leaves {
            if let Some(other) = taken.get(&leaf.address) {
                let key = format!("collections.{}.first_leaf", leaf.collection);
                let problem = format!("leaves {other} and {id} both have address {}", leaf.address);
                return Err(ValidationError::new(
                    key,
                    problem,
                    "an address of its own for each leaf",
                ));
            }
            taken.insert(leaf.address, id);
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
            return Err(ValidationError::new(key("services"), "neither is given", expected));
        }
        (Some(_), false) => {
            return Err(ValidationError::new(key("maps"), "both are given", expected));
        }
        (Some(services), true) => {
            return rules::in_range(&key("services"), services.into(), 1, MAX_SERVICES);
        }
        (None, false) => {}
    }
    for map in &collection.maps {
        rules::in_range(&key("maps.services"), map.services.into(), 1, MAX_SERVICES)?;
    }
    let rises = |pair: &[DeclaredMap]| {
        pair[0].version < pair[1].version && pair[0].from_snapshot < pair[1].from_snapshot
    };
    if !collection.maps.windows(2).all(rises) {
        let expected = "versions and first snapshots that rise from map to map";
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
        let problem = format!("{} leaves take ports {first} to {last}", collection.leaf_count());
        return Err(ValidationError::new(key("first_leaf"), problem, "ports from 1 to 65535"));
    }
    Ok(())
}
