//! Permits of one limited leaf, as a host that sends to it holds them.

use {
    super::allocator::PERMIT_TIME,
    std::collections::VecDeque,
    wigeonramp_units::{Instant, Span},
};

/// Half-life of the measured demand.
const DEMAND_HALF_LIFE: Span = Span::millis(700);
/// Time for which a host requests permits in advance.
const ADVANCE: Span = Span::millis(600);
/// Interval of requests while there is demand.
const ACTIVE_INTERVAL: Span = Span::millis(400);
/// Interval of requests without demand; they only delegate the host's share.
const IDLE_INTERVAL: Span = Span::millis(2_000);
/// Time after the last demand for which the host counts as active.
const ACTIVE_TIME: Span = Span::secs(3);
/// Shortest interval of requests.
const MIN_INTERVAL: Span = Span::millis(100);
/// Shortest interval after a request that got no permit; doubles with each further one.
const FIRST_BACKOFF: Span = Span::millis(250);
/// Longest interval after requests that got no permit.
const MAX_BACKOFF: Span = Span::millis(1_000);
/// Maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 2;
/// Weight of a new measurement in the average interval between permits.
const INTERVAL_WEIGHT: f64 = 0.2;

/// Permits that were granted together.
#[derive(Clone, Copy, Debug)]
struct Held {
    expires: Instant,
    permits: u32,
}

/// What a host tells an allocator when it requests permits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Need {
    /// Number of permits wanted.
    pub wanted: u32,
    /// Number of permits that expired unused since the last request.
    pub unused: u32,
}

/// Permits of one leaf on one host.
#[derive(Clone, Debug)]
pub struct Permits {
    held: VecDeque<Held>,
    /// Permits that expired unused since the last request.
    unused: u32,
    /// Requests that wanted the leaf, weighted by their age.
    demand: f64,
    demand_at: Instant,
    last_demand: Option<Instant>,
    /// Whether a request was denied since the last request for permits.
    denied: bool,
    asked_at: Option<Instant>,
    next_request: Instant,
    /// Requests in a row that got no permit.
    empty_grants: u32,
    /// Average time between permits.
    permit_interval: Option<Span>,
    last_permit: Option<Instant>,
}

impl Permits {
    /// Creates a state without permits, whose first request is due at `first_request`.
    pub fn new(first_request: Instant, now: Instant) -> Self {
        Self {
            held: VecDeque::new(),
            unused: 0,
            demand: 0.0,
            demand_at: now,
            last_demand: None,
            denied: false,
            asked_at: None,
            next_request: first_request,
            empty_grants: 0,
            permit_interval: None,
            last_permit: None,
        }
    }

    /// Returns the number of valid permits.
    pub fn available(&self, now: Instant) -> u32 {
        self.held.iter().filter(|held| now < held.expires).map(|held| held.permits).sum()
    }

    /// Uses a permit for a request; returns false if there is none.
    pub fn spend(&mut self, now: Instant) -> bool {
        self.add_demand(now);
        self.drop_expired(now);
        let Some(held) = self.held.front_mut() else { return false };
        held.permits -= 1;
        if held.permits == 0 {
            self.held.pop_front();
        }
        true
    }

    /// Records that a request would have been sent to the leaf with a permit.
    pub fn on_denied(&mut self, now: Instant) {
        self.add_demand(now);
        self.denied = true;
        if let Some(asked_at) = self.asked_at {
            let at = (asked_at + self.min_interval()).max(now);
            self.next_request = self.next_request.min(at);
        }
    }

    /// Whether a request was denied since the last request for permits.
    pub fn is_denied(&self) -> bool {
        self.denied
    }

    fn add_demand(&mut self, now: Instant) {
        self.demand = self.demand(now) + 1.0;
        self.demand_at = now;
        self.last_demand = Some(now);
    }

    fn demand(&self, now: Instant) -> f64 {
        let age = now.since(self.demand_at).0 as f64 / DEMAND_HALF_LIFE.0 as f64;
        self.demand * 0.5_f64.powf(age)
    }

    /// Returns the measured demand in requests per second.
    pub fn demand_rate(&self, now: Instant) -> f64 {
        self.demand(now) * std::f64::consts::LN_2 / (DEMAND_HALF_LIFE.0 as f64 / 1e6)
    }

    fn min_interval(&self) -> Span {
        match self.empty_grants {
            0 => MIN_INTERVAL,
            n => (FIRST_BACKOFF * (1 << (n - 1).min(MAX_DOUBLINGS))).min(MAX_BACKOFF),
        }
    }

    /// Returns the time at which the next request for permits is due.
    pub fn next_request(&self) -> Instant {
        self.next_request
    }

    /// Makes the next request due at once.
    pub fn request_now(&mut self, now: Instant) {
        self.next_request = self.next_request.min(now);
    }

    /// Returns the interval after which the next request follows if none is denied.
    pub fn interval(&self, now: Instant) -> Span {
        let active = self.last_demand.is_some_and(|at| now.since(at) < ACTIVE_TIME);
        if active { ACTIVE_INTERVAL } else { IDLE_INTERVAL }
    }

    /// Starts a request for permits.
    pub fn start_request(&mut self, now: Instant) -> Need {
        self.drop_expired(now);
        let ahead = self.demand_rate(now) * (ADVANCE.0 as f64 / 1e6);
        let denied = std::mem::take(&mut self.denied);
        let wanted = (ahead as u32).max(denied.into());
        self.asked_at = Some(now);
        self.next_request = now + self.interval(now).max(self.min_interval());
        Need {
            wanted: wanted.saturating_sub(self.available(now)),
            unused: std::mem::take(&mut self.unused),
        }
    }

    /// Adds the permits that the request sent at `asked_at` got. `wanted` is the number that it
    /// asked for.
    pub fn on_grant(&mut self, permits: u32, wanted: u32, asked_at: Instant, now: Instant) {
        if permits == 0 {
            self.empty_grants += u32::from(wanted > 0);
            return;
        }
        self.empty_grants = 0;
        self.held.push_back(Held { expires: asked_at + PERMIT_TIME, permits });
        if let Some(last) = self.last_permit {
            let interval = now.since(last) / u64::from(permits);
            let before = self.permit_interval.unwrap_or(interval).0 as f64;
            let average = before + (interval.0 as f64 - before) * INTERVAL_WEIGHT;
            self.permit_interval = Some(Span(average as u64));
        }
        self.last_permit = Some(now);
    }

    /// Returns the average time between permits; `None` before two grants.
    pub fn permit_interval(&self) -> Option<Span> {
        self.permit_interval
    }

    /// Drops unused permits that are not reported to an allocator, because it is another one now.
    pub fn forget_unused(&mut self) {
        self.unused = 0;
    }

    fn drop_expired(&mut self, now: Instant) {
        while let Some(held) = self.held.front().filter(|held| held.expires <= now) {
            self.unused += held.permits;
            self.held.pop_front();
        }
    }
}
