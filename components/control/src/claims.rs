//! Claims, which ensure that a non-idempotent request runs at most once.
//!
//! All claims of one period and bucket share a store object. A host merges its changes into the
//! body that it read last and writes the result conditional on that revision; after a conflict it
//! merges again into the body found.

pub use crate::claim_object::{
    Claim, ClaimBody, ClaimId, ClaimNonce, ClaimSettings, ClaimState, MAX_CLOCK_LEAD, is_deletable,
};

use {
    crate::store_result::{ReadResult, Stored, WriteResult},
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        ops::Bound,
    },
    wigeonramp_units::{Revision, Span, UnixMillis},
};

/// Decision about one claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Decision {
    /// The claim.
    pub claim: ClaimId,
    /// The nonce under which it was requested.
    pub nonce: ClaimNonce,
    /// The verdict.
    pub verdict: Verdict,
}

/// What may be done with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The request may be sent once.
    Granted,
    /// The request was claimed under another nonce. Its state is reported to the caller, with
    /// `Open` reported as unknown.
    Foreign(ClaimState),
    /// The request was not sent and will not be sent under this nonce.
    NotRun(NotRun),
    /// The request id is older than the retention, so its claim may have been deleted.
    Expired,
}

/// Why a request was not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRun {
    /// The store did not accept the claim, or did not respond.
    StoreUnavailable,
    /// The claim object is full.
    BucketFull,
    /// The request id does not have the form `<unix ms>-<random>`, or its time is in the future.
    BadRequestId,
    /// The nonce was used before.
    NonceUsed,
    /// The request was withdrawn before the claim was written.
    Withdrawn,
}

/// A call to the store that the daemon has to make.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimStoreCall {
    /// Key of the object.
    pub key: String,
    /// The operation on it.
    pub operation: ClaimOperation,
}

/// Operation on a claim object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOperation {
    /// Writes a body, conditional on the revision that it replaces.
    Write {
        /// The body.
        body: ClaimBody,
        /// The revision that it replaces; `None` creates the object.
        replaces: Option<Revision>,
    },
    /// Reads the object.
    Read,
}

#[derive(Clone, Debug)]
enum ChangeKind {
    Claim,
    Outcome(ClaimState),
}

/// A change to one claim of a claim object.
#[derive(Clone, Debug)]
struct ClaimChange {
    claim: ClaimId,
    nonce: ClaimNonce,
    kind: ChangeKind,
}

impl ClaimChange {
    // Only a change that claims a request ends in a decision; one that records an outcome does not.
    fn decide(self, verdict: Verdict) -> Option<Decision> {
        let ClaimChange { claim, nonce, kind } = self;
        matches!(kind, ChangeKind::Claim).then_some(Decision { claim, nonce, verdict })
    }
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum Phase {
    #[default]
    Idle,
    Writing,
    NeedsRead,
    Reading,
}

/// One claim object, as this host last read or wrote it, with the changes that this host makes.
#[derive(Clone, Debug, Default)]
struct Bucket {
    phase: Phase,
    revision: Option<Revision>,
    body: ClaimBody,
    // Whether `body` was read and not merged since.
    just_read: bool,
    // Changes that are not sent yet, and those of the write in progress, by their key in the body.
    pending: BTreeMap<String, ClaimChange>,
    sent: BTreeMap<String, ClaimChange>,
    sent_body: ClaimBody,
}

/// The claims of one entry host, batched into reads and writes of claim objects.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    settings: ClaimSettings,
    buckets: BTreeMap<String, Bucket>,
    // Object key of the last call. The search for the next call begins after it: calls are
    // limited, and otherwise the first keys would use all of them.
    last_called: String,
    // Object key whose last write conflicted and is repeated before all others. If it waited for
    // its turn, the other hosts would write the object again in the meantime.
    conflicted: Option<String>,
    // Nonces that were used, with the time of their use.
    used_nonces: BTreeMap<ClaimNonce, UnixMillis>,
    // Body keys of claims that were withdrawn while their write was in progress.
    withdrawn: BTreeSet<String>,
}

impl ClaimBatcher {
    /// Creates a batcher without claims.
    pub fn new(settings: ClaimSettings) -> Self {
        let (buckets, last_called, conflicted, used_nonces, withdrawn) = Default::default();
        Self { settings, buckets, last_called, conflicted, used_nonces, withdrawn }
    }

    /// Sets how long a claim is retained.
    pub fn set_retention(&mut self, retention: Span) {
        self.settings.retention = retention;
    }

    /// Requests a claim. Returns the decision if it needs no call to the store; otherwise a later
    /// method call returns it.
    pub fn request(
        &mut self,
        claim: ClaimId,
        nonce: ClaimNonce,
        now: UnixMillis,
    ) -> Option<Decision> {
        let change = ClaimChange { claim, nonce, kind: ChangeKind::Claim };
        let key = match self.settings.checked_key(&change.claim, now) {
            Ok(key) => key,
            Err(verdict) => return change.decide(verdict),
        };
        if self.used_nonces.insert(nonce, now).is_some() {
            return change.decide(Verdict::NotRun(NotRun::NonceUsed));
        }
        let body_key = change.claim.body_key();
        let bucket = self.buckets.entry(key).or_default();
        let earlier = bucket.pending.get(&body_key).or_else(|| bucket.sent.get(&body_key));
        if let Some(earlier) = earlier {
            let state = match &earlier.kind {
                ChangeKind::Claim => ClaimState::Open,
                ChangeKind::Outcome(state) => state.clone(),
            };
            return change.decide(Verdict::Foreign(state));
        }
        bucket.pending.insert(body_key, change);
        None
    }

    /// Records the outcome of a request that was granted under `nonce`.
    pub fn record_outcome(&mut self, claim: ClaimId, nonce: ClaimNonce, state: ClaimState) {
        let Some(key) = self.settings.object_key(&claim) else { return };
        let change = ClaimChange { claim, nonce, kind: ChangeKind::Outcome(state) };
        self.buckets.entry(key).or_default().pending.insert(change.claim.body_key(), change);
    }

    /// Withdraws a claim that was still undecided at the caller's deadline. If it is granted later,
    /// it is released as not run.
    pub fn withdraw(&mut self, claim: &ClaimId) -> Option<Decision> {
        let key = self.settings.object_key(claim)?;
        let (body_key, bucket) = (claim.body_key(), self.buckets.get_mut(&key)?);
        let is_undecided = |change: &ClaimChange| matches!(change.kind, ChangeKind::Claim);
        if bucket.sent.get(&body_key).is_some_and(is_undecided) {
            self.withdrawn.insert(body_key);
            return None;
        }
        bucket.pending.get(&body_key).filter(|change| is_undecided(change))?;
        bucket.pending.remove(&body_key)?.decide(Verdict::NotRun(NotRun::Withdrawn))
    }

    /// Whether no call is in progress and no change is left to write.
    pub fn is_idle(&self) -> bool {
        self.buckets.values().all(Bucket::is_idle)
    }

    /// Returns the next call to the store, and decisions that need no call. At most one call per
    /// object is in progress at the same time.
    pub fn next_call(&mut self, now: UnixMillis) -> (Option<ClaimStoreCall>, Vec<Decision>) {
        let mut decisions = Vec::new();
        let settings = self.settings;
        self.buckets.retain(|key, bucket| !bucket.is_idle() || settings.is_recent(key, now));
        self.used_nonces.retain(|_, at| now <= *at + settings.retention + settings.retention);
        let last_called = self.last_called.as_str();
        let after = (Bound::Excluded(last_called), Bound::Unbounded);
        let up_to = (Bound::Unbounded, Bound::Included(last_called));
        let repeated = self.conflicted.take().and_then(|key| {
            let operation =
                self.buckets.get_mut(&key)?.next_operation(&settings, &mut decisions, now)?;
            Some(ClaimStoreCall { key, operation })
        });
        if repeated.is_some() {
            return (repeated, self.release_withdrawn(decisions));
        }
        let call = [after, up_to].into_iter().find_map(|range| {
            self.buckets.range_mut::<str, _>(range).find_map(|(key, bucket)| {
                let operation = bucket.next_operation(&settings, &mut decisions, now)?;
                Some(ClaimStoreCall { key: key.clone(), operation })
            })
        });
        if let Some(call) = &call {
            self.last_called.clone_from(&call.key);
        }
        (call, self.release_withdrawn(decisions))
    }

    /// Records the result of the write to `key` and returns the decisions that follow from it.
    pub fn on_written(
        &mut self,
        key: &str,
        result: WriteResult<ClaimBody>,
        now: UnixMillis,
    ) -> Vec<Decision> {
        let Some(bucket) = self.buckets.get_mut(key) else { return Vec::new() };
        if matches!(result, WriteResult::Conflict(_)) {
            self.conflicted = Some(key.to_owned());
        }
        let decisions = bucket.on_written(result, &self.settings, now);
        self.release_withdrawn(decisions)
    }

    /// Records the result of the read of `key` and returns the decisions that follow from it.
    pub fn on_read(&mut self, key: &str, result: ReadResult<ClaimBody>) -> Vec<Decision> {
        let Some(bucket) = self.buckets.get_mut(key) else { return Vec::new() };
        let decisions = bucket.on_read(result);
        self.release_withdrawn(decisions)
    }

    // Releases claims that were granted after they were withdrawn.
    fn release_withdrawn(&mut self, decisions: Vec<Decision>) -> Vec<Decision> {
        let mut kept = Vec::new();
        for mut decision in decisions {
            if self.withdrawn.remove(&decision.claim.body_key())
                && decision.verdict == Verdict::Granted
            {
                self.record_outcome(decision.claim.clone(), decision.nonce, ClaimState::NotRun);
                decision.verdict = Verdict::NotRun(NotRun::Withdrawn);
            }
            kept.push(decision);
        }
        kept
    }
}

impl Bucket {
    fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && self.pending.is_empty() && self.sent.is_empty()
    }

    fn next_operation(
        &mut self,
        settings: &ClaimSettings,
        decisions: &mut Vec<Decision>,
        now: UnixMillis,
    ) -> Option<ClaimOperation> {
        match self.phase {
            Phase::Writing | Phase::Reading => return None,
            Phase::NeedsRead => {
                self.phase = Phase::Reading;
                return Some(ClaimOperation::Read);
            }
            Phase::Idle => {}
        }
        if self.pending.is_empty() {
            return None;
        }
        self.merge(settings, decisions, now);
        if self.phase == Phase::NeedsRead {
            self.phase = Phase::Reading;
            return Some(ClaimOperation::Read);
        }
        if self.sent.is_empty() {
            return None;
        }
        self.phase = Phase::Writing;
        Some(ClaimOperation::Write { body: self.sent_body.clone(), replaces: self.revision })
    }

    fn merge(&mut self, settings: &ClaimSettings, decisions: &mut Vec<Decision>, now: UnixMillis) {
        let mut body = self.body.clone();
        let mut free_bytes = settings.max_body.get().saturating_sub(body.size());
        for (body_key, change) in mem::take(&mut self.pending) {
            let current = body.claims.get(&body_key);
            let merged = match &change.kind {
                ChangeKind::Outcome(state) => merge_outcome(current, change.nonce, state),
                ChangeKind::Claim => {
                    merge_claim(current, change.nonce, now, &change.claim, settings)
                }
            };
            match merged {
                Merged::Write(claim) => {
                    let size = ClaimBody::entry_size(&body_key, &claim);
                    if current.is_none() && size > free_bytes {
                        decisions.extend(change.decide(Verdict::NotRun(NotRun::BucketFull)));
                        continue;
                    }
                    free_bytes = free_bytes.saturating_sub(size);
                    body.claims.insert(body_key.clone(), claim);
                    self.sent.insert(body_key, change);
                }
                Merged::Decided(Verdict::Foreign(_)) | Merged::Drop if !self.just_read => {
                    self.pending.insert(body_key, change);
                    self.phase = Phase::NeedsRead;
                }
                Merged::Decided(verdict) => decisions.extend(change.decide(verdict)),
                Merged::Drop => {}
            }
        }
        self.sent_body = body;
        self.just_read = false;
        if self.phase == Phase::NeedsRead {
            let sent = mem::take(&mut self.sent);
            self.pending.extend(sent);
        }
    }

    fn on_written(
        &mut self,
        result: WriteResult<ClaimBody>,
        settings: &ClaimSettings,
        now: UnixMillis,
    ) -> Vec<Decision> {
        if self.phase != Phase::Writing {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        match result {
            WriteResult::Written(revision) => {
                self.revision = Some(revision);
                self.body = mem::take(&mut self.sent_body);
                let verdict = |claim: &ClaimId| match settings.is_expired(claim, now) {
                    true => Verdict::Expired,
                    false => Verdict::Granted,
                };
                self.decide_sent(verdict)
            }
            WriteResult::Conflict(found) => {
                self.load_body(found);
                Vec::new()
            }
            WriteResult::NoEffect => self.fail_sent(),
            WriteResult::Unknown => {
                self.phase = Phase::NeedsRead;
                Vec::new()
            }
        }
    }

    fn on_read(&mut self, result: ReadResult<ClaimBody>) -> Vec<Decision> {
        if self.phase != Phase::Reading {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        match result {
            ReadResult::Found(found) => self.load_body(Some(found)),
            ReadResult::Missing => self.load_body(None),
            ReadResult::Failed => return self.read_failed(),
        }
        Vec::new()
    }

    // Changes that were sent become pending again under the same nonce. If their write took effect,
    // the next merge finds the nonce in the body; otherwise it writes them under the revision
    // found.
    fn load_body(&mut self, found: Option<Stored<ClaimBody>>) {
        self.revision = found.as_ref().map(|found| found.revision);
        self.body = found.map(|found| found.value).unwrap_or_default();
        self.just_read = true;
        let sent = mem::take(&mut self.sent);
        self.pending.extend(sent);
    }

    fn read_failed(&mut self) -> Vec<Decision> {
        let mut decisions = self.fail_sent();
        let (claims, outcomes): (BTreeMap<_, _>, BTreeMap<_, _>) = mem::take(&mut self.pending)
            .into_iter()
            .partition(|(_, change)| matches!(change.kind, ChangeKind::Claim));
        self.pending = outcomes;
        for (body_key, change) in claims {
            let verdict = match self.body.claims.get(&body_key) {
                Some(claim) if claim.state != ClaimState::NotRun => {
                    Verdict::Foreign(claim.state.clone())
                }
                _ => Verdict::NotRun(NotRun::StoreUnavailable),
            };
            decisions.extend(change.decide(verdict));
        }
        decisions
    }

    fn fail_sent(&mut self) -> Vec<Decision> {
        let is_outcome = |change: &ClaimChange| matches!(change.kind, ChangeKind::Outcome(_));
        let outcomes = self.sent.iter().filter(|(_, change)| is_outcome(change));
        let outcomes: Vec<_> =
            outcomes.map(|(body_key, change)| (body_key.clone(), change.clone())).collect();
        self.pending.extend(outcomes);
        self.decide_sent(|_| Verdict::NotRun(NotRun::StoreUnavailable))
    }

    fn decide_sent(&mut self, verdict: impl Fn(&ClaimId) -> Verdict) -> Vec<Decision> {
        let sent = mem::take(&mut self.sent).into_values();
        let decide = |change: ClaimChange| {
            let verdict = verdict(&change.claim);
            change.decide(verdict)
        };
        sent.filter_map(decide).collect()
    }
}

enum Merged {
    Write(Claim),
    Decided(Verdict),
    Drop,
}

fn merge_outcome(current: Option<&Claim>, nonce: ClaimNonce, state: &ClaimState) -> Merged {
    match current {
        Some(claim) if claim.nonce == nonce => Merged::Write(Claim { nonce, state: state.clone() }),
        _ => Merged::Drop,
    }
}

fn merge_claim(
    current: Option<&Claim>,
    nonce: ClaimNonce,
    now: UnixMillis,
    id: &ClaimId,
    settings: &ClaimSettings,
) -> Merged {
    if settings.is_expired(id, now) {
        return Merged::Decided(Verdict::Expired);
    }
    match current {
        Some(claim) if claim.nonce == nonce => Merged::Decided(Verdict::Granted),
        Some(claim) if claim.state != ClaimState::NotRun => {
            Merged::Decided(Verdict::Foreign(claim.state.clone()))
        }
        _ => Merged::Write(Claim { nonce, state: ClaimState::Open }),
    }
}
