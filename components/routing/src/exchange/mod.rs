//! State machine of one caller's request.
//!
//! A request has one part for each shard of its route, or a single part. Each part is sent to one
//! leaf. A part is sent to another leaf when the response is overdue (a hedge) or the attempt fails
//! (a retry), within the route's attempts and the budget for extra attempts. A request that is not
//! idempotent is sent again only when it is certain that no leaf has run it.

mod attempt;
mod conclusion;
mod permits;

pub use attempt::{AttemptOutcome, AttemptRef, AttemptSpec, AttemptTrace};

use {
    crate::{
        catalog::{RepeatPolicy, Route},
        fair_shares::AccountShare,
        leaf::HealthSignal,
        leaves::LeafKey,
        queue::Urgency,
        releases::counting::AttemptEnd,
        reply::{Cause, LeafResponse, Reply},
        state::RoutingState,
    },
    attempt::{Attempt, Part},
    std::sync::Arc,
    wigeonramp_units::{Instant, ServiceId, Span},
};

/// Additional attempts of one part that make up for attempts known not to have run.
const SPARE_ATTEMPTS: usize = 2;
/// Time reserved for the reply to reach the caller when a request is given up at its deadline.
const DEADLINE_MARGIN: Span = Span::millis(5);
/// Retry delay suggested to the caller when the leaves are overloaded.
const RETRY_AFTER_OVERLOAD: Span = Span::millis(400);

/// Time before its deadline until which an attempt may leave a queue, in percent of the typical
/// latency. Few responses take less than half of the median.
const MIN_TIME_LEFT_PERCENT: u64 = 50;

/// Times of one request.
#[derive(Clone, Copy, Debug)]
pub struct RequestTimes {
    /// Arrival at this host.
    pub arrived: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Part of the target latency spent outside this host.
    pub caller_overhead: Span,
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Exchange {
    route: Arc<Route>,
    parts: Vec<Part>,
    typical_latency: Span,
    hedge_at: Instant,
    reply_at: Instant,
    give_up_at: Instant,
    hedged: bool,
    responses: usize,
    /// Whether the late parts were reported to the overload controller.
    late_recorded: bool,
    /// Whether parts were sent, as there were permits for enough of them.
    started: bool,
    /// Time until which parts wait for permits; none if no part does.
    permits_until: Option<Instant>,
}

impl Exchange {
    /// Starts a request of no account with a quota; see `begin_for`.
    pub fn begin(
        route: Arc<Route>,
        times: RequestTimes,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) -> (Self, Option<Reply>) {
        Self::begin_for(route, None, times, cx, now, new_attempts)
    }

    /// Starts a request of an account. Returns a reply at once when the request cannot be sent or
    /// is refused, and appends the first attempts to `new_attempts`.
    pub fn begin_for(
        route: Arc<Route>,
        account: Option<AccountShare>,
        times: RequestTimes,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) -> (Self, Option<Reply>) {
        let services = cx.pick_services(&route.target);
        let latency = cx.latency(&route);
        let (typical_latency, hedge_delay) = (latency.typical(now), latency.hedge_delay(now));
        let latest = times.deadline - DEADLINE_MARGIN;
        let mut this = Self {
            parts: services.into_iter().map(Part::new).collect(),
            typical_latency,
            hedge_at: now + hedge_delay,
            reply_at: times.arrived + (route.target_latency - times.caller_overhead),
            give_up_at: (times.arrived + route.timeout).min(latest),
            hedged: false,
            responses: 0,
            late_recorded: false,
            started: false,
            permits_until: None,
            route,
        };
        if let Some(reply) = this.refuse_late(now).or_else(|| this.refuse_unservable(cx, now)) {
            return (this, Some(reply));
        }
        if !cx.admits(&this.route, account, now) {
            let cause = Cause::Overload;
            return (this, Some(Reply::Refused { cause, retry_after: RETRY_AFTER_OVERLOAD }));
        }
        this.record_permit_demand(cx, now);
        let reply = this.start_or_wait(cx, now, new_attempts);
        (this, reply)
    }

    /// Starts all parts that can be sent.
    fn start_parts(
        &mut self,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) {
        self.started = true;
        for index in 0..self.parts.len() {
            cx.count_request(self.parts[index].service.clone(), now);
            self.start_part(index, cx, now, new_attempts);
        }
    }

    /// Sends a part, unless it waits for a permit. Without a leaf or a permit it is exhausted.
    fn start_part(
        &mut self,
        index: usize,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) {
        if self.awaits_permit(index, cx, now) {
            return;
        }
        if self.lacks_permit(index, cx, now) || !self.start_attempt(index, cx, now, new_attempts) {
            self.parts[index].exhausted = true;
        }
    }

    /// Returns the route.
    pub fn route(&self) -> &Arc<Route> {
        &self.route
    }

    /// Returns the number of parts with a response and the number of all parts.
    pub fn coverage(&self) -> (usize, usize) {
        (self.responses, self.parts.len())
    }

    /// Returns the shards without a response.
    pub fn missing(&self) -> impl Iterator<Item = &ServiceId> {
        self.parts.iter().filter(|part| part.response.is_none()).map(|part| &part.service)
    }

    /// Returns the attempts of the shards without a response, or all attempts of a request with a
    /// single part.
    pub fn attempt_traces(&self) -> impl Iterator<Item = AttemptTrace<'_>> {
        let is_single = !self.is_gather();
        let logged = self.parts.iter().filter(move |part| is_single || part.response.is_none());
        logged.flat_map(|part| {
            part.attempts.iter().map(|attempt| AttemptTrace {
                service: &part.service,
                leaf: attempt.leaf,
                sent: attempt.sent,
                ended: attempt.ended,
            })
        })
    }

    /// Returns the time at which `on_timer` is to be called next.
    pub fn next_timer_at(&self, now: Instant) -> Instant {
        let hedge = (!self.hedged && self.started).then_some(self.hedge_at);
        let reply = Some(self.reply_at).filter(|at| self.is_gather() && *at > now);
        let times = hedge.into_iter().chain(reply).chain(self.permits_until);
        times.fold(self.give_up_at, Instant::min)
    }

    /// Records that bytes of an attempt were written to a connection, so that the leaf may run it.
    pub fn on_written(&mut self, at: AttemptRef) {
        self.parts[at.part].attempts[at.number].may_have_run = true;
    }

    /// Returns the attempts of which nothing was written yet. They must be withdrawn when the reply
    /// is sent, as it may say that the request never runs.
    pub fn unwritten(&self) -> Vec<AttemptRef> {
        let parts = self.parts.iter().enumerate();
        let attempts = parts.flat_map(|(part, state)| {
            let of_part = state.attempts.iter().enumerate();
            of_part.map(move |(number, attempt)| (AttemptRef { part, number }, attempt))
        });
        let unwritten = attempts.filter(|(_, attempt)| attempt.running && !attempt.may_have_run);
        unwritten.map(|(at, _)| at).collect()
    }

    /// Records the outcome of an attempt. Retries the part if `may_retry`, the route and the
    /// budget allow it; returns the reply once it is decided.
    pub fn on_outcome(
        &mut self,
        at: AttemptRef,
        outcome: AttemptOutcome,
        may_retry: bool,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) -> Option<Reply> {
        self.record_outcome(at, &outcome, cx, now);
        let idempotent = self.route.repeat == RepeatPolicy::Idempotent;
        let is_gather = self.is_gather();
        let part = &mut self.parts[at.part];
        let attempt = &mut part.attempts[at.number];
        attempt.reached_leaf =
            !matches!(outcome, AttemptOutcome::Unsent | AttemptOutcome::Withheld);
        attempt.declined = outcome == AttemptOutcome::NotRun;
        attempt.may_have_run = attempt.reached_leaf && !attempt.declined;
        if !part.is_unresolved() {
            return None;
        }
        match outcome {
            AttemptOutcome::Response(response) if response.is_success() => {
                part.response = Some(response);
                self.responses += 1;
                return self.conclude(cx, now);
            }
            AttemptOutcome::Response(response) if !idempotent => {
                return Some(relay_non_idempotent(response));
            }
            AttemptOutcome::Response(response)
                if !is_gather && is_final_failure(response.status) =>
            {
                return Some(Reply::Relayed(response));
            }
            AttemptOutcome::Response(response) => part.failure = Some(response),
            AttemptOutcome::Lost if !idempotent => return Some(Reply::Failed(Cause::Broken)),
            AttemptOutcome::Lost
            | AttemptOutcome::NotRun
            | AttemptOutcome::Unsent
            | AttemptOutcome::Withheld => {}
        }
        if part.running() > 0 {
            return None;
        }
        let retried =
            may_retry && !self.is_too_late(now) && self.retry(at.part, cx, now, new_attempts);
        if !retried {
            self.parts[at.part].exhausted = true;
        }
        self.conclude(cx, now)
    }

    fn record_outcome(
        &mut self,
        at: AttemptRef,
        outcome: &AttemptOutcome,
        cx: &mut RoutingState,
        now: Instant,
    ) {
        let attempt = &mut self.parts[at.part].attempts[at.number];
        attempt.running = false;
        attempt.ended = Some((now, outcome.name()));
        let (leaf, since) = (attempt.leaf, attempt.sent);
        let health = outcome.health();
        if health == HealthSignal::Answered {
            cx.latency(&self.route).record(now.since(since), now);
        }
        cx.leaves.on_ended(leaf, since, self.typical_latency, health, now);
        let end = match outcome {
            AttemptOutcome::Response(response) if response.status < 400 => AttemptEnd::Answered,
            AttemptOutcome::Response(_) => AttemptEnd::Failed,
            AttemptOutcome::NotRun | AttemptOutcome::Unsent | AttemptOutcome::Lost => {
                AttemptEnd::Broken
            }
            AttemptOutcome::Withheld => return,
        };
        self.record_end(at, end, cx, now);
    }

    /// Records the end of an attempt for the release of its service.
    fn record_end(&self, at: AttemptRef, end: AttemptEnd, cx: &mut RoutingState, now: Instant) {
        let part = &self.parts[at.part];
        let attempt = &part.attempts[at.number];
        let latency = now.since(attempt.sent);
        cx.record_end(&part.service, &self.route, attempt.leaf, end, latency, now);
    }

    /// Records the outcome of an attempt whose response is no longer needed.
    pub fn on_discarded_outcome(
        &mut self,
        at: AttemptRef,
        signal: HealthSignal,
        cx: &mut RoutingState,
        now: Instant,
    ) {
        let attempt = &mut self.parts[at.part].attempts[at.number];
        if !attempt.running {
            return;
        }
        attempt.running = false;
        let (leaf, since) = (attempt.leaf, attempt.sent);
        cx.leaves.on_ended(leaf, since, self.typical_latency, signal, now);
        let end = match signal {
            HealthSignal::Answered => AttemptEnd::Answered,
            HealthSignal::Silent => AttemptEnd::Silent,
            HealthSignal::Failed | HealthSignal::Broken => AttemptEnd::Broken,
            HealthSignal::Abandoned => return,
        };
        self.record_end(at, end, cx, now);
    }

    /// Hedges overdue parts, replies or gives up; called at the time that `next_timer_at` returned.
    pub fn on_timer(
        &mut self,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) -> Option<Reply> {
        if now >= self.give_up_at {
            return Some(self.give_up(cx, now));
        }
        if self.permits_until.is_some() {
            let reply = self.on_permits(cx, now, new_attempts);
            if reply.is_some() || !self.started {
                return reply;
            }
        }
        if !self.hedged && now >= self.hedge_at {
            self.hedged = true;
            self.hedge_parts(cx, now, new_attempts);
        }
        self.conclude(cx, now)
    }

    fn hedge_parts(
        &mut self,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) {
        if self.route.repeat == RepeatPolicy::AtMostOnce || self.is_overloaded(cx) {
            return;
        }
        for index in 0..self.parts.len() {
            if self.parts[index].is_unresolved() {
                self.hedge_part(index, cx, now, new_attempts);
            }
        }
    }

    fn hedge_part(
        &mut self,
        index: usize,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) {
        let part = &self.parts[index];
        if part.attempts.is_empty() || part.attempts.len() >= self.route.attempts {
            return;
        }
        let service = part.service.clone();
        if !cx.allows_extra(&service, now) {
            return;
        }
        let Some(leaf) = self.untried_leaf(index, cx, now) else { return };
        if cx.leaves.is_unhealthy(leaf, now) {
            return;
        }
        cx.count_extra(&service, now);
        self.push_attempt(index, leaf, cx, now, new_attempts);
    }

    /// Sends a part again after a failed attempt; returns false when that is not possible.
    fn retry(
        &mut self,
        index: usize,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) -> bool {
        let part = &self.parts[index];
        let (possible_runs, attempts) = (part.possible_runs(), part.attempts.len());
        if possible_runs >= self.route.attempts || attempts >= self.route.attempts + SPARE_ATTEMPTS
        {
            return false;
        }
        if self.route.repeat == RepeatPolicy::AtMostOnce && possible_runs > 0 {
            return false;
        }
        // The first attempt that reaches a leaf of the service is not an extra one.
        let is_extra = part.attempts.iter().any(|attempt| attempt.reached_leaf);
        let service = part.service.clone();
        if is_extra && !cx.allows_extra(&service, now) {
            return false;
        }
        if !self.start_attempt(index, cx, now, new_attempts) {
            return false;
        }
        if is_extra {
            cx.count_extra(&service, now);
        }
        true
    }

    fn start_attempt(
        &mut self,
        index: usize,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) -> bool {
        let Some(leaf) = self.untried_leaf(index, cx, now) else { return false };
        self.push_attempt(index, leaf, cx, now, new_attempts);
        true
    }

    /// Returns the best leaf of a part among those that were not sent it.
    fn untried_leaf(&self, index: usize, cx: &mut RoutingState, now: Instant) -> Option<LeafKey> {
        let part = &self.parts[index];
        let tried: Vec<LeafKey> = part.attempts.iter().map(|attempt| attempt.leaf).collect();
        cx.choose_leaf(&part.service, &self.route, &tried, self.typical_latency, now)
    }

    fn push_attempt(
        &mut self,
        index: usize,
        leaf: LeafKey,
        cx: &mut RoutingState,
        now: Instant,
        new_attempts: &mut Vec<AttemptSpec>,
    ) {
        let part = &mut self.parts[index];
        let is_extra = !part.attempts.is_empty();
        cx.record_sent(leaf, self.typical_latency, self.route.priority, is_extra, now);
        let attempt = AttemptRef { part: index, number: part.attempts.len() };
        part.attempts.push(Attempt {
            leaf,
            sent: now,
            running: true,
            reached_leaf: true,
            may_have_run: false,
            declined: false,
            ended: None,
        });
        let deadline = self.attempt_deadline(cx, now);
        let urgency = Urgency {
            priority: self.route.priority,
            due: self.reply_at,
            deadline,
            latest_start: deadline - self.min_time_left(),
        };
        new_attempts.push(AttemptSpec { attempt, leaf, timeout: deadline.since(now), urgency });
    }

    fn min_time_left(&self) -> Span {
        self.typical_latency.percent(MIN_TIME_LEFT_PERCENT)
    }

    /// Whether an attempt that is sent now cannot be answered before the request is given up.
    fn is_too_late(&self, now: Instant) -> bool {
        now + self.min_time_left() > self.give_up_at
    }

    /// Returns the time until which a leaf may work on a part that is sent now. While leaves are
    /// overloaded this is the target latency, so that they drop requests that are already late in
    /// favour of those that can still be in time.
    fn attempt_deadline(&self, cx: &RoutingState, now: Instant) -> Instant {
        if now < self.reply_at && self.is_overloaded(cx) {
            return self.give_up_at.min(self.reply_at);
        }
        self.give_up_at
    }
}

/// Whether another leaf would respond with the same failure.
fn is_final_failure(status: u16) -> bool {
    (300..500).contains(&status) && status != 429 && status != 408 && status != 421
}

/// Relays the response to a request that is not idempotent. A status that implies "not run" is not
/// relayed: the leaf did not explicitly confirm that the request did not run.
fn relay_non_idempotent(response: LeafResponse) -> Reply {
    if response.implies_not_run() || response.status < 300 {
        return Reply::Failed(Cause::Broken);
    }
    Reply::Relayed(response)
}
