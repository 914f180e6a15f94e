//! Permits of all accounts, as their allocator divides them.
//!
//! The permits that lie at the allocator and at hosts together never exceed a cap, and new ones
//! arise at the rate of the quota, both in proportion to the shares that are delegated to the
//! allocator. So whatever hosts do with their permits, in any time they use at most the cap and the
//! rate.

use {
    super::{
        AccountId,
        messages::{Grant, Grants, Report, Usage},
    },
    crate::accounts::{AccountBounds, Quota},
    indexmap::IndexMap,
    std::{collections::VecDeque, net::Ipv4Addr},
    wigeonramp_units::{Instant, Span},
};

/// Part of the slack that pays for requests that hosts admit without a permit. These need not be
/// reported. With 0.7, four of 18 hosts may admit none, so that requests there wait although their
/// account is far below its quota.
pub(super) const OWN_PART: f64 = 0.9;
/// Part of the slack up to which the requests of an account in a window may come to use `OWN_PART`.
/// With
/// 1.0, 9 of 473 requests up to a quota of 4 a second were refused with demand at two hosts.
const MAX_OWN_PART: f64 = 0.15;
/// Part of the slack that is added to the cap of permits, beside `OWN_PART` if that is not used
/// otherwise.
const POOL_PART: f64 = 0.05;
/// Part of the slack that a pool holds at its start. Hosts that all restart forget what was used.
const START_PART: f64 = 0.05;
/// Part of the cap that hosts may hold in advance; the rest is for requests that wait.
const ADVANCE_PART: f64 = 0.8;
/// A grant in advance takes at most one in this many of the free permits, so that hosts that ask
/// later get some as well.
const GRANT_DIVISOR: f64 = 4.0;
/// Part of the slack by which permits arise faster than the quota if `OWN_PART` is not used
/// otherwise, so that demand at the quota does not exhaust them by chance.
const RATE_PART: f64 = 0.15;
/// Part of the allowed overshoot by which permits arise faster than the quota.
const RATE_OVERSHOOT_PART: f64 = 0.8;
/// Number of reports of a host whose times are kept.
const MAX_RECENT: usize = 8;
/// Time after its last report for which the permits of a host count as held.
const HOST_RETENTION: Span = Span::secs(30);
/// A share that falls below this part of what it was has gone to another allocator.
const LOST_PART: f64 = 0.5;
/// Shortest time after which an account that no host has reported is forgotten.
const ACCOUNT_RETENTION: Span = Span::secs(60);

/// A host that reports to this allocator.
#[derive(Clone, Debug)]
struct Delegator {
    session: u64,
    serial: u64,
    /// Numbers and times of the last reports.
    recent: VecDeque<(u64, Instant)>,
    last_report: Instant,
    delegated_until: Instant,
    owners: u32,
}

/// Permits of one account at one host.
#[derive(Clone, Copy, Debug, Default)]
struct HostPermits {
    session: u64,
    granted: u64,
    spent: u64,
    returned: u64,
}

impl HostPermits {
    fn outstanding(&self) -> f64 {
        self.granted.saturating_sub(self.spent) as f64
    }
}

/// Permits of one account.
#[derive(Clone, Debug)]
struct AccountPool {
    quota: Quota,
    full_cap: f64,
    tokens: f64,
    /// Share-seconds of the pool at which the permits were counted.
    refilled_at: f64,
    last_report: Instant,
    hosts: IndexMap<Ipv4Addr, HostPermits>,
}

impl AccountPool {
    fn outstanding(&self) -> f64 {
        self.hosts.values().map(HostPermits::outstanding).sum()
    }

    fn refill(&mut self, supply: Supply, share_seconds: f64) {
        let earned = supply.full_rate * (share_seconds - self.refilled_at);
        let free = (supply.cap - self.outstanding()).max(0.0);
        self.tokens = (self.tokens + earned).min(free);
        self.refilled_at = share_seconds;
    }

    /// Takes in the counts of a host.
    fn record(&mut self, host: Ipv4Addr, session: u64, usage: &Usage) {
        let known = self.hosts.entry(host).or_default();
        if known.session != session {
            *known = HostPermits {
                session,
                granted: usage.granted,
                spent: usage.spent,
                returned: usage.returned,
            };
            return;
        }
        self.tokens += usage.returned.saturating_sub(known.returned) as f64;
        known.granted = known.granted.max(usage.granted);
        (known.spent, known.returned) = (usage.spent, usage.returned);
    }

    /// Grants permits to a host that has reported `usage`.
    fn grant(&mut self, host: Ipv4Addr, usage: &Usage, supply: Supply) -> Grant {
        let in_advance = supply.cap * ADVANCE_PART - self.outstanding();
        let Some(known) = self.hosts.get_mut(&host) else {
            return Grant { account: usage.account, granted: usage.granted, wait: None };
        };
        let held = known.outstanding();
        let urgent = (f64::from(usage.waiting) - held).max(0.0);
        let wanted = f64::from(usage.target.max(usage.waiting)) - held;
        let in_advance = in_advance.min(self.tokens / GRANT_DIVISOR).floor();
        let permits = wanted.min(urgent.max(in_advance)).min(self.tokens.floor()).max(0.0);
        known.granted += permits as u64;
        self.tokens -= permits;
        let missing = (1.0 - self.tokens).max(0.0);
        let wait = match supply.rate > 0.0 {
            true => Span((missing / supply.rate * 1e6) as u64),
            false => super::DELEGATION_TIME,
        };
        let wait = Some(wait).filter(|_| permits < urgent);
        Grant { account: usage.account, granted: known.granted, wait }
    }
}

/// Allocator of the permits of all accounts.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Delegated share, summed over time in seconds: the permits that an account would have got so
    /// far at one request a second. An account that is new to the pool has saved them, up to its
    /// cap.
    share_seconds: f64,
    /// Share-seconds from which on an account that is new to the pool has saved permits.
    saved_from: f64,
    counted_at: Instant,
    last_share: f64,
    hosts: IndexMap<Ipv4Addr, Delegator>,
    accounts: IndexMap<AccountId, AccountPool>,
}

impl Pool {
    /// Returns the part of all quotas that is delegated to this allocator, with `owners` hosts
    /// known to have a share.
    pub fn share(&self, owners: u32, now: Instant) -> f64 {
        let owners = self.hosts.values().map(|host| host.owners).fold(owners, u32::max).max(1);
        let delegates = |host: &&Delegator| now < host.delegated_until;
        let delegated = self.hosts.values().filter(delegates).count() as f64;
        (delegated / f64::from(owners)).min(1.0)
    }

    /// Ends all delegations.
    pub fn release(&mut self) {
        self.hosts.clear();
    }

    /// Handles a report; `quota` returns the quota of an account as this host knows it. Returns
    /// none if a later report has been handled before.
    pub fn on_report(
        &mut self,
        host: Ipv4Addr,
        report: &Report,
        owners: u32,
        bounds: &AccountBounds,
        quota: impl Fn(AccountId) -> Option<Quota>,
        now: Instant,
    ) -> Option<Grants> {
        self.count_share(owners, now);
        self.retain_recent(now);
        let before = self.hosts.get(&host);
        if before.is_some_and(|known| report.serial <= known.serial) {
            return None;
        }
        let before = before.filter(|known| known.session == report.session);
        let (session, serial) = (report.session, report.serial);
        if before.is_none() && report.acknowledged > 0 {
            return Some(Grants { session, serial, is_unknown: true, grants: Vec::new() });
        }
        // A report may have waited at a suspended allocator until its sender has delegated its
        // share to another one, so the time counts from the response that the report acknowledges.
        let mut recent = before.map(|known| known.recent.clone()).unwrap_or_default();
        let responded = recent.iter().find(|(serial, _)| *serial == report.acknowledged);
        let until = responded.map(|(_, at)| *at + report.delegation);
        recent.push_back((report.serial, now));
        if recent.len() > MAX_RECENT {
            recent.pop_front();
        }
        let earlier = before.map(|known| known.delegated_until);
        let delegated_until = earlier.max(until).filter(|_| report.delegation > Span::ZERO);
        let delegator = Delegator {
            session: report.session,
            serial: report.serial,
            recent,
            last_report: now,
            delegated_until: delegated_until.unwrap_or_default(),
            owners: report.owners,
        };
        self.hosts.insert(host, delegator);
        let share = self.share(owners, now);
        self.last_share = share;
        let grants = report.usage.iter().map(|usage| {
            let quota = quota(usage.account).unwrap_or(usage.quota);
            self.grant(host, report.session, usage, quota, share, bounds, now)
        });
        let grants = grants.collect();
        Some(Grants { session, serial, is_unknown: false, grants })
    }

    #[expect(clippy::too_many_arguments, reason = "the state of one report, which is used once")]
    fn grant(
        &mut self,
        host: Ipv4Addr,
        session: u64,
        usage: &Usage,
        quota: Quota,
        share: f64,
        bounds: &AccountBounds,
        now: Instant,
    ) -> Grant {
        let new = || AccountPool {
            quota,
            full_cap: 0.0,
            tokens: bounds.slack * START_PART * share,
            refilled_at: self.saved_from,
            last_report: now,
            hosts: IndexMap::new(),
        };
        let pool = self.accounts.entry(usage.account).or_insert_with(new);
        let supply = Supply::new(&quota, bounds, share);
        pool.refill(supply, self.share_seconds);
        (pool.quota, pool.full_cap) = (quota, supply.full_cap);
        pool.last_report = now;
        pool.record(host, session, usage);
        pool.refill(supply, self.share_seconds);
        pool.grant(host, usage, supply)
    }

    /// Counts the share since the last report. Of the shares at both ends of that time the lower
    /// one counts. Permits of shares that have gone are given up: the allocator that has these
    /// shares now may have granted as many.
    fn count_share(&mut self, owners: u32, now: Instant) {
        let share = self.share(owners, now);
        let lower = share.min(self.last_share);
        self.share_seconds += lower * seconds(now.since(self.counted_at));
        self.counted_at = now;
        if share < self.last_share {
            for pool in self.accounts.values_mut() {
                pool.tokens = pool.tokens.min(pool.full_cap * share);
            }
        }
        if share < self.last_share * LOST_PART {
            self.saved_from = self.share_seconds;
        }
        self.last_share = share;
    }

    /// Forgets hosts without reports, and accounts that must have their caps again.
    fn retain_recent(&mut self, now: Instant) {
        self.hosts.retain(|_, host| now.since(host.last_report) < HOST_RETENTION);
        let share_seconds = self.share_seconds;
        self.accounts.retain(|_, pool| {
            let saved = pool.quota.rate.per_second() * (share_seconds - pool.refilled_at);
            now.since(pool.last_report) < ACCOUNT_RETENTION || saved < pool.full_cap
        });
        for pool in self.accounts.values_mut() {
            pool.hosts.retain(|host, _| self.hosts.contains_key(host));
        }
    }
}

/// Permits that arise per second, and the cap of those that lie at the allocator and at hosts
/// together.
#[derive(Clone, Copy, Debug)]
struct Supply {
    rate: f64,
    /// Permits per second if all shares were delegated to this host.
    full_rate: f64,
    cap: f64,
    /// The cap if all shares were delegated to this host.
    full_cap: f64,
}

impl Supply {
    /// Divides what the bound allows in a window between the rate and the cap.
    fn new(quota: &Quota, bounds: &AccountBounds, share: f64) -> Self {
        let (rate, window) = (quota.rate.per_second(), seconds(bounds.window));
        let (for_rate, for_cap) = match has_own(quota, bounds) {
            true => (0.0, POOL_PART),
            false => (RATE_PART, POOL_PART + OWN_PART - RATE_PART),
        };
        let in_window = rate * window * bounds.overshoot;
        let faster = in_window * RATE_OVERSHOOT_PART + bounds.slack * for_rate;
        let overshoot = in_window * (1.0 - RATE_OVERSHOOT_PART) + quota.burst * bounds.overshoot;
        let cap = quota.burst + overshoot + bounds.slack * for_cap;
        let full_rate = rate + faster / window.max(1e-3);
        Self { rate: full_rate * share, full_rate, cap: cap * share, full_cap: cap }
    }
}

/// Whether hosts may admit requests of an account without a permit. The slack pays for that if it
/// is a large part of what the account may send; for a large account it is better used by the
/// allocator, as nearly all of its demand may be at two hosts.
pub(super) fn has_own(quota: &Quota, bounds: &AccountBounds) -> bool {
    quota.rate.per_second() * seconds(bounds.window) <= bounds.slack * MAX_OWN_PART
}

fn seconds(span: Span) -> f64 {
    span.0 as f64 / 1e6
}
