//! Budgets for extra sends: a share of the ordinary sends, with a bounded burst.

use {
    std::sync::atomic::{AtomicU64, Ordering},
    wigeonramp_units::Percent,
};

/// Thousandths of a send, so that small shares add up exactly.
const WHOLE: u64 = 1_000;

/// A budget that many queries share without a lock.
#[derive(Debug)]
pub struct TokenBudget {
    per_send: u64,
    cap: u64,
    tokens: AtomicU64,
}

impl TokenBudget {
    /// `share` extra sends for each send, at most `burst` saved up. Starts with `burst`.
    pub fn new(share: Percent, burst: u32) -> Self {
        let cap = u64::from(burst) * WHOLE;
        let per_send = u64::from(share.get()) * WHOLE / 100;
        Self { per_send, cap, tokens: AtomicU64::new(cap) }
    }

    /// Counts one ordinary send.
    pub fn record_attempt(&self) {
        let add = |tokens: u64| Some((tokens + self.per_send).min(self.cap));
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one extra send; false when the budget is used up.
    pub fn try_take(&self) -> bool {
        let sub = |tokens: u64| tokens.checked_sub(WHOLE);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, sub).is_ok()
    }

    /// Whole extra sends left.
    pub fn remaining(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed) / WHOLE
    }
}

/// The budgets of one collection at one entry host.
#[derive(Debug)]
pub struct AttemptBudgets {
    /// Second attempts at a slow shard.
    pub hedge: TokenBudget,
    /// Second attempts at a failed shard.
    pub retry: TokenBudget,
}

impl AttemptBudgets {
    /// Budgets with the declared shares of all sends.
    pub fn new(hedge: Percent, retry: Percent, burst: u32) -> Self {
        Self { hedge: TokenBudget::new(hedge, burst), retry: TokenBudget::new(retry, burst) }
    }

    /// Counts one ordinary send.
    pub fn record_attempt(&self) {
        self.hedge.record_attempt();
        self.retry.record_attempt();
    }
}
