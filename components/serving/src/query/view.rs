//! What an entry host knows of the leaves, and the choice of a replica.

use {
    crate::upstream::LeafState,
    indexmap::IndexMap,
    rand::{RngExt, rngs::SmallRng},
    wigeonramp_units::{LeafId, SnapshotId, Span, ZoneId},
};

/// Time that a leaf in another zone must be faster by to be preferred.
const ZONE_PENALTY: Span = Span::millis(2);
/// Expected time of a leaf without samples.
const UNKNOWN_TIME: Span = Span::millis(10);
/// One in this many queries goes to an idle cold replica, so that it warms up.
const COLD_SHARE: u32 = 8;
/// One in this many queries goes to an idle ramping replica.
const RAMPING_SHARE: u32 = 3;

/// What an entry host knows of one leaf.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafInfo {
    /// State by its holder's last report.
    pub state: LeafState,
    /// Jobs at the leaf.
    pub in_flight: u32,
    /// Jobs in the holder's queue.
    pub queued: u32,
    /// Requests that it bears at the same time.
    pub allowance: u32,
    /// Median latency as measured at this host; zero when unknown.
    pub p50: Span,
    /// Time after which an answer is late enough for a hedge; zero when unknown.
    pub hedge_delay: Span,
    /// Its zone.
    pub zone: ZoneId,
    /// Whether it and its zone are in.
    pub in_service: bool,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// Snapshots that it reports; empty when unknown.
    pub snapshots: Vec<SnapshotId>,
}

/// What an entry host knows of all leaves at one time.
#[derive(Clone, Debug, Default)]
pub struct LeafView {
    /// By leaf.
    pub leaves: IndexMap<LeafId, LeafInfo>,
}

/// How well a replica suits; lower is better.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Fitness {
    class: Class,
    time: Span,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Class {
    Good,
    Suspect,
    Cold,
    Ejected,
    NoSnapshot,
}

impl LeafView {
    /// What is known of `leaf`.
    pub fn get(&self, leaf: &LeafId) -> Option<&LeafInfo> {
        self.leaves.get(leaf)
    }

    /// Whether the leaf may get new work at all.
    pub fn is_usable(&self, leaf: &LeafId) -> bool {
        let left = |info: &LeafInfo| matches!(info.state, LeafState::Leaving | LeafState::Gone);
        self.get(leaf).is_some_and(|info| info.in_service && !left(info))
    }

    /// Whether the leaf is warm by its holder's last report.
    pub fn is_warm(&self, leaf: &LeafId) -> bool {
        self.get(leaf).is_some_and(|info| info.state == LeafState::Warm)
    }

    /// The replica with the least expected time among `replicas`, which are usable.
    pub(super) fn choose<'a>(
        &self,
        replicas: &[&'a LeafId],
        snapshot: SnapshotId,
        zone: &ZoneId,
        rng: &mut SmallRng,
    ) -> Option<&'a LeafId> {
        if let Some(leaf) = self.warming(replicas, snapshot, rng) {
            return Some(leaf);
        }
        replicas.iter().copied().min_by_key(|leaf| self.fitness(leaf, snapshot, zone))
    }

    /// An idle cold or ramping replica, for a share of the queries.
    fn warming<'a>(
        &self,
        replicas: &[&'a LeafId],
        snapshot: SnapshotId,
        rng: &mut SmallRng,
    ) -> Option<&'a LeafId> {
        for leaf in replicas {
            let Some(info) = self.get(leaf) else { continue };
            let one_in = match info.state {
                LeafState::Cold => COLD_SHARE,
                LeafState::Ramping => RAMPING_SHARE,
                _ => continue,
            };
            let idle = info.queued == 0 && info.in_flight < info.allowance;
            let fit = idle && !info.ejected && info.has(snapshot);
            if fit && rng.random_range(0..one_in) == 0 {
                return Some(leaf);
            }
        }
        None
    }

    fn fitness(&self, leaf: &LeafId, snapshot: SnapshotId, zone: &ZoneId) -> Fitness {
        let Some(info) = self.get(leaf) else {
            return Fitness { class: Class::NoSnapshot, time: Span(u64::MAX) };
        };
        let class = match info.state {
            _ if !info.has(snapshot) => Class::NoSnapshot,
            _ if info.ejected => Class::Ejected,
            LeafState::Cold => Class::Cold,
            LeafState::Suspect => Class::Suspect,
            _ => Class::Good,
        };
        Fitness { class, time: info.expected(zone) }
    }
}

impl LeafInfo {
    fn has(&self, snapshot: SnapshotId) -> bool {
        self.snapshots.is_empty() || self.snapshots.contains(&snapshot)
    }

    fn expected(&self, zone: &ZoneId) -> Span {
        let base = if self.p50 == Span::ZERO { UNKNOWN_TIME } else { self.p50 };
        let load = u64::from(self.in_flight + self.queued);
        let time = base + base * load / u64::from(self.allowance.max(1));
        if self.zone == *zone { time } else { time + ZONE_PENALTY }
    }
}
