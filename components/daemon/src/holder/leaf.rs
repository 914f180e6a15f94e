//! One held leaf: the `Upstream` aggregate behind one lock, and the jobs and connections that its
//! decisions name.

use {
    crate::{
        clock,
        holder::{HeldLeavesParts, connection::Connection, job::LeafJob, outcome::Ended},
        observe::Observer,
        reply::ReplyOutcome,
        suspects::Suspects,
        view::HolderRights,
    },
    parking_lot::{Condvar, Mutex, MutexGuard},
    std::{
        collections::{BTreeSet, HashMap, HashSet},
        net::SocketAddr,
        sync::Arc,
    },
    wigeonramp_config::LeafLimits,
    wigeonramp_proto::peer::LeafReport,
    wigeonramp_serving::{
        quarantine::Verdict,
        upstream::{
            CancelResult, ConnectionId, Effect, HandoverState, JobId, JobMeta, LeafState,
            OfferResult, Refusal, Upstream, UpstreamReport,
        },
    },
    wigeonramp_units::{
        AttemptId, ByteSize, Epoch, Fingerprint, InstanceId, Instant, LeafId, SnapshotId, Span,
    },
};

/// How a holding begins.
#[derive(Clone, Debug)]
pub enum HoldingStart {
    /// The last holder may still send one request.
    AfterTakeover(Span),
    /// Nobody held the leaf.
    Cold,
    /// The last holder released the leaf in this state.
    HandedOver(HandoverState),
}

/// What a holding consists of.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafSpec {
    /// Where the leaf listens.
    pub address: SocketAddr,
    /// The assignment's epoch of the leaf.
    pub epoch: Epoch,
    /// The leaf.
    pub leaf: LeafId,
    /// What it bears.
    pub limits: LeafLimits,
}

/// A job that is queued or at the leaf.
pub(super) struct Pending {
    /// Whether it runs alone because it is suspected, not just because nothing else is there.
    alone: bool,
    pub(super) cancelled: bool,
    pub(super) job: LeafJob,
    pub(super) sent: Option<Instant>,
}

/// State of the leaf, behind one lock.
pub(super) struct State {
    pub(super) connections: HashMap<ConnectionId, Arc<Connection>>,
    /// Requests that were suspected, ran alone here, and reset the leaf.
    crashers: HashSet<Fingerprint>,
    pub(super) ended: bool,
    pub(super) jobs: HashMap<JobId, Pending>,
    next_job: u64,
    /// The state that metrics show.
    shown: LeafState,
    /// Snapshots that the leaf is known to have.
    pub(super) snapshots: BTreeSet<SnapshotId>,
    taken_out: bool,
    pub(super) upstream: Upstream,
}

/// A leaf that this host holds.
pub struct HeldLeaf<R> {
    pub(super) changed: Condvar,
    spec: LeafSpec,
    pub(super) observer: Arc<Observer>,
    pub(super) rights: Arc<R>,
    pub(super) state: Mutex<State>,
    suspects: Arc<Suspects>,
}

/// An attempt that is running and must be cancelled at the leaf.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// The connection that carries it.
    pub connection: Arc<Connection>,
    /// Its name at the leaf.
    pub token: String,
}

impl<R: HolderRights> HeldLeaf<R> {
    /// A leaf whose workers are still to be started.
    pub fn new(spec: LeafSpec, start: HoldingStart, parts: &HeldLeavesParts<R>) -> Self {
        let now = clock::now();
        let limits = spec.limits.clone();
        let upstream = match start {
            HoldingStart::AfterTakeover(session_time) => {
                Upstream::after_takeover(limits, session_time, now)
            }
            HoldingStart::Cold => Upstream::new(limits, now),
            HoldingStart::HandedOver(state) => {
                let mut upstream = Upstream::new(limits, now);
                // Nothing is open yet, so there is nothing to close.
                upstream.restore_handover(state, now);
                upstream
            }
        };
        let shown = upstream.state();
        let state = State {
            connections: HashMap::new(),
            crashers: HashSet::new(),
            ended: false,
            jobs: HashMap::new(),
            next_job: 0,
            shown,
            snapshots: BTreeSet::new(),
            taken_out: false,
            upstream,
        };
        let observer = Arc::clone(&parts.observer);
        observer.leaf_state_changed(&spec.leaf, spec.epoch, None, Some(state.shown));
        Self {
            changed: Condvar::new(),
            spec,
            observer,
            rights: Arc::clone(&parts.rights),
            state: Mutex::new(state),
            suspects: Arc::clone(&parts.suspects),
        }
    }

    /// What is held.
    pub fn spec(&self) -> &LeafSpec {
        &self.spec
    }

    /// Queues `job` or replies at once that it was not sent.
    pub fn offer(&self, job: LeafJob) {
        let now = clock::now();
        let mut state = self.state.lock();
        // An entry host that knows a later epoch knows that this host has lost the leaf.
        if state.ended || job.epoch > self.spec.epoch {
            drop(state);
            return job.refuse(Refusal::NotHolder);
        }
        let verdict = self.suspects.verdict(job.fingerprint, now);
        // A crasher is refused here at once, before other hosts have heard of it.
        let crasher = verdict == Verdict::Alone && state.crashers.contains(&job.fingerprint);
        if crasher || verdict == Verdict::Quarantined {
            drop(state);
            return job.refuse(Refusal::Quarantined);
        }
        state.next_job += 1;
        let id = JobId(state.next_job);
        let alone = job.alone || verdict == Verdict::Alone;
        let meta = JobMeta {
            id,
            priority: job.priority,
            deadline: job.call.deadline,
            hedge: job.hedge,
            alone,
            idempotent: job.idempotent,
            fingerprint: job.fingerprint,
            size: ByteSize(job.call.body.len() as u64),
        };
        match state.upstream.offer(meta, now) {
            OfferResult::Queued => {
                state.jobs.insert(id, Pending { alone, cancelled: false, job, sent: None });
                drop(state);
                self.changed.notify_one();
            }
            OfferResult::Refused(refusal) => {
                let report = self.report_of(&mut state, now);
                drop(state);
                job.reply(not_sent(refusal), Span::ZERO, Some(report));
            }
        }
    }

    /// Cancels an attempt; returns it when it is already running.
    pub fn cancel(&self, entry: &InstanceId, attempt: AttemptId) -> Option<RunningAttempt> {
        let mut state = self.state.lock();
        let found = state.jobs.iter().find(|(_, pending)| {
            pending.job.call.attempt == attempt && pending.job.call.entry == *entry
        });
        let id = *found?.0;
        match state.upstream.cancel(id) {
            CancelResult::Removed => {
                // Nobody waits for a reply to a cancelled attempt.
                state.jobs.remove(&id);
                None
            }
            CancelResult::Running(connection) => {
                let pending = state.jobs.get_mut(&id)?;
                pending.cancelled = true;
                let token = pending.job.call.token();
                let connection = Arc::clone(state.connections.get(&connection)?);
                Some(RunningAttempt { connection, token })
            }
            CancelResult::Unknown => None,
        }
    }

    /// Leaves or takes work again, as operators declare.
    pub fn set_in_service(&self, takes_work: bool) {
        let left = {
            let mut state = self.state.lock();
            std::mem::replace(&mut state.taken_out, !takes_work)
        };
        match (left, takes_work) {
            (false, false) => self.leave(),
            (true, true) => self.rejoin(),
            _ => (),
        }
    }

    /// Stops new work; what is queued is refused, what runs may end.
    pub fn leave(&self) {
        let now = clock::now();
        let mut state = self.state.lock();
        let effects = state.upstream.leave(now);
        self.apply(&mut state, effects, now);
        drop(state);
        self.changed.notify_all();
    }

    /// Takes work again; the leaf starts cold.
    pub fn rejoin(&self) {
        let now = clock::now();
        let mut state = self.state.lock();
        let effects = state.upstream.rejoin(now);
        self.apply(&mut state, effects, now);
        drop(state);
        self.changed.notify_all();
    }

    /// Stops new work; the state for the next holder once nothing is queued or running.
    pub fn release(&self) -> Option<HandoverState> {
        self.leave();
        let mut state = self.state.lock();
        state.upstream.is_drained().then(|| state.upstream.handover_state(clock::now()))
    }

    /// Stops new work and ends the workers when nothing runs any more.
    pub fn end(&self) {
        self.leave();
        let mut state = self.state.lock();
        if !std::mem::replace(&mut state.ended, true) {
            let leaf = &self.spec.leaf;
            self.observer.leaf_state_changed(leaf, self.spec.epoch, Some(state.shown), None);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Replaces the snapshots that the leaf is known to have.
    pub fn set_snapshots(&self, snapshots: Vec<SnapshotId>) {
        self.state.lock().snapshots = snapshots.into_iter().collect();
    }

    /// Condition of the leaf.
    pub fn upstream_report(&self) -> UpstreamReport {
        self.state.lock().upstream.report(clock::now())
    }

    /// Condition of the leaf as it is sent to other hosts.
    pub fn report(&self) -> LeafReport {
        self.report_of(&mut self.state.lock(), clock::now())
    }

    pub(super) fn report_of(&self, state: &mut State, now: Instant) -> LeafReport {
        let report = state.upstream.report(now);
        LeafReport {
            leaf: self.spec.leaf.as_str().to_owned(),
            state: report.state.as_str().to_owned(),
            in_flight: report.in_flight,
            queued: report.queued,
            p50_us: report.service_time.0,
            p95_us: 0,
            snapshots: state.snapshots.iter().map(|id| id.get()).collect(),
            allowance: report.allowance.in_flight.get(),
            epoch: self.spec.epoch.get(),
        }
    }

    /// Reports a job as not sent.
    pub(super) fn drop_job(&self, state: &mut State, id: JobId, refusal: Refusal, now: Instant) {
        let Some(pending) = state.jobs.remove(&id) else { return };
        let report = self.report_of(state, now);
        pending.job.reply(not_sent(refusal), Span::ZERO, Some(report));
    }

    /// Tells the upstream how a sent job ended, and the query what came of it.
    pub(super) fn finish(
        &self,
        state: &mut MutexGuard<'_, State>,
        id: JobId,
        ended: Ended,
        latency: Span,
        now: Instant,
    ) {
        let effects = state.upstream.complete(id, ended.completion, now);
        self.apply(state, effects, now);
        // A job that was given up with its connection has been reported already.
        let Some(pending) = state.jobs.remove(&id) else { return };
        let fingerprint = pending.job.fingerprint;
        if matches!(ended.outcome, ReplyOutcome::Answered(_))
            && self.suspects.record_leaf_success(fingerprint, now)
        {
            self.observer.suspect_cleared(&self.spec.leaf, fingerprint);
        }
        let report = self.report_of(state, now);
        pending.job.reply(ended.outcome, latency, Some(report));
    }

    /// Does what the upstream decided.
    pub(super) fn apply(&self, state: &mut State, effects: Vec<Effect>, now: Instant) {
        let leaf = &self.spec.leaf;
        for effect in effects {
            match effect {
                Effect::Suspect { fingerprint, alone } => {
                    self.suspect(state, fingerprint, alone, now);
                }
                // `succeeded` clears suspects of all leaves.
                Effect::Cleared(_) => (),
                Effect::Close { connection, job } => {
                    if let Some(connection) = state.connections.remove(&connection) {
                        connection.close();
                    }
                    if let Some(job) = job {
                        self.give_up(state, job, now);
                    }
                }
                Effect::State(entered) => {
                    let epoch = self.spec.epoch;
                    self.observer.leaf_state_changed(leaf, epoch, Some(state.shown), Some(entered));
                    state.shown = entered;
                }
            }
        }
    }

    /// Counts as proof only what was sent to run alone. A query that fanned out is often the only
    /// request at many leaves; when their zone is lost, it would be quarantined as innocent.
    fn suspect(&self, state: &mut State, fingerprint: Fingerprint, alone: bool, now: Instant) {
        let mut running = state.jobs.values().filter(|pending| pending.sent.is_some());
        let proven =
            alone && running.any(|pending| pending.alone && pending.job.fingerprint == fingerprint);
        let leaf = &self.spec.leaf;
        let verdict = self.suspects.record_reset(fingerprint, leaf, proven, now);
        self.observer.leaf_reset(leaf, fingerprint, proven, verdict);
        if proven {
            let suspects = &self.suspects;
            state.crashers.retain(|known| suspects.verdict(*known, now) != Verdict::Clear);
            state.crashers.insert(fingerprint);
        }
    }

    fn give_up(&self, state: &mut State, id: JobId, now: Instant) {
        let Some(pending) = state.jobs.remove(&id) else { return };
        let call = &pending.job.call;
        self.observer.silent_connection_closed(&self.spec.leaf, &call.request, call.attempt);
        let at_leaf = pending.sent.map_or(Span::ZERO, |sent| now.since(sent));
        let report = self.report_of(state, now);
        let outcome = ReplyOutcome::Unknown("connection went silent".to_owned());
        pending.job.reply(outcome, at_leaf, Some(report));
    }
}

fn not_sent(refusal: Refusal) -> ReplyOutcome {
    ReplyOutcome::NotSent(refusal)
}
