//! What a leaf bears just after a cold start.

use {
    crate::leaves::{counters::LeafCounters, settings::LeafSettings},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    wigeonramp_config::LeafLimits,
    wigeonramp_units::Percent,
};

/// Length of the window over which `cold_per_second` is counted.
const WINDOW: Duration = Duration::from_secs(1);
/// Largest slowdown by excess load, as a multiple of the service time.
const MAX_PENALTY: u32 = 10;

/// The state between a cold start and warmth.
#[derive(Debug)]
pub(crate) struct Cold {
    since: Instant,
    /// When senders are taken to know of the cold start; `None` until its first sign.
    known_from: Option<Instant>,
    window: VecDeque<Instant>,
    in_flight: u32,
    served: u32,
    violations: u32,
}

impl Cold {
    /// A cold start that senders know of from `known_from`; `None` if no sign of it was sent yet.
    pub(crate) fn start(now: Instant, known_from: Option<Instant>) -> Self {
        Self {
            since: now,
            known_from,
            window: VecDeque::new(),
            in_flight: 0,
            served: 0,
            violations: 0,
        }
    }

    pub(crate) fn is_over(&self, settings: &LeafSettings, now: Instant) -> bool {
        self.served >= settings.cold_requests
            || now.saturating_duration_since(self.since) >= settings.cold_time.to_duration()
    }

    /// Counts a new connection.
    pub(crate) fn connected(&mut self, load: &mut Load<'_>) {
        self.count_rate(load);
    }

    /// Counts a new request; returns whether it was within the allowance.
    pub(crate) fn arrived(&mut self, load: &mut Load<'_>) -> bool {
        self.in_flight += 1;
        let most = &mut load.counters.most_cold_in_flight;
        *most = (*most).max(self.in_flight.into());
        let within_rate = self.count_rate(load);
        let within_slots = self.in_flight <= load.limits.cold_in_flight.get();
        // One request beyond both bounds is one violation.
        if within_rate && !within_slots {
            self.violate(load);
        }
        within_rate && within_slots
    }

    /// Ends a request that arrived in this cold state.
    pub(crate) fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes that an answer with the new boot id is sent.
    pub(crate) fn sign_sent(&mut self, settings: &LeafSettings, now: Instant) {
        self.known_from.get_or_insert(now + settings.announce_grace.to_duration());
    }

    /// Counts an answer to a request within the allowance towards warmth.
    pub(crate) fn served(&mut self) {
        self.served += 1;
    }

    /// Service time in hundredths of that of a warm leaf.
    pub(crate) fn slowdown(&self, settings: &LeafSettings) -> Percent {
        let penalty = (1 + self.violations).min(MAX_PENALTY);
        Percent(settings.cold_slowdown.get().saturating_mul(penalty))
    }

    fn count_rate(&mut self, load: &mut Load<'_>) -> bool {
        while self.window.front().is_some_and(|at| load.now.duration_since(*at) >= WINDOW) {
            self.window.pop_front();
        }
        self.window.push_back(load.now);
        let rate = self.window.len() as u64;
        let most = &mut load.counters.most_cold_per_second;
        *most = (*most).max(rate);
        let within = rate <= load.limits.cold_per_second.get().into();
        if !within {
            self.violate(load);
        }
        within
    }

    fn violate(&mut self, load: &mut Load<'_>) {
        self.violations = self.violations.saturating_add(1);
        if self.known_from.is_some_and(|from| load.now >= from) {
            load.counters.cold_violations += 1;
        } else {
            load.counters.cold_unannounced += 1;
        }
    }
}

/// What the counting of load needs from its leaf.
pub(crate) struct Load<'a> {
    pub(crate) now: Instant,
    pub(crate) limits: &'a LeafLimits,
    pub(crate) counters: &'a mut LeafCounters,
}
