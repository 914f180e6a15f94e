//! Allowance of a leaf: grows by success, falls by faults.

use {
    super::limits::{Allowance, RAMP_STEP, STEP_SUCCESSES},
    std::{collections::VecDeque, iter},
    wigeonramp_config::LeafLimits,
    wigeonramp_units::{Instant, PerSecond, Slots, Span},
};

/// Bound on a count that another host reports.
const MAX_SPENT: u32 = 100_000;
const SECOND: Span = Span::secs(1);

#[derive(Debug)]
pub(super) struct Ramp {
    limits: LeafLimits,
    in_flight: u32,
    /// `None` when warm.
    per_second: Option<u32>,
    successes: u32,
    step_started: Instant,
    /// Sends before this time say nothing about the present cold start.
    cold_since: Instant,
    /// Answers that are missing before the cold state ends.
    cold_left: u32,
    /// Times of sends and connects within the last second.
    recent: VecDeque<Instant>,
    /// Allowance to return to when a silent connection explains the overdue answer.
    before_doubt: Option<(u32, Option<u32>)>,
    /// Until when another holder may still send to the leaf.
    capped_until: Option<Instant>,
}

impl Ramp {
    pub(super) fn new(limits: LeafLimits, now: Instant) -> Self {
        let (in_flight, per_second) = cold(&limits);
        Self {
            cold_since: now,
            cold_left: limits.cold_answers,
            limits,
            in_flight,
            per_second: Some(per_second),
            successes: 0,
            step_started: now,
            recent: VecDeque::new(),
            before_doubt: None,
            capped_until: None,
        }
    }

    pub(super) fn cap_until(&mut self, until: Instant) {
        self.capped_until = Some(until);
    }

    pub(super) fn go_cold(&mut self, now: Instant) {
        self.lower_to_cold();
        self.before_doubt = None;
        self.cold_since = now;
        self.cold_left = self.limits.cold_answers;
        self.restart_step(now);
    }

    fn lower_to_cold(&mut self) {
        let (in_flight, per_second) = cold(&self.limits);
        // A halved allowance may be lower; only a success raises it.
        self.in_flight = self.in_flight.min(in_flight);
        self.per_second = Some(self.per_second.map_or(per_second, |rate| rate.min(per_second)));
    }

    pub(super) fn is_warm(&self) -> bool {
        self.per_second.is_none()
    }

    pub(super) fn is_cold(&self) -> bool {
        let (in_flight, per_second) = cold(&self.limits);
        self.in_flight <= in_flight && self.per_second.is_some_and(|n| n <= per_second)
    }

    pub(super) fn allowance(&self, now: Instant) -> Allowance {
        let capped = self.capped_until.is_some_and(|until| now < until);
        let cap = if capped { cold(&self.limits).0.saturating_sub(1).max(1) } else { u32::MAX };
        Allowance {
            in_flight: Slots(self.in_flight.min(cap)),
            per_second: self.per_second.map(PerSecond),
        }
    }

    pub(super) fn restore(&mut self, allowance: Allowance, now: Instant) {
        self.in_flight = allowance.in_flight.get().clamp(1, self.limits.slots.get().max(1));
        self.per_second = allowance.per_second.map(PerSecond::get);
        // The last holder does not say how many answers a cold leaf has given: count from scratch.
        self.cold_left = if self.is_cold() { self.limits.cold_answers } else { 0 };
        self.restart_step(now);
    }

    /// Counts a send or a connect.
    pub(super) fn spent(&mut self, now: Instant) {
        self.forget(now);
        self.recent.push_back(now);
    }

    pub(super) fn spent_last_second(&mut self, now: Instant) -> u32 {
        self.forget(now);
        u32::try_from(self.recent.len()).unwrap_or(u32::MAX)
    }

    /// Counts what the last holder sent within the last second.
    pub(super) fn spent_elsewhere(&mut self, count: u32, now: Instant) {
        let count = count.min(MAX_SPENT) as usize;
        self.recent.extend(iter::repeat_n(now, count));
    }

    /// When the next send or connect fits into the rate; `now` or earlier if it fits at once.
    pub(super) fn rate_room(&mut self, now: Instant) -> Instant {
        self.forget(now);
        let Some(limit) = self.per_second else { return now };
        let limit = limit.max(1) as usize;
        if self.recent.len() < limit {
            return now;
        }
        self.recent[self.recent.len() - limit] + SECOND
    }

    /// Counts a timely answer of a leaf that is not busy to a request sent at `sent`.
    pub(super) fn success(&mut self, sent: Instant, service: Span, now: Instant) {
        if let Some((in_flight, per_second)) = self.before_doubt.take() {
            self.in_flight = in_flight;
            self.per_second = per_second;
        }
        if self.cold_left > 0 {
            // The allowance before an overdue answer may date from before the cold start.
            self.lower_to_cold();
            self.cold_left -= u32::from(sent >= self.cold_since);
        }
        let Some(rate) = self.per_second else { return };
        self.successes += 1;
        let wanted = (rate / 2).clamp(1, STEP_SUCCESSES);
        let capped = self.capped_until.is_some_and(|until| now < until);
        let cold = self.cold_left > 0;
        if cold || capped || self.successes < wanted || now.since(self.step_started) < RAMP_STEP {
            return;
        }
        self.grow(rate, service);
        self.restart_step(now);
    }

    fn grow(&mut self, rate: u32, service: Span) {
        let slots = self.limits.slots.get().max(1);
        self.in_flight = self.in_flight.saturating_mul(2).min(slots);
        let rate = rate.saturating_mul(2);
        // Above this rate the slots are the tighter limit, so lifting it adds no load.
        let slots_rate = u64::from(slots) * SECOND.0 / service.0.max(1);
        let warm = self.in_flight == slots && u64::from(rate) >= slots_rate;
        self.per_second = (!warm).then_some(rate);
    }

    /// Halves the allowance.
    pub(super) fn halve(&mut self, now: Instant) {
        self.per_second = Some(match self.per_second {
            Some(rate) => (rate / 2).max(1),
            None => self.half_of_measured(now),
        });
        self.in_flight = (self.in_flight / 2).max(1);
        self.restart_step(now);
    }

    /// Half of the present rate. Half of that stays free at once: a warm leaf would otherwise get
    /// nothing, not even the probe, for half a second.
    fn half_of_measured(&mut self, now: Instant) -> u32 {
        let floor = self.limits.cold_per_second.get().max(1);
        let rate = (self.spent_last_second(now) / 2).max(floor);
        while self.recent.len() > rate as usize / 2 {
            self.recent.pop_front();
        }
        rate
    }

    /// The allowance before a halving, for `forgive`; across several overdue answers, the first.
    pub(super) fn mark(&self) -> (u32, Option<u32>) {
        self.before_doubt.unwrap_or((self.in_flight, self.per_second))
    }

    /// Returns to `mark` with the next success.
    pub(super) fn forgive(&mut self, mark: (u32, Option<u32>)) {
        self.before_doubt = Some(mark);
    }

    /// The leaf itself was slow: the halved allowance stays.
    pub(super) fn blame(&mut self) {
        self.before_doubt = None;
    }

    pub(super) fn lower_to(&mut self, slots: Slots, now: Instant) {
        if slots.get() >= self.in_flight {
            return;
        }
        self.in_flight = slots.get().max(1);
        self.before_doubt = None;
        if self.per_second.is_none() {
            let measured = self.spent_last_second(now);
            self.per_second = Some(measured.max(self.limits.cold_per_second.get()).max(1));
        }
        self.restart_step(now);
    }

    fn restart_step(&mut self, now: Instant) {
        self.successes = 0;
        self.step_started = now;
    }

    fn forget(&mut self, now: Instant) {
        while self.recent.front().is_some_and(|&at| now.since(at) >= SECOND) {
            self.recent.pop_front();
        }
    }
}

fn cold(limits: &LeafLimits) -> (u32, u32) {
    let slots = limits.slots.get().max(1);
    let in_flight = limits.cold_in_flight.get().clamp(1, slots);
    (in_flight, limits.cold_per_second.get().max(1))
}
