//! Precedence of urgent requests for the permits of one leaf.

use wigeonramp_units::{Instant, Span};

/// Time after the denial of an urgent request for which less urgent ones stand back.
const PRECEDENCE_TIME: Span = Span::secs(1);
/// One in this many permits goes to less urgent requests even then, so that they are not starved.
const FLOOR: u32 = 4;

/// Denial of the most urgent requests.
#[derive(Clone, Copy, Debug)]
struct Denial {
    priority: u32,
    at: Instant,
}

/// Decides which requests may use a permit while permits are scarce.
#[derive(Clone, Copy, Debug, Default)]
pub struct Precedence {
    denied: Option<Denial>,
    /// Permits used by urgent requests since a less urgent one used one.
    urgent_uses: u32,
}

impl Precedence {
    /// Whether a request of this priority may use a permit; zero is the most urgent.
    pub fn admits(&self, priority: u32, now: Instant) -> bool {
        !self.stands_back(priority, now) || self.urgent_uses + 1 >= FLOOR
    }

    fn stands_back(&self, priority: u32, now: Instant) -> bool {
        let denied = self.denied.filter(|denial| now.since(denial.at) < PRECEDENCE_TIME);
        denied.is_some_and(|denial| priority > denial.priority)
    }

    /// Records that a request got no permit because there was none.
    pub fn on_denied(&mut self, priority: u32, now: Instant) {
        if !self.stands_back(priority, now) {
            self.denied = Some(Denial { priority, at: now });
        }
    }

    /// Records that a request used a permit.
    pub fn on_used(&mut self, priority: u32, now: Instant) {
        self.urgent_uses = if self.stands_back(priority, now) { 0 } else { self.urgent_uses + 1 };
    }
}
