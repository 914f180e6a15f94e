//! What all requests of a host share: leaves, budgets for second sends, and usual times.

use {
    crate::{
        budget::{ExtraAttemptBudget, ExtraAttemptLimit},
        catalog::{Route, Target},
        latency::LatencyTracker,
        leaves::{LeafCriteria, LeafKey, Leaves},
        overload::{OverloadController, PartStatus},
    },
    indexmap::IndexMap,
    rand::{Rng, RngExt, rngs::SmallRng},
    wigeonramp_units::{Instant, RegionId, ServiceId, Span},
};

/// What a host has counted since its start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptCounts {
    /// Second sends.
    pub second_sends: u64,
    /// Second sends that the budget did not allow.
    pub over_budget: u64,
    /// Sends for which no leaf was left, cold ones without an allowance included.
    pub no_leaf: u64,
}

/// An overload that has begun or ended.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadChange {
    /// The first shard of the group.
    pub first_shard: ServiceId,
    /// Share that is taken of the most urgent requests.
    pub taken: f64,
    /// Share of late parts.
    pub late: f64,
}

/// What all requests of a host share.
#[derive(Debug)]
pub struct RoutingState {
    /// The leaves.
    pub leaves: Leaves,
    /// Bound of second sends.
    pub bound: ExtraAttemptLimit,
    /// This host's share of all hosts' traffic.
    pub share: f64,
    /// This host's share of what cold leaves bear.
    pub cold_share: f64,
    /// Declared rate of a cold leaf, by service.
    pub cold_rates: IndexMap<ServiceId, f64>,
    /// What was counted.
    pub counts: AttemptCounts,
    /// Source of randomness.
    pub rng: SmallRng,
    budgets: IndexMap<ServiceId, ExtraAttemptBudget>,
    paces: IndexMap<String, LatencyTracker>,
    /// By the first shard of each group.
    overloads: IndexMap<ServiceId, OverloadController>,
}

impl RoutingState {
    /// No traffic yet.
    pub fn new(leaves: Leaves, bound: ExtraAttemptLimit, rng: SmallRng) -> Self {
        Self {
            leaves,
            bound,
            share: 0.0,
            cold_share: 0.0,
            cold_rates: IndexMap::new(),
            counts: AttemptCounts::default(),
            rng,
            budgets: IndexMap::new(),
            paces: IndexMap::new(),
            overloads: IndexMap::new(),
        }
    }

    /// The usual times of a route.
    pub(crate) fn pace(&mut self, route: &Route) -> &mut LatencyTracker {
        if !self.paces.contains_key(&route.name) {
            self.paces.insert(route.name.clone(), LatencyTracker::new(route.target_latency));
        }
        &mut self.paces[&route.name]
    }

    /// The leaf from which an answer is expected soonest, but for those that have had the request.
    pub(crate) fn choose(
        &mut self,
        service: &ServiceId,
        homes: &[RegionId],
        except: &[LeafKey],
        usual: Span,
        now: Instant,
    ) -> Option<LeafKey> {
        let rate = self.cold_rates.get(service).filter(|rate| **rate > 0.0);
        let cold_per_second = rate.map(|rate| rate * self.cold_share);
        let seek = LeafCriteria { service, homes, except, usual, cold_per_second };
        let leaf = self.leaves.choose(&seek, now, &mut self.rng);
        self.counts.no_leaf += u64::from(leaf.is_none());
        leaf
    }

    /// Forgets budgets and paces of services and routes that are no longer configured.
    pub fn keep(&mut self, service: impl Fn(&ServiceId) -> bool, route: impl Fn(&str) -> bool) {
        self.budgets.retain(|known, _| service(known));
        self.overloads.retain(|known, _| service(known));
        self.paces.retain(|known, _| route(known));
    }

    /// Whether a request of the route is taken; not when the leaves of its shards are overloaded and
    /// it is among those that are refused.
    pub(crate) fn admits(&mut self, route: &Route, now: Instant) -> bool {
        let Target::Gather { shards, .. } = &route.target else { return true };
        let Some(first) = shards.first() else { return true };
        if !self.overloads.contains_key(first) {
            self.overloads.insert(first.clone(), OverloadController::new(now));
        }
        let share = self.overloads[first].share(route.priority, now);
        share >= 1.0 || self.rng.random::<f64>() < share
    }

    /// Whether the leaves of these shards are overloaded.
    pub(crate) fn is_overloaded(&self, shards: &[ServiceId]) -> bool {
        let overload = shards.first().and_then(|first| self.overloads.get(first));
        overload.is_some_and(OverloadController::is_on)
    }

    /// Counts a gathered request by what became of its parts.
    pub(crate) fn count_fates(
        &mut self,
        shards: &[ServiceId],
        fates: impl Iterator<Item = PartStatus>,
        now: Instant,
    ) {
        let overload = shards.first().and_then(|first| self.overloads.get_mut(first));
        if let Some(overload) = overload {
            overload.record(fates, now);
        }
    }

    /// Counts a request for the service.
    pub(crate) fn count_first(&mut self, service: ServiceId, now: Instant) {
        let bound = self.bound;
        self.budgets.entry(service).or_default().first(&bound, now);
    }

    /// Whether the budget has room for a second send to the service.
    pub(crate) fn has_room(&mut self, service: &ServiceId, now: Instant) -> bool {
        let (bound, share) = (self.bound, self.share);
        let budget = self.budgets.get_mut(service);
        let has_room = budget.is_some_and(|budget| budget.room(&bound, share, now) >= 1.0);
        self.counts.over_budget += u64::from(!has_room);
        has_room
    }

    /// Counts a second send to the service.
    pub(crate) fn spend(&mut self, service: &ServiceId, now: Instant) {
        let bound = self.bound;
        self.counts.second_sends += 1;
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.spend(&bound, now);
        }
    }

    /// Overloads that have begun or ended since the last call.
    pub fn overload_changes(&mut self) -> Vec<OverloadChange> {
        let changed = self.overloads.iter_mut().filter_map(|(first, overload)| {
            let late = overload.change()?;
            Some(OverloadChange { first_shard: first.clone(), taken: overload.taken(), late })
        });
        changed.collect()
    }

    /// Least share of the most urgent requests that is taken, over all groups of shards.
    pub fn least_taken(&self) -> f64 {
        self.overloads.values().map(OverloadController::taken).fold(1.0, f64::min)
    }

    /// The services that a request goes to: one a shard, or one drawn by the weights.
    pub(crate) fn pick_services(&mut self, target: &Target) -> Vec<ServiceId> {
        match target {
            Target::Gather { shards, .. } => shards.clone(),
            Target::One(split) => {
                pick_weighted(split, &mut self.rng).into_iter().cloned().collect()
            }
        }
    }
}

fn pick_weighted<'a>(split: &'a [(ServiceId, f64)], rng: &mut impl Rng) -> Option<&'a ServiceId> {
    let total: f64 = split.iter().map(|(_, weight)| weight).sum();
    let mut left = rng.random::<f64>() * total;
    for (service, weight) in split.iter().filter(|(_, weight)| *weight > 0.0) {
        left -= weight;
        if left <= 0.0 {
            return Some(service);
        }
    }
    split.last().map(|(service, _)| service)
}
