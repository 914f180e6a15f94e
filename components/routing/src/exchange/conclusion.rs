//! When a request ends, and with which reply.

use {
    super::{Exchange, attempt::Part},
    crate::{
        catalog::Target,
        merge::merge_top_k,
        overload::PartStatus,
        reply::{Cause, LeafResponse, Reply},
        state::RoutingState,
    },
    wigeonramp_units::{Instant, Span},
};

/// Retry delay suggested to the caller when a service has no eligible leaf.
const RETRY_AFTER_NO_LEAF: Span = Span::millis(500);
/// Retry delay suggested to the caller when no leaf ran the request, mostly because leaves are
/// full.
const RETRY_AFTER_BUSY: Span = Span::millis(100);
/// Longest retry delay suggested because leaves are cold: this host's allowance follows its share
/// of the traffic and may rise before the leaves are warm.
const MAX_RETRY_AFTER_COLD: Span = Span::millis(500);
/// Longest retry delay suggested because of connections that failed. Backoffs last longer, but
/// leaves in backoff are used when the service has no others.
const MAX_RETRY_AFTER_BROKEN: Span = Span::millis(500);

impl Exchange {
    pub(super) fn is_gather(&self) -> bool {
        matches!(self.route.target, Target::Gather { .. })
    }

    pub(super) fn min_responses(&self) -> usize {
        match &self.route.target {
            Target::Gather { min_share, shards, .. } => {
                // The tolerance, far below one shard, absorbs rounding errors: 0.75 of 20 is 15.
                let required = (min_share * shards.len() as f64 - 1e-9).ceil();
                (required.max(1.0) as usize).min(shards.len())
            }
            Target::One(_) => 1,
        }
    }

    pub(super) fn refuse_unservable(&self, cx: &RoutingState, now: Instant) -> Option<Reply> {
        let (cause, retry_after) = match self.wait_for_leaves(cx, now) {
            Some(Span::ZERO) => return None,
            Some(wait) if self.wait_for_pauses(cx, now) == Some(Span::ZERO) => {
                (Cause::Cold, wait.clamp(RETRY_AFTER_BUSY, MAX_RETRY_AFTER_COLD))
            }
            Some(wait) => (Cause::Paused, wait),
            None if self.is_gather() => (Cause::TooFewShards, RETRY_AFTER_NO_LEAF),
            None => (Cause::NoLeaf, RETRY_AFTER_NO_LEAF),
        };
        Some(Reply::Refused { cause, retry_after })
    }

    /// Returns the time until enough parts have a leaf that can be sent them, as leaves may pause
    /// or be cold; none if too many have no leaf at all.
    fn wait_for_leaves(&self, cx: &RoutingState, now: Instant) -> Option<Span> {
        self.wait_of_enough(|part| cx.wait(&part.service, &self.route, now))
    }

    fn wait_for_pauses(&self, cx: &RoutingState, now: Instant) -> Option<Span> {
        self.wait_of_enough(|part| cx.leaves.wait(&part.service, &self.route.homes, now))
    }

    /// Returns the time until enough parts have a leaf that is not in backoff.
    fn wait_for_connections(&self, cx: &RoutingState, now: Instant) -> Option<Span> {
        self.wait_of_enough(|part| Some(cx.leaves.backoff(&part.service, &self.route.homes, now)))
    }

    /// Returns the time until enough parts can be sent, from the time of each part; none if too
    /// many have none.
    fn wait_of_enough(&self, wait: impl Fn(&Part) -> Option<Span>) -> Option<Span> {
        let mut waits: Vec<Span> = self.parts.iter().filter_map(wait).collect();
        waits.sort_unstable();
        waits.get(self.min_responses().max(1) - 1).copied()
    }

    /// Returns the reply once it is decided.
    pub(super) fn conclude(&mut self, cx: &mut RoutingState, now: Instant) -> Option<Reply> {
        if !self.is_gather() {
            return self.conclude_single(cx, now);
        }
        let reply = self.conclude_gather(cx, now);
        if !self.late_recorded && (reply.is_some() || now >= self.reply_at) {
            self.late_recorded = true;
            self.record_late_parts(cx, now);
        }
        reply
    }

    /// Reports to the overload controller which parts lack a response because their leaves are
    /// busy.
    pub(super) fn record_late_parts(&self, cx: &mut RoutingState, now: Instant) {
        let Target::Gather { shards, .. } = &self.route.target else { return };
        let is_due = now >= self.reply_at;
        let status = |part: &Part| match part.attempts.last() {
            _ if part.response.is_some() => PartStatus::Settled,
            Some(last) if last.running && is_due => PartStatus::Late,
            Some(last) if last.running => PartStatus::Pending,
            Some(last) if last.declined => PartStatus::Late,
            None if part.limited => PartStatus::Late,
            Some(_) | None => PartStatus::Settled,
        };
        cx.record_parts(shards, self.parts.iter().map(status), now);
    }

    pub(super) fn is_overloaded(&self, cx: &RoutingState) -> bool {
        match &self.route.target {
            Target::Gather { shards, .. } => cx.is_overloaded(shards),
            Target::One(_) => false,
        }
    }

    fn conclude_gather(&mut self, cx: &RoutingState, now: Instant) -> Option<Reply> {
        let min_responses = self.min_responses();
        let unresolved = self.parts.iter().filter(|part| part.is_unresolved()).count();
        if self.responses >= min_responses && (unresolved == 0 || now >= self.reply_at) {
            return Some(self.merge());
        }
        if self.responses + unresolved < min_responses {
            return Some(self.fail(Cause::TooFewShards, cx, now));
        }
        None
    }

    fn conclude_single(&mut self, cx: &RoutingState, now: Instant) -> Option<Reply> {
        let part = &mut self.parts[0];
        if let Some(response) = part.response.take() {
            return Some(Reply::Relayed(response));
        }
        if !part.exhausted {
            return None;
        }
        if let Some(failure) = part.failure.take() {
            return Some(Reply::Relayed(failure));
        }
        Some(self.fail(Cause::Broken, cx, now))
    }

    pub(super) fn give_up(&mut self, cx: &RoutingState, now: Instant) -> Reply {
        if self.is_gather() && self.responses >= self.min_responses() {
            return self.merge();
        }
        match self.parts[0].failure.take().filter(|_| !self.is_gather()) {
            Some(failure) => Reply::Relayed(failure),
            None => self.fail(Cause::TimeUp, cx, now),
        }
    }

    fn fail(&self, cause: Cause, cx: &RoutingState, now: Instant) -> Reply {
        if self.may_have_run() {
            return Reply::Failed(cause);
        }
        let wait = self.wait_for_leaves(cx, now).unwrap_or(RETRY_AFTER_NO_LEAF);
        let backoff = self.wait_for_connections(cx, now).unwrap_or(Span::ZERO);
        let retry_after = wait.max(backoff.min(MAX_RETRY_AFTER_BROKEN)).max(RETRY_AFTER_BUSY);
        Reply::Refused { cause: Cause::NotRun, retry_after }
    }

    /// Whether a leaf may run or have run a part.
    pub fn may_have_run(&self) -> bool {
        self.parts.iter().any(|part| part.possible_runs() > 0)
    }

    /// Returns the reply to a request that ends because this host stops. The caller may come back
    /// at once, to another host.
    pub fn stop(&self) -> Reply {
        let cause = Cause::Stopping;
        if self.may_have_run() {
            return Reply::Failed(cause);
        }
        Reply::Refused { cause, retry_after: Span::ZERO }
    }

    /// Refuses a request that cannot be answered in time when it starts.
    pub(super) fn refuse_late(&self, now: Instant) -> Option<Reply> {
        let (cause, retry_after) = (Cause::NotRun, RETRY_AFTER_BUSY);
        self.is_too_late(now).then_some(Reply::Refused { cause, retry_after })
    }

    fn merge(&mut self) -> Reply {
        let Target::Gather { top_k, .. } = &self.route.target else {
            return Reply::Failed(Cause::Broken);
        };
        let responses: Vec<&LeafResponse> =
            self.parts.iter().filter_map(|part| part.response.as_ref()).collect();
        let stamps = responses.iter().filter_map(|response| response.stamp.clone()).collect();
        let body = merge_top_k(responses.iter().map(|response| response.body.as_slice()), *top_k);
        Reply::Merged { stamps, missing: self.parts.len() - responses.len(), body }
    }
}
