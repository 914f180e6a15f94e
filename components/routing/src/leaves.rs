//! All leaves known to one host, and the choice among those of a service.

use {
    crate::leaf::{HealthSignal, Leaf, LeafRegistration},
    indexmap::{IndexMap, IndexSet},
    rand::{Rng, RngExt},
    wigeonramp_units::{Instant, LeafId, RegionId, ServiceId, Span, ZoneId},
};

/// Names one leaf for as long as it is registered; never names another one later.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeafKey(pub u64);

/// What a change of a registration means for open connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeafChange {
    /// Nothing.
    Kept,
    /// A leaf that was not known.
    Added(LeafKey),
    /// The same leaf with another state.
    Updated(LeafKey),
    /// Another start of the leaf: idle connections to it lead nowhere.
    Restarted(LeafKey),
    /// The leaf is gone.
    Removed(LeafKey),
}

/// Cost of another zone, in hundredths of the usual time.
const OTHER_ZONE_PERCENT: f64 = 100.0;
/// Cost of a leaf with an overdue request, in usual times.
const OVERDUE_COST: f64 = 12.0;
/// Cost of a leaf in a pause after broken connections, in usual times; paid only where all leaves
/// of a service pause.
const PAUSED_COST: f64 = 100.0;
/// Cost of a cold leaf without a declared limit, in usual times.
const COLD_COST: f64 = 0.8;
/// Random part of the cost, in usual times, that spreads hosts over equal leaves.
const SPREAD: f64 = 0.15;

/// What a choice depends on besides the leaves.
#[derive(Clone, Copy, Debug)]
pub struct LeafCriteria<'a> {
    /// The service.
    pub service: &'a ServiceId,
    /// Regions that the request may be served in; empty for all.
    pub homes: &'a [RegionId],
    /// Leaves that have had the request.
    pub except: &'a [LeafKey],
    /// Usual time of an answer.
    pub usual: Span,
    /// Requests a second that this host may send to a cold leaf; none without a declared limit.
    pub cold_per_second: Option<f64>,
}

/// The leaves known to one host.
#[derive(Debug)]
pub struct Leaves {
    zone: ZoneId,
    next: u64,
    leaves: IndexMap<LeafKey, Leaf>,
    by_id: IndexMap<LeafId, LeafKey>,
    by_service: IndexMap<ServiceId, Vec<LeafKey>>,
    evacuated: IndexSet<ZoneId>,
    regions: IndexMap<ZoneId, RegionId>,
}

impl Leaves {
    /// No leaves; the host is in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            next: 0,
            leaves: IndexMap::new(),
            by_id: IndexMap::new(),
            by_service: IndexMap::new(),
            evacuated: IndexSet::new(),
            regions: IndexMap::new(),
        }
    }

    /// Sets the region of each zone.
    pub fn set_regions(&mut self, regions: IndexMap<ZoneId, RegionId>) {
        self.regions = regions;
    }

    /// Whether a zone is in one of these regions; always when none is named.
    pub fn is_home(&self, zone: &ZoneId, homes: &[RegionId]) -> bool {
        homes.is_empty() || self.regions.get(zone).is_some_and(|region| homes.contains(region))
    }

    /// Takes in a registration.
    pub fn register(&mut self, entry: LeafRegistration, now: Instant) -> LeafChange {
        if let Some(key) = self.by_id.get(&entry.id).copied() {
            return self.update(key, entry, now);
        }
        let key = LeafKey(self.next);
        self.next += 1;
        self.by_id.insert(entry.id.clone(), key);
        self.by_service.entry(entry.service.clone()).or_default().push(key);
        self.leaves.insert(key, Leaf::new(entry, now));
        LeafChange::Added(key)
    }

    fn update(&mut self, key: LeafKey, entry: LeafRegistration, now: Instant) -> LeafChange {
        let leaf = &mut self.leaves[&key];
        if leaf.entry == entry && leaf.lapsed_until.is_none() {
            return LeafChange::Kept;
        }
        let (old, new) = (leaf.entry.service.clone(), entry.service.clone());
        let restarted = leaf.update(entry, now);
        if old != new {
            self.unlist(&old, key);
            self.by_service.entry(new).or_default().push(key);
        }
        if restarted { LeafChange::Restarted(key) } else { LeafChange::Updated(key) }
    }

    /// The registration is gone for good.
    pub fn remove(&mut self, id: &LeafId) -> LeafChange {
        let Some(key) = self.by_id.swap_remove(id) else { return LeafChange::Kept };
        if let Some(leaf) = self.leaves.swap_remove(&key) {
            self.unlist(&leaf.entry.service, key);
        }
        LeafChange::Removed(key)
    }

    /// The registration may come back until `until`; the leaf is used till then.
    pub fn lapse(&mut self, id: &LeafId, until: Instant) {
        let Some(key) = self.by_id.get(id) else { return };
        let leaf = &mut self.leaves[key];
        leaf.lapsed_until.get_or_insert(until);
    }

    /// Removes the leaves whose registration did not come back.
    pub fn drop_lapsed(&mut self, now: Instant) -> Vec<(LeafId, LeafKey)> {
        let over = |leaf: &Leaf| leaf.lapsed_until.is_some_and(|until| until <= now);
        let ids: Vec<_> = self.leaves.values().filter(|leaf| over(leaf)).collect();
        let ids: Vec<_> = ids.into_iter().map(|leaf| leaf.entry.id.clone()).collect();
        let mut gone = Vec::new();
        for id in ids {
            if let LeafChange::Removed(key) = self.remove(&id) {
                gone.push((id, key));
            }
        }
        gone
    }

    fn unlist(&mut self, service: &ServiceId, key: LeafKey) {
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.retain(|known| *known != key);
        }
    }

    /// Takes a zone out of use or back.
    pub fn evacuate(&mut self, zone: ZoneId, out: bool) {
        if out {
            self.evacuated.insert(zone);
        } else {
            self.evacuated.swap_remove(&zone);
        }
    }

    /// Zones out of use.
    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneId> {
        self.evacuated.iter()
    }

    /// All registrations, with what is left of their cold state.
    pub fn entries(&self, now: Instant) -> impl Iterator<Item = LeafRegistration> {
        self.leaves.values().map(move |leaf| {
            let cold_left = leaf.cold_until.since(now);
            LeafRegistration { cold_left, ..leaf.entry.clone() }
        })
    }

    /// Ids of all registered leaves.
    pub fn ids(&self) -> impl Iterator<Item = &LeafId> {
        self.by_id.keys()
    }

    /// Registered leaves.
    pub fn len(&self) -> usize {
        self.leaves.len()
    }

    /// Whether no leaf is registered.
    pub fn is_empty(&self) -> bool {
        self.leaves.is_empty()
    }

    /// The leaf, while it is registered.
    pub fn get(&self, key: LeafKey) -> Option<&Leaf> {
        self.leaves.get(&key)
    }

    /// The leaf, while it is registered.
    pub fn get_mut(&mut self, key: LeafKey) -> Option<&mut Leaf> {
        self.leaves.get_mut(&key)
    }

    /// The leaf with this id.
    pub fn key_of(&self, id: &LeafId) -> Option<LeafKey> {
        self.by_id.get(id).copied()
    }

    /// Whether the leaf may be sent to.
    pub fn is_open(&self, leaf: &Leaf) -> bool {
        !leaf.entry.draining && !leaf.misdirected && !self.evacuated.contains(&leaf.entry.zone)
    }

    /// Whether the service has a leaf in these regions that may be sent to.
    pub fn serves(&self, service: &ServiceId, homes: &[RegionId]) -> bool {
        let usable = |leaf: &Leaf| self.is_open(leaf) && self.is_home(&leaf.entry.zone, homes);
        self.of(service).any(|(_, leaf)| usable(leaf))
    }

    /// Zones in which the service has a leaf that may be sent to.
    pub fn zones_of(&self, service: &ServiceId) -> impl Iterator<Item = &ZoneId> {
        self.of(service).filter(|(_, leaf)| self.is_open(leaf)).map(|(_, leaf)| &leaf.entry.zone)
    }

    fn of(&self, service: &ServiceId) -> impl Iterator<Item = (LeafKey, &Leaf)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| Some((*key, self.leaves.get(key)?)))
    }

    /// The leaf from which an answer is expected soonest.
    pub fn choose(
        &mut self,
        seek: &LeafCriteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<LeafKey> {
        let mut best: Option<(f64, LeafKey)> = None;
        for (key, leaf) in self.of(seek.service) {
            if !self.is_open(leaf) || seek.except.contains(&key) {
                continue;
            }
            if !self.is_home(&leaf.entry.zone, seek.homes) {
                continue;
            }
            let rationed = seek.cold_per_second.filter(|_| leaf.is_cold(now));
            if rationed.is_some_and(|per_second| !leaf.may_take_cold(per_second, now)) {
                continue;
            }
            let cost = self.cost(leaf, now) + rng.random::<f64>() * SPREAD;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        let (_, key) = best?;
        let leaf = &mut self.leaves[&key];
        if let Some(per_second) = seek.cold_per_second.filter(|_| leaf.is_cold(now)) {
            leaf.take_cold(per_second, now);
        }
        Some(key)
    }

    /// The leaf did not take a connection; `cold_for` is the time for which its service's leaves are
    /// cold after a start.
    pub fn was_down(&mut self, key: LeafKey, cold_for: Span, now: Instant) {
        if let Some(leaf) = self.leaves.get_mut(&key) {
            leaf.was_down(cold_for, now);
        }
    }

    /// Whether a send to the leaf would wait behind trouble.
    pub fn is_troubled(&self, key: LeafKey, now: Instant) -> bool {
        let leaf = self.leaves.get(&key);
        leaf.is_none_or(|leaf| leaf.is_overdue(now) || now < leaf.paused_until())
    }

    /// Expected time until an answer, in usual times.
    fn cost(&self, leaf: &Leaf, now: Instant) -> f64 {
        let load = leaf.pending() as f64 / f64::from(leaf.entry.slots.max(1));
        let mut cost = leaf.slowness(now) * (1.0 + load);
        if leaf.entry.zone != self.zone {
            cost += OTHER_ZONE_PERCENT / 100.0;
        }
        if leaf.is_cold(now) {
            cost += COLD_COST;
        }
        if leaf.is_overdue(now) {
            cost += OVERDUE_COST;
        }
        if now < leaf.paused_until() {
            cost += PAUSED_COST;
        }
        cost
    }

    /// A request was sent to the leaf.
    pub fn sent(&mut self, key: LeafKey, usual: Span, now: Instant) {
        if let Some(leaf) = self.leaves.get_mut(&key) {
            leaf.sent(usual, now);
        }
    }

    /// A request sent to the leaf at `sent` has ended.
    pub fn ended(
        &mut self,
        key: LeafKey,
        sent: Instant,
        usual: Span,
        end: HealthSignal,
        now: Instant,
    ) {
        if let Some(leaf) = self.leaves.get_mut(&key) {
            leaf.ended(sent, usual, end, now);
        }
    }
}
