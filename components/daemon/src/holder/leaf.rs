//! A held leaf: its [`Upstream`] state machine, jobs and connections behind one lock.

use {
    crate::{
        clock,
        holder::{HeldLeavesParts, connection::Connection, job::LeafJob, job_result::JobResult},
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

/// Circumstances under which this host begins to hold a leaf.
#[derive(Clone, Debug)]
pub enum HoldingStart {
    /// The leaf was taken over; the previous holder may still send one request within this session
    /// time.
    AfterTakeover(Span),
    /// The leaf had no holder, or the previous one released it without a usable state.
    Cold,
    /// The previous holder released the leaf in this state.
    HandedOver(HandoverState),
}

/// Declaration and epoch that a leaf is held under.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafSpec {
    /// Address of the leaf.
    pub address: SocketAddr,
    /// Ownership epoch of the leaf in the assignment.
    pub epoch: Epoch,
    /// The leaf.
    pub leaf: LeafId,
    /// Limits of the load on the leaf.
    pub limits: LeafLimits,
}

/// A job that is queued or running at the leaf.
pub(super) struct PendingJob {
    /// Whether the job must run alone because it is a crash suspect. A job that happens to be the
    /// only one at the leaf does not count.
    alone: bool,
    pub(super) cancelled: bool,
    pub(super) job: LeafJob,
    pub(super) sent_at: Option<Instant>,
}

/// State of a held leaf that is guarded by its lock.
pub(super) struct State {
    pub(super) connections: HashMap<ConnectionId, Arc<Connection>>,
    /// Crash suspects that ran alone at this leaf and reset it.
    crashed_by: HashSet<Fingerprint>,
    pub(super) ended: bool,
    pub(super) jobs: HashMap<JobId, PendingJob>,
    next_job: u64,
    /// State last reported to timeline and metrics.
    reported_state: LeafState,
    /// Snapshots that the leaf has, as far as this host knows.
    pub(super) snapshots: BTreeSet<SnapshotId>,
    out_of_service: bool,
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

/// A running attempt that has to be cancelled at the leaf.
#[derive(Clone, Debug)]
pub struct RunningAttempt {
    /// Connection that the attempt runs on.
    pub connection: Arc<Connection>,
    /// Id of the attempt at the leaf, see [`LeafCall::token`].
    ///
    /// [`LeafCall::token`]: crate::holder::connection::LeafCall::token
    pub token: String,
}

impl<R: HolderRights> HeldLeaf<R> {
    /// Creates the leaf without starting its workers.
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
                // No connection is open yet, so no effect has to be applied.
                upstream.restore_handover(state, now);
                upstream
            }
        };
        let reported_state = upstream.state();
        let state = State {
            connections: HashMap::new(),
            crashed_by: HashSet::new(),
            ended: false,
            jobs: HashMap::new(),
            next_job: 0,
            reported_state,
            snapshots: BTreeSet::new(),
            out_of_service: false,
            upstream,
        };
        let observer = Arc::clone(&parts.observer);
        observer.leaf_state_changed(&spec.leaf, spec.epoch, None, Some(state.reported_state));
        Self {
            changed: Condvar::new(),
            spec,
            observer,
            rights: Arc::clone(&parts.rights),
            state: Mutex::new(state),
            suspects: Arc::clone(&parts.suspects),
        }
    }

    /// Declaration and epoch that the leaf is held under.
    pub fn spec(&self) -> &LeafSpec {
        &self.spec
    }

    /// Queues `job`, or replies immediately that it was not sent.
    pub fn offer(&self, job: LeafJob) {
        let now = clock::now();
        let mut state = self.state.lock();
        // An entry host that uses a later epoch has seen that this host lost the leaf.
        if state.ended || job.epoch > self.spec.epoch {
            drop(state);
            return job.refuse(Refusal::NotHolder);
        }
        let verdict = self.suspects.verdict(job.fingerprint, now);
        // A request that crashed this leaf is refused here even before other hosts have reported
        // it.
        let crashed_leaf = verdict == Verdict::Alone && state.crashed_by.contains(&job.fingerprint);
        if crashed_leaf || verdict == Verdict::Quarantined {
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
                state.jobs.insert(id, PendingJob { alone, cancelled: false, job, sent_at: None });
                drop(state);
                self.changed.notify_one();
            }
            OfferResult::Refused(refusal) => {
                let report = self.leaf_report(&mut state, now);
                drop(state);
                job.reply(not_sent(refusal), Span::ZERO, Some(report));
            }
        }
    }

    /// Cancels an attempt. Returns it if it is already running.
    pub fn cancel(&self, entry: &InstanceId, attempt: AttemptId) -> Option<RunningAttempt> {
        let mut state = self.state.lock();
        let found = state.jobs.iter().find(|(_, pending)| {
            pending.job.call.attempt == attempt && pending.job.call.entry == *entry
        });
        let id = *found?.0;
        match state.upstream.cancel(id) {
            CancelResult::Removed => {
                // A cancelled attempt needs no reply.
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

    /// Sets whether the configuration has the leaf and its zone in service.
    pub fn set_in_service(&self, in_service: bool) {
        let was_out = {
            let mut state = self.state.lock();
            std::mem::replace(&mut state.out_of_service, !in_service)
        };
        match (was_out, in_service) {
            (false, false) => self.leave(),
            (true, true) => self.rejoin(),
            _ => (),
        }
    }

    /// Stops accepting jobs. Queued jobs are refused, running ones may finish.
    pub fn leave(&self) {
        let now = clock::now();
        let mut state = self.state.lock();
        let effects = state.upstream.leave(now);
        self.apply(&mut state, effects, now);
        drop(state);
        self.changed.notify_all();
    }

    /// Accepts jobs again; the leaf starts cold.
    pub fn rejoin(&self) {
        let now = clock::now();
        let mut state = self.state.lock();
        let effects = state.upstream.rejoin(now);
        self.apply(&mut state, effects, now);
        drop(state);
        self.changed.notify_all();
    }

    /// Stops accepting jobs. Returns the state for the next holder once no job is queued or
    /// running.
    pub fn release(&self) -> Option<HandoverState> {
        self.leave();
        let mut state = self.state.lock();
        state.upstream.is_drained().then(|| state.upstream.handover_state(clock::now()))
    }

    /// Stops accepting jobs, and ends the workers when no job is running any more.
    pub fn end(&self) {
        self.leave();
        let mut state = self.state.lock();
        if !std::mem::replace(&mut state.ended, true) {
            let leaf = &self.spec.leaf;
            self.observer.leaf_state_changed(
                leaf,
                self.spec.epoch,
                Some(state.reported_state),
                None,
            );
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Replaces the list of snapshots that the leaf has.
    pub fn set_snapshots(&self, snapshots: Vec<SnapshotId>) {
        self.state.lock().snapshots = snapshots.into_iter().collect();
    }

    /// State and load of the leaf.
    pub fn upstream_report(&self) -> UpstreamReport {
        self.state.lock().upstream.report(clock::now())
    }

    /// State and load of the leaf as sent to other hosts.
    pub fn report(&self) -> LeafReport {
        self.leaf_report(&mut self.state.lock(), clock::now())
    }

    pub(super) fn leaf_report(&self, state: &mut State, now: Instant) -> LeafReport {
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

    /// Removes a job and replies that it was not sent.
    pub(super) fn drop_job(&self, state: &mut State, id: JobId, refusal: Refusal, now: Instant) {
        let Some(pending) = state.jobs.remove(&id) else { return };
        let report = self.leaf_report(state, now);
        pending.job.reply(not_sent(refusal), Span::ZERO, Some(report));
    }

    /// Passes the result of a job to the state machine of the leaf and to the query.
    pub(super) fn finish(
        &self,
        state: &mut MutexGuard<'_, State>,
        id: JobId,
        result: JobResult,
        latency: Span,
        now: Instant,
    ) {
        let effects = state.upstream.complete(id, result.completion, now);
        self.apply(state, effects, now);
        // A job whose silent connection was closed has been replied to already.
        let Some(pending) = state.jobs.remove(&id) else { return };
        let fingerprint = pending.job.fingerprint;
        if matches!(result.reply, ReplyOutcome::Answered(_))
            && self.suspects.record_leaf_success(fingerprint, now)
        {
            self.observer.suspect_cleared(&self.spec.leaf, fingerprint);
        }
        let report = self.leaf_report(state, now);
        pending.job.reply(result.reply, latency, Some(report));
    }

    /// Carries out the effects that the state machine returned.
    pub(super) fn apply(&self, state: &mut State, effects: Vec<Effect>, now: Instant) {
        let leaf = &self.spec.leaf;
        for effect in effects {
            match effect {
                Effect::Suspect { fingerprint, alone } => {
                    self.record_suspect(state, fingerprint, alone, now);
                }
                // `finish` clears the request for all leaves.
                Effect::Cleared(_) => (),
                Effect::Close { connection, job } => {
                    if let Some(connection) = state.connections.remove(&connection) {
                        connection.close();
                    }
                    if let Some(job) = job {
                        self.reply_silent_connection(state, job, now);
                    }
                }
                Effect::State(new_state) => {
                    let epoch = self.spec.epoch;
                    self.observer.leaf_state_changed(
                        leaf,
                        epoch,
                        Some(state.reported_state),
                        Some(new_state),
                    );
                    state.reported_state = new_state;
                }
            }
        }
    }

    /// Records that a request was running when the leaf reset. The reset is proof against the
    /// request only if it was sent to run alone. A query that fans out is often the only request at
    /// many leaves, and would be quarantined without being at fault when their zone is lost.
    fn record_suspect(
        &self,
        state: &mut State,
        fingerprint: Fingerprint,
        alone: bool,
        now: Instant,
    ) {
        let mut running = state.jobs.values().filter(|pending| pending.sent_at.is_some());
        let proven =
            alone && running.any(|pending| pending.alone && pending.job.fingerprint == fingerprint);
        let leaf = &self.spec.leaf;
        let verdict = self.suspects.record_reset(fingerprint, leaf, proven, now);
        self.observer.leaf_reset(leaf, fingerprint, proven, verdict);
        if proven {
            let suspects = &self.suspects;
            state.crashed_by.retain(|known| suspects.verdict(*known, now) != Verdict::Clear);
            state.crashed_by.insert(fingerprint);
        }
    }

    fn reply_silent_connection(&self, state: &mut State, id: JobId, now: Instant) {
        let Some(pending) = state.jobs.remove(&id) else { return };
        let call = &pending.job.call;
        self.observer.silent_connection_closed(&self.spec.leaf, &call.request, call.attempt);
        let at_leaf = pending.sent_at.map_or(Span::ZERO, |sent_at| now.since(sent_at));
        let report = self.leaf_report(state, now);
        let outcome = ReplyOutcome::Unknown("connection is silent".to_owned());
        pending.job.reply(outcome, at_leaf, Some(report));
    }
}

fn not_sent(refusal: Refusal) -> ReplyOutcome {
    ReplyOutcome::NotSent(refusal)
}
