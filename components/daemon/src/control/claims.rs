//! Claims of requests that must not run twice.
//!
//! Request threads ask and wait; writer threads batch what waits for one object into one call. A
//! request is granted before any byte is sent, and its outcome is recorded after its answer.

use {
    crate::{
        clock,
        control::{
            platform::{CallKind, Platform},
            shared_state::SharedState,
        },
        entry::{
            QueryRequest,
            claims::{ClaimDecision, ClaimedOutcome, RequestClaims},
        },
    },
    crossbeam::channel::{Receiver, Sender, bounded},
    parking_lot::{Condvar, Mutex},
    rand::RngExt,
    std::{collections::HashMap, sync::Arc},
    wigeonramp_config::caller_api::{
        CollectionResult, MissingShard, QueryOutcome, QueryResponse, ShardCoverage,
    },
    wigeonramp_control::{
        backoff::Backoff,
        call_budget::CallBudget,
        claims::{
            ClaimBatcher, ClaimBody, ClaimId, ClaimNonce, ClaimOperation, ClaimSettings,
            ClaimState, ClaimStoreCall, Decision, NotRun, Verdict,
        },
        store_result::{ReadResult, WriteResult},
    },
    wigeonramp_store::ObjectStore,
    wigeonramp_telemetry::timeline::{EventKind, NewEvent},
    wigeonramp_units::{Instant, Span},
};

/// Threads that write claims; one hanging call leaves the others free.
pub const WRITERS: usize = 4;
/// How long an idle writer waits before it looks whether the host has stopped.
const PATIENCE: Span = Span::millis(500);

/// Claims of this host.
pub struct ClaimService {
    shared: Arc<SharedState>,
    state: Mutex<State>,
    work: Condvar,
    written: Condvar,
}

struct State {
    book: ClaimBatcher,
    granted: HashMap<ClaimId, ClaimNonce>,
    next_write: Instant,
    /// Whether the last write that conflicted was itself sent at once after a conflict; the next one
    /// waits, so that conflicts at most double the calls.
    repeated: bool,
    waiting: HashMap<ClaimNonce, Sender<Verdict>>,
}

impl ClaimService {
    /// Nothing claimed yet.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let retention = shared.lock().retention.lower_bound(clock::now());
        let state = State {
            book: ClaimBatcher::new(ClaimSettings::new(retention)),
            granted: HashMap::new(),
            next_write: Instant::default(),
            repeated: false,
            waiting: HashMap::new(),
        };
        Self { shared, state: Mutex::new(state), work: Condvar::new(), written: Condvar::new() }
    }

    /// Waits until all outcomes are written; false if that takes longer than `patience`.
    pub fn flush(&self, patience: Span) -> bool {
        let deadline = clock::now() + patience;
        let mut state = self.state.lock();
        while !state.book.is_idle() {
            let left = clock::until(deadline);
            if left == Span::ZERO {
                return false;
            }
            // The writers hold the lock only between their calls.
            self.work.notify_one();
            self.written.wait_for(&mut state, left.to_duration());
        }
        true
    }

    /// Writes and reads claim objects until the host stops.
    pub fn run<S: ObjectStore>(&self, platform: &Platform<S>) {
        let mut backoff = Backoff::default();
        while let Some(call) = self.next_call() {
            if self.call(platform, call) {
                backoff.reset();
            } else {
                std::thread::sleep(backoff.next_delay(&mut rand::rng()).to_duration());
            }
        }
    }

    /// The next call; `None` when the host stops.
    fn next_call(&self) -> Option<ClaimStoreCall> {
        let mut state = self.state.lock();
        loop {
            if self.shared.is_stopped() {
                return None;
            }
            let now = clock::now();
            let mut pause = PATIENCE;
            if now < state.next_write {
                pause = state.next_write.since(now);
            } else {
                let (call, decided) = state.book.next_call(clock::unix_now());
                state.deliver(decided);
                if let Some(call) = call {
                    state.next_write = now + self.interval();
                    return Some(call);
                }
            }
            self.work.wait_for(&mut state, pause.to_duration());
        }
    }

    /// Shortest time between two claim writes of this host.
    fn interval(&self) -> Span {
        let state = self.shared.lock();
        let hosts = u32::try_from(state.host_count(clock::now())).unwrap_or(u32::MAX);
        CallBudget::new(hosts, state.document.limits.session_time).claim_interval(hosts)
    }

    /// Does one call; false if the store did not answer it.
    fn call<S: ObjectStore>(&self, platform: &Platform<S>, call: ClaimStoreCall) -> bool {
        let ClaimStoreCall { key, operation } = call;
        let ok = match operation {
            ClaimOperation::Write { body, replaces } => {
                let result = platform.write(CallKind::Claim, &key, &body, replaces);
                let ok = !matches!(result, WriteResult::NoEffect | WriteResult::Unknown);
                let conflict = matches!(result, WriteResult::Conflict(_));
                let mut state = self.state.lock();
                if conflict && !state.repeated {
                    state.next_write = clock::now();
                }
                state.repeated = conflict && !state.repeated;
                let decided = state.book.on_written(&key, result, clock::unix_now());
                state.deliver(decided);
                ok
            }
            ClaimOperation::Read => {
                let result = platform.read::<ClaimBody>(CallKind::Claim, &key);
                let ok = !matches!(result, ReadResult::Failed);
                let mut state = self.state.lock();
                let decided = state.book.on_read(&key, result);
                state.deliver(decided);
                ok
            }
        };
        self.work.notify_one();
        self.written.notify_all();
        ok
    }

    fn verdict(&self, query: &QueryRequest) -> Verdict {
        let claim = claim_of(query);
        let nonce = ClaimNonce(rand::rng().random());
        let answer = match self.request(&claim, nonce) {
            Ok(answer) => answer,
            Err(verdict) => return verdict,
        };
        let patience = clock::until(query.deadline).to_duration();
        answer.recv_timeout(patience).unwrap_or_else(|_| self.withdraw(&claim, nonce, &answer))
    }

    fn request(&self, claim: &ClaimId, nonce: ClaimNonce) -> Result<Receiver<Verdict>, Verdict> {
        let retention = self.shared.lock().retention.lower_bound(clock::now());
        let mut state = self.state.lock();
        state.book.set_retention(retention);
        if let Some(decision) = state.book.request(claim.clone(), nonce, clock::unix_now()) {
            return Err(decision.verdict);
        }
        let (tx, rx) = bounded(1);
        state.waiting.insert(nonce, tx);
        drop(state);
        self.work.notify_one();
        Ok(rx)
    }

    /// The caller's deadline has passed; nothing was or will be sent under this claim.
    fn withdraw(&self, claim: &ClaimId, nonce: ClaimNonce, answer: &Receiver<Verdict>) -> Verdict {
        let mut state = self.state.lock();
        if let Ok(verdict) = answer.try_recv() {
            return verdict;
        }
        state.waiting.remove(&nonce);
        state.book.withdraw(claim);
        Verdict::NotRun(NotRun::Withdrawn)
    }

    fn note(&self, query: &QueryRequest, result: &str) {
        let entry = NewEvent::now(EventKind::Claim).request(&query.request);
        self.shared.record(entry.field("result", result));
    }
}

impl State {
    fn deliver(&mut self, decided: Vec<Decision>) {
        for Decision { claim, nonce, verdict } in decided {
            let waiting = self.waiting.remove(&nonce);
            if verdict != Verdict::Granted {
                // A request thread that has given up needs no answer.
                let _ = waiting.map(|waiting| waiting.send(verdict));
                continue;
            }
            match waiting {
                Some(waiting) if waiting.send(verdict).is_ok() => {
                    self.granted.insert(claim, nonce);
                }
                _ => self.book.record_outcome(claim, nonce, ClaimState::NotRun),
            }
        }
    }
}

impl RequestClaims for ClaimService {
    fn claim(&self, query: &QueryRequest) -> ClaimDecision {
        let verdict = self.verdict(query);
        let (result, claim) = match verdict {
            Verdict::Granted => ("granted", ClaimDecision::Granted),
            Verdict::Foreign(ClaimState::Done) => {
                ("foreign_done", ClaimDecision::AlreadyRan(ran(query).into()))
            }
            Verdict::Foreign(ClaimState::Unknown) => {
                let reason = "the request was sent before and its outcome is unknown";
                ("foreign_unknown", ClaimDecision::Unknown(reason.to_owned()))
            }
            Verdict::Foreign(ClaimState::Open | ClaimState::NotRun) => {
                let reason = "the request is claimed elsewhere and no outcome is recorded";
                ("foreign_open", ClaimDecision::Unknown(reason.to_owned()))
            }
            Verdict::Expired => {
                let reason = "the request id is older than outcomes are kept; no longer known";
                ("expired", ClaimDecision::Unknown(reason.to_owned()))
            }
            Verdict::NotRun(reason) => ("not_run", ClaimDecision::NotRun(text(reason).to_owned())),
        };
        self.note(query, result);
        claim
    }

    fn record(&self, query: &QueryRequest, outcome: &ClaimedOutcome) {
        let claim = claim_of(query);
        let (result, outcome) = match outcome {
            ClaimedOutcome::Done(_) => ("recorded_done", ClaimState::Done),
            ClaimedOutcome::NotRun => ("released", ClaimState::NotRun),
            ClaimedOutcome::Unknown => ("recorded_unknown", ClaimState::Unknown),
        };
        {
            let mut state = self.state.lock();
            let Some(nonce) = state.granted.remove(&claim) else {
                return log::error!("request {}: outcome without a claim", query.request);
            };
            state.book.record_outcome(claim, nonce, outcome);
        }
        self.work.notify_one();
        self.note(query, result);
    }
}

fn claim_of(query: &QueryRequest) -> ClaimId {
    ClaimId {
        member: query.member.clone(),
        caller: query.caller.clone(),
        request: query.request.clone(),
    }
}

fn text(reason: NotRun) -> &'static str {
    match reason {
        NotRun::StoreUnavailable => "the claim could not be written",
        NotRun::BucketFull => "too many claims at this moment",
        NotRun::BadRequestId => "request_id is not of the form <unix ms>-<random>",
        NotRun::NonceUsed => "the claim's nonce was used before",
        NotRun::Withdrawn => "the deadline passed before the claim was written",
    }
}

/// The answer to a repetition of a request that ran: rows are not kept.
fn ran(query: &QueryRequest) -> QueryResponse {
    let missing = query.shard.iter().map(|shard| MissingShard {
        shard: shard.clone(),
        reason: "the request ran before; its rows are not kept".to_owned(),
    });
    let missing: Vec<_> = missing.collect();
    let total = u32::try_from(missing.len()).unwrap_or(u32::MAX);
    let collections = query.collections.iter().map(|collection| CollectionResult {
        collection: collection.clone(),
        snapshot: None,
        map_version: None,
        coverage: ShardCoverage { covered: 0, total, missing: missing.clone() },
        parts: Vec::new(),
    });
    QueryResponse {
        request_id: query.request.clone(),
        outcome: QueryOutcome::Done,
        collections: collections.collect(),
    }
}
