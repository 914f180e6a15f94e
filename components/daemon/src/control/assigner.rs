//! The assigner: watches sessions and writes the assignment.

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

/// How long an assigner without the store gives promises. A holder keeps its full rights for this
/// long in an outage; if all assigners are lost, takeovers wait for this long unless the platform
/// no longer lists their hosts.
const HORIZON: Span = Span::secs(3600);
/// Most hand-overs at the same time. A zone of today's largest deployment has 44 leaves.
const MAX_MOVES: usize = 48;
/// Time between two reads of the platform's list of hosts.
const HOSTS_INTERVAL: Span = Span::secs(5);

/// The assigner's decisions and promises, behind one lock.
pub struct SharedAssigner {
    state: Mutex<Desk>,
}

struct Desk {
    answers: BTreeMap<InstanceId, PromiseAnswer>,
    assigner: Assigner,
    book: PromiseIssuer,
    me: InstanceId,
}

impl Desk {
    fn new(me: InstanceId, session_time: Span) -> Self {
        Self {
            answers: BTreeMap::new(),
            assigner: Assigner::new(me.clone(), settings(session_time)),
            book: PromiseIssuer::new(me.clone(), session_time, HORIZON),
            me,
        }
    }

    /// Brings the assigner up to date; a new start of the host is another assigner.
    fn refresh(&mut self, me: &InstanceId, session_time: Span) {
        if self.me != *me {
            *self = Self::new(me.clone(), session_time);
        }
        self.assigner.set_settings(settings(session_time));
        self.book.set_session_time(session_time);
    }
}

fn settings(session_time: Span) -> AssignerSettings {
    AssignerSettings { session_time, max_handovers: MAX_MOVES, promise_horizon: HORIZON }
}

impl SharedAssigner {
    /// Nothing promised and nothing observed yet.
    pub fn new(me: InstanceId, session_time: Span) -> Self {
        Self { state: Mutex::new(Desk::new(me, session_time)) }
    }

    /// Answers a holder in doubt.
    pub fn request_promise(&self, shared: &SharedState, ask: &RequestedPromise) -> PromiseAnswer {
        let now = clock::now();
        let (me, assignment, last_renewal, time) = {
            let state = shared.lock();
            let session = &state.rights.session;
            let last = session.last_renewal().filter(|_| !session.has_ended());
            let time = state.session_time.upper_bound(now);
            (state.identity.instance.clone(), state.assignment.clone(), last, time)
        };
        let mut assigner = self.state.lock();
        assigner.refresh(&me, time);
        if let Some(assignment) = assignment {
            assigner.book.on_assignment(&assignment);
        }
        let answer = assigner.book.answer(ask, last_renewal, now);
        if assigner.answers.insert(ask.holder.clone(), answer) != Some(answer) {
            let entry = NewEvent::now(EventKind::PromiseGiven).field("to", &ask.holder);
            shared.record(entry.field("answer", format!("{answer:?}")));
        }
        answer
    }
}

/// Does the assigner's calls.
pub struct AssignerLoop<S> {
    backoff: Backoff,
    assigner: Arc<SharedAssigner>,
    shared: Arc<SharedState>,
    hosts_read: Option<Instant>,
    membership: Membership,
    observer: Option<Observer>,
    platform: Arc<Platform<S>>,
    /// Version in the last step.
    stepped: Option<AssignmentVersion>,
    /// Highest version whose write had no answer, until it or a higher one is adopted.
    unanswered: Option<AssignmentVersion>,
}

/// Who observes the sessions; a change starts the observation from scratch.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Observer {
    instance: InstanceId,
    named: bool,
}

/// What one round depends on.
struct Situation {
    document: Arc<Document>,
    me: InstanceId,
    time: Span,
}

impl<S: ObjectStore> AssignerLoop<S> {
    /// Nothing observed yet.
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
            hosts_read: None,
            membership,
            observer: None,
            platform,
            stepped: None,
            unanswered: None,
        }
    }

    /// Assigns until the host stops.
    pub fn run(mut self) {
        while !self.shared.is_stopped() {
            let pause = self.round();
            self.shared.wakers().assign.wait(pause);
        }
    }

    fn round(&mut self) -> Span {
        let Some(situation) = self.situation() else {
            return list_interval(self.shared.lock().session_time.upper_bound(clock::now()));
        };
        let interval = list_interval(situation.time);
        match self.act(&situation) {
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

    /// The situation, if this host has to look at the sessions now.
    fn situation(&mut self) -> Option<Situation> {
        let now = clock::now();
        let state = self.shared.lock();
        let (me, time) = (state.identity.instance.clone(), state.session_time.upper_bound(now));
        if state.document.version.get() == 0 || !state.rights.session.is_valid(now) {
            return None;
        }
        let assignment = state.assignment.clone();
        let named = assignment.as_ref().is_none_or(|assignment| assignment.is_assigner(&me));
        let heard = |id: &InstanceId| {
            state.hosts.get(id).is_some_and(|host| now.since(host.last_heard) < takeover_time(time))
        };
        let quiet = assignment.as_ref().is_none_or(|a| !a.assigner_ids().any(heard));
        if !named && !quiet {
            return None;
        }
        let document = Arc::clone(&state.document);
        drop(state);
        let observer = Some(Observer { instance: me.clone(), named });
        if self.observer != observer {
            self.observer = observer;
            self.membership = Membership::new(time, now);
        }
        self.membership.set_session_time(time);
        Some(Situation { document, me, time })
    }

    /// One step; true if the next should follow at once, `None` if the store did not answer.
    fn act(&mut self, situation: &Situation) -> Option<bool> {
        let current = match self.platform.read::<Assignment>(CallKind::Assign, ASSIGNMENT_KEY) {
            ReadResult::Found(found) => Some(found),
            ReadResult::Missing => None,
            ReadResult::Failed => return None,
        };
        if let Some(found) = &current {
            self.adopt(&found.value);
        }
        let sent = clock::now();
        let sessions = self.sessions(situation, current.as_ref())?;
        let now = clock::now();
        self.membership.on_session_list(sent, sessions, now);
        self.read_hosts(now);
        self.note_leaving(now);
        let view = self.membership.view(now);
        let step = {
            let mut assigner = self.assigner.state.lock();
            assigner.refresh(&situation.me, situation.time);
            let input = AssignInput {
                current: current.as_ref().map(|found| &found.value),
                view: &view,
                document: &situation.document,
                op: new_op_id(&situation.me),
                now,
            };
            let Desk { assigner, book, .. } = &mut *assigner;
            assigner.step(&input, book)
        };
        let replaces = current.as_ref().map(|found| found.revision);
        let before = current.as_ref().map(|found| &found.value);
        match step {
            AssignStep::Nothing => {
                self.delete_ended(situation, before, &view);
                // A list that was asked for before a version was seen cannot be used with it.
                let version = before.map(|before| before.version);
                Some(std::mem::replace(&mut self.stepped, version) != version)
            }
            AssignStep::Fence(fences) => self.fence(&fences),
            AssignStep::Write(next) => self.write(before, next, replaces, false),
            AssignStep::TakeRole(next) => self.write(before, next, replaces, true),
        }
    }

    /// All sessions as an assigner; as an outsider only those of the assigners and the own one.
    fn sessions(
        &self,
        situation: &Situation,
        current: Option<&Stored<Assignment>>,
    ) -> Option<Vec<SessionObject>> {
        let named = self.observer.as_ref().is_some_and(|observer| observer.named);
        let Some(current) = current.filter(|_| !named) else {
            let objects = self.platform.list(CallKind::Assign, "session/").ok()?;
            return Some(objects.iter().filter_map(seen).collect());
        };
        let mut sessions = Vec::new();
        for id in current.value.assigner_ids().chain([&situation.me]) {
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
        if self.hosts_read.is_some_and(|read| now.since(read) < HOSTS_INTERVAL) {
            return;
        }
        self.hosts_read = Some(now);
        let Ok(rows) = self.platform.hosts() else { return };
        let listed = rows.into_iter().filter_map(|row| {
            let host = row.host.parse().inspect_err(|err| log::warn!("list of hosts: {err}"));
            Some(ListedHost { host: host.ok()?, leaving: row.leaving })
        });
        let listed: Vec<_> = listed.collect();
        // A list without this host lags too much to tell who has ended.
        let own = self.shared.lock().identity.host.clone();
        if listed.iter().any(|row| row.host == own) {
            self.membership.on_host_list(listed);
        }
    }

    fn note_leaving(&mut self, now: Instant) {
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
                    let entry = NewEvent::now(EventKind::Takeover).field("from", instance);
                    self.shared.record(entry.field("step", "session_deleted"));
                }
                Ok(WriteOutcome::Conflict(_)) => {
                    log::info!("{instance} renewed before it was taken over")
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
                self.note_written(before, &next, takes_role);
                self.adopt(&next);
                Some(true)
            }
            WriteResult::Conflict(Some(found)) => {
                if found.value.op == op {
                    self.note_written(before, &next, takes_role);
                } else {
                    self.had_no_effect();
                }
                self.adopt(&found.value);
                Some(true)
            }
            WriteResult::Conflict(None) | WriteResult::NoEffect => {
                self.had_no_effect();
                None
            }
            WriteResult::Unknown => {
                self.unanswered = self.unanswered.max(Some(version));
                None
            }
        }
    }

    /// A write without an answer may still take effect, so its version stays barred.
    fn had_no_effect(&self) {
        if self.unanswered.is_none() {
            self.assigner.state.lock().book.on_write_without_effect();
        }
    }

    fn adopt(&mut self, assignment: &Assignment) {
        if self.unanswered.is_some_and(|version| version <= assignment.version) {
            self.unanswered = None;
        }
        self.shared.offer_assignment(assignment.clone(), DocumentSource::Read);
    }

    fn note_written(&self, before: Option<&Assignment>, next: &Assignment, takes_role: bool) {
        let old = |leaf: &LeafId| before.and_then(|before| before.holdings.get(leaf));
        let changed = next.holdings.iter().filter(|(leaf, holding)| old(leaf) != Some(*holding));
        let mut count = 0_u64;
        for (leaf, holding) in changed {
            count += 1;
            if holding.taken_over && !old(leaf).is_some_and(|old| old.taken_over) {
                let entry = NewEvent::now(EventKind::Takeover).leaf(leaf).epoch(holding.epoch);
                self.shared.record(entry.field("to", &holding.instance));
            }
        }
        let kind = if takes_role { EventKind::AssignerTaken } else { EventKind::AssignmentWritten };
        let entry = NewEvent::now(kind).field("version", next.version);
        self.shared.record(entry.field("leaves_changed", count));
    }

    /// Deletes sessions that have expired and hold nothing; the first assigner does it.
    fn delete_ended(
        &self,
        situation: &Situation,
        current: Option<&Assignment>,
        view: &MembershipView,
    ) {
        let Some(current) = current else { return };
        if current.assigner_ids().next() != Some(&situation.me) {
            return;
        }
        let holds = |id: &InstanceId| {
            let of = |h: &Holding| h.instance == *id || h.from.as_ref() == Some(id);
            current.is_assigner(id) || current.holdings.values().any(of)
        };
        let expired = view
            .instances
            .iter()
            .filter(|(id, instance)| instance.liveness == Liveness::Expired && !holds(id));
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

fn seen(object: &Object) -> Option<SessionObject> {
    let record = serde_json::from_str(&object.body);
    let record = record.inspect_err(|err| log::error!("{} cannot be read: {err}", object.key));
    Some(SessionObject { record: record.ok()?, revision: object.revision })
}

/// A new operation id.
pub fn new_op_id(me: &InstanceId) -> OpId {
    let text = format!("{}-{:016x}", me.host(), rand::rng().random::<u64>());
    text.parse().expect("a host id and digits make a valid id")
}
