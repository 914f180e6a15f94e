//! Division of the admitted requests of one priority among accounts, while leaves are overloaded.
//!
//! One to three of 83 accounts send 5 to 9 times their usual load for 5 to 12 s. If all requests
//! were refused with the same probability, the other accounts would lose requests as well. Instead,
//! what is admitted follows the quotas: an account gets at most its part, and what others leave of
//! theirs.

use {
    crate::{accounts::Account, quotas::AccountId},
    indexmap::IndexMap,
    wigeonramp_units::{Instant, Span},
};

/// Half-life of the measured demand.
const DEMAND_HALF_LIFE: Span = Span::secs(2);
/// Demand below which an account is forgotten.
const MIN_DEMAND: f64 = 0.01;
/// Number of steps in which the parts are found; the error is below one in 1,000 then.
const STEPS: u32 = 24;

/// Part of an account in what is admitted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountShare {
    /// The account.
    pub account: AccountId,
    /// Requests per second of its quota.
    pub weight: f64,
}

impl AccountShare {
    /// Returns the part of an account; none if it has no quota.
    pub fn new(account: &Account) -> Option<Self> {
        let weight = account.quota?.rate.per_second();
        Some(Self { account: AccountId::new(&account.name), weight })
    }
}

/// Limits of the admitted share of each account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareRange {
    /// Least share.
    pub least: f64,
    /// Greatest share.
    pub most: f64,
}

#[derive(Clone, Copy, Debug)]
struct Demand {
    weight: f64,
    requests: f64,
    at: Instant,
}

impl Demand {
    fn requests(&self, now: Instant) -> f64 {
        let age = now.since(self.at).0 as f64 / DEMAND_HALF_LIFE.0 as f64;
        self.requests * 0.5_f64.powf(age)
    }
}

/// Demand of the accounts of one priority.
#[derive(Clone, Debug, Default)]
pub struct FairShares {
    demands: IndexMap<AccountId, Demand>,
}

impl FairShares {
    /// Counts a request of an account.
    pub fn record(&mut self, request: AccountShare, now: Instant) {
        let known = self.demands.get(&request.account);
        let requests = known.map_or(0.0, |demand| demand.requests(now)) + 1.0;
        let demand = Demand { weight: request.weight, requests, at: now };
        self.demands.insert(request.account, demand);
    }

    /// Returns the admitted share of the requests of an account if `share` of all requests is
    /// admitted.
    pub fn admitted(
        &mut self,
        account: AccountId,
        share: f64,
        range: ShareRange,
        now: Instant,
    ) -> f64 {
        self.demands.retain(|_, demand| demand.requests(now) >= MIN_DEMAND);
        let Some(own) = self.demands.get(&account) else { return share };
        let all: Vec<(f64, f64)> =
            self.demands.values().map(|demand| (demand.weight, demand.requests(now))).collect();
        let part = |level: f64, weight: f64, requests: f64| {
            (level * weight / requests).clamp(range.least, range.most)
        };
        let total = |level: f64| -> f64 {
            all.iter().map(|(weight, requests)| requests * part(level, *weight, *requests)).sum()
        };
        let wanted = share * all.iter().map(|(_, requests)| requests).sum::<f64>();
        let ratios = all.iter().map(|(weight, requests)| requests / weight.max(1e-6));
        let (mut low, mut high) = (0.0, ratios.fold(0.0, f64::max));
        for _ in 0..STEPS {
            let middle = (low + high) / 2.0;
            if total(middle) < wanted {
                low = middle;
            } else {
                high = middle;
            }
        }
        part(high, own.weight, own.requests(now))
    }
}
