//! Rules that a declared deployment must keep before it can expand.

use {
    crate::{
        deployment::{DeclaredCollection, DeclaredLimits, DeclaredMap, Deployment},
        document::LeafLimits,
        error::KeyProblem,
        file::in_range,
    },
    indexmap::IndexMap,
    std::{collections::HashSet, net::SocketAddr},
    wigeonramp_units::{CollectionId, LeafId, Span},
};

/// Longest collection id, so that leaf ids stay within their limit.
const MAX_COLLECTION_ID: usize = 100;
/// Most shards of one collection; a document with more exceeds the platform's 1 MB.
const MAX_SERVICES: u64 = 4096;
/// Replicas are named a to z.
const MAX_REPLICAS: u64 = 26;
/// Length of a SHA-256 in hexadecimal digits.
const SHA256_DIGITS: usize = 64;
/// Longest deadline and longest other time that the declaration accepts.
const MAX_TIME: Span = Span::secs(3600);

impl Deployment {
    pub(crate) fn check(&self) -> Result<(), KeyProblem> {
        if self.zones.is_empty() {
            return Err(KeyProblem::new("zones", "no zone is declared", "at least one zone"));
        }
        self.check_zones()?;
        self.check_callers()?;
        for (id, collection) in &self.collections {
            self.check_collection(id, collection)?;
        }
        self.check_addresses()?;
        self.check_leaves_out()?;
        check_limits(&self.limits)
    }

    fn check_zones(&self) -> Result<(), KeyProblem> {
        match self.zones.iter().find(|(_, zone)| zone.region.trim().is_empty()) {
            Some((id, _)) => {
                let key = format!("zones.{id}.region");
                Err(KeyProblem::new(key, "the name is empty", "the name of a region"))
            }
            None => Ok(()),
        }
    }

    fn check_callers(&self) -> Result<(), KeyProblem> {
        for (id, caller) in &self.callers {
            if !self.members.contains_key(&caller.member) {
                let problem = format!("member {:?} is not declared", caller.member.as_str());
                let expected = format!("one of {}", listed(self.members.keys()));
                return Err(KeyProblem::new(format!("callers.{id}.member"), problem, expected));
            }
            let token = &caller.token_sha256;
            if token.len() != SHA256_DIGITS || !token.chars().all(|c| c.is_ascii_hexdigit()) {
                let key = format!("callers.{id}.token_sha256");
                let problem = format!("{} characters that are not a SHA-256", token.len());
                return Err(KeyProblem::new(key, problem, "64 hexadecimal digits"));
            }
        }
        Ok(())
    }

    fn check_collection(
        &self,
        id: &CollectionId,
        collection: &DeclaredCollection,
    ) -> Result<(), KeyProblem> {
        let key = |name: &str| format!("collections.{id}.{name}");
        if id.as_str().len() > MAX_COLLECTION_ID {
            let problem = format!("the id has {} characters", id.as_str().len());
            return Err(KeyProblem::new(format!("collections.{id}"), problem, "at most 100"));
        }
        check_deadlines(&key, collection)?;
        check_maps(&key, collection)?;
        in_range(&key("replicas"), collection.replicas.into(), 1, MAX_REPLICAS)?;
        self.check_spread(&key, collection)?;
        check_ports(&key, collection)?;
        check_leaf_limits(&key, &collection.leaf_limits)
    }

    fn check_spread(
        &self,
        key: &impl Fn(&str) -> String,
        collection: &DeclaredCollection,
    ) -> Result<(), KeyProblem> {
        let mut seen = HashSet::new();
        for zone in &collection.zones {
            if !self.zones.contains_key(zone) {
                let problem = format!("zone {:?} is not declared", zone.as_str());
                let expected = format!("zones out of {}", listed(self.zones.keys()));
                return Err(KeyProblem::new(key("zones"), problem, expected));
            }
            if !seen.insert(zone) {
                let problem = format!("zone {:?} is listed twice", zone.as_str());
                return Err(KeyProblem::new(key("zones"), problem, "each zone once"));
            }
        }
        if collection.replicas as usize > collection.zones.len() {
            let zones = collection.zones.len();
            let problem = format!("{} replicas for {zones} zones", collection.replicas);
            let expected = "no more replicas than zones, as replicas of one shard stand in \
                            different zones";
            return Err(KeyProblem::new(key("replicas"), problem, expected));
        }
        Ok(())
    }

    fn check_addresses(&self) -> Result<(), KeyProblem> {
        let mut taken: IndexMap<SocketAddr, LeafId> = IndexMap::new();
        for (id, leaf) in self.expand().leaves {
            if let Some(other) = taken.get(&leaf.address) {
                let key = format!("collections.{}.first_leaf", leaf.collection);
                let problem = format!("leaves {other} and {id} both have address {}", leaf.address);
                return Err(KeyProblem::new(key, problem, "an address of its own for each leaf"));
            }
            taken.insert(leaf.address, id);
        }
        Ok(())
    }

    fn check_leaves_out(&self) -> Result<(), KeyProblem> {
        let leaves = self.expand().leaves;
        match self.leaves_out.iter().find(|id| !leaves.contains_key(*id)) {
            Some(id) => {
                let problem = format!("leaf {:?} does not exist", id.as_str());
                let expected = "ids of declared leaves, such as \"quote-desk/07/a\"";
                Err(KeyProblem::new("leaves_out", problem, expected))
            }
            None => Ok(()),
        }
    }
}

fn check_deadlines(
    key: &impl Fn(&str) -> String,
    collection: &DeclaredCollection,
) -> Result<(), KeyProblem> {
    check_time(&key("max_deadline"), collection.max_deadline)?;
    let Some(soft) = collection.soft_deadline else { return Ok(()) };
    check_time(&key("soft_deadline"), soft)?;
    if soft > collection.max_deadline {
        let problem = format!("{soft} is longer than max_deadline");
        let expected = format!("at most {}", collection.max_deadline);
        return Err(KeyProblem::new(key("soft_deadline"), problem, expected));
    }
    Ok(())
}

fn check_maps(
    key: &impl Fn(&str) -> String,
    collection: &DeclaredCollection,
) -> Result<(), KeyProblem> {
    let expected = "either services or maps";
    match (collection.services, collection.maps.is_empty()) {
        (None, true) => {
            return Err(KeyProblem::new(key("services"), "neither is given", expected));
        }
        (Some(_), false) => return Err(KeyProblem::new(key("maps"), "both are given", expected)),
        (Some(services), true) => {
            return in_range(&key("services"), services.into(), 1, MAX_SERVICES);
        }
        (None, false) => {}
    }
    for map in &collection.maps {
        in_range(&key("maps.services"), map.services.into(), 1, MAX_SERVICES)?;
    }
    let rises = |pair: &[DeclaredMap]| {
        pair[0].version < pair[1].version && pair[0].from_snapshot < pair[1].from_snapshot
    };
    if !collection.maps.windows(2).all(rises) {
        let expected = "versions and first snapshots that rise from map to map";
        return Err(KeyProblem::new(key("maps"), "the maps are not in order", expected));
    }
    Ok(())
}

fn check_ports(
    key: &impl Fn(&str) -> String,
    collection: &DeclaredCollection,
) -> Result<(), KeyProblem> {
    let first = u64::from(collection.first_leaf.port());
    let last = first + collection.leaf_count().saturating_sub(1);
    if first == 0 || last > u64::from(u16::MAX) {
        let problem = format!("{} leaves take ports {first} to {last}", collection.leaf_count());
        return Err(KeyProblem::new(key("first_leaf"), problem, "ports from 1 to 65535"));
    }
    Ok(())
}

fn check_leaf_limits(key: &impl Fn(&str) -> String, limits: &LeafLimits) -> Result<(), KeyProblem> {
    let key = |name: &str| key(&format!("leaf_limits.{name}"));
    in_range(&key("slots"), limits.slots.get().into(), 1, 1024)?;
    in_range(&key("connections"), limits.connections.get().into(), 1, 65_535)?;
    in_range(&key("cold_per_second"), limits.cold_per_second.get().into(), 1, 100_000)?;
    in_range(&key("cold_in_flight"), limits.cold_in_flight.get().into(), 1, 1024)?;
    if limits.connect_cost > Span::secs(10) {
        let problem = format!("{} is out of range", limits.connect_cost);
        return Err(KeyProblem::new(key("connect_cost"), problem, "at most 10s"));
    }
    if limits.cold_in_flight > limits.slots {
        let problem = format!("{} is more than slots", limits.cold_in_flight);
        let expected = format!("1 to {}", limits.slots);
        return Err(KeyProblem::new(key("cold_in_flight"), problem, expected));
    }
    Ok(())
}

fn check_limits(limits: &DeclaredLimits) -> Result<(), KeyProblem> {
    let times = [
        ("entry_lifetime", limits.entry_lifetime),
        ("claim_retention", limits.claim_retention),
        ("quarantine", limits.quarantine),
        ("session_time", limits.session_time),
        ("stale_after", limits.stale_after),
    ];
    for (name, time) in times {
        check_time(&format!("limits.{name}"), time)?;
    }
    let shares = [
        ("hedge_budget", limits.hedge_budget),
        ("retry_budget", limits.retry_budget),
        ("ordinary_floor", limits.ordinary_floor),
        ("max_ejected", limits.max_ejected),
    ];
    for (name, share) in shares {
        in_range(&format!("limits.{name}"), share.get().into(), 0, 100)?;
    }
    in_range("limits.max_body", limits.max_body.get(), 1, 1_000_000)
}

fn check_time(key: &str, time: Span) -> Result<(), KeyProblem> {
    if time > Span::ZERO && time <= MAX_TIME {
        return Ok(());
    }
    let expected = format!("more than 0 and at most {MAX_TIME}");
    Err(KeyProblem::new(key, format!("{time} is out of range"), expected))
}

fn listed<T: ToString>(ids: impl Iterator<Item = T>) -> String {
    ids.map(|id| id.to_string()).collect::<Vec<_>>().join(", ")
}
