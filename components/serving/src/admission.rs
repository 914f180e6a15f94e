//! Admission of callers' queries at an entry host, by priority and deadline.

use {
    wigeonramp_config::Priority,
    wigeonramp_units::{Instant, Percent, Span},
};

/// Shortest time after which a refused caller may ask again.
const RETRY_MIN: Span = Span::millis(50);
/// Longest time after which a refused caller may ask again.
const RETRY_MAX: Span = Span::secs(2);
/// Share of the limit that ordinary work leaves to urgent work, in hundredths.
const URGENT_RESERVE: u32 = 20;

/// Answer to a query that asks for admission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// It runs; `release` must be called when it ends.
    Admitted,
    /// It does not run.
    Refused {
        /// When asking again makes sense.
        retry_after: Span,
        /// Why.
        reason: AdmissionRefusal,
    },
}

/// Why a query was not admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRefusal {
    /// Too many queries in flight.
    Overload,
    /// The deadline cannot be met.
    Deadline,
}

/// Queries in flight at one entry host.
#[derive(Clone, Debug)]
pub struct AdmissionController {
    limit: u32,
    floor: u32,
    urgent: u32,
    ordinary: u32,
    service: Span,
}

impl AdmissionController {
    /// At most `limit` queries in flight; `floor` of them are kept for ordinary work.
    pub fn new(limit: u32, floor: Percent) -> Self {
        let limit = limit.max(2);
        let floor = (limit * floor.get() / 100).clamp(1, limit - 1);
        Self { limit, floor, urgent: 0, ordinary: 0, service: Span::ZERO }
    }

    /// Admits or refuses a query. `expected` is the time that its slowest shard is expected to take.
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
                let reserve = self.limit * URGENT_RESERVE / 100;
                self.ordinary < self.floor || total < self.limit - reserve
            }
        }
    }

    fn refuse(&self, reason: AdmissionRefusal) -> AdmissionDecision {
        let retry_after = (self.service * 2).max(RETRY_MIN).min(RETRY_MAX);
        AdmissionDecision::Refused { retry_after, reason }
    }

    /// An admitted query has ended after `took`.
    pub fn release(&mut self, priority: Priority, took: Span) {
        let count = match priority {
            Priority::Urgent => &mut self.urgent,
            Priority::Ordinary => &mut self.ordinary,
        };
        *count = count.saturating_sub(1);
        self.service = Span((self.service.0 * 7 + took.0) / 8);
    }

    /// Queries in flight.
    pub fn in_flight(&self) -> u32 {
        self.urgent + self.ordinary
    }

    /// Share of the limit in use, in hundredths.
    pub fn load(&self) -> Percent {
        Percent(self.in_flight() * 100 / self.limit)
    }
}
