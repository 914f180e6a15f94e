//! An entry host's view of the leaves, and the choice of a replica.

use {
    crate::upstream::LeafState,
    indexmap::IndexMap,
    rand::{RngExt, rngs::SmallRng},
    wigeonramp_units::{LeafId, SnapshotId, Span, ZoneId},
};

/// Added to the expected latency of a leaf in another zone.
const CROSS_ZONE_PENALTY: Span = Span::millis(2);
/// Expected latency of a leaf without samples.
const DEFAULT_LATENCY: Span = Span::millis(10);
/// One in this many queries goes to an idle cold replica, so that it warms up.
const COLD_INTERVAL: u32 = 8;
/// One in this many queries goes to an idle ramping replica.
const RAMPING_INTERVAL: u32 = 3;

/// An entry host's view of one leaf.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafInfo {
    /// State in its holder's last report.
    pub state: LeafState,
    /// Jobs that the leaf is running.
    pub in_flight: u32,
    /// Jobs in the holder's queue.
    pub queued: u32,
    /// Requests that it can handle at the same time.
    pub allowance: u32,
    /// Median latency as measured at this host; zero when unknown.
    pub p50: Span,
    /// Time after which a request to it is hedged; zero when unknown.
    pub hedge_delay: Span,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Whether it and its zone are in service.
    pub in_service: bool,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// Snapshots that it reports; empty when unknown.
    pub snapshots: Vec<SnapshotId>,
}

/// An entry host's view of all leaves at one point in time.
#[derive(Clone, Debug, Default)]
pub struct LeafView {
    /// Leaves by id.
    pub leaves: IndexMap<LeafId, LeafInfo>,
}

/// Order of preference among replicas; the lowest rank is chosen.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ReplicaRank {
    class: ReplicaClass,
    latency: Span,
}

/// Classes of replicas, the preferred ones first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum ReplicaClass {
    Healthy,
    Suspect,
    Cold,
    Ejected,
    NoSnapshot,
}

impl LeafView {
    /// Returns the view of `leaf`.
    pub fn get(&self, leaf: &LeafId) -> Option<&LeafInfo> {
        self.leaves.get(leaf)
    }

    /// Returns whether the leaf accepts new requests.
    pub fn is_usable(&self, leaf: &LeafId) -> bool {
        let leaving = |info: &LeafInfo| matches!(info.state, LeafState::Leaving | LeafState::Gone);
        self.get(leaf).is_some_and(|info| info.in_service && !leaving(info))
    }

    /// Returns whether the leaf is warm by its holder's last report.
    pub fn is_warm(&self, leaf: &LeafId) -> bool {
        self.get(leaf).is_some_and(|info| info.state == LeafState::Warm)
    }

    /// Returns the replica with the lowest rank among the usable `replicas`, or for a share of the
    /// queries an idle replica that has to warm up.
    pub(super) fn choose<'a>(
        &self,
        replicas: &[&'a LeafId],
        snapshot: SnapshotId,
        zone: &ZoneId,
        rng: &mut SmallRng,
    ) -> Option<&'a LeafId> {
        if let Some(leaf) = self.replica_to_warm_up(replicas, snapshot, rng) {
            return Some(leaf);
        }
        replicas.iter().copied().min_by_key(|leaf| self.rank(leaf, snapshot, zone))
    }

    /// Returns an idle cold or ramping replica for a share of the queries.
    fn replica_to_warm_up<'a>(
        &self,
        replicas: &[&'a LeafId],
        snapshot: SnapshotId,
        rng: &mut SmallRng,
    ) -> Option<&'a LeafId> {
        for leaf in replicas {
            let Some(info) = self.get(leaf) else { continue };
            let one_in = match info.state {
                LeafState::Cold => COLD_INTERVAL,
                LeafState::Ramping => RAMPING_INTERVAL,
                _ => continue,
            };
            let idle = info.queued == 0 && info.in_flight < info.allowance;
            let eligible = idle && !info.ejected && info.has_snapshot(snapshot);
            if eligible && rng.random_range(0..one_in) == 0 {
                return Some(leaf);
            }
        }
        None
    }

    fn rank(&self, leaf: &LeafId, snapshot: SnapshotId, zone: &ZoneId) -> ReplicaRank {
        let Some(info) = self.get(leaf) else {
            return ReplicaRank { class: ReplicaClass::NoSnapshot, latency: Span(u64::MAX) };
        };
        let class = match info.state {
            _ if !info.has_snapshot(snapshot) => ReplicaClass::NoSnapshot,
            _ if info.ejected => ReplicaClass::Ejected,
            LeafState::Cold => ReplicaClass::Cold,
            LeafState::Suspect => ReplicaClass::Suspect,
            _ => ReplicaClass::Healthy,
        };
        ReplicaRank { class, latency: info.expected_latency(zone) }
    }
}

impl LeafInfo {
    fn has_snapshot(&self, snapshot: SnapshotId) -> bool {
        self.snapshots.is_empty() || self.snapshots.contains(&snapshot)
    }

    fn expected_latency(&self, zone: &ZoneId) -> Span {
        let base = if self.p50 == Span::ZERO { DEFAULT_LATENCY } else { self.p50 };
        let load = u64::from(self.in_flight + self.queued);
        let latency = base + base * load / u64::from(self.allowance.max(1));
        if self.zone == *zone { latency } else { latency + CROSS_ZONE_PENALTY }
    }
}
