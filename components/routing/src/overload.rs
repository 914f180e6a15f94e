//! How much of a group of shards' traffic is taken while their leaves are overloaded.
//!
//! A gathered answer needs nearly all of its parts, so leaves that are a little over their capacity
//! make nearly every answer fail: each misses another part. The share of parts that are late or
//! turned away tells how far the leaves are over it. It is taken from the middle one of all shards,
//! so that slow or lost leaves of some shards, which refusals do not help, are no overload. Requests
//! beyond that share are refused before any leaf is asked, the less urgent ones first, and come back
//! later.

use wigeonramp_units::{Instant, Span};

/// Time between changes of the share that is taken; the effect of one is seen after about a target
/// latency.
const STEP: Span = Span::millis(200);
/// Requests needed for a judgement.
const MIN_REQUESTS: u32 = 6;
/// A step ends after this time with what there is; without any request it counts as calm.
const MAX_STEP: Span = Span::secs(1);
/// Share of late parts from which the leaves count as overloaded.
const OVERLOADED: f64 = 0.08;
/// Share of late parts below which more is taken again.
const CALM: f64 = 0.04;
/// Part of the excess by which the share is lowered in one step.
const DAMPING: f64 = 0.5;
/// Factor by which the share rises in each calm `STEP`.
const RISE: f64 = 1.08;
/// Least share that is taken of every kind of request; it also tells when the overload is over, and
/// keeps less urgent requests from starving.
const LEAST: f64 = 0.25;

/// The share of requests for one group of shards that a host takes.
#[derive(Clone, Debug)]
pub struct OverloadController {
    taken: f64,
    since: Instant,
    requests: u32,
    shards: Vec<Shard>,
    /// Late share at the last judgement.
    late: f64,
    /// Whether the last report said that requests are refused.
    reported: bool,
    /// Ranks of the routes that use the shards, the most urgent first.
    ranks: Vec<u32>,
}

/// Parts of one shard in one step.
#[derive(Clone, Copy, Debug, Default)]
struct Shard {
    known: u32,
    late: u32,
}

/// What became of one part until the target latency.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PartStatus {
    /// It is in, or is missing for reasons of its own leaves.
    Settled,
    /// Its leaf has not answered, or had no room.
    Late,
    /// It is still under way before the target latency.
    Open,
}

impl OverloadController {
    /// Everything is taken.
    pub fn new(now: Instant) -> Self {
        Self {
            taken: 1.0,
            since: now,
            requests: 0,
            shards: Vec::new(),
            late: 0.0,
            reported: false,
            ranks: Vec::new(),
        }
    }

    /// Counts a request with these parts, one for each shard in the order of the group.
    pub fn record(&mut self, fates: impl Iterator<Item = PartStatus>, now: Instant) {
        self.step(now);
        self.requests += 1;
        for (index, fate) in fates.enumerate() {
            if self.shards.len() <= index {
                self.shards.push(Shard::default());
            }
            self.shards[index].known += u32::from(fate != PartStatus::Open);
            self.shards[index].late += u32::from(fate == PartStatus::Late);
        }
    }

    /// Whether requests are refused.
    pub fn is_on(&self) -> bool {
        self.taken < 1.0
    }

    /// Share that is taken of the most urgent requests.
    pub fn taken(&self) -> f64 {
        self.taken
    }

    /// Share of late parts, when refusals have begun or ended since the last call.
    pub fn change(&mut self) -> Option<f64> {
        if self.reported == self.is_on() {
            return None;
        }
        self.reported = self.is_on();
        Some(self.late)
    }

    /// Share of the requests with this rank that is taken; zero is the most urgent rank.
    pub fn share(&mut self, rank: u32, now: Instant) -> f64 {
        self.step(now);
        let place = match self.ranks.binary_search(&rank) {
            Ok(place) => place,
            Err(place) => {
                self.ranks.insert(place, rank);
                place
            }
        };
        self.taken.powi(place as i32 + 1).max(LEAST)
    }

    fn step(&mut self, now: Instant) {
        let length = now.since(self.since);
        if (length < STEP || self.requests < MIN_REQUESTS) && length < MAX_STEP {
            return;
        }
        let late = self.late_share();
        if late >= OVERLOADED {
            self.taken = (self.taken * (1.0 - late * DAMPING)).max(LEAST);
        } else if late < CALM {
            let steps = length.0 as f64 / STEP.0 as f64;
            self.taken = (self.taken * RISE.powf(steps)).min(1.0);
        }
        (self.since, self.requests, self.late) = (now, 0, late);
        self.shards.clear();
    }

    /// Share of late parts of the middle shard.
    fn late_share(&self) -> f64 {
        let known = self.shards.iter().filter(|shard| shard.known > 0);
        let mut shares: Vec<f64> =
            known.map(|shard| f64::from(shard.late) / f64::from(shard.known)).collect();
        shares.sort_by(f64::total_cmp);
        shares.get(shares.len() / 2).copied().unwrap_or(0.0)
    }
}
