//! Assigner role of this host: observes the sessions, writes the assignment and gives promises.

use {
    crate::{
        clock,
        control::{
            platform::{CallKind, Platform},
            shared_state::SharedState,
        },
    },
    parking_lot::Mutex,
    rand::RngExt,
    std::{collections::BTreeMap, sync::Arc},
    wigeonramp_config::Document,
    wigeonramp_control::{
        adoption::DocumentSource,
        assignment::{
            ASSIGNMENT_KEY, AssignInput, AssignStep, Assigner, AssignerSettings, Assignment,
            AssignmentVersion, Fence, Holding,
        },
        backoff::Backoff,
        call_budget::list_interval,
        membership::{ListedHost, Liveness, Membership, MembershipView, SessionObject},
        promise::{PromiseAnswer, PromiseIssuer, RequestedPromise},
        session::{SessionRecord, takeover_time},
        store_result::{ReadResult, Stored, WriteResult},
    },
    wigeonramp_store::{Object, ObjectStore, WriteOutcome},
    wigeonramp_telemetry::timeline::{EventKind, NewEvent},
    wigeonramp_units::{InstanceId, Instant, LeafId, OpId, Revision, Span},
};

/// Time for which an assigner that cannot reach the store still gives promises. Holders keep their
/// full rights for this long during an outage. If all assigners are lost, takeovers wait for this
/// long unless the platform no longer lists their hosts.
const PROMISE_HORIZON: Span = Span::secs(3600);
/// Maximum number of concurrent handovers. A zone of the largest current deployment has 44 leaves.
const MAX_HANDOVERS: usize = 48;
/// Interval between reads of the platform's list of hosts.
const HOST_LIST_INTERVAL: Span = Span::secs(5);

/// State of the assigner and its promises, behind one lock.
pub struct SharedAssigner {
    state: Mutex<AssignerState>,
}

struct AssignerState {
    /// Last answer to each holder; only a changed answer is recorded in the timeline.
    last_answers: BTreeMap<InstanceId, PromiseAnswer>,
    assigner: Assigner,
    promises: PromiseIssuer,
    instance: InstanceId,
}

impl AssignerState {
    fn new(instance: InstanceId, session_time: Span) -> Self {
        Self {
            last_answers: BTreeMap::new(),
            assigner: Assigner::new(instance.clone(), settings(session_time)),
            promises: PromiseIssuer::new(instance.clone(), session_time, PROMISE_HORIZON),
            instance,
        }
    }

    /// Updates the settings. A new instance of the host starts as a new assigner.
    fn refresh(&mut self, instance: &InstanceId, session_time: Span) {
        if self.instance != *instance {
            *self = Self::new(instance.clone(), session_time);
        }
        self.assigner.set_settings(settings(session_time));
        self.promises.set_session_time(session_time);
    }
}

fn settings(session_time: Span) -> AssignerSettings {
    AssignerSettings {
        session_time,
        max_handovers: MAX_HANDOVERS,
        promise_horizon: PROMISE_HORIZON,
    }
}

impl SharedAssigner {
    /// Creates an assigner without promises and observations.
    pub fn new(instance: InstanceId, session_time: Span) -> Self {
        Self { state: Mutex::new(AssignerState::new(instance, session_time)) }
    }

    /// Answers a holder that requests a promise because it cannot renew its session.
    pub fn request_promise(
        &self,
        shared: &SharedState,
        request: &RequestedPromise,
    ) -> PromiseAnswer {
        let now = clock::now();
        let (instance, assignment, last_renewal, session_time) = {
            let state = shared.lock();
            let session = &state.rights.session;
            let last = session.last_renewal().filter(|_| !session.has_ended());
            let session_time = state.session_time.upper_bound(now);
            (state.identity.instance.clone(), state.assignment.clone(), last, session_time)
        };
        let mut assigner = self.state.lock();
        assigner.refresh(&instance, session_time);
        if let Some(assignment) = assignment {
            assigner.promises.on_assignment(&assignment);
        }
        let answer = assigner.promises.answer(request, last_renewal, now);
        if assigner.last_answers.insert(request.holder.clone(), answer) != Some(answer) {
            let event = NewEvent::now(EventKind::PromiseGiven).field("to", &request.holder);
            shared.record(event.field("answer", format!("{answer:?}")));
        }
        answer
    }
}

/// Loop that makes the calls of the assigner.
pub struct AssignerLoop<S> {
    backoff: Backoff,
    assigner: Arc<SharedAssigner>,
    shared: Arc<SharedState>,
    hosts_read_at: Option<Instant>,
    membership: Membership,
    role: Option<ObserverRole>,
    platform: Arc<Platform<S>>,
    /// Version of the assignment in the last step that had nothing to do.
    last_idle_version: Option<AssignmentVersion>,
    /// Highest version whose write had an unknown outcome, until it or a higher one is adopted.
    unknown_write: Option<AssignmentVersion>,
}

/// Role in which the sessions are observed. After a change the observation restarts.
#[derive(Clone, Debug, Eq, PartialEq)]
struct ObserverRole {
    instance: InstanceId,
    is_assigner: bool,
}

/// Input of one round.
struct RoundInput {
    document: Arc<Document>,
    instance: InstanceId,
    session_time: Span,
}

impl<S: ObjectStore> AssignerLoop<S> {
    /// Creates the loop without observations.
    pub fn new(
        shared: Arc<SharedState>,
        assigner: Arc<SharedAssigner>,
        platform: Arc<Platform<S>>,
    ) -> Self {
        let now = clock::now();
        let membership = Membership::new(shared.lock().session_time.upper_bound(now), now);
        Self {
            backoff: Backoff::default(),
            assigner,
            shared,
            hosts_read_at: None,
            membership,
            role: None,
            platform,
            last_idle_version: None,
            unknown_write: None,
        }
    }

    /// Runs until the host stops.
    pub fn run(mut self) {
        while !self.shared.is_stopped() {
            let pause = self.round();
            self.shared.wakers().assign.wait(pause);
        }
    }

    fn round(&mut self) -> Span {
        let Some(input) = self.input() else {
            return list_interval(self.shared.lock().session_time.upper_bound(clock::now()));
        };
        let interval = list_interval(input.session_time);
        match self.step(&input) {
            Some(true) => {
                self.backoff.reset();
                Span::ZERO
            }
            Some(false) => {
                self.backoff.reset();
                interval
            }
            None => self.backoff.next_delay(&mut rand::rng()).max(interval),
        }
    }

    /// Returns the input of a round, or `None` if this host does not have to observe the sessions.
    fn input(&mut self) -> Option<RoundInput> {
        let now = clock::now();
        let state = self.shared.lock();
        let instance = state.identity.instance.clone();
        let session_time = state.session_time.upper_bound(now);
        if state.document.version.get() == 0 || !state.rights.session.is_valid(now) {
            return None;
        }
        let assignment = state.assignment.clone();
        let is_assigner = assignment.as_ref().is_none_or(|a| a.is_assigner(&instance));
        let heard = |id: &InstanceId| {
            state
                .hosts
                .get(id)
                .is_some_and(|host| now.since(host.last_heard) < takeover_time(session_time))
        };
        let all_silent = assignment.as_ref().is_none_or(|a| !a.assigner_ids().any(heard));
        if !is_assigner && !all_silent {
            return None;
        }
        let document = Arc::clone(&state.document);
        drop(state);
        let role = Some(ObserverRole { instance: instance.clone(), is_assigner });
        if self.role != role {
            self.role = role;
            self.membership = Membership::new(session_time, now);
        }
        self.membership.set_session_time(session_time);
        Some(RoundInput { document, instance, session_time })
    }

    /// Runs one step. Returns true if the next one should follow immediately, and `None` if the
    /// store did not answer.
    fn step(&mut self, input: &RoundInput) -> Option<bool> {
        let current = match self.platform.read::<Assignment>(CallKind::Assign, ASSIGNMENT_KEY) {
            ReadResult::Found(found) => Some(found),
            ReadResult::Missing => None,
            ReadResult::Failed => return None,
        };
        if let Some(found) = &current {
            self.adopt(&found.value);
        }
        let sent = clock::now();
        let sessions = self.sessions(input, current.as_ref())?;
        let now = clock::now();
        self.membership.on_session_list(sent, sessions, now);
        self.read_hosts(now);
        self.record_leaving(now);
        let view = self.membership.view(now);
        let step = {
            let mut state = self.assigner.state.lock();
            state.refresh(&input.instance, input.session_time);
            let assign_input = AssignInput {
                current: current.as_ref().map(|found| &found.value),
                view: &view,
                document: &input.document,
                op: new_op_id(&input.instance),
                now,
            };
            let AssignerState { assigner, promises, .. } = &mut *state;
            assigner.step(&assign_input, promises)
        };
        let replaces = current.as_ref().map(|found| found.revision);
        let before = current.as_ref().map(|found| &found.value);
        match step {
            AssignStep::Nothing => {
                self.delete_expired_sessions(input, before, &view);
                // The first step with a version ignores the list, which was requested before that
                // step, so another step follows immediately.
                let version = before.map(|before| before.version);
                Some(std::mem::replace(&mut self.last_idle_version, version) != version)
            }
            AssignStep::Fence(fences) => self.fence(&fences),
            AssignStep::Write(next) => self.write(before, next, replaces, false),
            AssignStep::TakeRole(next) => self.write(before, next, replaces, true),
        }
    }

    /// Reads all sessions as an assigner; as a standby instance only those of the assigners and of
    /// this instance.
    fn sessions(
        &self,
        input: &RoundInput,
        current: Option<&Stored<Assignment>>,
    ) -> Option<Vec<SessionObject>> {
        let is_assigner = self.role.as_ref().is_some_and(|role| role.is_assigner);
        let Some(current) = current.filter(|_| !is_assigner) else {
            let objects = self.platform.list(CallKind::Assign, "session/").ok()?;
            return Some(objects.iter().filter_map(parse_session).collect());
        };
        let mut sessions = Vec::new();
        for id in current.value.assigner_ids().chain([&input.instance]) {
            match self.platform.read::<SessionRecord>(CallKind::Assign, &SessionRecord::key(id)) {
                ReadResult::Found(Stored { revision, value }) => {
                    sessions.push(SessionObject { record: value, revision });
                }
                ReadResult::Missing => (),
                ReadResult::Failed => return None,
            }
        }
        Some(sessions)
    }

    fn read_hosts(&mut self, now: Instant) {
        if self.hosts_read_at.is_some_and(|at| now.since(at) < HOST_LIST_INTERVAL) {
            return;
        }
        self.hosts_read_at = Some(now);
        let Ok(rows) = self.platform.hosts() else { return };
        let listed = rows.into_iter().filter_map(|row| {
            let host = row.host.parse().inspect_err(|err| {
                log::warn!("invalid host id in the platform's list of hosts: {err}")
            });
            Some(ListedHost { host: host.ok()?, leaving: row.leaving })
        });
        let listed: Vec<_> = listed.collect();
        // A list without this host is too outdated to tell which hosts have ended.
        let this_host = self.shared.lock().identity.host.clone();
        if listed.iter().any(|row| row.host == this_host) {
            self.membership.on_host_list(listed);
        }
    }

    fn record_leaving(&mut self, now: Instant) {
        let state = self.shared.lock();
        let heard = state.hosts.heard_within(state.silent_after(), now);
        for host in heard.filter(|host| host.leaving) {
            self.membership.on_heartbeat(&host.instance, true, now);
        }
    }

    fn fence(&mut self, fences: &[Fence]) -> Option<bool> {
        for Fence { instance, revision } in fences {
            let key = SessionRecord::key(instance);
            match self.platform.delete(CallKind::Assign, &key, *revision) {
                Ok(WriteOutcome::Written(_)) => {
                    log::warn!("session of {instance} expired and was deleted");
                    let event = NewEvent::now(EventKind::Takeover).field("from", instance);
                    self.shared.record(event.field("step", "session_deleted"));
                }
                Ok(WriteOutcome::Conflict(_)) => {
                    log::info!("{instance} renewed its session before it was taken over")
                }
                Err(err) => {
                    log::warn!("{err}");
                    return None;
                }
            }
        }
        Some(true)
    }

    fn write(
        &mut self,
        before: Option<&Assignment>,
        next: Assignment,
        replaces: Option<Revision>,
        takes_role: bool,
    ) -> Option<bool> {
        let (version, op) = (next.version, next.op.clone());
        match self.platform.write(CallKind::Assign, ASSIGNMENT_KEY, &next, replaces) {
            WriteResult::Written(_) => {
                self.record_written(before, &next, takes_role);
                self.adopt(&next);
                Some(true)
            }
            WriteResult::Conflict(Some(found)) => {
                if found.value.op == op {
                    self.record_written(before, &next, takes_role);
                } else {
                    self.on_write_without_effect();
                }
                self.adopt(&found.value);
                Some(true)
            }
            WriteResult::Conflict(None) | WriteResult::NoEffect => {
                self.on_write_without_effect();
                None
            }
            WriteResult::Unknown => {
                self.unknown_write = self.unknown_write.max(Some(version));
                None
            }
        }
    }

    /// Tells the promise issuer that a write had no effect. Skipped after a write with an unknown
    /// outcome: it may still take effect, so holders that know only a lower version stay refused.
    fn on_write_without_effect(&self) {
        if self.unknown_write.is_none() {
            self.assigner.state.lock().promises.on_write_without_effect();
        }
    }

    fn adopt(&mut self, assignment: &Assignment) {
        if self.unknown_write.is_some_and(|version| version <= assignment.version) {
            self.unknown_write = None;
        }
        self.shared.offer_assignment(assignment.clone(), DocumentSource::Read);
    }

    fn record_written(&self, before: Option<&Assignment>, next: &Assignment, takes_role: bool) {
        let old = |leaf: &LeafId| before.and_then(|before| before.holdings.get(leaf));
        let changed = next.holdings.iter().filter(|(leaf, holding)| old(leaf) != Some(*holding));
        let mut count = 0_u64;
        for (leaf, holding) in changed {
            count += 1;
            if holding.taken_over && !old(leaf).is_some_and(|old| old.taken_over) {
                let event = NewEvent::now(EventKind::Takeover).leaf(leaf).epoch(holding.epoch);
                self.shared.record(event.field("to", &holding.instance));
            }
        }
        let kind = if takes_role { EventKind::AssignerTaken } else { EventKind::AssignmentWritten };
        let event = NewEvent::now(kind).field("version", next.version);
        self.shared.record(event.field("leaves_changed", count));
    }

    /// Deletes expired sessions of instances that hold no leaf. Only the first assigner does this.
    fn delete_expired_sessions(
        &self,
        input: &RoundInput,
        current: Option<&Assignment>,
        view: &MembershipView,
    ) {
        let Some(current) = current else { return };
        if current.assigner_ids().next() != Some(&input.instance) {
            return;
        }
        let is_involved = |id: &InstanceId| {
            let involves = |h: &Holding| h.instance == *id || h.from.as_ref() == Some(id);
            current.is_assigner(id) || current.holdings.values().any(involves)
        };
        let expired = view
            .instances
            .iter()
            .filter(|(id, instance)| instance.liveness == Liveness::Expired && !is_involved(id));
        for (id, instance) in expired {
            let key = SessionRecord::key(id);
            if let Err(err) =
                self.platform.delete(CallKind::Assign, &key, instance.session.revision)
            {
                log::debug!("{err}");
                return;
            }
        }
    }
}

fn parse_session(object: &Object) -> Option<SessionObject> {
    let record = serde_json::from_str(&object.body);
    let record = record.inspect_err(|err| log::error!("{} cannot be parsed: {err}", object.key));
    Some(SessionObject { record: record.ok()?, revision: object.revision })
}

/// Returns a new operation id.
pub fn new_op_id(instance: &InstanceId) -> OpId {
    let text = format!("{}-{:016x}", instance.host(), rand::rng().random::<u64>());
    text.parse().expect("a host id and digits make a valid id")
}
