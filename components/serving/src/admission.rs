//! Admission control for callers' queries at an entry host, by priority and deadline.

use {
    wigeonramp_config::Priority,
    wigeonramp_units::{Instant, Percent, Span},
};

/// Minimum time after which a refused caller may retry.
const MIN_RETRY_AFTER: Span = Span::millis(50);
/// Maximum time after which a refused caller may retry.
const MAX_RETRY_AFTER: Span = Span::secs(2);
/// Percentage of the limit that ordinary queries leave to urgent ones.
const URGENT_RESERVE_PERCENT: u32 = 20;

/// Decision on the admission of a query.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The query may run; [`AdmissionController::release`] must be called when it ends.
    Admitted,
    /// The query must not run.
    Refused {
        /// Time after which the caller may retry.
        retry_after: Span,
        /// Why the query was refused.
        reason: AdmissionRefusal,
    },
}

/// Reason why a query is not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRefusal {
    /// Too many queries are in flight.
    Overload,
    /// The deadline cannot be met.
    Deadline,
}

/// Admission control of one entry host.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    limit: u32,
    floor: u32,
    urgent: u32,
    ordinary: u32,
    /// Moving average of the query times.
    query_time: Span,
}

impl AdmissionController {
    /// Admits at most `limit` queries in flight and reserves the share `floor` of them for ordinary
    /// queries.
    pub fn new(limit: u32, floor: Percent) -> Self {
        let limit = limit.max(2);
        let floor = (limit * floor.get() / 100).clamp(1, limit - 1);
        Self { limit, floor, urgent: 0, ordinary: 0, query_time: Span::ZERO }
    }

    /// Admits or refuses a query. `expected` is the expected time of its slowest shard.
    pub fn admit(
        &mut self,
        priority: Priority,
        deadline: Instant,
        expected: Span,
        now: Instant,
    ) -> AdmissionDecision {
        if now + expected >= deadline {
            return self.refuse(AdmissionRefusal::Deadline);
        }
        if !self.has_room(priority) {
            return self.refuse(AdmissionRefusal::Overload);
        }
        match priority {
            Priority::Urgent => self.urgent += 1,
            Priority::Ordinary => self.ordinary += 1,
        }
        AdmissionDecision::Admitted
    }

    fn has_room(&self, priority: Priority) -> bool {
        let total = self.urgent + self.ordinary;
        if total >= self.limit {
            return false;
        }
        match priority {
            Priority::Urgent => self.urgent < self.limit - self.floor,
            Priority::Ordinary => {
                let reserve = self.limit * URGENT_RESERVE_PERCENT / 100;
                self.ordinary < self.floor || total < self.limit - reserve
            }
        }
    }

    fn refuse(&self, reason: AdmissionRefusal) -> AdmissionDecision {
        let retry_after = (self.query_time * 2).max(MIN_RETRY_AFTER).min(MAX_RETRY_AFTER);
        AdmissionDecision::Refused { retry_after, reason }
    }

    /// Records the end of an admitted query that took `took`.
    pub fn release(&mut self, priority: Priority, took: Span) {
        let count = match priority {
            Priority::Urgent => &mut self.urgent,
            Priority::Ordinary => &mut self.ordinary,
        };
        *count = count.saturating_sub(1);
        self.query_time = Span((self.query_time.0 * 7 + took.0) / 8);
    }

    /// Returns the number of queries in flight.
    pub fn in_flight(&self) -> u32 {
        self.urgent + self.ordinary
    }

    /// Returns the percentage of the limit that is in use.
    pub fn load(&self) -> Percent {
        Percent(self.in_flight() * 100 / self.limit)
    }
}
