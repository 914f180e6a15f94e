//! State shared by all requests of a host: leaves, budgets for extra attempts, latencies and
//! overload control.

use {
    crate::{
        budget::{ExtraAttemptBudget, ExtraAttemptLimit},
        catalog::{Route, Target},
        fair_shares::AccountShare,
        latency::LatencyTracker,
        leaf_links::LeafLinks,
        leaves::{LeafCriteria, LeafKey, Leaves, Selection, VersionConstraint},
        limits::{LeafLimits, LimitHosts},
        overload::{OverloadController, PartStatus},
        releases::{
            Releases,
            counting::{AttemptEnd, EndedSend},
            messages::Outgoing,
            route_hash,
        },
        reply_time::ReplyTiming,
    },
    indexmap::IndexMap,
    rand::{Rng, RngExt, rngs::SmallRng},
    wigeonramp_units::{Instant, ServiceId, Span},
};

/// Counters of attempts since the start of the host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptCounts {
    /// Extra attempts (hedges and retries).
    pub extra: u64,
    /// Extra attempts that the budget did not allow.
    pub over_budget: u64,
    /// Attempts for which no eligible leaf was left; cold leaves without an allowance are not
    /// eligible.
    pub no_leaf: u64,
}

/// Start or end of an overload.
#[derive(Clone, Debug, PartialEq)]
pub struct OverloadChange {
    /// First shard of the group of shards that is overloaded.
    pub first_shard: ServiceId,
    /// Admitted share of the most urgent requests.
    pub admitted_share: f64,
    /// Share of parts that were late.
    pub late_share: f64,
}

/// State shared by all requests of a host.
#[derive(Debug)]
pub struct RoutingState {
    /// Leaves known to this host.
    pub leaves: Leaves,
    /// Links of this host to all leaves.
    pub links: LeafLinks,
    /// Request limits that leaves named.
    pub limits: LeafLimits,
    /// Releases of services.
    pub releases: Releases,
    /// Limit on extra attempts of all hosts together.
    pub extra_attempt_limit: ExtraAttemptLimit,
    /// This host's share of the traffic of all hosts, from 0 to 1.
    pub traffic_share: f64,
    /// This host's share of the request rate that cold leaves can handle.
    pub cold_share: f64,
    /// Declared requests per second of a cold leaf, by service.
    pub cold_rates: IndexMap<ServiceId, f64>,
    /// Estimates of the time that a reply needs to reach its caller.
    pub reply_timing: ReplyTiming,
    /// Counters of attempts.
    pub counts: AttemptCounts,
    /// Source of randomness.
    pub rng: SmallRng,
    budgets: IndexMap<ServiceId, ExtraAttemptBudget>,
    latencies: IndexMap<String, LatencyTracker>,
    /// Keyed by the first shard of each group.
    overloads: IndexMap<ServiceId, OverloadController>,
}

impl RoutingState {
    /// Creates the state of a host without any traffic.
    pub fn new(
        leaves: Leaves,
        limits: LeafLimits,
        releases: Releases,
        extra_attempt_limit: ExtraAttemptLimit,
        rng: SmallRng,
    ) -> Self {
        Self {
            leaves,
            links: LeafLinks::default(),
            limits,
            releases,
            extra_attempt_limit,
            traffic_share: 0.0,
            cold_share: 0.0,
            cold_rates: IndexMap::new(),
            reply_timing: ReplyTiming::default(),
            counts: AttemptCounts::default(),
            rng,
            budgets: IndexMap::new(),
            latencies: IndexMap::new(),
            overloads: IndexMap::new(),
        }
    }

    /// Returns the latency tracker of a route.
    pub(crate) fn latency(&mut self, route: &Route) -> &mut LatencyTracker {
        if !self.latencies.contains_key(&route.name) {
            self.latencies.insert(route.name.clone(), LatencyTracker::new(route.target_latency));
        }
        &mut self.latencies[&route.name]
    }

    /// Returns the time that a request of the route usually takes at most.
    pub fn usual_time(&mut self, route: &Route, now: Instant) -> Span {
        self.latency(route).usual_longest(now)
    }

    /// Returns the leaf that is expected to respond first to a request of the route, except those
    /// already tried.
    pub(crate) fn choose_leaf(
        &mut self,
        service: &ServiceId,
        route: &Route,
        tried: &[LeafKey],
        typical_latency: Span,
        now: Instant,
    ) -> Option<LeafKey> {
        if let Some(leaf) = self.choose_candidate(service, route, tried, typical_latency, now) {
            return Some(leaf);
        }
        let version = VersionConstraint::Unbarred;
        let selection = self.select(service, route, tried, typical_latency, version, now);
        self.record_denied(&selection.denied, route.priority, now);
        self.counts.no_leaf += u64::from(selection.leaf.is_none());
        selection.leaf
    }

    /// Returns a leaf of the candidate version if the service has a release and this is a first
    /// attempt that goes there. Other attempts go to the baseline.
    fn choose_candidate(
        &mut self,
        service: &ServiceId,
        route: &Route,
        tried: &[LeafKey],
        typical_latency: Span,
        now: Instant,
    ) -> Option<LeafKey> {
        if !tried.is_empty() {
            return None;
        }
        let share = self.traffic_share;
        let taken = self.releases.on_first_attempt(service, share, now, &mut self.rng);
        let (version, focus) = taken?;
        let version = VersionConstraint::Only { version: &version, focus };
        let selection = self.select(service, route, tried, typical_latency, version, now);
        if selection.leaf.is_none() {
            self.releases.give_back(service);
        }
        selection.leaf
    }

    fn select(
        &mut self,
        service: &ServiceId,
        route: &Route,
        tried: &[LeafKey],
        typical_latency: Span,
        version: VersionConstraint<'_>,
        now: Instant,
    ) -> Selection {
        let cold_per_second = self.cold_per_second(service);
        let criteria = LeafCriteria {
            service,
            homes: &route.homes,
            tried,
            typical_latency,
            cold_per_second,
            limits: &self.limits,
            priority: route.priority,
            version,
        };
        self.leaves.choose(&criteria, now, &mut self.rng)
    }

    /// Records the end of an attempt for the release of its service.
    pub(crate) fn record_end(
        &mut self,
        service: &ServiceId,
        route: &Route,
        leaf: LeafKey,
        end: AttemptEnd,
        latency: Span,
        now: Instant,
    ) {
        if !self.releases.is_counting(service) || self.is_blameless(end) {
            return;
        }
        let Some(leaf) = self.leaves.get(leaf) else { return };
        let registration = &leaf.registration;
        let ended = EndedSend {
            route: route_hash(&route.name),
            side: self.releases.side(service, &registration.version, &registration.id),
            end,
            latency,
        };
        if self.releases.on_ended(service, &ended, now) {
            self.sync_releases(now);
        }
    }

    /// Whether an attempt may have failed because of this host's links.
    fn is_blameless(&self, end: AttemptEnd) -> bool {
        self.links.is_in_doubt() && matches!(end, AttemptEnd::Silent | AttemptEnd::Broken)
    }

    /// Forgets what the loss of this host's links seemed to say of leaves.
    pub fn forget_link_failures(&mut self) {
        self.leaves.forget_failures(self.links.doubted_since());
        self.overloads.clear();
    }

    /// Applies to the selection of leaves what the releases allow.
    pub fn sync_releases(&mut self, now: Instant) {
        if !self.releases.is_enabled() {
            return;
        }
        let mut services = self.releases.services(now);
        services.extend(self.leaves.barred_services().cloned());
        for service in services {
            let present = self.leaves.versions(&service);
            let barred = self.releases.barred(&service, &present, now);
            self.leaves.set_barred(&service, barred);
        }
    }

    /// Sends totals and decides on releases, as far as that is due; returns the messages to other
    /// hosts.
    pub fn poll_releases(&mut self, hosts: &LimitHosts, now: Instant) -> Vec<Outgoing> {
        let messages = self.releases.poll(&self.leaves, hosts, now);
        self.sync_releases(now);
        messages
    }

    /// Returns the requests per second that this host may send to a cold leaf of the service; none
    /// without a declared limit.
    fn cold_per_second(&self, service: &ServiceId) -> Option<f64> {
        let rate = self.cold_rates.get(service).filter(|rate| **rate > 0.0);
        rate.map(|rate| rate * self.cold_share)
    }

    /// Returns the time until a request of the route can be sent to a leaf of the service; none if
    /// the service has no eligible leaf.
    pub(crate) fn wait(&self, service: &ServiceId, route: &Route, now: Instant) -> Option<Span> {
        let cold_per_second = self.cold_per_second(service);
        self.leaves.wait_with_allowance(service, &route.homes, cold_per_second, now)
    }

    /// Records that a request would have been sent to these leaves with permits.
    fn record_denied(&mut self, leaves: &[LeafKey], priority: u32, now: Instant) {
        for leaf in leaves.iter().filter_map(|key| self.leaves.get(*key)) {
            self.limits.on_denied(&leaf.registration.instance(), priority, now);
        }
    }

    /// Returns the limited leaves of the service for which this host has no permit; none if one of
    /// its leaves can be sent a request of the route now.
    fn without_permits(&self, service: &ServiceId, route: &Route, now: Instant) -> Vec<LeafKey> {
        let (limits, priority) = (&self.limits, route.priority);
        self.leaves.without_permits(service, &route.homes, limits, priority, now)
    }

    /// Returns the expected time until a request of the route can be sent to a leaf of the service;
    /// `None` if it can be sent now.
    pub(crate) fn permit_wait(
        &self,
        service: &ServiceId,
        route: &Route,
        now: Instant,
    ) -> Option<Span> {
        if self.limits.is_empty() {
            return None;
        }
        let denied = self.without_permits(service, route, now);
        let limited = denied.iter().filter_map(|key| self.leaves.get(*key));
        limited.map(|leaf| self.limits.expected_wait(&leaf.registration.instance(), now)).min()
    }

    /// Whether a permit for a leaf of the service may arrive within moments.
    pub(crate) fn is_permit_expected(
        &self,
        service: &ServiceId,
        route: &Route,
        now: Instant,
    ) -> bool {
        let denied = self.without_permits(service, route, now);
        let mut limited = denied.iter().filter_map(|key| self.leaves.get(*key));
        limited.any(|leaf| self.limits.is_permit_expected(&leaf.registration.instance(), now))
    }

    /// Records that a request of the route wants permits for the leaves of the service.
    pub(crate) fn record_permit_demand(
        &mut self,
        service: &ServiceId,
        route: &Route,
        now: Instant,
    ) {
        let denied = self.without_permits(service, route, now);
        self.record_denied(&denied, route.priority, now);
    }

    /// Records that a request is sent to the leaf.
    pub(crate) fn record_sent(
        &mut self,
        leaf: LeafKey,
        typical_latency: Span,
        priority: u32,
        is_extra: bool,
        now: Instant,
    ) {
        self.leaves.on_sent(leaf, typical_latency, now);
        if let Some(leaf) = self.leaves.get(leaf) {
            let registration = &leaf.registration;
            self.releases.on_sent(&registration.service, &registration.version);
        }
        if self.limits.is_empty() {
            return;
        }
        if let Some(leaf) = self.leaves.get(leaf) {
            self.limits.on_sent(&leaf.registration.instance(), priority, is_extra, now);
        }
    }

    /// Drops the state of services and routes that are no longer configured.
    pub fn retain_configured(
        &mut self,
        service: impl Fn(&ServiceId) -> bool,
        route: impl Fn(&str) -> bool,
    ) {
        self.budgets.retain(|id, _| service(id));
        self.overloads.retain(|id, _| service(id));
        self.latencies.retain(|name, _| route(name));
        self.reply_timing.retain_routes(route);
    }

    /// Whether a request of the route and account is admitted. While the leaves of its shards are
    /// overloaded, a random part of the requests is refused.
    pub(crate) fn admits(
        &mut self,
        route: &Route,
        account: Option<AccountShare>,
        now: Instant,
    ) -> bool {
        let Target::Gather { shards, .. } = &route.target else { return true };
        let Some(first) = shards.first() else { return true };
        if !self.overloads.contains_key(first) {
            self.overloads.insert(first.clone(), OverloadController::new(now));
        }
        let overload = &mut self.overloads[first];
        let share = match account {
            Some(account) => overload.share_for_account(route.priority, account, now),
            None => overload.share_for(route.priority, now),
        };
        share >= 1.0 || self.rng.random::<f64>() < share
    }

    /// Whether the leaves of these shards are overloaded.
    pub(crate) fn is_overloaded(&self, shards: &[ServiceId]) -> bool {
        let overload = shards.first().and_then(|first| self.overloads.get(first));
        overload.is_some_and(OverloadController::is_shedding)
    }

    /// Records the status of the parts of a gathered request.
    pub(crate) fn record_parts(
        &mut self,
        shards: &[ServiceId],
        parts: impl Iterator<Item = PartStatus>,
        now: Instant,
    ) {
        if self.links.is_in_doubt() {
            return;
        }
        let overload = shards.first().and_then(|first| self.overloads.get_mut(first));
        if let Some(overload) = overload {
            overload.record(parts, now);
        }
    }

    /// Counts a request for the service.
    pub(crate) fn count_request(&mut self, service: ServiceId, now: Instant) {
        let limit = self.extra_attempt_limit;
        self.budgets.entry(service).or_default().count_request(&limit, now);
    }

    /// Whether the budget allows an extra attempt at the service.
    pub(crate) fn allows_extra(&mut self, service: &ServiceId, now: Instant) -> bool {
        let (limit, share) = (self.extra_attempt_limit, self.traffic_share);
        let budget = self.budgets.get_mut(service);
        let is_allowed = budget.is_some_and(|budget| budget.remaining(&limit, share, now) >= 1.0);
        self.counts.over_budget += u64::from(!is_allowed);
        is_allowed
    }

    /// Counts an extra attempt at the service.
    pub(crate) fn count_extra(&mut self, service: &ServiceId, now: Instant) {
        let limit = self.extra_attempt_limit;
        self.counts.extra += 1;
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.count_extra(&limit, now);
        }
    }

    /// Returns the overloads that have started or ended since the last call.
    pub fn overload_changes(&mut self) -> Vec<OverloadChange> {
        let changed = self.overloads.iter_mut().filter_map(|(first, overload)| {
            let late_share = overload.take_change()?;
            Some(OverloadChange {
                first_shard: first.clone(),
                admitted_share: overload.admitted(),
                late_share,
            })
        });
        changed.collect()
    }

    /// Returns the minimum admitted share of the most urgent requests over all groups of shards.
    pub fn min_admitted_share(&self) -> f64 {
        self.overloads.values().map(OverloadController::admitted).fold(1.0, f64::min)
    }

    /// Returns the services that a request is sent to: one per shard, or a random one drawn by the
    /// weights.
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
    let mut remaining = rng.random::<f64>() * total;
    for (service, weight) in split.iter().filter(|(_, weight)| *weight > 0.0) {
        remaining -= weight;
        if remaining <= 0.0 {
            return Some(service);
        }
    }
    split.last().map(|(service, _)| service)
}
