//! Warm-up ramp of a leaf: its limits on concurrency and rate (the allowance).
//!
//! After a cold start, the allowance stays at the configured cold values until enough responses have
//! arrived, and then doubles step by step with successful responses. The leaf is warm once the
//! concurrency limit has reached the leaf's slots and no rate limit is needed. Overdue responses and
//! reports of overload halve the allowance.

use {
    super::types::{Allowance, MAX_STEP_SUCCESSES, MIN_STEP_TIME},
    std::{collections::VecDeque, iter},
    wigeonramp_config::LeafLimits,
    wigeonramp_units::{Instant, PerSecond, Slots, Span},
};

/// Maximum number of recent sends that are accepted from the previous holder in a handover.
const MAX_HANDED_OVER_SENDS: u32 = 100_000;
const SECOND: Span = Span::secs(1);

#[derive(Debug)]
pub(super) struct Ramp {
    limits: LeafLimits,
    /// Maximum number of concurrent requests.
    in_flight_limit: u32,
    /// Maximum number of requests and connects per second; `None` (no limit) when warm.
    rate_limit: Option<u32>,
    /// Successes since the allowance last changed, which starts a new step.
    successes: u32,
    step_started: Instant,
    /// Time of the last cold start; responses to requests sent before it do not count towards the
    /// end of the cold state.
    cold_since: Instant,
    /// Number of responses still required before the cold state ends.
    cold_responses_left: u32,
    /// Times of sends and connects within the last second.
    recent_sends: VecDeque<Instant>,
    /// Limits on concurrency and rate to restore with the next success. Set after an overdue
    /// response that was due to a silent connection and not to the leaf.
    restorable: Option<(u32, Option<u32>)>,
    /// Until when the previous holder may still send a request to the leaf.
    capped_until: Option<Instant>,
}

impl Ramp {
    pub(super) fn new(limits: LeafLimits, now: Instant) -> Self {
        let (in_flight, per_second) = cold_allowance(&limits);
        Self {
            cold_since: now,
            cold_responses_left: limits.cold_answers,
            limits,
            in_flight_limit: in_flight,
            rate_limit: Some(per_second),
            successes: 0,
            step_started: now,
            recent_sends: VecDeque::new(),
            restorable: None,
            capped_until: None,
        }
    }

    /// Until `until`, keeps the concurrency limit one below that of a cold leaf (but at least one)
    /// and does not raise the allowance.
    pub(super) fn cap_until(&mut self, until: Instant) {
        self.capped_until = Some(until);
    }

    /// Restarts the warm-up; an allowance below the cold one stays.
    pub(super) fn go_cold(&mut self, now: Instant) {
        self.lower_to_cold();
        self.restorable = None;
        self.cold_since = now;
        self.cold_responses_left = self.limits.cold_answers;
        self.restart_step(now);
    }

    fn lower_to_cold(&mut self) {
        let (in_flight, per_second) = cold_allowance(&self.limits);
        // After halvings the allowance may already be below the cold one; only a success may raise
        // it.
        self.in_flight_limit = self.in_flight_limit.min(in_flight);
        self.rate_limit = Some(self.rate_limit.map_or(per_second, |rate| rate.min(per_second)));
    }

    pub(super) fn is_warm(&self) -> bool {
        self.rate_limit.is_none()
    }

    pub(super) fn is_cold(&self) -> bool {
        let (in_flight, per_second) = cold_allowance(&self.limits);
        self.in_flight_limit <= in_flight && self.rate_limit.is_some_and(|n| n <= per_second)
    }

    pub(super) fn allowance(&self, now: Instant) -> Allowance {
        let capped = self.capped_until.is_some_and(|until| now < until);
        let cap =
            if capped { cold_allowance(&self.limits).0.saturating_sub(1).max(1) } else { u32::MAX };
        Allowance {
            in_flight: Slots(self.in_flight_limit.min(cap)),
            per_second: self.rate_limit.map(PerSecond),
        }
    }

    /// Adopts the allowance that the previous holder handed over.
    pub(super) fn restore(&mut self, allowance: Allowance, now: Instant) {
        self.in_flight_limit = allowance.in_flight.get().clamp(1, self.limits.slots.get().max(1));
        self.rate_limit = allowance.per_second.map(PerSecond::get);
        // The previous holder does not report how many responses a cold leaf has given, so the
        // count starts from scratch.
        self.cold_responses_left = if self.is_cold() { self.limits.cold_answers } else { 0 };
        self.restart_step(now);
    }

    /// Counts a send or a connect against the rate.
    pub(super) fn record_send(&mut self, now: Instant) {
        self.prune_recent_sends(now);
        self.recent_sends.push_back(now);
    }

    pub(super) fn sends_last_second(&mut self, now: Instant) -> u32 {
        self.prune_recent_sends(now);
        u32::try_from(self.recent_sends.len()).unwrap_or(u32::MAX)
    }

    /// Counts `count` sends of the previous holder against the rate, as if they were made at `now`.
    pub(super) fn record_handed_over_sends(&mut self, count: u32, now: Instant) {
        let count = count.min(MAX_HANDED_OVER_SENDS) as usize;
        self.recent_sends.extend(iter::repeat_n(now, count));
    }

    /// Returns when the rate permits the next send or connect; `now` if it permits one at once.
    pub(super) fn next_send_at(&mut self, now: Instant) -> Instant {
        self.prune_recent_sends(now);
        let Some(limit) = self.rate_limit else { return now };
        let limit = limit.max(1) as usize;
        if self.recent_sends.len() < limit {
            return now;
        }
        self.recent_sends[self.recent_sends.len() - limit] + SECOND
    }

    /// Counts a timely response of a leaf that is not busy. `sent` is the time of the request. Raises
    /// the allowance if the step has lasted long enough and has had enough successes.
    pub(super) fn success(&mut self, sent: Instant, service_time: Span, now: Instant) {
        if let Some((in_flight, per_second)) = self.restorable.take() {
            self.in_flight_limit = in_flight;
            self.rate_limit = per_second;
        }
        if self.cold_responses_left > 0 {
            // The allowance just restored may date from before the cold start.
            self.lower_to_cold();
            self.cold_responses_left -= u32::from(sent >= self.cold_since);
        }
        let Some(rate) = self.rate_limit else { return };
        self.successes += 1;
        let required = (rate / 2).clamp(1, MAX_STEP_SUCCESSES);
        let capped = self.capped_until.is_some_and(|until| now < until);
        let cold = self.cold_responses_left > 0;
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

    /// Doubles the allowance, and removes the rate limit once it is not needed.
    fn raise(&mut self, rate: u32, service_time: Span) {
        let slots = self.limits.slots.get().max(1);
        self.in_flight_limit = self.in_flight_limit.saturating_mul(2).min(slots);
        let rate = rate.saturating_mul(2);
        // Rate at which all slots are busy. From this rate on, the slots are the tighter limit, so
        // removing the rate limit adds no load.
        let saturation_rate = u64::from(slots) * SECOND.0 / service_time.0.max(1);
        let warm = self.in_flight_limit == slots && u64::from(rate) >= saturation_rate;
        self.rate_limit = (!warm).then_some(rate);
    }

    /// Halves the allowance; a warm leaf gets a rate limit of half its measured rate.
    pub(super) fn halve(&mut self, now: Instant) {
        self.rate_limit = Some(match self.rate_limit {
            Some(rate) => (rate / 2).max(1),
            None => self.halve_measured_rate(now),
        });
        self.in_flight_limit = (self.in_flight_limit / 2).max(1);
        self.restart_step(now);
    }

    /// Returns half of the rate measured in the last second (at least the cold rate) as the limit of
    /// a leaf that was warm. Discards the oldest recent sends, so that half of the new limit is
    /// available at once. Otherwise the leaf would get no request for half a second, not even the
    /// probe that checks whether it still answers.
    fn halve_measured_rate(&mut self, now: Instant) -> u32 {
        let floor = self.limits.cold_per_second.get().max(1);
        let rate = (self.sends_last_second(now) / 2).max(floor);
        while self.recent_sends.len() > rate as usize / 2 {
            self.recent_sends.pop_front();
        }
        rate
    }

    /// Returns the allowance to pass to `restore_on_success` if an overdue response turns out to be
    /// due to a silent connection. To be called before `halve`; if an earlier allowance already
    /// waits to be restored, returns that one instead of the halved one.
    pub(super) fn allowance_to_restore(&self) -> (u32, Option<u32>) {
        self.restorable.unwrap_or((self.in_flight_limit, self.rate_limit))
    }

    /// Restores `allowance` with the next success.
    pub(super) fn restore_on_success(&mut self, allowance: (u32, Option<u32>)) {
        self.restorable = Some(allowance);
    }

    /// Keeps the halved allowance, because the leaf itself was slow: cancels `restore_on_success`.
    pub(super) fn keep_lowered(&mut self) {
        self.restorable = None;
    }

    /// Lowers the concurrency limit to the number of slots that the leaf reports. A warm leaf also
    /// gets its measured rate (at least the cold rate) as rate limit.
    pub(super) fn lower_to(&mut self, slots: Slots, now: Instant) {
        if slots.get() >= self.in_flight_limit {
            return;
        }
        self.in_flight_limit = slots.get().max(1);
        self.restorable = None;
        if self.rate_limit.is_none() {
            let measured = self.sends_last_second(now);
            self.rate_limit = Some(measured.max(self.limits.cold_per_second.get()).max(1));
        }
        self.restart_step(now);
    }

    fn restart_step(&mut self, now: Instant) {
        self.successes = 0;
        self.step_started = now;
    }

    fn prune_recent_sends(&mut self, now: Instant) {
        while self.recent_sends.front().is_some_and(|&at| now.since(at) >= SECOND) {
            self.recent_sends.pop_front();
        }
    }
}

/// Limits on concurrency and rate of a cold leaf.
fn cold_allowance(limits: &LeafLimits) -> (u32, u32) {
    let slots = limits.slots.get().max(1);
    let in_flight = limits.cold_in_flight.get().clamp(1, slots);
    (in_flight, limits.cold_per_second.get().max(1))
}
