//! Load shedding for a group of shards whose leaves are overloaded.
//!
//! A gathered response needs nearly all of its parts. If the leaves are slightly over their
//! capacity, nearly every response therefore fails, each because of different parts. The share of
//! parts that are late or that leaves declined shows how far the load exceeds the capacity. The
//! median over all shards is used, so that slow or lost leaves of some shards, for which shedding
//! does not help, do not count as an overload. Requests beyond the admitted share are refused
//! before they are sent to any leaf, the less urgent ones first, and their callers retry later.

use {
    crate::fair_shares::{AccountShare, FairShares, ShareRange},
    indexmap::IndexMap,
    wigeonramp_units::{Instant, Span},
};

/// Interval between changes of the admitted share; the effect of a change shows after about one
/// target latency.
const STEP: Span = Span::millis(200);
/// Minimum number of requests in a step that is evaluated.
const MIN_REQUESTS: u32 = 6;
/// Time after which a step is evaluated with fewer requests; one without any counts as not
/// overloaded.
const MAX_STEP: Span = Span::secs(1);
/// Share of late parts at or above which the leaves count as overloaded.
const OVERLOADED: f64 = 0.08;
/// Share of late parts below which the admitted share rises again.
const RECOVERED: f64 = 0.04;
/// Part of the share of late parts by which the admitted share is lowered in one step.
const DAMPING: f64 = 0.5;
/// Factor by which the admitted share rises per `STEP` without overload.
const RISE: f64 = 1.08;
/// Minimum admitted share of every priority. These requests show when the overload is over, and
/// less urgent ones are not starved.
const MIN_ADMITTED: f64 = 0.25;
/// Least admitted share of an account, as a part of that of the most urgent requests. No account
/// may be served less than a quarter as often as all.
const MIN_ACCOUNT_PART: f64 = 0.3;

/// Computes the share of requests for one group of shards that a host admits.
#[derive(Clone, Debug)]
pub struct OverloadController {
    admitted: f64,
    step_started: Instant,
    requests: u32,
    shards: Vec<ShardCounts>,
    /// Share of late parts at the last evaluation.
    late: f64,
    /// Whether the last reported change was the start of an overload.
    reported: bool,
    /// Priorities of the routes that use the shards, the most urgent first.
    priorities: Vec<u32>,
    /// Demand of accounts by priority.
    accounts: IndexMap<u32, FairShares>,
}

/// Counts of the parts of one shard in one step.
#[derive(Clone, Copy, Debug, Default)]
struct ShardCounts {
    finished: u32,
    late: u32,
}

/// Status of one part when the reply is sent or the target latency has passed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartStatus {
    /// The response has arrived, or is missing for a reason other than load.
    Settled,
    /// The leaf has not responded within the target latency, or declined the request.
    Late,
    /// The attempt is still running and the target latency has not passed.
    Pending,
}

impl OverloadController {
    /// Creates a controller that admits all requests.
    pub fn new(now: Instant) -> Self {
        Self {
            admitted: 1.0,
            step_started: now,
            requests: 0,
            shards: Vec::new(),
            late: 0.0,
            reported: false,
            priorities: Vec::new(),
            accounts: IndexMap::new(),
        }
    }

    /// Records a request with the status of its parts, one per shard in the order of the group.
    pub fn record(&mut self, parts: impl Iterator<Item = PartStatus>, now: Instant) {
        self.step(now);
        self.requests += 1;
        for (index, status) in parts.enumerate() {
            if self.shards.len() <= index {
                self.shards.push(ShardCounts::default());
            }
            self.shards[index].finished += u32::from(status != PartStatus::Pending);
            self.shards[index].late += u32::from(status == PartStatus::Late);
        }
    }

    /// Whether some requests are refused.
    pub fn is_shedding(&self) -> bool {
        self.admitted < 1.0
    }

    /// Returns the admitted share of the most urgent requests.
    pub fn admitted(&self) -> f64 {
        self.admitted
    }

    /// Returns the share of late parts if an overload has started or ended since the last call.
    pub fn take_change(&mut self) -> Option<f64> {
        if self.reported == self.is_shedding() {
            return None;
        }
        self.reported = self.is_shedding();
        Some(self.late)
    }

    /// Returns the admitted share of requests of this priority; zero is the most urgent. The share
    /// is lower for each less urgent priority, down to `MIN_ADMITTED`.
    pub fn share_for(&mut self, priority: u32, now: Instant) -> f64 {
        self.step(now);
        let index = match self.priorities.binary_search(&priority) {
            Ok(index) => index,
            Err(index) => {
                self.priorities.insert(index, priority);
                index
            }
        };
        self.share_at(index)
    }

    /// Returns the admitted share of the requests of this priority and account, and counts a
    /// request of it. Within a priority shares follow the quotas. None is lower than a share of a
    /// less urgent one.
    pub fn share_for_account(&mut self, priority: u32, account: AccountShare, now: Instant) -> f64 {
        let share = self.share_for(priority, now);
        let accounts = self.accounts.entry(priority).or_default();
        accounts.record(account, now);
        if share >= 1.0 {
            return share;
        }
        let index = self.priorities.binary_search(&priority).unwrap_or_default();
        let between = |more: usize, less: usize| (self.share_at(more) + self.share_at(less)) / 2.0;
        let is_last = index + 1 == self.priorities.len();
        let least = match is_last {
            true => (self.admitted * MIN_ACCOUNT_PART).min(share),
            false => between(index, index + 1),
        };
        let most = if index == 0 { 1.0 } else { between(index - 1, index) };
        let range = ShareRange { least, most };
        self.accounts[&priority].admitted(account.account, share, range, now)
    }

    /// Returns the admitted share of the priority at this place in the order.
    fn share_at(&self, index: usize) -> f64 {
        self.admitted.powi(index as i32 + 1).max(MIN_ADMITTED)
    }

    /// Ends the current step when it is due and adjusts the admitted share.
    fn step(&mut self, now: Instant) {
        let length = now.since(self.step_started);
        if (length < STEP || self.requests < MIN_REQUESTS) && length < MAX_STEP {
            return;
        }
        let late = self.late_share();
        if late >= OVERLOADED {
            self.admitted = (self.admitted * (1.0 - late * DAMPING)).max(MIN_ADMITTED);
        } else if late < RECOVERED {
            let steps = length.0 as f64 / STEP.0 as f64;
            self.admitted = (self.admitted * RISE.powf(steps)).min(1.0);
        }
        (self.step_started, self.requests, self.late) = (now, 0, late);
        self.shards.clear();
    }

    /// Returns the median over the shards of the share of late parts.
    fn late_share(&self) -> f64 {
        let finished = self.shards.iter().filter(|shard| shard.finished > 0);
        let mut shares: Vec<f64> =
            finished.map(|shard| f64::from(shard.late) / f64::from(shard.finished)).collect();
        shares.sort_by(f64::total_cmp);
        shares.get(shares.len() / 2).copied().unwrap_or(0.0)
    }
}
