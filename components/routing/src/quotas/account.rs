//! Permits of one account, as a host that gets its requests holds them.

use {
    super::{
        AccountId, Admission,
        messages::{Grant, Usage},
    },
    crate::accounts::Quota,
    wigeonramp_units::{Instant, Span},
};

/// Half-life of the measured demand.
const DEMAND_HALF_LIFE: Span = Span::millis(700);
/// Time for which permits are held in advance: about as long as no permits arrive when the
/// allocator is lost.
const ADVANCE_S: f64 = 1.5;
/// Time since the last request for which a host wants to hold a permit.
const KEPT_TIME: Span = Span::secs(40);
/// Shortest time after a denial for which requests are refused without asking again; doubles with
/// each further one.
const FIRST_DENIAL: Span = Span::millis(60);
/// Maximum number of doublings of that time.
const MAX_DOUBLINGS: u32 = 2;
/// Interval of reports while the account is at its quota.
const DENIED_REPORT_INTERVAL: Span = Span::millis(200);
/// The average interval between permits is at most this many times that of the quota.
const MAX_INTERVALS: u64 = 20;
/// Longest time that a refused caller is told to wait.
const MAX_RETRY_AFTER: Span = Span::secs(5);
/// Time after the last refusal for which an account counts as at its quota.
const EXHAUSTED_TIME: Span = Span::secs(2);
/// Weight of a new measurement in the average interval between permits.
const INTERVAL_WEIGHT: f64 = 0.3;

/// Permits and demand of one account at this host.
#[derive(Clone, Debug)]
pub(super) struct LocalAccount {
    quota: Quota,
    granted: u64,
    spent: u64,
    returned: u64,
    /// Time at which the host last admitted a request on its own, or may have.
    last_own: Instant,
    /// Time at which it may do so again; none if it has no allowance.
    next_own: Option<Instant>,
    waiting: u32,
    /// Requests, weighted by their age.
    demand: f64,
    demand_at: Instant,
    /// Time until which requests are refused at once.
    denied_until: Instant,
    /// Denials in a row.
    denials: u32,
    /// Time at which the allocator expects the next permit.
    expected_at: Instant,
    /// Time at which the caller that was refused last was told to come back.
    last_slot: Instant,
    last_refusal: Option<Instant>,
    /// Time between permits while the account is at its quota.
    permit_interval: Span,
    last_permit: Instant,
    /// Whether counts have changed since the last report.
    changed: bool,
    reported_at: Instant,
}

impl LocalAccount {
    /// Creates the state of an account without permits. A host that `started` recently has no
    /// request of its own, as an earlier process may have used it.
    pub fn new(quota: Quota, started: Instant, now: Instant) -> Self {
        Self {
            quota,
            granted: 0,
            spent: 0,
            returned: 0,
            last_own: started,
            next_own: None,
            waiting: 0,
            demand: 0.0,
            demand_at: now,
            denied_until: Instant::default(),
            denials: 0,
            expected_at: Instant::default(),
            last_slot: Instant::default(),
            last_refusal: None,
            permit_interval: default_interval(&quota),
            last_permit: now,
            changed: false,
            reported_at: now,
        }
    }

    pub fn quota(&self) -> Quota {
        self.quota
    }

    /// Sets the quota. Permits of another quota are returned.
    pub fn set_quota(&mut self, quota: Quota) {
        if self.quota == quota {
            return;
        }
        self.quota = quota;
        self.return_permits(self.held());
        self.denied_until = Instant::default();
        self.permit_interval = default_interval(&quota);
    }

    fn held(&self) -> u64 {
        self.granted - self.spent
    }

    fn return_permits(&mut self, count: u64) {
        self.spent += count;
        self.returned += count;
        self.changed |= count > 0;
    }

    /// Decides on a request; `own_period` is the time between requests that the host may admit on
    /// its own.
    pub fn admit(
        &mut self,
        is_repeated: bool,
        own_period: Option<Span>,
        now: Instant,
    ) -> Admission {
        if !is_repeated {
            self.demand = self.demand(now) + 1.0;
            self.demand_at = now;
        }
        self.next_own = own_period.map(|period| self.last_own + period);
        let waited = u32::from(is_repeated);
        if self.held() > 0 {
            self.spent += 1;
            self.changed = true;
        } else if self.next_own.is_some_and(|at| now >= at) {
            self.last_own = now;
            self.next_own = own_period.map(|period| now + period);
        } else if now < self.denied_until {
            self.waiting = self.waiting.saturating_sub(waited);
            return Admission::Refused { retry_after: self.refuse(now) };
        } else {
            self.waiting = self.waiting.max(waited) + 1 - waited;
            return Admission::Wait;
        }
        self.waiting = self.waiting.saturating_sub(waited);
        Admission::Admitted
    }

    /// Ends the wait of a request.
    pub fn give_up(&mut self, now: Instant) -> Span {
        self.waiting = self.waiting.saturating_sub(1);
        self.refuse(now)
    }

    /// Returns the time after which a refused caller may come back. Callers are told different
    /// times, at the rate at which permits arrive.
    fn refuse(&mut self, now: Instant) -> Span {
        self.last_refusal = Some(now);
        let earliest = self.denied_until.max(self.expected_at).max(now);
        let slot = (self.last_slot + self.permit_interval).max(earliest);
        self.last_slot = slot.min(now + MAX_RETRY_AFTER);
        self.last_slot.since(now).max(Span::millis(10))
    }

    /// Takes back the permit of a request that did not run.
    pub fn give_back(&mut self) {
        self.granted += u64::from(self.spent <= self.returned);
        self.spent = self.spent.saturating_sub(u64::from(self.spent > self.returned));
        self.changed = true;
    }

    fn demand(&self, now: Instant) -> f64 {
        let age = now.since(self.demand_at).0 as f64 / DEMAND_HALF_LIFE.0 as f64;
        self.demand * 0.5_f64.powf(age)
    }

    /// Returns the number of permits that the host wants to hold.
    fn target(&self, now: Instant) -> u32 {
        if now.since(self.demand_at) >= KEPT_TIME {
            return 0;
        }
        let rate = self.demand(now) * std::f64::consts::LN_2 * 1e6 / DEMAND_HALF_LIFE.0 as f64;
        let needs_one = self.demand > 0.0 && self.next_own.is_none_or(|at| now < at);
        ((rate * ADVANCE_S) as u32).max(needs_one.into())
    }

    pub fn is_waiting(&self) -> bool {
        self.waiting > 0
    }

    /// Whether the account is refused requests.
    pub fn is_exhausted(&self, now: Instant) -> bool {
        self.last_refusal.is_some_and(|at| now.since(at) < EXHAUSTED_TIME)
    }

    /// Whether a report of the account is due.
    pub fn is_due(&self, now: Instant) -> bool {
        let target = u64::from(self.target(now));
        let is_denied =
            self.held() == 0 && target > 0 && now.since(self.reported_at) >= DENIED_REPORT_INTERVAL;
        self.waiting > 0 || self.changed || is_denied || self.held() > target.max(1)
    }

    /// Returns what is reported, and returns permits that are not needed.
    pub fn usage(&mut self, account: AccountId, now: Instant) -> Usage {
        let target = self.target(now);
        let unneeded = self.held().saturating_sub(u64::from(target.max(1)));
        self.return_permits(unneeded);
        self.changed = false;
        self.reported_at = now;
        Usage {
            account,
            quota: self.quota,
            granted: self.granted,
            spent: self.spent,
            returned: self.returned,
            waiting: self.waiting,
            target: target.max(self.waiting),
        }
    }

    /// Starts a session with another allocator, which takes over the permits that are held.
    pub fn start_session(&mut self) {
        self.granted = self.held();
        (self.spent, self.returned) = (0, 0);
        self.denied_until = Instant::default();
        self.changed |= self.granted > 0;
    }

    /// Handles the response of the allocator.
    pub fn on_grant(&mut self, grant: &Grant, now: Instant) {
        let new = grant.granted.saturating_sub(self.granted);
        self.granted += new;
        if new > 0 {
            let interval = now.since(self.last_permit).0 as f64 / new as f64;
            let before = self.permit_interval.0 as f64;
            let average = Span((before + (interval - before) * INTERVAL_WEIGHT) as u64);
            let least = default_interval(&self.quota);
            self.permit_interval = average.clamp(least, least * MAX_INTERVALS);
            self.last_permit = now;
            self.denials = 0;
        }
        if let Some(wait) = grant.wait.filter(|_| self.held() < u64::from(self.waiting)) {
            self.denied_until = now + FIRST_DENIAL * (1 << self.denials.min(MAX_DOUBLINGS));
            self.denials += 1;
            self.expected_at = now + wait.min(MAX_RETRY_AFTER);
        }
    }
}

fn default_interval(quota: &Quota) -> Span {
    Span((1e6 / quota.rate.per_second().max(1e-3)) as u64)
}
