//! One simulated instance: it drives the state machines of the crate and makes their calls.

use {
    super::world::Store,
    crate::common::{SESSION, id, record},
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    wigeonramp_config::Document,
    wigeonramp_control::{
        assignment::{AssignInput, AssignStep, Assigner, AssignerSettings, Assignment, Fence},
        handover::{PendingRelease, ReleaseAnswer},
        membership::{Membership, SessionObject},
        promise::{PromiseAnswer, PromiseIssuer, RequestedPromise},
        rights::{HolderState, NoRights, RightsDecision},
        session::{ReadBack, Renewal, Session, SessionRecord},
    },
    wigeonramp_units::{InstanceId, Instant, LeafId, Revision, Span},
};

const HORIZON: Span = Span::secs(30);
const STALE_AFTER: Span = Span::secs(2);
const SETTINGS: AssignerSettings =
    AssignerSettings { session_time: SESSION, max_handovers: 4, promise_horizon: HORIZON };

#[derive(Clone, Debug)]
pub enum Op {
    Renew { renewal: Renewal, record: Box<SessionRecord>, replaces: Option<Revision> },
    ReadSession { instance: InstanceId },
    ReadAssignment { sent: Instant },
    List { sent: Instant },
    Fence(Fence),
    Write { next: Box<Assignment>, replaces: Option<Revision> },
    Exchange { peer: usize, sent: Instant },
    Promise { request: RequestedPromise, began: Instant },
    Release { release: PendingRelease },
}

#[derive(Clone, Debug)]
pub enum Reply {
    NoEffect,
    Unknown,
    Conflict,
    Written(Revision),
    Session(Option<(u64, Revision)>),
    Assignment(Option<(Assignment, Revision)>),
    Sessions(Vec<SessionObject>),
    Peer(Option<Assignment>),
    Promise(PromiseAnswer),
    Release(ReleaseAnswer),
}

impl Op {
    pub fn is_peer(&self) -> bool {
        matches!(self, Op::Exchange { .. } | Op::Promise { .. } | Op::Release { .. })
    }

    /// Returns the called peer; `None` if its instance has ended.
    pub fn peer(&self, nodes: &[Node]) -> Option<usize> {
        let find = |id: &InstanceId| nodes.iter().position(|node| node.instance == *id);
        match self {
            Op::Exchange { peer, .. } => Some(*peer),
            Op::Promise { request, .. } => find(&request.assigner),
            Op::Release { release } => find(&release.from),
            _ => None,
        }
    }

    pub fn apply(&self, store: &mut Store) -> Reply {
        match self {
            Op::Renew { record, replaces, .. } => {
                let current = store.sessions.get(&record.instance).map(|(_, revision)| *revision);
                if current != *replaces {
                    return Reply::Conflict;
                }
                let revision = store.next();
                store.sessions.insert(record.instance.clone(), (*record.clone(), revision));
                Reply::Written(revision)
            }
            Op::Fence(fence) => {
                let current = store.sessions.get(&fence.instance).map(|(_, revision)| *revision);
                if current != Some(fence.revision) {
                    return Reply::Conflict;
                }
                store.sessions.remove(&fence.instance);
                Reply::Written(store.next())
            }
            Op::Write { next, replaces } => {
                if store.assignment.as_ref().map(|(_, revision)| *revision) != *replaces {
                    return Reply::Conflict;
                }
                let revision = store.next();
                store.assignment = Some((*next.clone(), revision));
                Reply::Written(revision)
            }
            Op::ReadSession { instance } => Reply::Session(
                store.sessions.get(instance).map(|(record, rev)| (record.counter, *rev)),
            ),
            Op::ReadAssignment { .. } => Reply::Assignment(store.assignment.clone()),
            _ => Reply::Sessions(store.list()),
        }
    }
}

pub struct Node {
    pub instance: InstanceId,
    pub paused_until: u64,
    pub store_unreachable_until: u64,
    pub peers_unreachable_until: u64,
    pub leaving: bool,
    n: usize,
    boot: u64,
    // Rate of the clock relative to simulated time, in thousandths, and its offset.
    rate_permille: u64,
    offset: u64,
    holder: HolderState,
    membership: Membership,
    assigner: Assigner,
    issuer: PromiseIssuer,
    assignment: Option<Assignment>,
    // The assignment object as last read from the store; the outer `None` means never read.
    stored: Option<Option<(Assignment, Revision)>>,
    revision: Option<Revision>,
    renewing: bool,
    next_poll: Instant,
    rng: ChaCha8Rng,
}

impl Node {
    pub fn new(n: usize, rng: &mut ChaCha8Rng) -> Self {
        let rate_permille = rng.random_range(990..=1010);
        let offset = rng.random_range(10_000_000..1_000_000_000);
        let rng = ChaCha8Rng::seed_from_u64(rng.random());
        Self::started(n, 1, rate_permille, offset, rng, 0)
    }

    fn started(
        n: usize,
        boot: u64,
        rate_permille: u64,
        offset: u64,
        rng: ChaCha8Rng,
        t: u64,
    ) -> Self {
        let instance: InstanceId = id(&format!("h{n}@{boot}"));
        let now = Instant(t * rate_permille / 1_000 + offset);
        Self {
            paused_until: 0,
            store_unreachable_until: 0,
            peers_unreachable_until: 0,
            leaving: false,
            n,
            boot,
            rate_permille,
            offset,
            holder: HolderState::new(instance.clone(), Session::new(SESSION, now), STALE_AFTER),
            membership: Membership::new(SESSION, now),
            assigner: Assigner::new(instance.clone(), SETTINGS),
            issuer: PromiseIssuer::new(instance.clone(), SESSION, HORIZON),
            assignment: None,
            stored: None,
            revision: None,
            renewing: false,
            next_poll: now,
            rng,
            instance,
        }
    }

    pub fn restart(&mut self, t: u64) {
        let rng = ChaCha8Rng::seed_from_u64(self.rng.random());
        let (store_unreachable_until, peers_unreachable_until) =
            (self.store_unreachable_until, self.peers_unreachable_until);
        let new = Self::started(self.n, self.boot + 1, self.rate_permille, self.offset, rng, t);
        *self = Self { store_unreachable_until, peers_unreachable_until, ..new };
    }

    fn now(&self, t: u64) -> Instant {
        Instant(t * self.rate_permille / 1_000 + self.offset)
    }

    pub fn rights(&self, leaf: &LeafId, document: &Document, t: u64) -> RightsDecision {
        let none = RightsDecision::None(NoRights::NothingKnown);
        let view = self.assignment.as_ref();
        view.map_or(none, |view| self.holder.rights(leaf, view, document, self.now(t)))
    }

    pub fn act(&mut self, t: u64, document: &Document) -> Vec<Op> {
        if self.holder.session.is_fenced() {
            self.restart(t);
        }
        let now = self.now(t);
        let mut ops = Vec::new();
        if now >= self.holder.session.next_renewal() && !self.renewing {
            ops.push(self.renew(now));
        }
        if now < self.next_poll {
            return ops;
        }
        self.next_poll = now + Span::millis(self.rng.random_range(200..500));
        ops.push(Op::ReadAssignment { sent: now });
        let peer = self.rng.random_range(0..super::world::HOSTS);
        ops.push(Op::Exchange { peer, sent: now });
        ops.extend(self.request_promises(now));
        ops.extend(self.request_releases());
        ops.extend(self.assign(now, document));
        ops
    }

    fn renew(&mut self, now: Instant) -> Op {
        self.renewing = true;
        let renewal = self.holder.session.start_renewal(now, &mut self.rng);
        let zone = ["a", "b", "c"][self.n % 3];
        let mut record = record(&self.instance, zone, renewal.counter);
        record.leaving = self.leaving;
        record.settled =
            self.assignment.as_ref().map(|v| self.holder.settled_version(v)).unwrap_or_default();
        Op::Renew { renewal, record: Box::new(record), replaces: self.revision }
    }

    fn request_promises(&mut self, now: Instant) -> Vec<Op> {
        let Some(view) = &self.assignment else { return Vec::new() };
        if !self.holder.needs_promises(now) {
            return Vec::new();
        }
        let requests = self.holder.promises.begin(&self.instance, view, SESSION, now);
        requests.into_iter().map(|request| Op::Promise { request, began: now }).collect()
    }

    fn request_releases(&self) -> Vec<Op> {
        let releases = self.assignment.iter().flat_map(|view| self.holder.pending_releases(view));
        releases.map(|release| Op::Release { release }).collect()
    }

    fn assign(&mut self, now: Instant, document: &Document) -> Vec<Op> {
        let Some(stored) = &self.stored else { return Vec::new() };
        let current = stored.as_ref().map(|(assignment, _)| assignment);
        let replaces = stored.as_ref().map(|(_, revision)| *revision);
        let view = &self.membership.view(now);
        let op = id(&format!("op-{}-{}", self.instance, now.0));
        let input = AssignInput { current, view, document, op, now };
        match self.assigner.step(&input, &mut self.issuer) {
            AssignStep::Nothing => Vec::new(),
            AssignStep::Fence(fences) => fences.into_iter().map(Op::Fence).collect(),
            AssignStep::Write(next) | AssignStep::TakeRole(next) => {
                vec![Op::Write { next: Box::new(next), replaces }]
            }
        }
    }

    /// Answers the call of a peer.
    pub fn serve(&mut self, op: &Op, t: u64) -> Reply {
        let now = self.now(t);
        match op {
            Op::Promise { request, .. } => {
                let renewal = self.holder.session.last_renewal();
                Reply::Promise(self.issuer.answer(request, renewal, now))
            }
            Op::Release { release } => {
                let holding =
                    self.assignment.as_ref().and_then(|view| view.holdings.get(&release.leaf));
                let held_epoch =
                    holding.filter(|holding| holding.instance == self.instance).map(|h| h.epoch);
                let in_flight = self.rng.random_range(0..2);
                Reply::Release(self.holder.outgoing.release(
                    &release.leaf,
                    release.epoch,
                    held_epoch,
                    in_flight,
                ))
            }
            _ => Reply::Peer(self.assignment.clone()),
        }
    }

    pub fn on_reply(&mut self, op: Op, reply: Reply, t: u64) -> Vec<Op> {
        let now = self.now(t);
        match (op, reply) {
            (Op::Renew { renewal, .. }, Reply::Written(revision)) => {
                self.renewing = false;
                self.revision = Some(revision);
                self.holder.session.confirm_renewal(renewal.counter, renewal.sent, now);
                self.holder.record_contact(renewal.sent);
            }
            (Op::Renew { .. }, Reply::NoEffect) => self.renewing = false,
            (Op::Renew { .. }, _) => {
                return vec![Op::ReadSession { instance: self.instance.clone() }];
            }
            (Op::ReadSession { .. }, Reply::Session(found)) => self.read_back(found, now),
            (Op::ReadSession { .. }, _) => self.renewing = false,
            (Op::ReadAssignment { sent }, Reply::Assignment(found)) => {
                self.holder.record_contact(sent);
                if let Some((assignment, _)) = &found {
                    self.adopt(assignment);
                }
                self.stored = Some(found);
                return vec![Op::List { sent: now }];
            }
            (Op::List { sent }, Reply::Sessions(seen)) => {
                self.membership.on_session_list(sent, seen, now)
            }
            (Op::Exchange { sent, .. }, Reply::Peer(view)) => {
                self.holder.record_contact(sent);
                view.iter().for_each(|view| self.adopt(view));
            }
            (Op::Promise { request, began }, Reply::Promise(answer)) => {
                self.holder.promises.on_answer(&request, answer, began);
            }
            (Op::Release { release }, Reply::Release(ReleaseAnswer::Released)) => {
                self.holder.incoming.on_released(&release.leaf, release.epoch);
            }
            _ => {}
        }
        Vec::new()
    }

    fn read_back(&mut self, found: Option<(u64, Revision)>, now: Instant) {
        self.renewing = false;
        let counter = found.map(|(counter, _)| counter);
        if self.holder.session.read_back(counter, now) != ReadBack::Fenced {
            self.revision = found.map(|(_, revision)| revision);
        }
    }

    fn adopt(&mut self, assignment: &Assignment) {
        if self.assignment.as_ref().is_none_or(|view| view.version < assignment.version) {
            self.assignment = Some(assignment.clone());
            self.issuer.on_assignment(assignment);
        }
    }
}
