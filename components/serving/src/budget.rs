//! Budgets for extra attempts: a share of the initial attempts, with a bounded burst.

use {
    std::sync::atomic::{AtomicU64, Ordering},
    wigeonramp_units::Percent,
};

/// Tokens that one extra attempt costs. A token is a thousandth of an attempt, so that small shares
/// add up exactly.
const TOKENS_PER_ATTEMPT: u64 = 1_000;

/// Budget that concurrent queries share without a lock.
#[derive(Debug)]
pub struct TokenBudget {
    refill: u64,
    max_tokens: u64,
    tokens: AtomicU64,
}

impl TokenBudget {
    /// Creates a full budget. It allows the `share` of the initial attempts as extra attempts and
    /// accumulates at most `burst` of them.
    pub fn new(share: Percent, burst: u32) -> Self {
        let max_tokens = u64::from(burst) * TOKENS_PER_ATTEMPT;
        let refill = u64::from(share.get()) * TOKENS_PER_ATTEMPT / 100;
        Self { refill, max_tokens, tokens: AtomicU64::new(max_tokens) }
    }

    /// Counts one initial attempt.
    pub fn record_attempt(&self) {
        let add = |tokens: u64| Some((tokens + self.refill).min(self.max_tokens));
        let _ = self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Takes one extra attempt. Returns false if the budget is exhausted.
    pub fn try_take(&self) -> bool {
        let sub = |tokens: u64| tokens.checked_sub(TOKENS_PER_ATTEMPT);
        self.tokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, sub).is_ok()
    }

    /// Returns the number of extra attempts left.
    pub fn remaining(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed) / TOKENS_PER_ATTEMPT
    }
}

/// Budgets of one collection at one entry host.
#[derive(Debug)]
pub struct AttemptBudgets {
    /// Budget for hedges: second attempts at a slow shard.
    pub hedge: TokenBudget,
    /// Budget for retries: further attempts at a failed shard.
    pub retry: TokenBudget,
}

impl AttemptBudgets {
    /// Creates full budgets with the declared shares of the initial attempts.
    pub fn new(hedge: Percent, retry: Percent, burst: u32) -> Self {
        Self { hedge: TokenBudget::new(hedge, burst), retry: TokenBudget::new(retry, burst) }
    }

    /// Counts one initial attempt.
    pub fn record_attempt(&self) {
        self.hedge.record_attempt();
        self.retry.record_attempt();
    }
}
