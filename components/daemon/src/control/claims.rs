//! Claims of non-idempotent requests.
//!
//! Request threads request a claim and wait. Writer threads batch the claims that belong to one
//! store object into one call. A claim is granted before any byte of the request is sent, and the
//! outcome is recorded after the response.

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

/// Number of threads that write claims, so that one hanging call does not block the others.
pub const WRITERS: usize = 4;
/// Interval at which an idle writer checks whether the host has stopped.
const STOP_CHECK_INTERVAL: Span = Span::millis(500);

/// Claims that this host requests and records.
pub struct ClaimService {
    shared: Arc<SharedState>,
    state: Mutex<State>,
    work_added: Condvar,
    call_done: Condvar,
}

struct State {
    batcher: ClaimBatcher,
    granted: HashMap<ClaimId, ClaimNonce>,
    next_write: Instant,
    /// Whether the last write conflicted and the next one may be sent immediately. If that one
    /// conflicts too, the write after it waits for its interval, so that conflicts at most double
    /// the number of calls.
    immediate_retry: bool,
    waiting: HashMap<ClaimNonce, Sender<Verdict>>,
}

impl ClaimService {
    /// Creates the service without claims.
    pub fn new(shared: Arc<SharedState>) -> Self {
        let retention = shared.lock().retention.lower_bound(clock::now());
        let state = State {
            batcher: ClaimBatcher::new(ClaimSettings::new(retention)),
            granted: HashMap::new(),
            next_write: Instant::default(),
            immediate_retry: false,
            waiting: HashMap::new(),
        };
        Self {
            shared,
            state: Mutex::new(state),
            work_added: Condvar::new(),
            call_done: Condvar::new(),
        }
    }

    /// Waits until all outcomes are written. Returns false if that takes longer than `timeout`.
    pub fn flush(&self, timeout: Span) -> bool {
        let deadline = clock::now() + timeout;
        let mut state = self.state.lock();
        while !state.batcher.is_idle() {
            let remaining = clock::until(deadline);
            if remaining == Span::ZERO {
                return false;
            }
            // Writers hold the lock only between calls.
            self.work_added.notify_one();
            self.call_done.wait_for(&mut state, remaining.to_duration());
        }
        true
    }

    /// Runs a writer thread until the host stops.
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

    /// Waits for the next call. Returns `None` when the host stops.
    fn next_call(&self) -> Option<ClaimStoreCall> {
        let mut state = self.state.lock();
        loop {
            if self.shared.is_stopped() {
                return None;
            }
            let now = clock::now();
            let mut pause = STOP_CHECK_INTERVAL;
            if now < state.next_write {
                pause = state.next_write.since(now);
            } else {
                let (call, decisions) = state.batcher.next_call(clock::unix_now());
                state.deliver(decisions);
                if let Some(call) = call {
                    state.next_write = now + self.write_interval();
                    return Some(call);
                }
            }
            self.work_added.wait_for(&mut state, pause.to_duration());
        }
    }

    /// Minimum interval between claim writes of this host.
    fn write_interval(&self) -> Span {
        let state = self.shared.lock();
        let hosts = u32::try_from(state.host_count(clock::now())).unwrap_or(u32::MAX);
        CallBudget::new(hosts, state.document.limits.session_time).claim_interval(hosts)
    }

    /// Makes one call. Returns false if the store did not answer.
    fn call<S: ObjectStore>(&self, platform: &Platform<S>, call: ClaimStoreCall) -> bool {
        let ClaimStoreCall { key, operation } = call;
        let ok = match operation {
            ClaimOperation::Write { body, replaces } => {
                let result = platform.write(CallKind::Claim, &key, &body, replaces);
                let ok = !matches!(result, WriteResult::NoEffect | WriteResult::Unknown);
                let conflict = matches!(result, WriteResult::Conflict(_));
                let mut state = self.state.lock();
                if conflict && !state.immediate_retry {
                    state.next_write = clock::now();
                }
                state.immediate_retry = conflict && !state.immediate_retry;
                let decisions = state.batcher.on_written(&key, result, clock::unix_now());
                state.deliver(decisions);
                ok
            }
            ClaimOperation::Read => {
                let result = platform.read::<ClaimBody>(CallKind::Claim, &key);
                let ok = !matches!(result, ReadResult::Failed);
                let mut state = self.state.lock();
                let decisions = state.batcher.on_read(&key, result);
                state.deliver(decisions);
                ok
            }
        };
        self.work_added.notify_one();
        self.call_done.notify_all();
        ok
    }

    /// Requests a claim and waits for the verdict until the deadline of the query.
    fn verdict(&self, query: &QueryRequest) -> Verdict {
        let claim = claim_of(query);
        let nonce = ClaimNonce(rand::rng().random());
        let rx = match self.request(&claim, nonce) {
            Ok(rx) => rx,
            Err(verdict) => return verdict,
        };
        let timeout = clock::until(query.deadline).to_duration();
        rx.recv_timeout(timeout).unwrap_or_else(|_| self.withdraw(&claim, nonce, &rx))
    }

    fn request(&self, claim: &ClaimId, nonce: ClaimNonce) -> Result<Receiver<Verdict>, Verdict> {
        let retention = self.shared.lock().retention.lower_bound(clock::now());
        let mut state = self.state.lock();
        state.batcher.set_retention(retention);
        if let Some(decision) = state.batcher.request(claim.clone(), nonce, clock::unix_now()) {
            return Err(decision.verdict);
        }
        let (tx, rx) = bounded(1);
        state.waiting.insert(nonce, tx);
        drop(state);
        self.work_added.notify_one();
        Ok(rx)
    }

    /// Withdraws a claim whose deadline has passed. No request was or will be sent under it.
    fn withdraw(&self, claim: &ClaimId, nonce: ClaimNonce, rx: &Receiver<Verdict>) -> Verdict {
        let mut state = self.state.lock();
        if let Ok(verdict) = rx.try_recv() {
            return verdict;
        }
        state.waiting.remove(&nonce);
        state.batcher.withdraw(claim);
        Verdict::NotRun(NotRun::Withdrawn)
    }

    fn record_event(&self, query: &QueryRequest, result: &str) {
        let event = NewEvent::now(EventKind::Claim).request(&query.request);
        self.shared.record(event.field("result", result));
    }
}

impl State {
    fn deliver(&mut self, decisions: Vec<Decision>) {
        for Decision { claim, nonce, verdict } in decisions {
            let waiting = self.waiting.remove(&nonce);
            if verdict != Verdict::Granted {
                // The request thread may have given up.
                let _ = waiting.map(|waiting| waiting.send(verdict));
                continue;
            }
            match waiting {
                Some(waiting) if waiting.send(verdict).is_ok() => {
                    self.granted.insert(claim, nonce);
                }
                _ => self.batcher.record_outcome(claim, nonce, ClaimState::NotRun),
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
                ("foreign_done", ClaimDecision::AlreadyRan(response_without_rows(query).into()))
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
            Verdict::NotRun(reason) => {
                ("not_run", ClaimDecision::NotRun(describe(reason).to_owned()))
            }
        };
        self.record_event(query, result);
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
                return log::error!(
                    "request {}: outcome recorded without a granted claim",
                    query.request
                );
            };
            state.batcher.record_outcome(claim, nonce, outcome);
        }
        self.work_added.notify_one();
        self.record_event(query, result);
    }
}

fn claim_of(query: &QueryRequest) -> ClaimId {
    ClaimId {
        member: query.member.clone(),
        caller: query.caller.clone(),
        request: query.request.clone(),
    }
}

fn describe(reason: NotRun) -> &'static str {
    match reason {
        NotRun::StoreUnavailable => "the claim could not be written",
        NotRun::BucketFull => "too many claims at this moment",
        NotRun::BadRequestId => "request_id is not of the form <unix ms>-<random>",
        NotRun::NonceUsed => "the claim's nonce was used before",
        NotRun::Withdrawn => "the deadline passed before the claim was written",
    }
}

/// Returns the response to a resubmission of a request that has run; its rows are not kept.
fn response_without_rows(query: &QueryRequest) -> QueryResponse {
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
