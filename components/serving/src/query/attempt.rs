//! Attempts at a shard: initial attempts, hedges and retries.

use {
    super::{
        coverage::MissingReason,
        query::{Query, ShardProgress},
        response::{self, LeafResponse, ShardResponse},
        spec::{Action, AttemptResult, AttemptSpec},
    },
    crate::upstream::Refusal,
    std::mem,
    wigeonramp_units::{AttemptId, Instant, LeafId, Span},
};

/// Pause before the first new round over a shard's replicas; doubles with each round.
const ROUND_PAUSE: Span = Span::millis(20);
/// Lower bound of the hedge delay, for leaves with very low latencies.
const MIN_HEDGE_DELAY: Span = Span::millis(1);

/// An attempt that has not ended.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Index in `Query::shards`.
    pub(super) shard: usize,
    pub(super) spec: AttemptSpec,
    pub(super) hedge_at: Option<Instant>,
    /// Whether a response that does not belong to the attempt has arrived; the right one may still
    /// follow.
    mismatched: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptKind {
    Initial,
    Retry,
    Hedge,
}

impl Query {
    pub(super) fn attempt_ended(&mut self, id: AttemptId, result: AttemptResult, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            self.counters.late += 1;
            return;
        };
        let shard = attempt.shard;
        match result {
            AttemptResult::Answered(response) => self.attempt_answered(id, response, now),
            AttemptResult::NotSent(refusal) => {
                self.attempts.shift_remove(&id);
                self.attempt_failed(shard, MissingReason::NotSent(refusal), now);
            }
            AttemptResult::Refused => self.sent_attempt_failed(id, MissingReason::Refused, now),
            AttemptResult::Unknown => self.sent_attempt_failed(id, MissingReason::Lost, now),
            AttemptResult::Reset => self.sent_attempt_failed(id, MissingReason::Reset, now),
            AttemptResult::SnapshotGone => {
                let missing = (attempt.spec.leaf.clone(), attempt.spec.snapshot);
                self.missing_snapshots.insert(missing);
                self.sent_attempt_failed(id, MissingReason::SnapshotGone, now);
            }
        }
    }

    fn sent_attempt_failed(&mut self, id: AttemptId, reason: MissingReason, now: Instant) {
        self.bytes_sent = true;
        if let Some(attempt) = self.attempts.shift_remove(&id) {
            self.attempt_failed(attempt.shard, reason, now);
        }
    }

    fn attempt_answered(&mut self, id: AttemptId, response: LeafResponse, now: Instant) {
        self.bytes_sent = true;
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let shard = attempt.shard;
        if !response::matches(&attempt.spec, &self.spec.request, &self.spec.member, &response) {
            attempt.mismatched = true;
            self.counters.mismatched += 1;
            return self.attempt_failed(shard, MissingReason::Mismatch, now);
        }
        let collection = attempt.spec.collection.clone();
        self.attempts.shift_remove(&id);
        self.shards[shard].progress =
            ShardProgress::Covered(Box::new(ShardResponse { collection, response }));
        self.shards[shard].retry_at = None;
        self.cancel_attempts(|attempt| attempt.shard == shard);
        self.on_shard_settled(shard, now);
    }

    /// Cancels the open attempts for which `predicate` holds.
    pub(super) fn cancel_attempts(&mut self, predicate: impl Fn(&Attempt) -> bool) {
        let ids = self.attempts.iter().filter(|(_, attempt)| predicate(attempt)).map(|(id, _)| *id);
        for attempt in ids.collect::<Vec<_>>() {
            self.attempts.swap_remove(&attempt);
            self.bytes_sent = true;
            self.actions.push(Action::Cancel { attempt });
        }
    }

    /// Retries the shard or marks it as missing, unless another open attempt may still cover it.
    fn attempt_failed(&mut self, shard: usize, reason: MissingReason, now: Instant) {
        let state = &mut self.shards[shard];
        state.last_failure = reason;
        if !matches!(state.progress, ShardProgress::InProgress) || state.retry_at.is_some() {
            return;
        }
        if self.attempts.values().any(|a| a.shard == shard && !a.mismatched) {
            return;
        }
        if !self.retry_or_wait(shard, reason, now) {
            self.fail_shard(shard, reason, now);
        }
    }

    /// Sends a retry, schedules a new round or keeps waiting. Returns false if the shard has failed
    /// permanently.
    fn retry_or_wait(&mut self, shard: usize, reason: MissingReason, now: Instant) -> bool {
        let unsent = matches!(reason, MissingReason::NotSent(_));
        if !self.spec.idempotent && (!unsent || self.may_have_sent()) {
            // An attempt with a mismatched response stays open until the deadline.
            return self.attempts.values().any(|attempt| attempt.shard == shard);
        }
        match reason {
            MissingReason::NotSent(Refusal::Quarantined) => false,
            MissingReason::NotSent(_) => {
                self.retry_on_other_replica(shard, false, now) || self.schedule_round(shard, now)
            }
            MissingReason::SnapshotGone => self.retry_on_other_replica(shard, false, now),
            MissingReason::Reset => self.retry_after_reset(shard, now),
            _ => self.budgeted_retry(shard, now) || self.schedule_round(shard, now),
        }
    }

    /// Sends the one retry that a query may send after a reset. It runs alone at its leaf.
    fn retry_after_reset(&mut self, shard: usize, now: Instant) -> bool {
        if mem::replace(&mut self.retried_after_reset, true) {
            return false;
        }
        self.next_replica(shard).is_some()
            && self.take_retry(shard)
            && self.retry_on_other_replica(shard, true, now)
    }

    fn budgeted_retry(&mut self, shard: usize, now: Instant) -> bool {
        self.next_replica(shard).is_some()
            && self.take_retry(shard)
            && self.retry_on_other_replica(shard, false, now)
    }

    /// Takes one retry from the budgets of the query and of the collection.
    fn take_retry(&mut self, shard: usize) -> bool {
        let target = self.shards[shard].target;
        if self.retries_left == 0 || !self.spec.targets[target].budgets.retry.try_take() {
            return false;
        }
        self.retries_left -= 1;
        true
    }

    fn retry_on_other_replica(&mut self, shard: usize, alone: bool, now: Instant) -> bool {
        let Some(leaf) = self.next_replica(shard) else { return false };
        self.send(shard, leaf, AttemptKind::Retry, alone, now);
        true
    }

    /// Schedules a new round over all replicas. A canary moves on to the other shards first.
    /// Returns false if there is no new round.
    fn schedule_round(&mut self, shard: usize, now: Instant) -> bool {
        let deadline = self.targets[self.shards[shard].target].deadline;
        let canary_can_move =
            self.canary.is_some_and(|canary| canary.shards_tried < self.current_shards().len());
        let state = &mut self.shards[shard];
        let at = now + ROUND_PAUSE * (1 << state.rounds.min(6));
        if canary_can_move || at >= deadline {
            return false;
        }
        state.rounds += 1;
        state.retry_at = Some(at);
        true
    }

    /// Starts the rounds whose pause has elapsed.
    pub(super) fn start_due_rounds(&mut self, now: Instant) {
        for shard in 0..self.shards.len() {
            let state = &mut self.shards[shard];
            if state.retry_at.is_none_or(|at| at > now) {
                continue;
            }
            state.retry_at = None;
            state.tried.clear();
            let reason = state.last_failure;
            let sent = self.take_retry(shard) && self.retry_on_other_replica(shard, false, now);
            if !sent {
                self.fail_shard(shard, reason, now);
            }
        }
    }

    /// Sends hedges for the attempts whose hedge delay has elapsed.
    pub(super) fn send_due_hedges(&mut self, now: Instant) {
        let due = |attempt: &Attempt| attempt.hedge_at.is_some_and(|at| at <= now);
        let due: Vec<_> =
            self.attempts.iter().filter(|(_, a)| due(a)).map(|(id, a)| (*id, a.shard)).collect();
        for (id, shard) in due {
            let again = now + self.hedge_delay(shard, id).unwrap_or(MIN_HEDGE_DELAY);
            let sent = self.hedge(shard, now);
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.hedge_at = (!sent).then_some(again);
            }
        }
    }

    fn hedge(&mut self, shard: usize, now: Instant) -> bool {
        let Some(leaf) = self.hedge_replica(shard) else { return false };
        let budgets = &self.spec.targets[self.shards[shard].target].budgets;
        // The whole query waits for its canary, so a canary's hedge may also use the retry budget.
        let allowed = budgets.hedge.try_take() || self.canary.is_some() && self.take_retry(shard);
        if allowed {
            self.send(shard, leaf, AttemptKind::Hedge, false, now);
        }
        allowed
    }

    fn hedge_replica(&mut self, shard: usize) -> Option<LeafId> {
        let leaf = self.next_replica(shard)?;
        let info = self.view.get(&leaf)?;
        (self.view.is_warm(&leaf) && !info.ejected).then_some(leaf)
    }

    fn hedge_delay(&self, shard: usize, id: AttemptId) -> Option<Span> {
        let own = &self.attempts.get(&id)?.spec.leaf;
        let known_delay = |leaf: &LeafId| {
            self.view.get(leaf).map(|info| info.hedge_delay).filter(|delay| *delay > Span::ZERO)
        };
        let other = || self.shards[shard].replicas.iter().find_map(known_delay);
        known_delay(own).or_else(other).map(|delay| delay.max(MIN_HEDGE_DELAY))
    }

    /// Sends an attempt to the leaf's holder.
    pub(super) fn send(
        &mut self,
        shard: usize,
        leaf: LeafId,
        kind: AttemptKind,
        alone: bool,
        now: Instant,
    ) {
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let state = &mut self.shards[shard];
        state.tried.push(leaf.clone());
        let target = &self.targets[state.target];
        let spec = AttemptSpec {
            attempt: id,
            leaf,
            collection: target.pinned.collection.clone(),
            shard: state.shard.clone(),
            snapshot: target.pinned.snapshot,
            map_version: target.pinned.map_version,
            deadline: target.deadline,
            hedge: kind == AttemptKind::Hedge,
            alone,
        };
        let may_hedge =
            kind != AttemptKind::Hedge && !alone && target.hedge && self.spec.idempotent;
        match kind {
            AttemptKind::Initial => self.spec.targets[state.target].budgets.record_attempt(),
            AttemptKind::Retry => self.counters.retries += 1,
            AttemptKind::Hedge => self.counters.hedges += 1,
        }
        self.actions.push(Action::Send(spec.clone()));
        let attempt = Attempt { shard, spec, hedge_at: None, mismatched: false };
        self.attempts.insert(id, attempt);
        let hedge_at = may_hedge.then(|| self.hedge_delay(shard, id)).flatten();
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.hedge_at = hedge_at.map(|delay| now + delay);
        }
    }
}
