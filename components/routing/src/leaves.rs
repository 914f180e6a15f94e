//! Leaves known to one host and the selection of a leaf for an attempt.

mod versions;

pub use versions::{Focus, VersionConstraint};

use {
    crate::{
        changes::Change,
        leaf::{HealthSignal, Leaf, LeafInstance, LeafRegistration},
        limits::LeafLimits,
        notices::RememberedNotices,
        releases::order::Version,
    },
    indexmap::{IndexMap, IndexSet},
    rand::{Rng, RngExt},
    wigeonramp_units::{Instant, LeafId, RegionId, ServiceId, Span, ZoneId},
};

/// Key of a leaf while it is registered; keys are not reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct LeafKey(pub u64);

/// Effect of adding, updating or removing a registration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeafChange {
    /// Nothing has changed.
    Kept,
    /// The leaf is new.
    Added(LeafKey),
    /// The leaf's state has changed.
    Updated(LeafKey),
    /// The leaf has restarted; idle connections to it are dead.
    Restarted(LeafKey),
    /// The leaf is no longer registered.
    Removed(LeafKey),
}

/// Additional cost of a leaf in another zone, in percent of the typical latency.
const OTHER_ZONE_PERCENT: f64 = 100.0;
/// Additional cost of a leaf with an overdue request, in typical latencies.
const OVERDUE_COST: f64 = 12.0;
/// Additional cost of a leaf in backoff after broken connections, or to which this host can have no
/// connection, in typical latencies. Such a leaf is chosen only when the service has no others.
const BACKOFF_COST: f64 = 100.0;
/// Additional cost of a cold leaf, in typical latencies.
const COLD_COST: f64 = 0.8;
/// Upper bound of the random cost that spreads hosts over equal leaves, in typical latencies.
const MAX_JITTER: f64 = 0.15;

/// Criteria for the selection of a leaf.
#[derive(Clone, Copy, Debug)]
pub struct LeafCriteria<'a> {
    /// Service that the request is for.
    pub service: &'a ServiceId,
    /// Regions in which the request may be served; empty for all.
    pub homes: &'a [RegionId],
    /// Leaves that the request was already sent to.
    pub tried: &'a [LeafKey],
    /// Typical latency of a response.
    pub typical_latency: Span,
    /// Requests per second that this host may send to a cold leaf; none without a declared limit.
    pub cold_per_second: Option<f64>,
    /// Request limits that leaves name.
    pub limits: &'a LeafLimits,
    /// Priority of the request; zero is the most urgent.
    pub priority: u32,
    /// Constraint on the version of the leaf.
    pub version: VersionConstraint<'a>,
}

/// Result of the selection of a leaf.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Selection {
    /// The selected leaf; none if no leaf is eligible.
    pub leaf: Option<LeafKey>,
    /// Leaves that would have been selected with a permit.
    pub denied: Vec<LeafKey>,
}

/// Leaves known to one host.
#[derive(Debug)]
pub struct Leaves {
    zone: ZoneId,
    next: u64,
    leaves: IndexMap<LeafKey, Leaf>,
    by_id: IndexMap<LeafId, LeafKey>,
    by_service: IndexMap<ServiceId, Vec<LeafKey>>,
    evacuated: IndexSet<ZoneId>,
    regions: IndexMap<ZoneId, RegionId>,
    remembered: RememberedNotices,
    /// Versions that requests do not go to, by service; none without releases.
    barred: IndexMap<ServiceId, IndexSet<Option<Version>>>,
}

impl Leaves {
    /// Creates an empty set of leaves for a host in `zone`.
    pub fn new(zone: ZoneId) -> Self {
        Self {
            zone,
            next: 0,
            leaves: IndexMap::new(),
            by_id: IndexMap::new(),
            by_service: IndexMap::new(),
            evacuated: IndexSet::new(),
            regions: IndexMap::new(),
            remembered: RememberedNotices::default(),
            barred: IndexMap::new(),
        }
    }

    /// Sets the region of each zone.
    pub fn set_regions(&mut self, regions: IndexMap<ZoneId, RegionId>) {
        self.regions = regions;
    }

    /// Whether a zone is in one of these regions; always true for an empty list.
    pub fn is_in_regions(&self, zone: &ZoneId, regions: &[RegionId]) -> bool {
        regions.is_empty() || self.regions.get(zone).is_some_and(|region| regions.contains(region))
    }

    /// Adds or updates a leaf.
    pub fn register(&mut self, registration: LeafRegistration, now: Instant) -> LeafChange {
        if let Some(key) = self.by_id.get(&registration.id).copied() {
            return self.update(key, registration, now);
        }
        let key = LeafKey(self.next);
        self.next += 1;
        self.by_id.insert(registration.id.clone(), key);
        self.by_service.entry(registration.service.clone()).or_default().push(key);
        let mut leaf = Leaf::new(registration, now);
        leaf.notice = self.remembered.take(&leaf.registration.instance());
        self.leaves.insert(key, leaf);
        LeafChange::Added(key)
    }

    fn update(&mut self, key: LeafKey, registration: LeafRegistration, now: Instant) -> LeafChange {
        let leaf = &mut self.leaves[&key];
        if leaf.registration == registration && leaf.grace_until.is_none() {
            return LeafChange::Kept;
        }
        let (old, new) = (leaf.registration.service.clone(), registration.service.clone());
        let restarted = leaf.update(registration, now);
        if old != new {
            self.unlist(&old, key);
            self.by_service.entry(new).or_default().push(key);
        }
        if restarted { LeafChange::Restarted(key) } else { LeafChange::Updated(key) }
    }

    /// Removes the leaf with this id.
    pub fn remove(&mut self, id: &LeafId, now: Instant) -> LeafChange {
        let Some(key) = self.by_id.swap_remove(id) else { return LeafChange::Kept };
        if let Some(leaf) = self.leaves.swap_remove(&key) {
            self.unlist(&leaf.registration.service, key);
            self.remembered.remember(leaf.registration.instance(), leaf.notice, now);
        }
        LeafChange::Removed(key)
    }

    /// Records that a response of this process said that it is leaving. Returns whether that is
    /// new; it is not if another process is registered by now.
    pub fn on_leaving(&mut self, key: LeafKey, process: &LeafInstance) -> bool {
        let leaf = self.leaves.get_mut(&key);
        let leaf = leaf.filter(|leaf| leaf.registration.instance() == *process);
        leaf.is_some_and(|leaf| leaf.notice.on_leaving())
    }

    /// Marks the registration of a leaf as lapsed. The leaf stays in use until `until`, as it may
    /// be registered again.
    pub fn mark_lapsed(&mut self, id: &LeafId, until: Instant) {
        let Some(key) = self.by_id.get(id) else { return };
        let leaf = &mut self.leaves[key];
        leaf.grace_until.get_or_insert(until);
    }

    /// Removes the leaves that were not registered again within their grace period.
    pub fn remove_lapsed(&mut self, now: Instant) -> Vec<(LeafRegistration, LeafKey)> {
        let is_expired = |leaf: &Leaf| leaf.grace_until.is_some_and(|until| until <= now);
        let expired = self.leaves.values().filter(|leaf| is_expired(leaf));
        let expired: Vec<_> = expired.map(|leaf| leaf.registration.clone()).collect();
        let mut removed = Vec::new();
        for registration in expired {
            if let LeafChange::Removed(key) = self.remove(&registration.id, now) {
                removed.push((registration, key));
            }
        }
        removed
    }

    fn unlist(&mut self, service: &ServiceId, key: LeafKey) {
        if let Some(keys) = self.by_service.get_mut(service) {
            keys.retain(|listed| *listed != key);
        }
    }

    /// Puts a zone out of service, or back in service.
    pub fn set_evacuated(&mut self, zone: ZoneId, out: bool) {
        if out {
            self.evacuated.insert(zone);
        } else {
            self.evacuated.swap_remove(&zone);
        }
    }

    /// Returns the zones that are out of service.
    pub fn evacuated(&self) -> impl Iterator<Item = &ZoneId> {
        self.evacuated.iter()
    }

    /// Returns all registrations, each with the remaining time for which the leaf is cold, and the
    /// removals of those that have lapsed, with the remaining time for which they are used.
    pub fn registrations(&self, now: Instant) -> impl Iterator<Item = Change> {
        self.leaves.values().flat_map(move |leaf| {
            let cold_left = leaf.cold_end().since(now);
            let registration = LeafRegistration { cold_left, ..leaf.registration.clone() };
            let id = leaf.registration.id.clone();
            let lapse =
                leaf.grace_until.map(|until| Change::LeafGone { id, grace: until.since(now) });
            [Some(Change::Leaf(registration)), lapse].into_iter().flatten()
        })
    }

    /// Returns the ids of all leaves.
    pub fn ids(&self) -> impl Iterator<Item = &LeafId> {
        self.by_id.keys()
    }

    /// Returns the number of leaves.
    pub fn len(&self) -> usize {
        self.leaves.len()
    }

    /// Returns the number of leaves that have said in a response that they are leaving.
    pub fn leaving_count(&self) -> usize {
        self.leaves.values().filter(|leaf| leaf.notice.is_leaving()).count()
    }

    /// Returns the number of leaves that pause.
    pub fn pausing_count(&self, now: Instant) -> usize {
        self.leaves.values().filter(|leaf| leaf.notice.is_pausing(now)).count()
    }

    /// Whether there are no leaves.
    pub fn is_empty(&self) -> bool {
        self.leaves.is_empty()
    }

    /// Returns the leaf while it is registered.
    pub fn get(&self, key: LeafKey) -> Option<&Leaf> {
        self.leaves.get(&key)
    }

    /// Returns the leaf for modification while it is registered.
    pub fn get_mut(&mut self, key: LeafKey) -> Option<&mut Leaf> {
        self.leaves.get_mut(&key)
    }

    /// Whether a connection may be opened to the leaf as a probe: one that wants rest is left alone.
    fn may_probe(&self, leaf: &Leaf, now: Instant) -> bool {
        self.is_usable(leaf) && !leaf.notice.is_pausing(now)
    }

    /// Returns the number of leaves that may be probed.
    pub fn probe_count(&self, now: Instant) -> usize {
        self.leaves.values().filter(|leaf| self.may_probe(leaf, now)).count()
    }

    /// Returns up to `n` random leaves for probes, of as many services as possible; those in `last`
    /// only if there are not enough others.
    pub fn choose_probes(
        &self,
        n: usize,
        last: &IndexSet<LeafKey>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Vec<LeafKey> {
        let usable = self.leaves.iter().filter(|(_, leaf)| self.may_probe(leaf, now));
        let mut candidates: Vec<(bool, u32, LeafKey, &ServiceId)> = usable
            .map(|(key, leaf)| (last.contains(key), rng.random(), *key, &leaf.registration.service))
            .collect();
        candidates.sort_unstable();
        let mut services = IndexSet::new();
        let is_first: Vec<bool> =
            candidates.iter().map(|(.., service)| services.insert(*service)).collect();
        let keys = |wanted: bool| {
            let of_kind = candidates.iter().zip(&is_first).filter(move |(_, is)| **is == wanted);
            of_kind.map(|((_, _, key, _), _)| *key)
        };
        keys(true).chain(keys(false)).take(n).collect()
    }

    /// Returns the key of the leaf with this id.
    pub fn key_of(&self, id: &LeafId) -> Option<LeafKey> {
        self.by_id.get(id).copied()
    }

    /// Records that a response of this process asked for a pause. Returns whether it was not
    /// pausing; it is not paused if another process is registered by now.
    pub fn on_pause(
        &mut self,
        key: LeafKey,
        process: &LeafInstance,
        time: Span,
        now: Instant,
        rng: &mut impl Rng,
    ) -> bool {
        let leaf = self.leaves.get_mut(&key);
        let leaf = leaf.filter(|leaf| leaf.registration.instance() == *process);
        leaf.is_some_and(|leaf| leaf.notice.on_pause(time, now, rng))
    }

    /// Returns the time until a leaf of the service in these regions can be sent a request; none if
    /// the service has no eligible leaf.
    pub fn wait(&self, service: &ServiceId, homes: &[RegionId], now: Instant) -> Option<Span> {
        self.wait_with_allowance(service, homes, None, now)
    }

    /// Like `wait`, for a host that may send `cold_per_second` requests per second to a cold leaf.
    pub fn wait_with_allowance(
        &self,
        service: &ServiceId,
        homes: &[RegionId],
        cold_per_second: Option<f64>,
        now: Instant,
    ) -> Option<Span> {
        let wait = |leaf: &Leaf| {
            let pause = leaf.notice.wait(leaf.pending(), now)?;
            Some(pause.max(leaf.cold_wait(cold_per_second, now)))
        };
        self.usable(service, homes).filter_map(wait).min()
    }

    /// Returns the time until a leaf of the service in these regions is out of backoff and this
    /// host can have a connection to it; zero if the service has no eligible leaf.
    pub fn backoff(&self, service: &ServiceId, homes: &[RegionId], now: Instant) -> Span {
        let backoff = |leaf: &Leaf| leaf.backoff_until().since(now).max(leaf.room.wait(now));
        self.usable(service, homes).map(backoff).min().unwrap_or(Span::ZERO)
    }

    /// Returns the eligible leaves of the service in these regions.
    fn usable(&self, service: &ServiceId, homes: &[RegionId]) -> impl Iterator<Item = &Leaf> {
        let usable = |leaf: &&Leaf| {
            self.is_eligible(leaf) && self.is_in_regions(&leaf.registration.zone, homes)
        };
        self.of_service(service).map(|(_, leaf)| leaf).filter(usable)
    }

    /// Whether the leaf can be sent a request now.
    pub fn is_available(&self, leaf: &Leaf, now: Instant) -> bool {
        self.is_eligible(leaf) && leaf.notice.wait(leaf.pending(), now) == Some(Span::ZERO)
    }

    /// Whether the leaf is eligible for requests, now or after a pause.
    pub fn is_eligible(&self, leaf: &Leaf) -> bool {
        self.is_usable(leaf) && !self.is_barred(leaf)
    }

    /// Whether the leaf can be used, apart from its version.
    fn is_usable(&self, leaf: &Leaf) -> bool {
        !leaf.registration.draining
            && !leaf.notice.is_leaving()
            && !leaf.address_reused
            && !self.evacuated.contains(&leaf.registration.zone)
    }

    /// Returns the zone of each eligible leaf of the service, with repetitions.
    pub fn eligible_zones(&self, service: &ServiceId) -> impl Iterator<Item = &ZoneId> {
        self.of_service(service)
            .filter(|(_, leaf)| self.is_eligible(leaf))
            .map(|(_, leaf)| &leaf.registration.zone)
    }

    fn of_service(&self, service: &ServiceId) -> impl Iterator<Item = (LeafKey, &Leaf)> {
        let keys = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        keys.iter().filter_map(|key| Some((*key, self.leaves.get(key)?)))
    }

    /// Selects the available leaf that is expected to respond first. A cold leaf with a declared
    /// rate is chosen only if it has a token, which is then taken. A leaf that names a limit is
    /// chosen only if this host has a permit.
    pub fn choose(
        &mut self,
        criteria: &LeafCriteria<'_>,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Selection {
        let mut best: Option<(f64, LeafKey)> = None;
        let mut denied: Vec<(f64, LeafKey)> = Vec::new();
        let focused = self.focused_leaves(criteria, now);
        for (key, leaf) in self.of_service(criteria.service) {
            if !self.admits(criteria, leaf, now) || criteria.tried.contains(&key) {
                continue;
            }
            if focused.as_ref().is_some_and(|keys| !keys.contains(&key)) {
                continue;
            }
            if !self.is_in_regions(&leaf.registration.zone, criteria.homes) {
                continue;
            }
            let cold_rate = criteria.cold_per_second.filter(|_| leaf.is_cold(now));
            if cold_rate.is_some_and(|per_second| !leaf.has_cold_token(per_second, now)) {
                continue;
            }
            let cost = self.cost(leaf, now) + rng.random::<f64>() * MAX_JITTER;
            if !may_send(leaf, criteria.limits, criteria.priority, now) {
                denied.push((cost, key));
                continue;
            }
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, key));
            }
        }
        let lowest = best.map_or(f64::INFINITY, |(cost, _)| cost);
        let denied = denied.into_iter().filter(|(cost, _)| *cost < lowest);
        let denied = denied.map(|(_, key)| key).collect();
        let Some((_, key)) = best else { return Selection { leaf: None, denied } };
        let leaf = &mut self.leaves[&key];
        if let Some(per_second) = criteria.cold_per_second.filter(|_| leaf.is_cold(now)) {
            leaf.take_cold_token(per_second, now);
        }
        Selection { leaf: Some(key), denied }
    }

    /// Returns the available leaves of a service that name a limit and for which this host has no
    /// permit; none if one of its leaves can be sent a request of this priority now.
    pub fn without_permits(
        &self,
        service: &ServiceId,
        homes: &[RegionId],
        limits: &LeafLimits,
        priority: u32,
        now: Instant,
    ) -> Vec<LeafKey> {
        let eligible = self.of_service(service).filter(|(_, leaf)| {
            self.is_available(leaf, now) && self.is_in_regions(&leaf.registration.zone, homes)
        });
        let mut denied = Vec::new();
        for (key, leaf) in eligible {
            if may_send(leaf, limits, priority, now) {
                return Vec::new();
            }
            denied.push(key);
        }
        denied
    }

    /// Records that the leaf did not accept a connection; `cold_for` is the time for which leaves
    /// of its service are cold after a start.
    pub fn on_connect_failed(&mut self, key: LeafKey, cold_for: Span, now: Instant) {
        if let Some(leaf) = self.leaves.get_mut(&key) {
            leaf.on_connect_failed(cold_for, now);
        }
    }

    /// Forgets the failures of all leaves since `since`, which were those of this host's links.
    pub fn forget_failures(&mut self, since: Instant) {
        for leaf in self.leaves.values_mut() {
            leaf.forget_failures(since);
        }
    }

    /// Whether the leaf has overdue requests, is in backoff, can have no connection of this host or
    /// is no longer registered.
    pub fn is_unhealthy(&self, key: LeafKey, now: Instant) -> bool {
        let leaf = self.leaves.get(&key);
        leaf.is_none_or(|leaf| leaf.is_overdue(now) || is_unreachable(leaf, now))
    }

    /// Returns the expected latency of a response with all penalties, in typical latencies.
    fn cost(&self, leaf: &Leaf, now: Instant) -> f64 {
        let load = leaf.pending() as f64 / f64::from(leaf.registration.slots.max(1));
        let mut cost = leaf.latency_ratio(now) * (1.0 + load);
        if leaf.registration.zone != self.zone {
            cost += OTHER_ZONE_PERCENT / 100.0;
        }
        if leaf.is_cold(now) {
            cost += COLD_COST;
        }
        if leaf.is_overdue(now) {
            cost += OVERDUE_COST;
        }
        if is_unreachable(leaf, now) {
            cost += BACKOFF_COST;
        }
        cost
    }

    /// Records that a request was sent to the leaf.
    pub fn on_sent(&mut self, key: LeafKey, typical_latency: Span, now: Instant) {
        if let Some(leaf) = self.leaves.get_mut(&key) {
            leaf.on_sent(typical_latency, now);
        }
    }

    /// Records the end of a request that was sent to the leaf at `sent`.
    pub fn on_ended(
        &mut self,
        key: LeafKey,
        sent: Instant,
        typical_latency: Span,
        signal: HealthSignal,
        now: Instant,
    ) {
        if let Some(leaf) = self.leaves.get_mut(&key) {
            leaf.on_ended(sent, typical_latency, signal, now);
        }
    }
}

/// Whether the leaf is in backoff, or this host can have no connection to it for now.
fn is_unreachable(leaf: &Leaf, now: Instant) -> bool {
    now < leaf.backoff_until() || leaf.room.wait(now) > Span::ZERO
}

/// Whether the limit of a leaf, if it names one, allows a request now.
fn may_send(leaf: &Leaf, limits: &LeafLimits, priority: u32, now: Instant) -> bool {
    limits.is_empty() || limits.may_send(&leaf.registration.instance(), priority, now)
}
