//! The aggregate of one held leaf.

use {
    super::{
        connections::Connections,
        limits::{
            CancelResult, Completion, ConnectionId, Effect, GONE_PROBE, HealthReport, IDLE_COLD,
            JobId, JobMeta, LeafState, NextAction, OVERDUE_FACTOR, OVERDUE_MIN, OfferResult,
            QUEUE_PER_SLOT, Refusal, Rights,
        },
        queue::Queue,
        ramp::Ramp,
    },
    indexmap::IndexMap,
    wigeonramp_config::{LeafLimits, Priority},
    wigeonramp_units::{BootId, Fingerprint, Instant, Span},
};

/// How long a crash suspect is remembered at its leaf.
const SUSPECT_MEMORY: Span = Span::secs(600);

#[derive(Debug)]
pub(super) struct Running {
    meta: JobMeta,
    connection: ConnectionId,
    sent: Instant,
    overdue: bool,
    /// Whether another job was at the leaf at any time while it ran.
    shared: bool,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Presence {
    Here,
    Leaving,
    /// Left; probed for a new boot from this time on, if it announced its leaving itself.
    Gone(Option<Instant>),
}

/// An overdue answer whose cause is not known yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Doubt {
    before: (u32, Option<u32>),
    probe: Option<ConnectionId>,
}

/// One held leaf.
#[derive(Debug)]
pub struct Upstream {
    pub(super) limits: LeafLimits,
    pub(super) ramp: Ramp,
    pub(super) queue: Queue,
    pub(super) connections: Connections,
    pub(super) running: IndexMap<JobId, Running>,
    pub(super) boot: Option<BootId>,
    /// Whether an answer has named the boot on a connection of this holder.
    pub(super) boot_confirmed: bool,
    pub(super) presence: Presence,
    pub(super) announced: bool,
    pub(super) gone_probe: Option<ConnectionId>,
    pub(super) doubt: Option<Doubt>,
    pub(super) suspects: IndexMap<Fingerprint, (bool, Instant)>,
    pub(super) service: Span,
    pub(super) last_active: Instant,
    pub(super) last_state: LeafState,
}

impl Upstream {
    /// A leaf that nobody held before.
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
            presence: Presence::Here,
            announced: false,
            gone_probe: None,
            doubt: None,
            suspects: IndexMap::new(),
            service: Span::ZERO,
            last_active: now,
            last_state: LeafState::Cold,
        }
    }

    /// A leaf taken over without hand-over: the old holder may still send one request, so the
    /// allowance is one lower for a session time.
    pub fn after_takeover(limits: LeafLimits, session_time: Span, now: Instant) -> Self {
        let mut upstream = Self::new(limits, now);
        upstream.ramp.cap_until(now + session_time);
        upstream
    }

    /// Takes a job into the queue or refuses it.
    pub fn offer(&mut self, mut job: JobMeta, now: Instant) -> OfferResult {
        self.age(now);
        if self.presence != Presence::Here {
            return OfferResult::Refused(Refusal::Leaving);
        }
        if let Some(refusal) = self.refuses(&job, now) {
            return OfferResult::Refused(refusal);
        }
        job.alone |= self.suspects.contains_key(&job.fingerprint);
        if !self.queue.push(job) {
            return OfferResult::Refused(self.overload());
        }
        OfferResult::Queued
    }

    fn refuses(&mut self, job: &JobMeta, now: Instant) -> Option<Refusal> {
        if job.deadline <= now {
            return Some(Refusal::Deadline);
        }
        if job.hedge && self.state() != LeafState::Warm {
            return Some(Refusal::Cold);
        }
        if now < self.connections.retry_at() && self.connections.idle().is_none() {
            return Some(Refusal::Unreachable);
        }
        let at = self.expected_answer(job.priority, job.deadline, now);
        (at > job.deadline).then(|| self.overload())
    }

    fn overload(&self) -> Refusal {
        if self.ramp.is_warm() { Refusal::Overload } else { Refusal::Cold }
    }

    /// When a job offered now would be answered. An idle leaf takes any job, so that one slow
    /// answer cannot make it refuse all later ones.
    fn expected_answer(&mut self, priority: Priority, deadline: Instant, now: Instant) -> Instant {
        let ahead = self.queue.ahead(priority, deadline);
        if ahead == 0 && self.running.is_empty() {
            return self.ramp.rate_room(now);
        }
        let slots = u64::from(self.in_flight_limit(now));
        let before = (ahead + self.running.len()) as u64;
        let by_slots = now + self.service * (before / slots + 1);
        let rate = self.ramp.allowance(now).per_second.map_or(u64::MAX, |n| n.get().into());
        let by_rate = self.ramp.rate_room(now) + Span::secs(1) * (ahead as u64) / rate;
        by_slots.max(by_rate + self.service)
    }

    /// Decides what to do now. `rights` are checked for this one decision only.
    pub fn next_action(&mut self, now: Instant, rights: Rights) -> NextAction {
        self.age(now);
        if let Some((job, refusal)) = self.queue.take_shed() {
            return NextAction::Drop(job, refusal);
        }
        if let Some(refusal) = self.blocked(now, rights) {
            return self.drop_one(refusal, now, rights);
        }
        let soonest = self.ramp.rate_room(now).max(now);
        if let Some(job) = self.queue.take_late(soonest, self.least_time()) {
            return NextAction::Drop(job, Refusal::Deadline);
        }
        if rights == Rights::Full && self.wants_probe() && self.may_connect(now) {
            return self.connect(true, now);
        }
        self.send_or_wait(now, rights)
    }

    fn least_time(&self) -> Span {
        if self.running.is_empty() { Span::ZERO } else { self.service }
    }

    fn blocked(&self, now: Instant, rights: Rights) -> Option<Refusal> {
        if self.presence != Presence::Here {
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

    fn drop_one(&mut self, refusal: Refusal, now: Instant, rights: Rights) -> NextAction {
        if let Some(job) = self.queue.pop() {
            return NextAction::Drop(job.id, refusal);
        }
        let Presence::Gone(Some(at)) = self.presence else {
            return NextAction::Wait(self.wake(now));
        };
        if rights != Rights::Full || self.connections.is_opening() {
            return NextAction::Wait(None);
        }
        if now < at {
            return NextAction::Wait(Some(at));
        }
        self.presence = Presence::Gone(Some(now + GONE_PROBE));
        let id = self.connections.open();
        self.gone_probe = Some(id);
        self.ramp.spent(now);
        NextAction::Connect { connection: id, probe: true }
    }

    fn wants_probe(&self) -> bool {
        self.doubt.is_some_and(|doubt| doubt.probe.is_none())
    }

    fn may_connect(&mut self, now: Instant) -> bool {
        self.connections.can_open()
            && self.connections.retry_at() <= now
            && self.ramp.rate_room(now) <= now
    }

    fn connect(&mut self, probe: bool, now: Instant) -> NextAction {
        let connection = self.connections.open();
        self.ramp.spent(now);
        if let (true, Some(doubt)) = (probe, &mut self.doubt) {
            doubt.probe = Some(connection);
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
        let occupied = self.running.values().any(|run| run.meta.alone);
        let limit = if alone || occupied { 1 } else { limit };
        self.running.len() < limit as usize
    }

    fn send_or_wait(&mut self, now: Instant, rights: Rights) -> NextAction {
        let Some(alone) = self.queue.head().map(|job| job.alone) else {
            return NextAction::Wait(self.wake(now));
        };
        if !self.has_room(alone, rights, now) {
            return NextAction::Wait(self.wake(now));
        }
        let room = self.ramp.rate_room(now);
        if room > now {
            return NextAction::Wait(self.wake(now).into_iter().chain([room]).min());
        }
        if let Some(connection) = self.connections.idle() {
            return self.send(connection, now);
        }
        if rights == Rights::Full && self.may_connect(now) {
            return self.connect(false, now);
        }
        NextAction::Wait(self.wake(now))
    }

    fn send(&mut self, connection: ConnectionId, now: Instant) -> NextAction {
        let Some(meta) = self.queue.pop() else { return NextAction::Wait(self.wake(now)) };
        let job = meta.id;
        let shared = !self.running.is_empty();
        self.running.values_mut().for_each(|run| run.shared = true);
        self.connections.occupy(connection, job);
        self.ramp.spent(now);
        self.last_active = now;
        let run = Running { meta, connection, sent: now, overdue: false, shared };
        self.running.insert(job, run);
        NextAction::Send { job, connection }
    }

    fn wake(&mut self, now: Instant) -> Option<Instant> {
        let probe = self.wants_probe() && !self.connections.is_opening();
        let probe = probe.then(|| self.ramp.rate_room(now).max(self.connections.retry_at()));
        let overdue = self.running.values().filter(|run| !run.overdue);
        let overdue = overdue.map(|run| self.overdue_at(run));
        let deadline = self.queue.first_deadline();
        let retry = Some(self.connections.retry_at());
        overdue.chain(deadline).chain(retry).chain(probe).filter(|&at| at > now).min()
    }

    fn overdue_at(&self, run: &Running) -> Instant {
        run.sent + (self.service * OVERDUE_FACTOR).max(OVERDUE_MIN)
    }

    /// Applies the passage of time: idleness and overdue answers.
    pub(super) fn age(&mut self, now: Instant) {
        if self.running.is_empty() && now.since(self.last_active) > IDLE_COLD {
            self.ramp.go_cold(now);
            self.last_active = now;
        }
        self.suspects.retain(|_, (_, at)| now.since(*at) < SUSPECT_MEMORY);
        let late = |run: &Running| !run.overdue && now >= self.overdue_at(run);
        let late: Vec<_> =
            self.running.values().filter(|run| late(run)).map(|run| run.meta.id).collect();
        for job in late {
            if let Some(run) = self.running.get_mut(&job) {
                run.overdue = true;
            }
            self.overdue(now);
        }
    }

    fn overdue(&mut self, now: Instant) {
        let before = self.ramp.mark();
        self.ramp.halve(now);
        self.doubt.get_or_insert(Doubt { before, probe: None });
    }

    /// A connection is open; for a probe, the leaf has answered on it.
    pub fn connected(
        &mut self,
        connection: ConnectionId,
        boot: Option<BootId>,
        now: Instant,
    ) -> Vec<Effect> {
        let mut effects = Vec::new();
        if !self.connections.opened(connection) {
            return effects;
        }
        if self.gone_probe == Some(connection) {
            self.gone_probe = None;
            return self.probed_gone(connection, boot, now);
        }
        if let Some(boot) = boot {
            self.seen_boot(boot, connection, now, &mut effects);
        }
        if self.doubt.is_some_and(|doubt| doubt.probe == Some(connection)) {
            self.probe_answered(connection, &mut effects);
        }
        self.finish_leaving(now, &mut effects);
        self.state_change(effects)
    }

    fn probed_gone(
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

    /// The leaf answers on a new connection: the old ones are silent, and the leaf is not to
    /// blame. A job that must not run twice keeps its connection until its deadline.
    fn probe_answered(&mut self, probe: ConnectionId, effects: &mut Vec<Effect>) {
        let Some(doubt) = self.doubt.take() else { return };
        self.ramp.forgive(doubt.before);
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

    /// The connect failed; the leaf starts cold when it can be reached again.
    pub fn connect_failed(&mut self, connection: ConnectionId, now: Instant) -> Vec<Effect> {
        if !self.connections.failed(connection, now) {
            return Vec::new();
        }
        if self.gone_probe == Some(connection) {
            self.gone_probe = None;
            return Vec::new();
        }
        self.doubt = None;
        self.ramp.go_cold(now);
        self.state_change(Vec::new())
    }

    /// An idle connection was closed by the leaf.
    pub fn connection_closed(&mut self, connection: ConnectionId) {
        self.connections.close(connection);
    }

    /// A sent job has ended.
    pub fn complete(&mut self, job: JobId, completion: Completion, now: Instant) -> Vec<Effect> {
        let mut effects = Vec::new();
        let Some(run) = self.running.shift_remove(&job) else { return effects };
        match completion {
            Completion::Answered { boot, latency, busy } => {
                self.answered(&run, boot, latency, busy, now, &mut effects);
            }
            Completion::Rejected => {
                self.connections.release(run.connection);
                self.doubt = None;
                self.ramp.go_cold(now);
            }
            Completion::Leaving => {
                self.close(run.connection, &mut effects);
                self.announced = true;
                self.presence = Presence::Leaving;
            }
            Completion::Reset => self.reset(&run, now, &mut effects),
            Completion::TimedOut => {
                self.close(run.connection, &mut effects);
                if !run.overdue {
                    self.overdue(now);
                }
            }
            Completion::Cancelled { reusable: true } => self.connections.release(run.connection),
            Completion::Cancelled { reusable: false } => self.close(run.connection, &mut effects),
        }
        self.finish_leaving(now, &mut effects);
        self.state_change(effects)
    }

    fn close(&mut self, connection: ConnectionId, effects: &mut Vec<Effect>) {
        self.connections.close(connection);
        effects.push(Effect::Close { connection, job: None });
    }

    fn answered(
        &mut self,
        run: &Running,
        boot: Option<BootId>,
        latency: Span,
        busy: bool,
        now: Instant,
        effects: &mut Vec<Effect>,
    ) {
        self.last_active = now;
        self.connections.release(run.connection);
        self.service = smooth(self.service, latency);
        if self.suspects.shift_remove(&run.meta.fingerprint).is_some() {
            effects.push(Effect::Cleared(run.meta.fingerprint));
        }
        let same = boot.is_some() && boot == self.boot;
        if let Some(boot) = boot {
            self.seen_boot(boot, run.connection, now, effects);
            self.boot_confirmed = true;
        }
        if run.overdue {
            // The leaf was slow, not the connection silent: the halved allowance stays.
            self.doubt = None;
            self.ramp.blame();
        } else if same && !busy && self.doubt.is_none() {
            self.ramp.success(run.sent, self.service, now);
        }
    }

    fn seen_boot(
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
        self.doubt = None;
        self.ramp.go_cold(now);
        for connection in self.connections.close_idle(Some(connection)) {
            effects.push(Effect::Close { connection, job: None });
        }
    }

    fn reset(&mut self, run: &Running, now: Instant, effects: &mut Vec<Effect>) {
        self.close(run.connection, effects);
        for connection in self.connections.close_idle(None) {
            effects.push(Effect::Close { connection, job: None });
        }
        self.boot = None;
        self.boot_confirmed = false;
        self.doubt = None;
        self.ramp.go_cold(now);
        for run in [run].into_iter().chain(self.running.values()) {
            let fingerprint = run.meta.fingerprint;
            if self.suspects.insert(fingerprint, (!run.shared, now)).is_none() || !run.shared {
                effects.push(Effect::Suspect { fingerprint, alone: !run.shared });
            }
        }
    }

    /// Lowers the allowance by what the leaf's health endpoint says.
    pub fn apply_health(&mut self, health: HealthReport, now: Instant) -> Vec<Effect> {
        // Successes outweigh an endpoint that always claims too much load: it cannot push the
        // leaf below the cold allowance.
        if health.overloaded && !self.ramp.is_cold() {
            self.ramp.halve(now);
        }
        if let Some(slots) = health.slots {
            self.ramp.lower_to(slots, now);
        }
        self.state_change(Vec::new())
    }

    /// Removes a queued job, or names the connection of a sent one.
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

/// Moving average that follows a change within about eight answers.
fn smooth(average: Span, sample: Span) -> Span {
    if average == Span::ZERO {
        return sample;
    }
    Span((average.0 * 7 + sample.0) / 8)
}
