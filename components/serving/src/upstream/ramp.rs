//! Warm-up ramp: the allowance of a leaf, which successes raise and faults lower.

use {
    super::types::{Allowance, MAX_STEP_SUCCESSES, MIN_STEP_TIME},
    std::{collections::VecDeque, iter},
    wigeonramp_config::LeafLimits,
    wigeonramp_units::{Instant, PerSecond, Slots, Span},
};

/// Upper bound on the recent sends that are accepted from the previous holder's handover state.
const MAX_HANDED_OVER_SENDS: u32 = 100_000;
const SECOND: Span = Span::secs(1);

#[derive(Debug)]
pub(super) struct Ramp {
    limits: LeafLimits,
    in_flight: u32,
    /// Requests and connects per second; `None` when warm.
    per_second: Option<u32>,
    /// Successes since the start of the current step.
    successes: u32,
    step_started: Instant,
    /// Time of the last cold start; responses to requests sent before it do not count.
    cold_since: Instant,
    /// Number of responses still required before the cold state ends.
    cold_answers_left: u32,
    /// Times of sends and connects within the last second.
    recent: VecDeque<Instant>,
    /// Allowance to restore with the next success, if a silent connection and not the leaf caused
    /// an overdue response.
    restorable: Option<(u32, Option<u32>)>,
    /// Until when the previous holder may still send to the leaf.
    capped_until: Option<Instant>,
}

impl Ramp {
    pub(super) fn new(limits: LeafLimits, now: Instant) -> Self {
        let (in_flight, per_second) = cold_allowance(&limits);
        Self {
            cold_since: now,
            cold_answers_left: limits.cold_answers,
            limits,
            in_flight,
            per_second: Some(per_second),
            successes: 0,
            step_started: now,
            recent: VecDeque::new(),
            restorable: None,
            capped_until: None,
        }
    }

    /// Keeps the allowance one below the cold one until `until`.
    pub(super) fn cap_until(&mut self, until: Instant) {
        self.capped_until = Some(until);
    }

    pub(super) fn go_cold(&mut self, now: Instant) {
        self.lower_to_cold();
        self.restorable = None;
        self.cold_since = now;
        self.cold_answers_left = self.limits.cold_answers;
        self.restart_step(now);
    }

    fn lower_to_cold(&mut self) {
        let (in_flight, per_second) = cold_allowance(&self.limits);
        // A halved allowance may be lower already; only a success may raise it.
        self.in_flight = self.in_flight.min(in_flight);
        self.per_second = Some(self.per_second.map_or(per_second, |rate| rate.min(per_second)));
    }

    pub(super) fn is_warm(&self) -> bool {
        self.per_second.is_none()
    }

    pub(super) fn is_cold(&self) -> bool {
        let (in_flight, per_second) = cold_allowance(&self.limits);
        self.in_flight <= in_flight && self.per_second.is_some_and(|n| n <= per_second)
    }

    pub(super) fn allowance(&self, now: Instant) -> Allowance {
        let capped = self.capped_until.is_some_and(|until| now < until);
        let cap =
            if capped { cold_allowance(&self.limits).0.saturating_sub(1).max(1) } else { u32::MAX };
        Allowance {
            in_flight: Slots(self.in_flight.min(cap)),
            per_second: self.per_second.map(PerSecond),
        }
    }

    pub(super) fn restore(&mut self, allowance: Allowance, now: Instant) {
        self.in_flight = allowance.in_flight.get().clamp(1, self.limits.slots.get().max(1));
        self.per_second = allowance.per_second.map(PerSecond::get);
        // The previous holder does not report how many responses a cold leaf has given, so the
        // count starts from scratch.
        self.cold_answers_left = if self.is_cold() { self.limits.cold_answers } else { 0 };
        self.restart_step(now);
    }

    /// Counts a send or a connect against the rate.
    pub(super) fn record_send(&mut self, now: Instant) {
        self.prune_recent(now);
        self.recent.push_back(now);
    }

    pub(super) fn sends_last_second(&mut self, now: Instant) -> u32 {
        self.prune_recent(now);
        u32::try_from(self.recent.len()).unwrap_or(u32::MAX)
    }

    /// Counts the sends of the previous holder within the last second against the rate.
    pub(super) fn record_handed_over_sends(&mut self, count: u32, now: Instant) {
        let count = count.min(MAX_HANDED_OVER_SENDS) as usize;
        self.recent.extend(iter::repeat_n(now, count));
    }

    /// Returns when the rate permits the next send or connect; `now` if it permits one at once.
    pub(super) fn next_send_at(&mut self, now: Instant) -> Instant {
        self.prune_recent(now);
        let Some(limit) = self.per_second else { return now };
        let limit = limit.max(1) as usize;
        if self.recent.len() < limit {
            return now;
        }
        self.recent[self.recent.len() - limit] + SECOND
    }

    /// Counts a timely response of a leaf that is not busy. `sent` is the time of the request.
    pub(super) fn success(&mut self, sent: Instant, service_time: Span, now: Instant) {
        if let Some((in_flight, per_second)) = self.restorable.take() {
            self.in_flight = in_flight;
            self.per_second = per_second;
        }
        if self.cold_answers_left > 0 {
            // The restored allowance may date from before the cold start.
            self.lower_to_cold();
            self.cold_answers_left -= u32::from(sent >= self.cold_since);
        }
        let Some(rate) = self.per_second else { return };
        self.successes += 1;
        let required = (rate / 2).clamp(1, MAX_STEP_SUCCESSES);
        let capped = self.capped_until.is_some_and(|until| now < until);
        let cold = self.cold_answers_left > 0;
        if cold
            || capped
            || self.successes < required
            || now.since(self.step_started) < MIN_STEP_TIME
        {
            return;
        }
        self.raise(rate, service_time);
        self.restart_step(now);
    }

    fn raise(&mut self, rate: u32, service_time: Span) {
        let slots = self.limits.slots.get().max(1);
        self.in_flight = self.in_flight.saturating_mul(2).min(slots);
        let rate = rate.saturating_mul(2);
        // Above this rate the slots are the tighter limit, so removing the rate limit adds no load.
        let slots_rate = u64::from(slots) * SECOND.0 / service_time.0.max(1);
        let warm = self.in_flight == slots && u64::from(rate) >= slots_rate;
        self.per_second = (!warm).then_some(rate);
    }

    /// Halves the allowance.
    pub(super) fn halve(&mut self, now: Instant) {
        self.per_second = Some(match self.per_second {
            Some(rate) => (rate / 2).max(1),
            None => self.halve_measured_rate(now),
        });
        self.in_flight = (self.in_flight / 2).max(1);
        self.restart_step(now);
    }

    /// Returns half of the measured rate, as the new limit. Forgets the oldest recent sends, so
    /// that half of the new limit is available at once: otherwise the leaf, which was warm, would
    /// get no request, not even the probe, for half a second.
    fn halve_measured_rate(&mut self, now: Instant) -> u32 {
        let floor = self.limits.cold_per_second.get().max(1);
        let rate = (self.sends_last_second(now) / 2).max(floor);
        while self.recent.len() > rate as usize / 2 {
            self.recent.pop_front();
        }
        rate
    }

    /// Returns the allowance to pass to `restore_on_success` if a silent connection turns out to be
    /// the cause of an overdue response: the one before the first of several halvings.
    pub(super) fn allowance_to_restore(&self) -> (u32, Option<u32>) {
        self.restorable.unwrap_or((self.in_flight, self.per_second))
    }

    /// Restores `allowance` with the next success.
    pub(super) fn restore_on_success(&mut self, allowance: (u32, Option<u32>)) {
        self.restorable = Some(allowance);
    }

    /// Keeps the halved allowance, since the leaf itself was slow.
    pub(super) fn keep_lowered(&mut self) {
        self.restorable = None;
    }

    pub(super) fn lower_to(&mut self, slots: Slots, now: Instant) {
        if slots.get() >= self.in_flight {
            return;
        }
        self.in_flight = slots.get().max(1);
        self.restorable = None;
        if self.per_second.is_none() {
            let measured = self.sends_last_second(now);
            self.per_second = Some(measured.max(self.limits.cold_per_second.get()).max(1));
        }
        self.restart_step(now);
    }

    fn restart_step(&mut self, now: Instant) {
        self.successes = 0;
        self.step_started = now;
    }

    fn prune_recent(&mut self, now: Instant) {
        while self.recent.front().is_some_and(|&at| now.since(at) >= SECOND) {
            self.recent.pop_front();
        }
    }
}

fn cold_allowance(limits: &LeafLimits) -> (u32, u32) {
    let slots = limits.slots.get().max(1);
    let in_flight = limits.cold_in_flight.get().clamp(1, slots);
    (in_flight, limits.cold_per_second.get().max(1))
}
