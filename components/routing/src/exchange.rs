//! The course of one caller's request.
//!
//! A request has one part for each shard of its route, or a single part. Each part is sent to one
//! leaf; a second one is asked when the answer is late or the first send fails, as far as the
//! route's attempts and the budget for second sends allow. A request that must not run twice is
//! sent again only when it is certain that no leaf has run it.

use {
    crate::{
        catalog::{RepeatPolicy, Route, Target},
        leaf::HealthSignal,
        leaves::LeafKey,
        merge::merge_top_k,
        overload::PartStatus,
        reply::{Cause, LeafResponse, Reply},
        state::RoutingState,
    },
    std::sync::Arc,
    wigeonramp_units::{Instant, ServiceId, Span},
};

/// Sends of one part, beyond the route's attempts, that are known not to have run.
const SPARE_TRIES: usize = 2;
/// Time kept for the answer's way to the caller when a request is given up at the caller's deadline.
const DEADLINE_MARGIN: Span = Span::millis(5);
/// When to come back after a refusal because no leaf is there.
const RETRY_NO_LEAF: Span = Span::millis(500);
/// When to come back after a refusal because leaves are full.
const RETRY_BUSY: Span = Span::millis(100);
/// When to come back after a refusal because the leaves are overloaded.
const RETRY_OVERLOAD: Span = Span::millis(400);

/// Times of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimes {
    /// When it arrived.
    pub arrived: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Part of the target latency that passes outside this host.
    pub outside: Span,
}

/// One send of one part.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptRef {
    /// Index of the part.
    pub part: usize,
    /// Index of the send within the part.
    pub no: usize,
}

/// A send that is to be made now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptSpec {
    /// Which one.
    pub at: AttemptRef,
    /// The leaf.
    pub leaf: LeafKey,
    /// Time that the leaf has.
    pub left: Span,
}

/// How a send ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// A whole answer of the leaf; not one that says that the request did not run.
    Response(LeafResponse),
    /// The leaf said that it did not run the request.
    NotRun,
    /// No byte reached the leaf.
    Unsent,
    /// The connection broke or the answer made no sense; the request may have run.
    Lost,
}

impl AttemptOutcome {
    /// Stable name for logs.
    const fn name(&self) -> &'static str {
        match self {
            AttemptOutcome::Response(answer) if answer.status < 400 => "answered",
            AttemptOutcome::Response(_) => "failed",
            AttemptOutcome::NotRun => "not_run",
            AttemptOutcome::Unsent => "unsent",
            AttemptOutcome::Lost => "lost",
        }
    }
}

#[derive(Clone, Debug)]
struct Try {
    leaf: LeafKey,
    sent: Instant,
    pending: bool,
    reached: bool,
    may_have_run: bool,
    /// The leaf said that it did not run the request.
    turned_away: bool,
    ended: Option<(Instant, &'static str)>,
}

/// A send, for the log.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTrace<'a> {
    /// The shard, or the only service.
    pub service: &'a ServiceId,
    /// The leaf.
    pub leaf: LeafKey,
    /// When it was sent.
    pub sent: Instant,
    /// When and how it ended; none while it has not.
    pub ended: Option<(Instant, &'static str)>,
}

#[derive(Clone, Debug)]
struct Part {
    service: ServiceId,
    tries: Vec<Try>,
    answer: Option<LeafResponse>,
    failure: Option<LeafResponse>,
    dead: bool,
}

impl Part {
    fn new(service: ServiceId) -> Self {
        Self { service, tries: Vec::new(), answer: None, failure: None, dead: false }
    }

    fn is_open(&self) -> bool {
        self.answer.is_none() && !self.dead
    }

    fn pending(&self) -> usize {
        self.tries.iter().filter(|t| t.pending).count()
    }

    fn runs(&self) -> usize {
        self.tries.iter().filter(|t| t.may_have_run).count()
    }
}

/// A request under way.
#[derive(Clone, Debug)]
pub struct Exchange {
    route: Arc<Route>,
    parts: Vec<Part>,
    usual: Span,
    late_at: Instant,
    reply_at: Instant,
    give_up_at: Instant,
    asked_late: bool,
    answered: usize,
    /// Late parts have been counted.
    counted: bool,
}

impl Exchange {
    /// Starts a request; the reply is there at once when it cannot be sent anywhere.
    pub fn begin(
        route: Arc<Route>,
        times: RequestTimes,
        cx: &mut RoutingState,
        now: Instant,
        sends: &mut Vec<AttemptSpec>,
    ) -> (Self, Option<Reply>) {
        let services = cx.pick_services(&route.target);
        let pace = cx.pace(&route);
        let (usual, late) = (pace.usual(now), pace.late_after(now));
        let latest = times.deadline - DEADLINE_MARGIN;
        let mut this = Self {
            parts: services.into_iter().map(Part::new).collect(),
            usual,
            late_at: now + late,
            reply_at: times.arrived + (route.target_latency - times.outside),
            give_up_at: (times.arrived + route.timeout).min(latest),
            asked_late: false,
            answered: 0,
            counted: false,
            route,
        };
        if let Some(reply) = this.refuse_hopeless(cx) {
            return (this, Some(reply));
        }
        if !cx.admits(&this.route, now) {
            let cause = Cause::Overload;
            return (this, Some(Reply::Refused { cause, retry_after: RETRY_OVERLOAD }));
        }
        for part in 0..this.parts.len() {
            cx.count_first(this.parts[part].service.clone(), now);
            if !this.send(part, cx, now, sends) {
                this.parts[part].dead = true;
            }
        }
        let reply = this.conclude(cx, now);
        (this, reply)
    }

    /// The route.
    pub fn route(&self) -> &Arc<Route> {
        &self.route
    }

    /// Parts that are in, and all parts.
    pub fn coverage(&self) -> (usize, usize) {
        (self.answered, self.parts.len())
    }

    /// Shards without an answer.
    pub fn missing(&self) -> impl Iterator<Item = &ServiceId> {
        self.parts.iter().filter(|part| part.answer.is_none()).map(|part| &part.service)
    }

    /// Sends of the shards without an answer; all sends of a request with a single part.
    pub fn open_tries(&self) -> impl Iterator<Item = AttemptTrace<'_>> {
        let is_single = !self.is_gather();
        let open = self.parts.iter().filter(move |part| is_single || part.answer.is_none());
        open.flat_map(|part| {
            part.tries.iter().map(|t| AttemptTrace {
                service: &part.service,
                leaf: t.leaf,
                sent: t.sent,
                ended: t.ended,
            })
        })
    }

    /// When `on_time` is to be called next.
    pub fn next_time(&self, now: Instant) -> Instant {
        let late = (!self.asked_late).then_some(self.late_at);
        let reply = Some(self.reply_at).filter(|at| self.is_gather() && *at > now);
        late.into_iter().chain(reply).fold(self.give_up_at, Instant::min)
    }

    /// A send has ended.
    pub fn on_end(
        &mut self,
        at: AttemptRef,
        end: AttemptOutcome,
        may_repeat: bool,
        cx: &mut RoutingState,
        now: Instant,
        sends: &mut Vec<AttemptSpec>,
    ) -> Option<Reply> {
        self.note_end(at, &end, cx, now);
        let idempotent = self.route.repeat == RepeatPolicy::Idempotent;
        let is_gather = self.is_gather();
        let part = &mut self.parts[at.part];
        let ran = !matches!(end, AttemptOutcome::NotRun | AttemptOutcome::Unsent);
        part.tries[at.no].may_have_run = ran;
        part.tries[at.no].turned_away = end == AttemptOutcome::NotRun;
        part.tries[at.no].reached = end != AttemptOutcome::Unsent;
        if !part.is_open() {
            return None;
        }
        match end {
            AttemptOutcome::Response(answer) if answer.is_success() => {
                part.answer = Some(answer);
                self.answered += 1;
                return self.conclude(cx, now);
            }
            AttemptOutcome::Response(answer) if !idempotent => {
                return Some(relay_final(answer));
            }
            AttemptOutcome::Response(answer) if !is_gather && is_final_failure(answer.status) => {
                return Some(Reply::Relayed(answer));
            }
            AttemptOutcome::Response(answer) => part.failure = Some(answer),
            AttemptOutcome::Lost if !idempotent => return Some(Reply::Failed(Cause::Broken)),
            AttemptOutcome::Lost | AttemptOutcome::NotRun | AttemptOutcome::Unsent => {}
        }
        if part.pending() > 0 {
            return None;
        }
        let repeated = may_repeat && now < self.give_up_at && self.repeat(at.part, cx, now, sends);
        if !repeated {
            self.parts[at.part].dead = true;
        }
        self.conclude(cx, now)
    }

    fn note_end(
        &mut self,
        at: AttemptRef,
        end: &AttemptOutcome,
        cx: &mut RoutingState,
        now: Instant,
    ) {
        let sent = &mut self.parts[at.part].tries[at.no];
        sent.pending = false;
        sent.ended = Some((now, end.name()));
        let (leaf, since) = (sent.leaf, sent.sent);
        let health = match end {
            AttemptOutcome::Response(answer) if answer.status < 500 => HealthSignal::Answered,
            AttemptOutcome::Response(_) | AttemptOutcome::NotRun => HealthSignal::Failed,
            AttemptOutcome::Unsent | AttemptOutcome::Lost => HealthSignal::Broken,
        };
        if health == HealthSignal::Answered {
            cx.pace(&self.route).record(now.since(since), now);
        }
        cx.leaves.ended(leaf, since, self.usual, health, now);
    }

    /// A send that outlived its request has ended, or the send is given up.
    pub fn on_late_end(
        &mut self,
        at: AttemptRef,
        end: HealthSignal,
        cx: &mut RoutingState,
        now: Instant,
    ) {
        let sent = &mut self.parts[at.part].tries[at.no];
        if !sent.pending {
            return;
        }
        sent.pending = false;
        let (leaf, since) = (sent.leaf, sent.sent);
        cx.leaves.ended(leaf, since, self.usual, end, now);
    }

    /// The time named by `next_time` has come.
    pub fn on_time(
        &mut self,
        cx: &mut RoutingState,
        now: Instant,
        sends: &mut Vec<AttemptSpec>,
    ) -> Option<Reply> {
        if now >= self.give_up_at {
            return Some(self.give_up());
        }
        if !self.asked_late && now >= self.late_at {
            self.asked_late = true;
            self.ask_second_leaves(cx, now, sends);
        }
        self.conclude(cx, now)
    }

    fn ask_second_leaves(
        &mut self,
        cx: &mut RoutingState,
        now: Instant,
        sends: &mut Vec<AttemptSpec>,
    ) {
        if self.route.repeat == RepeatPolicy::AtMostOnce || self.is_overloaded(cx) {
            return;
        }
        for index in 0..self.parts.len() {
            if self.parts[index].is_open() {
                self.ask_second_leaf(index, cx, now, sends);
            }
        }
    }

    fn ask_second_leaf(
        &mut self,
        index: usize,
        cx: &mut RoutingState,
        now: Instant,
        sends: &mut Vec<AttemptSpec>,
    ) {
        let part = &self.parts[index];
        if part.tries.len() >= self.route.attempts {
            return;
        }
        let service = part.service.clone();
        if !cx.has_room(&service, now) {
            return;
        }
        let Some(leaf) = self.untried_leaf(index, cx, now) else { return };
        if cx.leaves.is_troubled(leaf, now) {
            return;
        }
        cx.spend(&service, now);
        self.push(index, leaf, cx, now, sends);
    }

    /// Sends a part again after a failed send; false when that is not possible.
    fn repeat(
        &mut self,
        index: usize,
        cx: &mut RoutingState,
        now: Instant,
        sends: &mut Vec<AttemptSpec>,
    ) -> bool {
        let part = &self.parts[index];
        let (runs, tries) = (part.runs(), part.tries.len());
        if runs >= self.route.attempts || tries >= self.route.attempts + SPARE_TRIES {
            return false;
        }
        if self.route.repeat == RepeatPolicy::AtMostOnce && runs > 0 {
            return false;
        }
        // The first arrival at a leaf of the service is not an extra one.
        let extra = part.tries.iter().any(|t| t.reached);
        let service = part.service.clone();
        if extra && !cx.has_room(&service, now) {
            return false;
        }
        if !self.send(index, cx, now, sends) {
            return false;
        }
        if extra {
            cx.spend(&service, now);
        }
        true
    }

    fn send(
        &mut self,
        index: usize,
        cx: &mut RoutingState,
        now: Instant,
        sends: &mut Vec<AttemptSpec>,
    ) -> bool {
        let Some(leaf) = self.untried_leaf(index, cx, now) else { return false };
        self.push(index, leaf, cx, now, sends);
        true
    }

    /// The best leaf of a part that has not had it.
    fn untried_leaf(&self, index: usize, cx: &mut RoutingState, now: Instant) -> Option<LeafKey> {
        let part = &self.parts[index];
        let tried: Vec<LeafKey> = part.tries.iter().map(|t| t.leaf).collect();
        cx.choose(&part.service, &self.route.homes, &tried, self.usual, now)
    }

    fn push(
        &mut self,
        index: usize,
        leaf: LeafKey,
        cx: &mut RoutingState,
        now: Instant,
        sends: &mut Vec<AttemptSpec>,
    ) {
        cx.leaves.sent(leaf, self.usual, now);
        let part = &mut self.parts[index];
        let at = AttemptRef { part: index, no: part.tries.len() };
        part.tries.push(Try {
            leaf,
            sent: now,
            pending: true,
            reached: true,
            may_have_run: true,
            turned_away: false,
            ended: None,
        });
        sends.push(AttemptSpec { at, leaf, left: self.useful_until(cx, now).since(now) });
    }

    /// Until when a leaf may work on a part that is sent now. Overloaded leaves drop what waits beyond
    /// the target latency, in favour of requests that still can be in time.
    fn useful_until(&self, cx: &RoutingState, now: Instant) -> Instant {
        if now < self.reply_at && self.is_overloaded(cx) {
            return self.give_up_at.min(self.reply_at);
        }
        self.give_up_at
    }

    fn is_gather(&self) -> bool {
        matches!(self.route.target, Target::Gather { .. })
    }

    fn needed(&self) -> usize {
        match &self.route.target {
            Target::Gather { min_share, shards, .. } => {
                // The share is compared with a tolerance far below one shard, so that 0.75 of 20
                // is 15 whatever its binary form.
                let least = (min_share * shards.len() as f64 - 1e-9).ceil();
                (least.max(1.0) as usize).min(shards.len())
            }
            Target::One(_) => 1,
        }
    }

    fn refuse_hopeless(&self, cx: &RoutingState) -> Option<Reply> {
        let is_served = |part: &&Part| cx.leaves.serves(&part.service, &self.route.homes);
        let served = self.parts.iter().filter(is_served).count();
        if served >= self.needed() && served > 0 {
            return None;
        }
        let cause = if self.is_gather() { Cause::TooFewShards } else { Cause::NoLeaf };
        Some(Reply::Refused { cause, retry_after: RETRY_NO_LEAF })
    }

    /// The reply, if there is nothing left to wait for.
    fn conclude(&mut self, cx: &mut RoutingState, now: Instant) -> Option<Reply> {
        if !self.is_gather() {
            return self.conclude_single();
        }
        let reply = self.conclude_gather(now);
        if !self.counted && (reply.is_some() || now >= self.reply_at) {
            self.counted = true;
            self.count_late(cx, now);
        }
        reply
    }

    /// Counts the parts that are not in because their leaves are busy.
    fn count_late(&self, cx: &mut RoutingState, now: Instant) {
        let Target::Gather { shards, .. } = &self.route.target else { return };
        let due = now >= self.reply_at;
        let fate = |part: &Part| match part.tries.last() {
            _ if part.answer.is_some() => PartStatus::Settled,
            Some(last) if last.pending && due => PartStatus::Late,
            Some(last) if last.pending => PartStatus::Open,
            Some(last) if last.turned_away => PartStatus::Late,
            Some(_) | None => PartStatus::Settled,
        };
        cx.count_fates(shards, self.parts.iter().map(fate), now);
    }

    fn is_overloaded(&self, cx: &RoutingState) -> bool {
        match &self.route.target {
            Target::Gather { shards, .. } => cx.is_overloaded(shards),
            Target::One(_) => false,
        }
    }

    fn conclude_gather(&mut self, now: Instant) -> Option<Reply> {
        let needed = self.needed();
        let open = self.parts.iter().filter(|part| part.is_open()).count();
        if self.answered >= needed && (open == 0 || now >= self.reply_at) {
            return Some(self.merge());
        }
        if self.answered + open < needed {
            return Some(self.fail(Cause::TooFewShards));
        }
        None
    }

    fn conclude_single(&mut self) -> Option<Reply> {
        let part = &mut self.parts[0];
        if let Some(answer) = part.answer.take() {
            return Some(Reply::Relayed(answer));
        }
        if !part.dead {
            return None;
        }
        if let Some(failure) = part.failure.take() {
            return Some(Reply::Relayed(failure));
        }
        Some(self.fail(Cause::Broken))
    }

    fn give_up(&mut self) -> Reply {
        if self.is_gather() && self.answered >= self.needed() {
            return self.merge();
        }
        match self.parts[0].failure.take().filter(|_| !self.is_gather()) {
            Some(failure) => Reply::Relayed(failure),
            None => self.fail(Cause::TimeUp),
        }
    }

    fn fail(&self, cause: Cause) -> Reply {
        if self.parts.iter().any(|part| part.runs() > 0) {
            return Reply::Failed(cause);
        }
        Reply::Refused { cause: Cause::NotRun, retry_after: RETRY_BUSY }
    }

    fn merge(&mut self) -> Reply {
        let Target::Gather { top_k, .. } = &self.route.target else {
            return Reply::Failed(Cause::Broken);
        };
        let answers: Vec<&LeafResponse> =
            self.parts.iter().filter_map(|part| part.answer.as_ref()).collect();
        let stamps = answers.iter().filter_map(|answer| answer.stamp.clone()).collect();
        let body = merge_top_k(answers.iter().map(|answer| answer.body.as_slice()), *top_k);
        Reply::Merged { stamps, missing: self.parts.len() - answers.len(), body }
    }
}

/// Failures that another leaf would answer alike.
fn is_final_failure(status: u16) -> bool {
    (300..500).contains(&status) && status != 429 && status != 408 && status != 421
}

/// Passes an answer on for a request that must not run twice. A status that promises "not run"
/// without the leaf's word for it is not passed on.
fn relay_final(answer: LeafResponse) -> Reply {
    if answer.claims_not_run() || answer.status < 300 {
        return Reply::Failed(Cause::Broken);
    }
    Reply::Relayed(answer)
}
