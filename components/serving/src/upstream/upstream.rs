//! State machine of one held leaf.

use {
    super::{
        connections::Connections,
        queue::Queue,
        ramp::Ramp,
        types::{
            CancelResult, Completion, ConnectionId, Effect, HealthReport, IDLE_TIMEOUT, JobId,
            JobMeta, LeafState, MIN_OVERDUE, NextAction, OVERDUE_FACTOR, OfferResult,
            QUEUE_PER_SLOT, RETURN_PROBE_INTERVAL, Refusal, Rights,
        },
    },
    indexmap::IndexMap,
    wigeonramp_config::{LeafLimits, Priority},
    wigeonramp_units::{BootId, Fingerprint, Instant, Span},
};

/// Time after which a leaf's crash suspects expire.
const CRASH_SUSPECT_TTL: Span = Span::secs(600);

/// A job that was sent to the leaf.
#[derive(Debug)]
pub(super) struct RunningJob {
    meta: JobMeta,
    connection: ConnectionId,
    sent_at: Instant,
    overdue: bool,
    /// Whether the leaf ran another job at any time while it ran this one.
    shared: bool,
}

/// Whether the leaf accepts requests, as declared by operators or announced by the leaf.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Lifecycle {
    Active,
    /// Accepts no new requests; the requests in flight are completed.
    Leaving,
    /// Has left. If the leaf announced its leaving itself, it is probed for a new boot id from this
    /// time on.
    Gone(Option<Instant>),
}

/// An overdue response whose cause, a silent connection or a slow leaf, is not known yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct OverdueCheck {
    /// Allowance to restore if the connection was silent.
    allowance_before: (u32, Option<u32>),
    /// Connection that was opened to find out whether the leaf answers.
    probe: Option<ConnectionId>,
}

/// State machine of one held leaf.
#[derive(Debug)]
pub struct Upstream {
    pub(super) limits: LeafLimits,
    pub(super) ramp: Ramp,
    pub(super) queue: Queue,
    pub(super) connections: Connections,
    pub(super) running: IndexMap<JobId, RunningJob>,
    pub(super) boot: Option<BootId>,
    /// Whether a response to this holder has contained the boot id.
    pub(super) boot_confirmed: bool,
    pub(super) lifecycle: Lifecycle,
    /// Whether the leaf announced its leaving itself.
    pub(super) leave_announced: bool,
    /// Connection that is being opened to find out whether the leaf has returned.
    pub(super) return_probe: Option<ConnectionId>,
    pub(super) overdue_check: Option<OverdueCheck>,
    /// Requests that were running when the leaf reset: whether each ran alone, and when.
    pub(super) crash_suspects: IndexMap<Fingerprint, (bool, Instant)>,
    /// Moving average of the response times; zero when unknown.
    pub(super) service_time: Span,
    pub(super) last_active: Instant,
    /// State in the last [`Effect::State`].
    pub(super) reported_state: LeafState,
}

impl Upstream {
    /// Creates the state of a leaf that had no holder before.
    pub fn new(limits: LeafLimits, now: Instant) -> Self {
        let queue = Queue::new(limits.slots.get().max(1) as usize * QUEUE_PER_SLOT);
        Self {
            ramp: Ramp::new(limits.clone(), now),
            queue,
            connections: Connections::new(limits.connections),
            limits,
            running: IndexMap::new(),
            boot: None,
            boot_confirmed: false,
            lifecycle: Lifecycle::Active,
            leave_announced: false,
            return_probe: None,
            overdue_check: None,
            crash_suspects: IndexMap::new(),
            service_time: Span::ZERO,
            last_active: now,
            reported_state: LeafState::Cold,
        }
    }

    /// Creates the state of a leaf taken over without a handover. The previous holder may still
    /// send one request, so the allowance is one lower for `session_time`.
    pub fn after_takeover(limits: LeafLimits, session_time: Span, now: Instant) -> Self {
        let mut upstream = Self::new(limits, now);
        upstream.ramp.cap_until(now + session_time);
        upstream
    }

    /// Queues a job or refuses it.
    pub fn offer(&mut self, mut job: JobMeta, now: Instant) -> OfferResult {
        self.advance(now);
        if self.lifecycle != Lifecycle::Active {
            return OfferResult::Refused(Refusal::Leaving);
        }
        if let Some(refusal) = self.refusal_for(&job, now) {
            return OfferResult::Refused(refusal);
        }
        job.alone |= self.crash_suspects.contains_key(&job.fingerprint);
        if !self.queue.push(job) {
            return OfferResult::Refused(self.overload_refusal());
        }
        OfferResult::Queued
    }

    fn refusal_for(&mut self, job: &JobMeta, now: Instant) -> Option<Refusal> {
        if job.deadline <= now {
            return Some(Refusal::Deadline);
        }
        if job.hedge && self.state() != LeafState::Warm {
            return Some(Refusal::Cold);
        }
        if now < self.connections.retry_at() && self.connections.idle().is_none() {
            return Some(Refusal::Unreachable);
        }
        let expected_at = self.expected_response(job.priority, job.deadline, now);
        (expected_at > job.deadline).then(|| self.overload_refusal())
    }

    fn overload_refusal(&self) -> Refusal {
        if self.ramp.is_warm() { Refusal::Overload } else { Refusal::Cold }
    }

    /// Returns when the response to a job offered now is expected. An idle leaf accepts any job, so
    /// that one slow response cannot make it refuse all later jobs.
    fn expected_response(
        &mut self,
        priority: Priority,
        deadline: Instant,
        now: Instant,
    ) -> Instant {
        let ahead = self.queue.ahead(priority, deadline);
        if ahead == 0 && self.running.is_empty() {
            return self.ramp.next_send_at(now);
        }
        let slots = u64::from(self.in_flight_limit(now));
        let before = (ahead + self.running.len()) as u64;
        let by_slots = now + self.service_time * (before / slots + 1);
        let rate = self.ramp.allowance(now).per_second.map_or(u64::MAX, |n| n.get().into());
        let by_rate = self.ramp.next_send_at(now) + Span::secs(1) * (ahead as u64) / rate;
        by_slots.max(by_rate + self.service_time)
    }

    /// Returns what to do now. `rights` are the holder's rights at `now` and apply to this action
    /// only.
    pub fn next_action(&mut self, now: Instant, rights: Rights) -> NextAction {
        self.advance(now);
        if let Some((job, refusal)) = self.queue.take_displaced() {
            return NextAction::Drop(job, refusal);
        }
        if let Some(refusal) = self.refusal_of_queued(now, rights) {
            return self.drop_or_probe(refusal, now, rights);
        }
        let soonest = self.ramp.next_send_at(now).max(now);
        if let Some(job) = self.queue.take_expired(soonest, self.min_response_time()) {
            return NextAction::Drop(job, Refusal::Deadline);
        }
        if rights == Rights::Full && self.wants_probe() && self.can_connect(now) {
            return self.connect(true, now);
        }
        self.send_or_wait(now, rights)
    }

    fn min_response_time(&self) -> Span {
        if self.running.is_empty() { Span::ZERO } else { self.service_time }
    }

    /// Returns the refusal for all queued jobs if none of them may be sent now.
    fn refusal_of_queued(&self, now: Instant, rights: Rights) -> Option<Refusal> {
        if self.lifecycle != Lifecycle::Active {
            return Some(Refusal::Leaving);
        }
        let idle = self.connections.idle().is_some();
        match rights {
            Rights::None => Some(Refusal::NotHolder),
            Rights::WarmOnly if self.state() != LeafState::Warm => Some(Refusal::InDoubt),
            Rights::WarmOnly if !idle && self.running.is_empty() => Some(Refusal::InDoubt),
            _ if !idle && now < self.connections.retry_at() => Some(Refusal::Unreachable),
            _ => None,
        }
    }

    /// Drops a queued job with `refusal`. If the queue is empty, probes a leaf that left and may
    /// have returned.
    fn drop_or_probe(&mut self, refusal: Refusal, now: Instant, rights: Rights) -> NextAction {
        if let Some(job) = self.queue.pop() {
            return NextAction::Drop(job.id, refusal);
        }
        let Lifecycle::Gone(Some(at)) = self.lifecycle else {
            return NextAction::Wait(self.next_wake(now));
        };
        if rights != Rights::Full || self.connections.is_opening() {
            return NextAction::Wait(None);
        }
        if now < at {
            return NextAction::Wait(Some(at));
        }
        self.lifecycle = Lifecycle::Gone(Some(now + RETURN_PROBE_INTERVAL));
        let id = self.connections.open();
        self.return_probe = Some(id);
        self.ramp.record_send(now);
        NextAction::Connect { connection: id, probe: true }
    }

    fn wants_probe(&self) -> bool {
        self.overdue_check.is_some_and(|check| check.probe.is_none())
    }

    fn can_connect(&mut self, now: Instant) -> bool {
        self.connections.can_open()
            && self.connections.retry_at() <= now
            && self.ramp.next_send_at(now) <= now
    }

    fn connect(&mut self, probe: bool, now: Instant) -> NextAction {
        let connection = self.connections.open();
        self.ramp.record_send(now);
        if let (true, Some(check)) = (probe, &mut self.overdue_check) {
            check.probe = Some(connection);
        }
        NextAction::Connect { connection, probe }
    }

    fn in_flight_limit(&self, now: Instant) -> u32 {
        if !self.boot_confirmed {
            return 1;
        }
        self.ramp.allowance(now).in_flight.get().max(1)
    }

    fn has_room(&self, alone: bool, rights: Rights, now: Instant) -> bool {
        let limit = match rights {
            Rights::Full => self.in_flight_limit(now),
            Rights::WarmOnly | Rights::None => 1,
        };
        let runs_alone = self.running.values().any(|run| run.meta.alone);
        let limit = if alone || runs_alone { 1 } else { limit };
        self.running.len() < limit as usize
    }

    fn send_or_wait(&mut self, now: Instant, rights: Rights) -> NextAction {
        let Some(alone) = self.queue.peek().map(|job| job.alone) else {
            return NextAction::Wait(self.next_wake(now));
        };
        if !self.has_room(alone, rights, now) {
            return NextAction::Wait(self.next_wake(now));
        }
        let send_at = self.ramp.next_send_at(now);
        if send_at > now {
            return NextAction::Wait(self.next_wake(now).into_iter().chain([send_at]).min());
        }
        if let Some(connection) = self.connections.idle() {
            return self.send(connection, now);
        }
        if rights == Rights::Full && self.can_connect(now) {
            return self.connect(false, now);
        }
        NextAction::Wait(self.next_wake(now))
    }

    fn send(&mut self, connection: ConnectionId, now: Instant) -> NextAction {
        let Some(meta) = self.queue.pop() else { return NextAction::Wait(self.next_wake(now)) };
        let job = meta.id;
        let shared = !self.running.is_empty();
        self.running.values_mut().for_each(|run| run.shared = true);
        self.connections.occupy(connection, job);
        self.ramp.record_send(now);
        self.last_active = now;
        let run = RunningJob { meta, connection, sent_at: now, overdue: false, shared };
        self.running.insert(job, run);
        NextAction::Send { job, connection }
    }

    fn next_wake(&mut self, now: Instant) -> Option<Instant> {
        let probe = self.wants_probe() && !self.connections.is_opening();
        let probe = probe.then(|| self.ramp.next_send_at(now).max(self.connections.retry_at()));
        let overdue = self.running.values().filter(|run| !run.overdue);
        let overdue = overdue.map(|run| self.overdue_at(run));
        let deadline = self.queue.first_deadline();
        let retry = Some(self.connections.retry_at());
        overdue.chain(deadline).chain(retry).chain(probe).filter(|&at| at > now).min()
    }

    fn overdue_at(&self, run: &RunningJob) -> Instant {
        run.sent_at + (self.service_time * OVERDUE_FACTOR).max(MIN_OVERDUE)
    }

    /// Applies the passage of time: idle timeout, expired crash suspects and overdue responses.
    pub(super) fn advance(&mut self, now: Instant) {
        if self.running.is_empty() && now.since(self.last_active) > IDLE_TIMEOUT {
            self.ramp.go_cold(now);
            self.last_active = now;
        }
        self.crash_suspects.retain(|_, (_, at)| now.since(*at) < CRASH_SUSPECT_TTL);
        let is_due = |run: &RunningJob| !run.overdue && now >= self.overdue_at(run);
        let newly_overdue: Vec<_> =
            self.running.values().filter(|run| is_due(run)).map(|run| run.meta.id).collect();
        for job in newly_overdue {
            if let Some(run) = self.running.get_mut(&job) {
                run.overdue = true;
            }
            self.response_overdue(now);
        }
    }

    fn response_overdue(&mut self, now: Instant) {
        let allowance_before = self.ramp.allowance_to_restore();
        self.ramp.halve(now);
        self.overdue_check.get_or_insert(OverdueCheck { allowance_before, probe: None });
    }

    /// Records an opened connection. On a probe, the leaf has answered with `boot`.
    pub fn connected(
        &mut self,
        connection: ConnectionId,
        boot: Option<BootId>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !self.connections.mark_open(connection) {
            return effects;
        }
        if self.return_probe == Some(connection) {
            self.return_probe = None;
            return self.return_probe_answered(connection, boot, now);
        }
        if let Some(boot) = boot {
            self.observe_boot(boot, connection, now, &mut effects);
        }
        if self.overdue_check.is_some_and(|check| check.probe == Some(connection)) {
            self.probe_answered(connection, &mut effects);
        }
        self.finish_leaving(now, &mut effects);
        self.with_state_change(effects)
    }

    fn return_probe_answered(
        &mut self,
        connection: ConnectionId,
        boot: Option<BootId>,
        now: Instant,
    ) -> Vec<Effect> {
        if boot.is_none() || boot == self.boot {
            self.connections.close(connection);
            return vec![Effect::Close { connection, job: None }];
        }
        self.rejoin(now)
    }

    /// Closes the idle connections and those of overdue jobs: the leaf answers on a new connection,
    /// so they are assumed to be silent. The leaf is not at fault and gets its allowance back. A
    /// non-idempotent request keeps its connection until its deadline.
    fn probe_answered(&mut self, probe: ConnectionId, effects: &mut Vec<Effect>) {
        let Some(check) = self.overdue_check.take() else { return };
        self.ramp.restore_on_success(check.allowance_before);
        for connection in self.connections.close_idle(Some(probe)) {
            effects.push(Effect::Close { connection, job: None });
        }
        let silent = self.running.values().filter(|run| run.overdue && run.meta.idempotent);
        let silent: Vec<_> = silent.map(|run| (run.meta.id, run.connection)).collect();
        for (job, connection) in silent {
            self.running.shift_remove(&job);
            self.connections.close(connection);
            effects.push(Effect::Close { connection, job: Some(job) });
        }
    }

    /// Records a failed connect. The leaf starts cold when it can be reached again.
    pub fn connect_failed(&mut self, connection: ConnectionId, now: Instant) -> Vec<Effect> {
        if !self.connections.mark_failed(connection, now) {
            return Vec::new();
        }
        if self.return_probe == Some(connection) {
            self.return_probe = None;
            return Vec::new();
        }
        self.overdue_check = None;
        self.ramp.go_cold(now);
        self.with_state_change(Vec::new())
    }

    /// Records that the leaf has closed an idle connection.
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        self.connections.close(connection);
    }

    /// Records the result of a job that was sent.
    pub fn complete(&mut self, job: JobId, completion: Completion, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(run) = self.running.shift_remove(&job) else { return effects };
        match completion {
            Completion::Answered { boot, latency, busy } => {
                self.answered(&run, boot, latency, busy, now, &mut effects);
            }
            Completion::Rejected => {
                self.connections.release(run.connection);
                self.overdue_check = None;
                self.ramp.go_cold(now);
            }
            Completion::Leaving => {
                self.close(run.connection, &mut effects);
                self.leave_announced = true;
                self.lifecycle = Lifecycle::Leaving;
            }
            Completion::Reset => self.reset(&run, now, &mut effects),
            Completion::TimedOut => {
                self.close(run.connection, &mut effects);
                if !run.overdue {
                    self.response_overdue(now);
                }
            }
            Completion::Cancelled { reusable: true } => self.connections.release(run.connection),
            Completion::Cancelled { reusable: false } => self.close(run.connection, &mut effects),
        }
        self.finish_leaving(now, &mut effects);
        self.with_state_change(effects)
    }

    fn close(&mut self, connection: ConnectionId, effects: &mut Vec<Effect>) {
        self.connections.close(connection);
        effects.push(Effect::Close { connection, job: None });
    }

    fn answered(
        &mut self,
        run: &RunningJob,
        boot: Option<BootId>,
        latency: Span,
        busy: bool,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        self.last_active = now;
        self.connections.release(run.connection);
        self.service_time = moving_average(self.service_time, latency);
        if self.crash_suspects.shift_remove(&run.meta.fingerprint).is_some() {
            effects.push(Effect::Cleared(run.meta.fingerprint));
        }
        let same_boot = boot.is_some() && boot == self.boot;
        if let Some(boot) = boot {
            self.observe_boot(boot, run.connection, now, effects);
            self.boot_confirmed = true;
        }
        if run.overdue {
            // The leaf was slow and the connection not silent, so the halved allowance stays.
            self.overdue_check = None;
            self.ramp.keep_lowered();
        } else if same_boot && !busy && self.overdue_check.is_none() {
            self.ramp.success(run.sent_at, self.service_time, now);
        }
    }

    fn observe_boot(
        &mut self,
        boot: BootId,
        connection: ConnectionId,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        if self.boot.as_ref() == Some(&boot) {
            return;
        }
        self.boot = Some(boot);
        self.boot_confirmed = false;
        self.overdue_check = None;
        self.ramp.go_cold(now);
        for connection in self.connections.close_idle(Some(connection)) {
            effects.push(Effect::Close { connection, job: None });
        }
    }

    fn reset(&mut self, run: &RunningJob, now: Instant, effects: &mut Vec<Effect>) {
        self.close(run.connection, effects);
        for connection in self.connections.close_idle(None) {
            effects.push(Effect::Close { connection, job: None });
        }
        self.boot = None;
        self.boot_confirmed = false;
        self.overdue_check = None;
        self.ramp.go_cold(now);
        for run in [run].into_iter().chain(self.running.values()) {
            let fingerprint = run.meta.fingerprint;
            if self.crash_suspects.insert(fingerprint, (!run.shared, now)).is_none() || !run.shared
            {
                effects.push(Effect::Suspect { fingerprint, alone: !run.shared });
            }
        }
    }

    /// Lowers the allowance as the leaf's health endpoint reports.
    pub fn apply_health(&mut self, health: HealthReport, now: Instant) -> Vec<Effect> {
        // An endpoint that always reports overload cannot lower the allowance below the cold one,
        // so that successes can still raise it.
        if health.overloaded && !self.ramp.is_cold() {
            self.ramp.halve(now);
        }
        if let Some(slots) = health.slots {
            self.ramp.lower_to(slots, now);
        }
        self.with_state_change(Vec::new())
    }

    /// Removes a queued job, or returns the connection of a job that was sent.
    pub fn cancel(&mut self, job: JobId) -> CancelResult {
        if self.queue.remove(job) {
            return CancelResult::Removed;
        }
        match self.running.get(&job) {
            Some(run) => CancelResult::Running(run.connection),
            None => CancelResult::Unknown,
        }
    }
}

/// Returns a moving average that follows a change within about eight responses.
fn moving_average(average: Span, sample: Span) -> Span {
    if average == Span::ZERO {
        return sample;
    }
    Span((average.0 * 7 + sample.0) / 8)
}
