//! Placement of leaves on hosts: rendezvous hashing with bounded loads.
//!
//! Replicas of a shard go to different hosts, and to different zones where possible.

use {
    crate::{assignment::Holding, membership::MembershipView},
    indexmap::IndexMap,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet},
    },
    wigeonramp_config::{AdminState, Document},
    wigeonramp_units::{HostId, InstanceId, LeafId, ZoneId},
    xxhash_rust::xxh3::xxh3_64,
};

/// Largest number of leaves of a host, in percent of the mean.
const MAX_LOAD_PERCENT: usize = 125;
/// Number of leaves below which a host is given leaves of other hosts, in percent of the mean.
const UNDERLOADED_PERCENT: usize = 66;

/// Returns the rendezvous hashing weight of `host` for `key`; the host with the highest weight is
/// preferred.
pub fn rendezvous_weight(key: &str, host: &HostId) -> u64 {
    xxh3_64(format!("{key}\n{host}").as_bytes())
}

/// How close an instance is to the holders of the other replicas of a leaf's shard; lower is
/// better.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Colocation {
    /// No other replica is held in the same zone.
    DifferentZone,
    /// Another replica is held in the same zone, but none on the same host.
    SameZone,
    /// Another replica is held on the same host.
    SameHost,
}

#[derive(Clone, Debug)]
struct EligibleHost {
    host: HostId,
    // Number of leaves that it holds.
    load: usize,
}

/// Instances that may be given leaves, with their loads, and the current holders of all leaves.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    eligible: BTreeMap<InstanceId, EligibleHost>,
    zones: BTreeMap<InstanceId, ZoneId>,
    holders: BTreeMap<LeafId, InstanceId>,
    // The other replicas of the shards that each leaf serves.
    replicas: BTreeMap<LeafId, BTreeSet<LeafId>>,
    max_load: usize,
}

impl Placement {
    pub(crate) fn new(
        view: &MembershipView,
        document: &Document,
        holdings: &IndexMap<LeafId, Holding>,
    ) -> Self {
        let in_service = |zone| document.zones.get(zone).is_some_and(|z| z.state == AdminState::In);
        let instances = view.instances.iter().filter(|(_, v)| v.is_live() && in_service(v.zone()));
        let unloaded = |host| EligibleHost { host, load: 0 };
        let mut eligible: BTreeMap<_, _> =
            instances.map(|(id, _)| (id.clone(), unloaded(id.host()))).collect();
        for holding in holdings.values() {
            if let Some(host) = eligible.get_mut(&holding.instance) {
                host.load += 1;
            }
        }
        let scaled = document.leaves.len() * MAX_LOAD_PERCENT;
        let max_load = scaled.div_ceil(100 * eligible.len().max(1)).max(1);
        let zones = view.instances.iter().map(|(id, v)| (id.clone(), v.zone().clone())).collect();
        let holders = holdings.iter().map(|(leaf, h)| (leaf.clone(), h.instance.clone())).collect();
        Self { eligible, zones, holders, replicas: other_replicas(document), max_load }
    }

    pub(crate) fn is_eligible(&self, instance: &InstanceId) -> bool {
        self.eligible.contains_key(instance)
    }

    /// Returns the best holder for `leaf` other than the current one; `None` if there is no other.
    pub(crate) fn best_holder(&self, leaf: &LeafId) -> Option<InstanceId> {
        let current = self.holders.get(leaf);
        let others = self.eligible.iter().filter(|(id, _)| Some(*id) != current);
        let rank = |(id, host): &(&InstanceId, &EligibleHost)| {
            let colocation = self.colocation(leaf, id);
            let full = host.load >= self.max_load;
            (
                colocation == Colocation::SameHost,
                full,
                colocation,
                Reverse(rendezvous_weight(leaf.as_str(), &host.host)),
            )
        };
        others.min_by_key(rank).map(|(id, _)| id.clone())
    }

    /// Returns how close `instance` is to the holders of the other replicas of the shards of
    /// `leaf`.
    pub(crate) fn colocation(&self, leaf: &LeafId, instance: &InstanceId) -> Colocation {
        let host = instance.host();
        let zone = self.zones.get(instance);
        let replicas = self.replicas.get(leaf).into_iter().flatten();
        let colocation = |holder: &InstanceId| match () {
            () if holder.host() == host => Colocation::SameHost,
            () if zone.is_some() && self.zones.get(holder) == zone => Colocation::SameZone,
            () => Colocation::DifferentZone,
        };
        let closest = replicas.filter_map(|other| self.holders.get(other)).map(colocation).max();
        closest.unwrap_or(Colocation::DifferentZone)
    }

    /// Records that `leaf` moves to `instance`.
    pub(crate) fn record_move(&mut self, leaf: &LeafId, instance: &InstanceId) {
        if let Some(old) = self.holders.insert(leaf.clone(), instance.clone())
            && let Some(host) = self.eligible.get_mut(&old)
        {
            host.load -= 1;
        }
        if let Some(host) = self.eligible.get_mut(instance) {
            host.load += 1;
        }
    }

    /// Returns the host with the fewest leaves among those that should get more: hosts far below
    /// the mean, and hosts in `receiving` that are below the mean at all. Other hosts just below
    /// the mean get none, so that the loss of a host moves only its own leaves.
    pub(crate) fn underloaded(&self, receiving: &BTreeSet<InstanceId>) -> Option<InstanceId> {
        let has_few = |host: &EligibleHost| {
            host.load * self.eligible.len() * 100 < self.total_load() * UNDERLOADED_PERCENT
        };
        let is_underloaded = |(id, host): &(&InstanceId, &EligibleHost)| {
            has_few(host) || receiving.contains(*id) && self.is_below_mean(id)
        };
        let underloaded = self.eligible.iter().filter(is_underloaded);
        underloaded.min_by_key(|(_, host)| host.load).map(|(id, _)| id.clone())
    }

    /// Whether `instance` has fewer leaves than the mean, rounded down.
    pub(crate) fn is_below_mean(&self, instance: &InstanceId) -> bool {
        let mean = self.total_load() / self.eligible.len().max(1);
        self.eligible.get(instance).is_some_and(|host| host.load < mean)
    }

    fn total_load(&self) -> usize {
        self.eligible.values().map(|host| host.load).sum()
    }

    /// Returns the leaf that should move to `to`, from a host with at least two more leaves.
    pub(crate) fn leaf_to_move<'a>(
        &self,
        to: &InstanceId,
        movable: impl Iterator<Item = &'a LeafId>,
    ) -> Option<&'a LeafId> {
        let target = self.eligible.get(to)?;
        let improves = |leaf: &&LeafId| {
            let Some(holder) = self.holders.get(*leaf) else { return false };
            let Some(source) = self.eligible.get(holder) else { return false };
            source.load > target.load + 1
                && self.colocation(leaf, to) <= self.colocation(leaf, holder)
        };
        let load = |leaf: &&LeafId| self.eligible[&self.holders[*leaf]].load;
        movable
            .filter(improves)
            .max_by_key(|leaf| (load(leaf), rendezvous_weight(leaf.as_str(), &target.host)))
    }
}

// Returns the other replicas of the shards that each leaf serves.
fn other_replicas(document: &Document) -> BTreeMap<LeafId, BTreeSet<LeafId>> {
    let maps = document.collections.values().flat_map(|collection| &collection.maps);
    let mut others_of: BTreeMap<LeafId, BTreeSet<LeafId>> = BTreeMap::new();
    for replicas in maps.flat_map(|map| map.shards.values()) {
        for leaf in replicas {
            let others = replicas.iter().filter(|other| *other != leaf).cloned();
            others_of.entry(leaf.clone()).or_default().extend(others);
        }
    }
    others_of
}
