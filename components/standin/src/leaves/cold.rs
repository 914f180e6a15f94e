//! Accounting of the load on a cold leaf against its cold-start limits.

use {
    crate::leaves::{counters::LeafCounters, settings::LeafSettings},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    wigeonramp_config::LeafLimits,
    wigeonramp_units::Percent,
};

/// Window over which `cold_per_second` is counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Maximum factor by which violations of the cold limits multiply the service time.
const MAX_PENALTY: u32 = 10;

/// State of a leaf from a cold start until it is warm.
#[derive(Debug)]
pub(crate) struct ColdState {
    since: Instant,
    /// Time from which clients are expected to know of the cold start; `None` until it is first
    /// announced.
    announced_from: Option<Instant>,
    /// Times of the connects and requests within the rate window.
    recent_events: VecDeque<Instant>,
    in_flight: u32,
    served: u32,
    violations: u32,
}

impl ColdState {
    /// Starts the cold state. Clients are expected to know of it from `announced_from`; `None` if
    /// it is not announced yet.
    pub(crate) fn start(now: Instant, announced_from: Option<Instant>) -> Self {
        Self {
            since: now,
            announced_from,
            recent_events: VecDeque::new(),
            in_flight: 0,
            served: 0,
            violations: 0,
        }
    }

    pub(crate) fn is_over(&self, settings: &LeafSettings, now: Instant) -> bool {
        self.served >= settings.cold_requests
            || now.saturating_duration_since(self.since) >= settings.cold_time.to_duration()
    }

    /// Records a new connection.
    pub(crate) fn record_connect(&mut self, cx: &mut LoadContext<'_>) {
        self.record_event(cx);
    }

    /// Records a new request; returns whether it is within the allowance.
    pub(crate) fn record_arrival(&mut self, cx: &mut LoadContext<'_>) -> bool {
        self.in_flight += 1;
        let most = &mut cx.counters.most_cold_in_flight;
        *most = (*most).max(self.in_flight.into());
        let within_rate = self.record_event(cx);
        let within_slots = self.in_flight <= cx.limits.cold_in_flight.get();
        // A request beyond both limits is one violation; `record_event` has counted it.
        if within_rate && !within_slots {
            self.record_violation(cx);
        }
        within_rate && within_slots
    }

    /// Records the end of a request that arrived in this cold state.
    pub(crate) fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records that a response with the new boot id is sent, which announces the cold start.
    pub(crate) fn record_announcement(&mut self, settings: &LeafSettings, now: Instant) {
        self.announced_from.get_or_insert(now + settings.announce_grace.to_duration());
    }

    /// Counts a response to a request within the allowance. The cold state ends after
    /// `cold_requests` of them.
    pub(crate) fn record_served(&mut self) {
        self.served += 1;
    }

    /// Returns the service time in percent of a warm leaf's.
    pub(crate) fn slowdown(&self, settings: &LeafSettings) -> Percent {
        let penalty = (1 + self.violations).min(MAX_PENALTY);
        Percent(settings.cold_slowdown.get().saturating_mul(penalty))
    }

    /// Records a connect or request; returns whether it is within `cold_per_second`.
    fn record_event(&mut self, cx: &mut LoadContext<'_>) -> bool {
        while self.recent_events.front().is_some_and(|at| cx.now.duration_since(*at) >= RATE_WINDOW)
        {
            self.recent_events.pop_front();
        }
        self.recent_events.push_back(cx.now);
        let rate = self.recent_events.len() as u64;
        let most = &mut cx.counters.most_cold_per_second;
        *most = (*most).max(rate);
        let within = rate <= cx.limits.cold_per_second.get().into();
        if !within {
            self.record_violation(cx);
        }
        within
    }

    fn record_violation(&mut self, cx: &mut LoadContext<'_>) {
        self.violations = self.violations.saturating_add(1);
        if self.announced_from.is_some_and(|from| cx.now >= from) {
            cx.counters.cold_violations += 1;
        } else {
            cx.counters.cold_unannounced += 1;
        }
    }
}

/// Time, limits and counters of a leaf for the accounting of its load.
pub(crate) struct LoadContext<'a> {
    pub(crate) now: Instant,
    pub(crate) limits: &'a LeafLimits,
    pub(crate) counters: &'a mut LeafCounters,
}
