//! The memory that a process holds for callers.

/// Memory of a host whose settings do not name it, in megabytes: that of the smallest host.
pub const DEFAULT_MEMORY_MB: u64 = 112;
/// The budget is this fraction of the memory. The rest is for the process itself, the replicated
/// state, and memory that the allocator does not return.
const BUDGET_DIVISOR: usize = 4;
/// Minimum budget, with which single requests are served on any host.
const MIN_BUDGET: usize = 4 * 1024 * 1024;
/// Largest body that is taken while the budget is half used.
const SMALL_BODY: usize = 16 * 1024;
/// Largest response of a leaf that is read on while the budget is exceeded: one as large as the
/// largest body.
const MAX_RESPONSE_OVER_BUDGET: usize = 256 * 1024;
/// The small responses that are read on beyond the budget take at most this fraction of it.
const RESERVE_DIVISOR: usize = 4;
/// Largest response of a leaf.
const MAX_RESPONSE: usize = 8 * 1024 * 1024;

/// Bytes that one owner has charged to the budget; the owner returns them with
/// [`MemoryBudget::release`].
#[derive(Debug, Default)]
pub struct Charge(usize);

impl Charge {
    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.0
    }
}

/// How much of the budget is used.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum MemoryLevel {
    /// Less than half.
    Calm,
    /// Half or more: large bodies wait.
    Tight,
    /// Three quarters or more: all bodies wait.
    Short,
    /// All of it: new requests are refused.
    Exceeded,
}

impl MemoryLevel {
    /// Returns the stable name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            MemoryLevel::Calm => "calm",
            MemoryLevel::Tight => "tight",
            MemoryLevel::Short => "short",
            MemoryLevel::Exceeded => "exceeded",
        }
    }
}

/// Budget of the memory held for callers, and what is used of it.
#[derive(Debug)]
pub struct MemoryBudget {
    limit: usize,
    used: usize,
}

impl MemoryBudget {
    /// Creates the budget of a host with this memory in megabytes.
    pub fn new(memory_mb: u64) -> Self {
        let memory = usize::try_from(memory_mb).unwrap_or(usize::MAX).saturating_mul(1024 * 1024);
        Self { limit: (memory / BUDGET_DIVISOR).max(MIN_BUDGET), used: 0 }
    }

    /// Returns the budget in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of bytes charged.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Changes what an owner has charged to `bytes`.
    pub fn set(&mut self, charge: &mut Charge, bytes: usize) {
        self.used = self.used - charge.0 + bytes;
        charge.0 = bytes;
    }

    /// Returns what an owner has charged.
    pub fn release(&mut self, charge: &mut Charge) {
        self.set(charge, 0);
    }

    /// Returns how much of the budget is used.
    pub fn level(&self) -> MemoryLevel {
        match self.used {
            used if used >= self.limit => MemoryLevel::Exceeded,
            used if used >= self.limit / 4 * 3 => MemoryLevel::Short,
            used if used >= self.limit / 2 => MemoryLevel::Tight,
            _ => MemoryLevel::Calm,
        }
    }

    /// Whether the reading of a body that takes up to `bytes` may begin. Small bodies may use more
    /// of the budget than large ones, so that large ones do not lock them out.
    pub fn admits_body(&self, bytes: usize) -> bool {
        let share = if bytes <= SMALL_BODY { self.limit / 4 * 3 } else { self.limit / 2 };
        self.used + bytes <= share
    }

    /// Whether a new request may begin.
    pub fn admits_request(&self) -> bool {
        self.level() < MemoryLevel::Exceeded
    }

    /// Whether a response of a leaf that has taken `bytes` so far is read on.
    pub fn admits_response(&self, bytes: usize) -> bool {
        let is_small = bytes <= MAX_RESPONSE_OVER_BUDGET;
        let reserve = if is_small { self.limit / RESERVE_DIVISOR } else { 0 };
        self.used < self.limit + reserve
    }

    /// Returns the largest response of a leaf.
    pub fn max_response(&self) -> usize {
        MAX_RESPONSE.min(self.limit / 2)
    }

    /// Returns the number of bytes to free so that large bodies are taken again.
    pub fn excess(&self) -> usize {
        self.used.saturating_sub(self.limit / 2 - self.limit / 8)
    }
}
