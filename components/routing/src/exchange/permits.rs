//! Parts whose leaves all name request limits.
//!
//! A part waits some milliseconds for a permit if one has just been requested. A request that lacks
//! permits for too many parts is not sent at all; it is refused at once if no permits are expected.

use {
    super::{AttemptSpec, Exchange},
    crate::{
        reply::{Cause, Reply},
        state::RoutingState,
    },
    wigeonramp_units::{Instant, Span},
};

/// Longest wait for a permit; hosts respond to each other within a few milliseconds.
const MAX_PERMIT_WAIT: Span = Span::millis(20);
/// Part of the time until the reply that a gathered request waits at most, in percent.
const MAX_PERMIT_WAIT_PERCENT: u64 = 33;
/// Shortest retry delay suggested to the caller.
const MIN_RETRY_AFTER: Span = Span::millis(100);
/// Longest retry delay suggested to the caller.
const MAX_RETRY_AFTER: Span = Span::millis(2_000);

/// Permits that a request lacks.
struct Shortage {
    /// Number of parts for which permits are lacking to reach the minimum share.
    missing: usize,
    /// Number of parts without a permit that may get one within moments.
    expected: usize,
    /// Expected times until permits for parts without one, the shortest first.
    waits: Vec<Span>,
}

impl Exchange {
    /// Whether parts wait for permits.
    pub fn awaits_permits(&self) -> bool {
        self.permits_until.is_some()
    }

    /// Marks the parts that have no permit, and records that they want one.
    pub(super) fn record_permit_demand(&mut self, cx: &mut RoutingState, now: Instant) {
        if cx.limits.is_empty() {
            return;
        }
        for part in &mut self.parts {
            part.limited = cx.permit_wait(&part.service, &self.route, now).is_some();
            if part.limited {
                cx.record_permit_demand(&part.service, &self.route, now);
            }
        }
    }

    /// Starts the request if there are permits for enough parts. Otherwise it waits if permits are
    /// expected within moments, or is refused.
    pub(super) fn start_or_wait(
        &mut self,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) -> Option<Reply> {
        let shortage = self.permit_shortage(cx, now);
        let time = self.reply_at.since(now).percent(MAX_PERMIT_WAIT_PERCENT).min(MAX_PERMIT_WAIT);
        let until = *self.permits_until.get_or_insert(now + time);
        if shortage.missing == 0 {
            self.start_parts(cx, now, new_attempts);
            self.end_wait(cx, now);
            return self.conclude(cx, now);
        }
        if now < until && shortage.expected >= shortage.missing {
            return None;
        }
        self.permits_until = None;
        Some(self.refuse_limited(&shortage, cx, now))
    }

    /// Starts the parts for which permits have arrived; called after a grant and at the end of the
    /// wait.
    pub fn on_permits(
        &mut self,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) -> Option<Reply> {
        if !self.started {
            return self.start_or_wait(cx, now, new_attempts);
        }
        for index in 0..self.parts.len() {
            let part = &self.parts[index];
            if part.limited && part.attempts.is_empty() && part.is_unresolved() {
                self.start_part(index, cx, now, new_attempts);
            }
        }
        self.end_wait(cx, now);
        self.conclude(cx, now)
    }

    /// Whether a part has no permit yet, but may get one before the end of the wait.
    pub(super) fn awaits_permit(&self, index: usize, cx: &RoutingState, now: Instant) -> bool {
        self.permits_until.is_some_and(|until| now < until)
            && self.lacks_permit(index, cx, now)
            && cx.is_permit_expected(&self.parts[index].service, &self.route, now)
    }

    pub(super) fn lacks_permit(&self, index: usize, cx: &RoutingState, now: Instant) -> bool {
        let part = &self.parts[index];
        part.limited && cx.permit_wait(&part.service, &self.route, now).is_some()
    }

    /// Ends the wait if no part waits any more.
    fn end_wait(&mut self, cx: &RoutingState, now: Instant) {
        let mut waiting = 0..self.parts.len();
        let is_waiting = |index: usize| {
            let part = &self.parts[index];
            part.attempts.is_empty() && part.is_unresolved() && self.awaits_permit(index, cx, now)
        };
        if !waiting.any(is_waiting) {
            self.permits_until = None;
        }
    }

    fn permit_shortage(&self, cx: &RoutingState, now: Instant) -> Shortage {
        let mut shortage = Shortage { missing: 0, expected: 0, waits: Vec::new() };
        if !self.parts.iter().any(|part| part.limited) {
            return shortage;
        }
        let mut available = 0;
        for part in &self.parts {
            match cx.permit_wait(&part.service, &self.route, now).filter(|_| part.limited) {
                Some(wait) => {
                    shortage.waits.push(wait);
                    let is_expected = cx.is_permit_expected(&part.service, &self.route, now);
                    shortage.expected += usize::from(is_expected);
                }
                None => {
                    let is_served = cx.wait(&part.service, &self.route, now) == Some(Span::ZERO);
                    available += usize::from(is_served);
                }
            }
        }
        shortage.waits.sort_unstable();
        shortage.missing = self.min_responses().saturating_sub(available).min(shortage.waits.len());
        shortage
    }

    fn refuse_limited(&self, shortage: &Shortage, cx: &mut RoutingState, now: Instant) -> Reply {
        self.record_late_parts(cx, now);
        let wait = shortage.waits.get(shortage.missing - 1).copied().unwrap_or(MAX_RETRY_AFTER);
        let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
        Reply::Refused { cause: Cause::Limited, retry_after }
    }
}
