//! Permits of one limited leaf, as its allocator divides them among all hosts.
//!
//! Every host has an equal share of the limit. It delegates its share to the allocator for a few
//! seconds at a time, and sends only with permits meanwhile. The allocator grants permits at the
//! rate of the shares that are delegated to it. Hosts with different views of the membership may
//! choose different allocators; together these still grant no more than the limit, because a host
//! delegates its share to only one at a time. Lost hosts keep their shares. A delegation counts from
//! the response that the request acknowledges: a request may have waited at a suspended allocator
//! or on the way until its sender has delegated its share to another one.

use {
    indexmap::IndexMap,
    std::{collections::VecDeque, net::Ipv4Addr},
    wigeonramp_units::{Instant, RequestRate, Span},
};

/// Time for which a permit is valid, counted from its request.
pub const PERMIT_TIME: Span = Span::secs(1);
/// Time in which the number of permits is bounded: the windows in which a leaf counts requests,
/// and before that the time for which an older permit can be used in the window.
const WINDOW: Span = Span(4_000_000 + PERMIT_TIME.0);
/// Length of the steps into which the window is divided.
const STEP: Span = Span::millis(100);
/// Permits in a window beyond those of the rate. Small, as the leaf counts with five.
const WINDOW_SLACK: f64 = 2.0;
/// Time of the rate for which permits are kept while no host wants them.
const KEPT_TIME: Span = Span::millis(500);
/// Rate that a leaf gets although it names a lower one, so that its end is noticed.
pub(super) const MIN_RATE: f64 = 0.5;
/// Rate above which a limit has no effect.
const MAX_RATE: f64 = 1e9;
/// Time after which a host that wanted permits no longer counts for the fair rate of the others.
const ACTIVE_TIME: Span = Span::secs(2);
/// Time after its last request for which a host is remembered.
const HOST_RETENTION: Span = Span::secs(10);

/// State of a host at the allocator.
#[derive(Clone, Copy, Debug)]
struct Delegator {
    serial: u64,
    delegated_until: Instant,
    known_hosts: u32,
    last_request: Instant,
    /// Time at which it last wanted permits.
    last_wanted: Option<Instant>,
    /// Time at which it last got permits.
    last_grant: Option<Instant>,
}

/// Permits granted in one step, without those returned unused.
#[derive(Clone, Copy, Debug)]
struct Step {
    number: u64,
    permits: u32,
}

/// A host's request as the allocator counts it.
#[derive(Clone, Copy, Debug)]
pub struct Wanted {
    /// Number of the request.
    pub serial: u64,
    /// Number of permits that the host can use.
    pub permits: u32,
    /// Number of permits that expired unused.
    pub unused: u32,
    /// Number of the last request that it got a response to.
    pub acknowledged: u64,
    /// Time for which the host delegates its share, counted from that response.
    pub delegation: Span,
    /// Number of hosts that the host knows.
    pub known_hosts: u32,
}

/// Allocator of one leaf's permits.
#[derive(Clone, Debug)]
pub struct Allocator {
    tokens: f64,
    refilled_at: Instant,
    steps: VecDeque<Step>,
    hosts: IndexMap<Ipv4Addr, Delegator>,
}

impl Allocator {
    /// Creates an allocator to which no share is delegated.
    pub fn new(now: Instant) -> Self {
        Self { tokens: 0.0, refilled_at: now, steps: VecDeque::new(), hosts: IndexMap::new() }
    }

    /// Returns the hosts that delegate their shares.
    pub fn delegators(&self, now: Instant) -> impl Iterator<Item = Ipv4Addr> {
        let delegates = move |host: &Delegator| now < host.delegated_until;
        self.hosts.iter().filter(move |(_, host)| delegates(host)).map(|(ip, _)| *ip)
    }

    /// Whether no host has sent a request for some time.
    pub fn is_unused(&self, now: Instant) -> bool {
        self.hosts.values().all(|host| now.since(host.last_request) >= HOST_RETENTION)
    }

    /// Ends all delegations.
    pub fn release(&mut self) {
        self.hosts.clear();
    }

    /// Returns the permits per second at a limit of `rate`, with `known_hosts` known to this host.
    pub fn capacity(&self, rate: RequestRate, known_hosts: u32, now: Instant) -> f64 {
        let reported = self.hosts.values().map(|host| host.known_hosts);
        let known = reported.fold(known_hosts, u32::max).max(1);
        let delegated = self.delegators(now).count() as f64;
        rate.per_second().clamp(MIN_RATE, MAX_RATE) * (delegated / f64::from(known)).min(1.0)
    }

    /// Handles a host's request under a limit of `rate`; returns the number of permits that it
    /// gets, or `None` if a later request has been handled before.
    pub fn grant(
        &mut self,
        host: Ipv4Addr,
        wanted: Wanted,
        rate: RequestRate,
        known_hosts: u32,
        now: Instant,
    ) -> Option<u32> {
        self.hosts.retain(|_, host| now.since(host.last_request) < HOST_RETENTION);
        if self.hosts.get(&host).is_some_and(|known| wanted.serial <= known.serial) {
            return None;
        }
        self.refill(rate, known_hosts, now);
        self.return_unused(wanted.unused);
        let before = self.hosts.get(&host).copied();
        let wants_permits = Some(now).filter(|_| wanted.permits > 0);
        let acknowledged = before.filter(|host| host.serial == wanted.acknowledged);
        let until = acknowledged.map(|host| host.last_request + wanted.delegation);
        let delegator = Delegator {
            serial: wanted.serial,
            delegated_until: before.map(|host| host.delegated_until).max(until).unwrap_or_default(),
            known_hosts: wanted.known_hosts,
            last_request: now,
            last_wanted: wants_permits.or(before.and_then(|host| host.last_wanted)),
            last_grant: before.and_then(|host| host.last_grant),
        };
        self.hosts.insert(host, delegator);
        let capacity = self.capacity(rate, known_hosts, now);
        self.tokens = self.tokens.min(max_tokens(capacity));
        let window = capacity * (WINDOW.0 as f64 / 1e6) + WINDOW_SLACK - f64::from(self.granted());
        let fair = self.fair_permits(&delegator, capacity, now);
        let available = self.tokens.min(window).min(fair).max(0.0) as u32;
        let permits = wanted.permits.min(available);
        if permits > 0 {
            self.hosts[&host].last_grant = Some(now);
        }
        self.tokens -= f64::from(permits);
        self.count(permits, now);
        Some(permits)
    }

    /// Returns the number of permits that a host may get: those of its fair rate since its last
    /// grant, and what is left over beyond half of the permits that are kept.
    fn fair_permits(&self, host: &Delegator, capacity: f64, now: Instant) -> f64 {
        let is_active =
            |host: &&Delegator| host.last_wanted.is_some_and(|at| now.since(at) < ACTIVE_TIME);
        let active = self.hosts.values().filter(is_active).count().max(1);
        let rate = capacity / active as f64;
        let most = rate.max(1.0);
        let earned = host.last_grant.map_or(most, |at| rate * (now.since(at).0 as f64 / 1e6));
        earned.min(most).max(self.tokens - max_tokens(capacity) / 2.0)
    }

    fn refill(&mut self, rate: RequestRate, known_hosts: u32, now: Instant) {
        let capacity = self.capacity(rate, known_hosts, now);
        let earned = capacity * (now.since(self.refilled_at).0 as f64 / 1e6);
        self.tokens = (self.tokens + earned).min(max_tokens(capacity));
        self.refilled_at = now;
        let oldest = now.0.saturating_sub(WINDOW.0) / STEP.0;
        while self.steps.front().is_some_and(|step| step.number < oldest) {
            self.steps.pop_front();
        }
    }

    /// Takes back permits that were not used. They are taken from the oldest ones, which leave the
    /// window first.
    fn return_unused(&mut self, unused: u32) {
        let mut left = unused;
        for step in &mut self.steps {
            let returned = step.permits.min(left);
            step.permits -= returned;
            left -= returned;
        }
        self.tokens += f64::from(unused - left);
    }

    fn granted(&self) -> u32 {
        self.steps.iter().map(|step| step.permits).sum()
    }

    fn count(&mut self, permits: u32, now: Instant) {
        let number = now.0 / STEP.0;
        match self.steps.back_mut() {
            Some(step) if step.number == number => step.permits += permits,
            _ => self.steps.push_back(Step { number, permits }),
        }
    }
}

/// Returns the number of permits that are kept at most at `capacity` permits per second.
fn max_tokens(capacity: f64) -> f64 {
    capacity * (KEPT_TIME.0 as f64 / 1e6) + 1.0
}
