//! Choosing a holder for a leaf: rendezvous hashing with bounded load.
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

/// Most leaves of one host, in hundredths of the mean.
const BOUND_PERCENT: usize = 125;
/// Load below which leaves move to a host, in hundredths of the mean.
const UNDERLOADED_PERCENT: usize = 66;

/// Rendezvous weight of `host` for `key`; the highest wins.
pub fn rendezvous_weight(key: &str, host: &HostId) -> u64 {
    xxh3_64(format!("{key}\n{host}").as_bytes())
}

/// How well a holder fits next to the holders of the shard's other replicas.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Fit {
    /// No other replica in the same zone.
    OtherZone,
    /// Another replica in the same zone, none on the same host.
    OtherHost,
    /// Another replica on the same host.
    SameHost,
}

#[derive(Clone, Debug)]
struct Node {
    host: HostId,
    load: usize,
}

/// Hosts that may be given leaves, with their loads.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    nodes: BTreeMap<InstanceId, Node>,
    zones: BTreeMap<InstanceId, ZoneId>,
    holders: BTreeMap<LeafId, InstanceId>,
    siblings: BTreeMap<LeafId, BTreeSet<LeafId>>,
    cap: usize,
}

impl Placement {
    pub(crate) fn new(
        view: &MembershipView,
        document: &Document,
        holdings: &IndexMap<LeafId, Holding>,
    ) -> Self {
        let zone_in = |zone| document.zones.get(zone).is_some_and(|z| z.state == AdminState::In);
        let eligible = view.instances.iter().filter(|(_, v)| v.is_live() && zone_in(v.zone()));
        let node = |host| Node { host, load: 0 };
        let mut nodes: BTreeMap<_, _> =
            eligible.map(|(id, _)| (id.clone(), node(id.host()))).collect();
        for holding in holdings.values() {
            if let Some(node) = nodes.get_mut(&holding.instance) {
                node.load += 1;
            }
        }
        let bound = document.leaves.len() * BOUND_PERCENT;
        let cap = bound.div_ceil(100 * nodes.len().max(1)).max(1);
        let zones = view.instances.iter().map(|(id, v)| (id.clone(), v.zone().clone())).collect();
        let holders = holdings.iter().map(|(leaf, h)| (leaf.clone(), h.instance.clone())).collect();
        Self { nodes, zones, holders, siblings: siblings(document), cap }
    }

    pub(crate) fn is_eligible(&self, instance: &InstanceId) -> bool {
        self.nodes.contains_key(instance)
    }

    /// The best holder for `leaf` other than the present one; `None` without any candidate.
    pub(crate) fn best(&self, leaf: &LeafId) -> Option<InstanceId> {
        let present = self.holders.get(leaf);
        let others = self.nodes.iter().filter(|(id, _)| Some(*id) != present);
        let rank = |(id, node): &(&InstanceId, &Node)| {
            let fit = self.fit(leaf, id);
            let full = node.load >= self.cap;
            (fit == Fit::SameHost, full, fit, Reverse(rendezvous_weight(leaf.as_str(), &node.host)))
        };
        others.min_by_key(rank).map(|(id, _)| id.clone())
    }

    pub(crate) fn fit(&self, leaf: &LeafId, instance: &InstanceId) -> Fit {
        let host = instance.host();
        let zone = self.zones.get(instance);
        let siblings = self.siblings.get(leaf).into_iter().flatten();
        let fit = |holder: &InstanceId| match () {
            () if holder.host() == host => Fit::SameHost,
            () if zone.is_some() && self.zones.get(holder) == zone => Fit::OtherHost,
            () => Fit::OtherZone,
        };
        let fits = siblings.filter_map(|other| self.holders.get(other)).map(fit);
        fits.max().unwrap_or(Fit::OtherZone)
    }

    /// Records that `leaf` moves to `instance`.
    pub(crate) fn moved(&mut self, leaf: &LeafId, instance: &InstanceId) {
        if let Some(old) = self.holders.insert(leaf.clone(), instance.clone())
            && let Some(node) = self.nodes.get_mut(&old)
        {
            node.load -= 1;
        }
        if let Some(node) = self.nodes.get_mut(instance) {
            node.load += 1;
        }
    }

    /// The host with the fewest leaves to which leaves should move: one with few leaves, or one that
    /// is `receiving` and lacks leaves to its share. Hosts just below the mean are left alone, so
    /// that the loss of a host moves only its own leaves.
    pub(crate) fn underloaded(&self, receiving: &BTreeSet<InstanceId>) -> Option<InstanceId> {
        let few =
            |node: &Node| node.load * self.nodes.len() * 100 < self.total() * UNDERLOADED_PERCENT;
        let wants = |(id, node): &(&InstanceId, &Node)| {
            few(node) || receiving.contains(*id) && self.is_below_mean(id)
        };
        let wanting = self.nodes.iter().filter(wants);
        wanting.min_by_key(|(_, node)| node.load).map(|(id, _)| id.clone())
    }

    /// Whether `instance` has fewer leaves than the mean, rounded down.
    pub(crate) fn is_below_mean(&self, instance: &InstanceId) -> bool {
        let mean = self.total() / self.nodes.len().max(1);
        self.nodes.get(instance).is_some_and(|node| node.load < mean)
    }

    fn total(&self) -> usize {
        self.nodes.values().map(|node| node.load).sum()
    }

    /// The leaf that `to` should get from a host with at least two leaves more.
    pub(crate) fn leaf_for<'a>(
        &self,
        to: &InstanceId,
        movable: impl Iterator<Item = &'a LeafId>,
    ) -> Option<&'a LeafId> {
        let target = self.nodes.get(to)?;
        let fits = |leaf: &&LeafId| {
            let Some(holder) = self.holders.get(*leaf) else { return false };
            let Some(node) = self.nodes.get(holder) else { return false };
            node.load > target.load + 1 && self.fit(leaf, to) <= self.fit(leaf, holder)
        };
        let load = |leaf: &&LeafId| self.nodes[&self.holders[*leaf]].load;
        movable
            .filter(fits)
            .max_by_key(|leaf| (load(leaf), rendezvous_weight(leaf.as_str(), &target.host)))
    }
}

fn siblings(document: &Document) -> BTreeMap<LeafId, BTreeSet<LeafId>> {
    let maps = document.collections.values().flat_map(|collection| &collection.maps);
    let mut siblings: BTreeMap<LeafId, BTreeSet<LeafId>> = BTreeMap::new();
    for replicas in maps.flat_map(|map| map.shards.values()) {
        for leaf in replicas {
            let others = replicas.iter().filter(|other| *other != leaf).cloned();
            siblings.entry(leaf.clone()).or_default().extend(others);
        }
    }
    siblings
}
