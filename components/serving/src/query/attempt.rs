//! Attempts at a shard: sends, hedges and retries.

use {
    super::{
        coverage::MissingReason,
        merge::{self, LeafResponse, ShardResponse},
        query::{Progress, Query},
        spec::{Action, AttemptResult, AttemptSpec},
    },
    crate::upstream::Refusal,
    std::mem,
    wigeonramp_units::{AttemptId, Instant, LeafId, Span},
};

/// First pause before a shard's replicas are tried again; doubles with each round.
const ROUND_PAUSE: Span = Span::millis(20);
/// Shortest time before a hedge, for leaves that answer at once.
const HEDGE_MIN: Span = Span::millis(1);

/// An attempt whose end is not known.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) shard: usize,
    pub(super) send: AttemptSpec,
    pub(super) hedge_at: Option<Instant>,
    /// Whether a response that did not match came in; the right one may still follow.
    doubtful: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Kind {
    First,
    Retry,
    Hedge,
}

impl Query {
    /// Handles the end of an attempt.
    pub(super) fn partial(&mut self, id: AttemptId, result: AttemptResult, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            self.counters.late += 1;
            return;
        };
        let shard = attempt.shard;
        match result {
            AttemptResult::Answered(response) => self.answered(id, response, now),
            AttemptResult::NotSent(refusal) => {
                self.attempts.shift_remove(&id);
                self.failed(shard, MissingReason::NotSent(refusal), now);
            }
            AttemptResult::Refused => self.ended(id, MissingReason::Refused, now),
            AttemptResult::Unknown => self.ended(id, MissingReason::Lost, now),
            AttemptResult::Reset => self.ended(id, MissingReason::Reset, now),
            AttemptResult::SnapshotGone => {
                let lost = (attempt.send.leaf.clone(), attempt.send.snapshot);
                self.lost.insert(lost);
                self.ended(id, MissingReason::SnapshotGone, now);
            }
        }
    }

    fn ended(&mut self, id: AttemptId, reason: MissingReason, now: Instant) {
        self.bytes_sent = true;
        if let Some(attempt) = self.attempts.shift_remove(&id) {
            self.failed(attempt.shard, reason, now);
        }
    }

    fn answered(&mut self, id: AttemptId, response: LeafResponse, now: Instant) {
        self.bytes_sent = true;
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        let shard = attempt.shard;
        if !merge::matches(&attempt.send, &self.spec.request, &self.spec.member, &response) {
            attempt.doubtful = true;
            self.counters.mismatched += 1;
            return self.failed(shard, MissingReason::Mismatch, now);
        }
        let collection = attempt.send.collection.clone();
        self.attempts.shift_remove(&id);
        self.shards[shard].progress =
            Progress::Covered(Box::new(ShardResponse { collection, response }));
        self.shards[shard].retry_at = None;
        self.cancel_attempts(|attempt| attempt.shard == shard);
        self.shard_settled(shard, now);
    }

    /// Cancels the open attempts that `wanted` names.
    pub(super) fn cancel_attempts(&mut self, wanted: impl Fn(&Attempt) -> bool) {
        let ids = self.attempts.iter().filter(|(_, attempt)| wanted(attempt)).map(|(id, _)| *id);
        for attempt in ids.collect::<Vec<_>>() {
            self.attempts.swap_remove(&attempt);
            self.bytes_sent = true;
            self.actions.push(Action::Cancel { attempt });
        }
    }

    /// An attempt at the shard has failed; another open attempt may still cover it.
    fn failed(&mut self, shard: usize, reason: MissingReason, now: Instant) {
        let state = &mut self.shards[shard];
        state.last = reason;
        if !matches!(state.progress, Progress::Open) || state.retry_at.is_some() {
            return;
        }
        if self.attempts.values().any(|a| a.shard == shard && !a.doubtful) {
            return;
        }
        if !self.try_again(shard, reason, now) {
            self.shard_failed(shard, reason, now);
        }
    }

    fn try_again(&mut self, shard: usize, reason: MissingReason, now: Instant) -> bool {
        let unsent = matches!(reason, MissingReason::NotSent(_));
        if !self.spec.idempotent && (!unsent || self.maybe_sent()) {
            // An attempt with a response that did not match stays open until the deadline.
            return self.attempts.values().any(|attempt| attempt.shard == shard);
        }
        match reason {
            MissingReason::NotSent(Refusal::Quarantined) => false,
            MissingReason::NotSent(_) => {
                self.other_replica(shard, false, now) || self.pause(shard, now)
            }
            MissingReason::SnapshotGone => self.other_replica(shard, false, now),
            MissingReason::Reset => self.retry_after_reset(shard, now),
            _ => self.charged_retry(shard, now) || self.pause(shard, now),
        }
    }

    /// At most one retry in the whole query follows a reset, and it runs alone.
    fn retry_after_reset(&mut self, shard: usize, now: Instant) -> bool {
        if mem::replace(&mut self.reset_retried, true) {
            return false;
        }
        self.next_replica(shard).is_some()
            && self.take_retry(shard)
            && self.other_replica(shard, true, now)
    }

    fn charged_retry(&mut self, shard: usize, now: Instant) -> bool {
        self.next_replica(shard).is_some()
            && self.take_retry(shard)
            && self.other_replica(shard, false, now)
    }

    /// Takes one retry from the query's and the collection's budget.
    fn take_retry(&mut self, shard: usize) -> bool {
        let target = self.shards[shard].target;
        if self.retries_left == 0 || !self.spec.targets[target].budgets.retry.try_take() {
            return false;
        }
        self.retries_left -= 1;
        true
    }

    fn other_replica(&mut self, shard: usize, alone: bool, now: Instant) -> bool {
        let Some(leaf) = self.next_replica(shard) else { return false };
        self.send(shard, leaf, Kind::Retry, alone, now);
        true
    }

    /// Tries all replicas again after a pause. The canary first moves on to the other shards.
    fn pause(&mut self, shard: usize, now: Instant) -> bool {
        let give_up = self.targets[self.shards[shard].target].give_up;
        let others = self.canary.is_some_and(|canary| canary.tried < self.live().len());
        let state = &mut self.shards[shard];
        let at = now + ROUND_PAUSE * (1 << state.rounds.min(6));
        if others || at >= give_up {
            return false;
        }
        state.rounds += 1;
        state.retry_at = Some(at);
        true
    }

    /// Starts the rounds whose pause is over.
    pub(super) fn run_rounds(&mut self, now: Instant) {
        for shard in 0..self.shards.len() {
            let state = &mut self.shards[shard];
            if state.retry_at.is_none_or(|at| at > now) {
                continue;
            }
            state.retry_at = None;
            state.tried.clear();
            let reason = state.last;
            let sent = self.take_retry(shard) && self.other_replica(shard, false, now);
            if !sent {
                self.shard_failed(shard, reason, now);
            }
        }
    }

    /// Sends hedges for the attempts that are late for their leaf.
    pub(super) fn run_hedges(&mut self, now: Instant) {
        let due = |attempt: &Attempt| attempt.hedge_at.is_some_and(|at| at <= now);
        let due: Vec<_> =
            self.attempts.iter().filter(|(_, a)| due(a)).map(|(id, a)| (*id, a.shard)).collect();
        for (id, shard) in due {
            let again = now + self.hedge_delay(shard, id).unwrap_or(HEDGE_MIN);
            let sent = self.hedge(shard, now);
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.hedge_at = (!sent).then_some(again);
            }
        }
    }

    fn hedge(&mut self, shard: usize, now: Instant) -> bool {
        let Some(leaf) = self.hedge_replica(shard) else { return false };
        let budgets = &self.spec.targets[self.shards[shard].target].budgets;
        // The whole query waits for its canary, so it may also use the retry budget.
        let allowed = budgets.hedge.try_take() || self.canary.is_some() && self.take_retry(shard);
        if allowed {
            self.send(shard, leaf, Kind::Hedge, false, now);
        }
        allowed
    }

    fn hedge_replica(&mut self, shard: usize) -> Option<LeafId> {
        let leaf = self.next_replica(shard)?;
        let info = self.view.get(&leaf)?;
        (self.view.is_warm(&leaf) && !info.ejected).then_some(leaf)
    }

    fn hedge_delay(&self, shard: usize, id: AttemptId) -> Option<Span> {
        let own = &self.attempts.get(&id)?.send.leaf;
        let known = |leaf: &LeafId| {
            self.view.get(leaf).map(|info| info.hedge_delay).filter(|after| *after > Span::ZERO)
        };
        let other = || self.shards[shard].replicas.iter().find_map(known);
        known(own).or_else(other).map(|after| after.max(HEDGE_MIN))
    }

    /// Hands an attempt to the leaf's holder.
    pub(super) fn send(
        &mut self,
        shard: usize,
        leaf: LeafId,
        kind: Kind,
        alone: bool,
        now: Instant,
    ) {
        let id = AttemptId(self.next_attempt);
        self.next_attempt += 1;
        let state = &mut self.shards[shard];
        state.tried.push(leaf.clone());
        let target = &self.targets[state.target];
        let send = AttemptSpec {
            attempt: id,
            leaf,
            collection: target.pinned.collection.clone(),
            shard: state.shard.clone(),
            snapshot: target.pinned.snapshot,
            map_version: target.pinned.map_version,
            deadline: target.give_up,
            hedge: kind == Kind::Hedge,
            alone,
        };
        let may_hedge = kind != Kind::Hedge && !alone && target.hedge && self.spec.idempotent;
        match kind {
            Kind::First => self.spec.targets[state.target].budgets.record_attempt(),
            Kind::Retry => self.counters.retries += 1,
            Kind::Hedge => self.counters.hedges += 1,
        }
        self.actions.push(Action::Send(send.clone()));
        let attempt = Attempt { shard, send, hedge_at: None, doubtful: false };
        self.attempts.insert(id, attempt);
        let hedge_at = may_hedge.then(|| self.hedge_delay(shard, id)).flatten();
        if let Some(attempt) = self.attempts.get_mut(&id) {
            attempt.hedge_at = hedge_at.map(|delay| now + delay);
        }
    }
}
