//! Claims that let a non-idempotent request run at most once.
//!
//! Claims of one period and bucket share an object. A host merges its own changes into the body that
//! it last read and writes under that revision; a conflict reloads the body and merges again.

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
    /// The nonce it was requested with.
    pub nonce: ClaimNonce,
    /// What was decided.
    pub verdict: Verdict,
}

/// What may be done with a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Send it once.
    Granted,
    /// Somebody else claimed it; report this state, and "unknown" for `Open`.
    Foreign(ClaimState),
    /// It was not sent and will not be sent under this nonce.
    NotRun(NotRun),
    /// Its id is older than the retention; nothing is known of it any more.
    Expired,
}

/// Why a request was not sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRun {
    /// The store did not take the claim, or did not say.
    StoreUnavailable,
    /// The claim object is full.
    BucketFull,
    /// The request id is not of the form `<unix ms>-<random>`, or lies in the future.
    BadRequestId,
    /// The nonce was used before.
    NonceUsed,
    /// The request was withdrawn before the claim was written.
    Withdrawn,
}

/// A call to the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimStoreCall {
    /// Key of the object.
    pub key: String,
    /// What to do with it.
    pub operation: ClaimOperation,
}

/// What to do with a claim object.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOperation {
    /// Write this body, conditional on the revision; `None` creates the object.
    Write {
        /// The body.
        body: ClaimBody,
        /// The revision it replaces.
        replaces: Option<Revision>,
    },
    /// Read the object.
    Read,
}

#[derive(Clone, Debug)]
enum Intent {
    Claim,
    Record(ClaimState),
}

#[derive(Clone, Debug)]
struct Entry {
    claim: ClaimId,
    nonce: ClaimNonce,
    intent: Intent,
}

impl Entry {
    fn decide(self, verdict: Verdict) -> Option<Decision> {
        let Entry { claim, nonce, intent } = self;
        matches!(intent, Intent::Claim).then_some(Decision { claim, nonce, verdict })
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

#[derive(Clone, Debug, Default)]
struct Bucket {
    phase: Phase,
    revision: Option<Revision>,
    body: ClaimBody,
    fresh: bool,
    pending: BTreeMap<String, Entry>,
    sent: BTreeMap<String, Entry>,
    sent_body: ClaimBody,
}

/// Claims of one entry host.
#[derive(Clone, Debug)]
pub struct ClaimBatcher {
    settings: ClaimSettings,
    buckets: BTreeMap<String, Bucket>,
    // Key of the last call; the search for the next one begins behind it, as calls are few and the
    // first keys would take them all.
    called: String,
    // Key whose last write conflicted and is due before all others; waiting its turn would let the
    // other hosts write it again.
    conflicted: Option<String>,
    used: BTreeMap<ClaimNonce, UnixMillis>,
    withdrawn: BTreeSet<String>,
}

impl ClaimBatcher {
    /// An empty book.
    pub fn new(settings: ClaimSettings) -> Self {
        let (buckets, called, conflicted, used, withdrawn) = Default::default();
        Self { settings, buckets, called, conflicted, used, withdrawn }
    }

    /// Sets how long a request id is known.
    pub fn set_retention(&mut self, retention: Span) {
        self.settings.retention = retention;
    }

    /// Asks for a claim. `None` means that the decision comes with a later result.
    pub fn request(
        &mut self,
        claim: ClaimId,
        nonce: ClaimNonce,
        now: UnixMillis,
    ) -> Option<Decision> {
        let entry = Entry { claim, nonce, intent: Intent::Claim };
        let key = match self.settings.key(&entry.claim, now) {
            Ok(key) => key,
            Err(verdict) => return entry.decide(verdict),
        };
        if self.used.insert(nonce, now).is_some() {
            return entry.decide(Verdict::NotRun(NotRun::NonceUsed));
        }
        let text = entry.claim.body_key();
        let bucket = self.buckets.entry(key).or_default();
        let own = bucket.pending.get(&text).or_else(|| bucket.sent.get(&text));
        if let Some(own) = own {
            let state = match &own.intent {
                Intent::Claim => ClaimState::Open,
                Intent::Record(state) => state.clone(),
            };
            return entry.decide(Verdict::Foreign(state));
        }
        bucket.pending.insert(text, entry);
        None
    }

    /// Records the outcome of a request that was granted under `nonce`.
    pub fn record_outcome(&mut self, claim: ClaimId, nonce: ClaimNonce, state: ClaimState) {
        let Some(key) = self.settings.object_key(&claim) else { return };
        let entry = Entry { claim, nonce, intent: Intent::Record(state) };
        self.buckets.entry(key).or_default().pending.insert(entry.claim.body_key(), entry);
    }

    /// The caller's deadline passed while the claim was undecided. A claim that is granted all the
    /// same is released as not run.
    pub fn withdraw(&mut self, claim: &ClaimId) -> Option<Decision> {
        let key = self.settings.object_key(claim)?;
        let (text, bucket) = (claim.body_key(), self.buckets.get_mut(&key)?);
        let waits = |entry: &Entry| matches!(entry.intent, Intent::Claim);
        if bucket.sent.get(&text).is_some_and(waits) {
            self.withdrawn.insert(text);
            return None;
        }
        bucket.pending.get(&text).filter(|entry| waits(entry))?;
        bucket.pending.remove(&text)?.decide(Verdict::NotRun(NotRun::Withdrawn))
    }

    /// Whether nothing waits to be written or read.
    pub fn is_idle(&self) -> bool {
        self.buckets.values().all(Bucket::is_idle)
    }

    /// The next call to the store, with decisions that need none. At most one call for each object
    /// is out at the same time.
    pub fn next_call(&mut self, now: UnixMillis) -> (Option<ClaimStoreCall>, Vec<Decision>) {
        let mut decided = Vec::new();
        let settings = self.settings;
        self.buckets.retain(|key, bucket| !bucket.is_idle() || settings.is_recent(key, now));
        self.used.retain(|_, at| now <= *at + settings.retention + settings.retention);
        let called = self.called.as_str();
        let behind = (Bound::Excluded(called), Bound::Unbounded);
        let up_to = (Bound::Unbounded, Bound::Included(called));
        let again = self.conflicted.take().and_then(|key| {
            let call = self.buckets.get_mut(&key)?.call(&settings, &mut decided, now)?;
            Some(ClaimStoreCall { key, operation: call })
        });
        if again.is_some() {
            return (again, self.settle(decided));
        }
        let call = [behind, up_to].into_iter().find_map(|range| {
            self.buckets.range_mut::<str, _>(range).find_map(|(key, bucket)| {
                let call = bucket.call(&settings, &mut decided, now)?;
                Some(ClaimStoreCall { key: key.clone(), operation: call })
            })
        });
        if let Some(call) = &call {
            self.called.clone_from(&call.key);
        }
        (call, self.settle(decided))
    }

    /// Result of a write to `key`.
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
        let decided = bucket.written(result, &self.settings, now);
        self.settle(decided)
    }

    /// Result of a read of `key`.
    pub fn on_read(&mut self, key: &str, result: ReadResult<ClaimBody>) -> Vec<Decision> {
        let Some(bucket) = self.buckets.get_mut(key) else { return Vec::new() };
        let decided = bucket.read(result);
        self.settle(decided)
    }

    // Releases claims that were granted after their caller had given up.
    fn settle(&mut self, decided: Vec<Decision>) -> Vec<Decision> {
        let mut kept = Vec::new();
        for mut decision in decided {
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

    fn call(
        &mut self,
        settings: &ClaimSettings,
        decided: &mut Vec<Decision>,
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
        self.merge(settings, decided, now);
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

    fn merge(&mut self, settings: &ClaimSettings, decided: &mut Vec<Decision>, now: UnixMillis) {
        let mut body = self.body.clone();
        let mut room = settings.max_body.get().saturating_sub(body.size());
        for (text, entry) in mem::take(&mut self.pending) {
            let present = body.claims.get(&text);
            let merged = match &entry.intent {
                Intent::Record(state) => merge_record(present, entry.nonce, state),
                Intent::Claim => merge_claim(present, entry.nonce, now, &entry.claim, settings),
            };
            match merged {
                Merged::Write(claim) => {
                    let size = ClaimBody::entry_size(&text, &claim);
                    if present.is_none() && size > room {
                        decided.extend(entry.decide(Verdict::NotRun(NotRun::BucketFull)));
                        continue;
                    }
                    room = room.saturating_sub(size);
                    body.claims.insert(text.clone(), claim);
                    self.sent.insert(text, entry);
                }
                Merged::Decided(Verdict::Foreign(_)) | Merged::Drop if !self.fresh => {
                    self.pending.insert(text, entry);
                    self.phase = Phase::NeedsRead;
                }
                Merged::Decided(verdict) => decided.extend(entry.decide(verdict)),
                Merged::Drop => {}
            }
        }
        self.sent_body = body;
        self.fresh = false;
        if self.phase == Phase::NeedsRead {
            let sent = mem::take(&mut self.sent);
            self.pending.extend(sent);
        }
    }

    fn written(
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
                self.load(found);
                Vec::new()
            }
            WriteResult::NoEffect => self.give_up_sent(),
            WriteResult::Unknown => {
                self.phase = Phase::NeedsRead;
                Vec::new()
            }
        }
    }

    fn read(&mut self, result: ReadResult<ClaimBody>) -> Vec<Decision> {
        if self.phase != Phase::Reading {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        match result {
            ReadResult::Found(found) => self.load(Some(found)),
            ReadResult::Missing => self.load(None),
            ReadResult::Failed => return self.read_failed(),
        }
        Vec::new()
    }

    // Entries sent before go back to the queue under their nonce: the next merge finds the nonce in
    // the body if the write took effect, and otherwise writes under the revision read.
    fn load(&mut self, found: Option<Stored<ClaimBody>>) {
        self.revision = found.as_ref().map(|found| found.revision);
        self.body = found.map(|found| found.value).unwrap_or_default();
        self.fresh = true;
        let sent = mem::take(&mut self.sent);
        self.pending.extend(sent);
    }

    fn read_failed(&mut self) -> Vec<Decision> {
        let mut decided = self.give_up_sent();
        let (claims, records): (BTreeMap<_, _>, BTreeMap<_, _>) = mem::take(&mut self.pending)
            .into_iter()
            .partition(|(_, entry)| matches!(entry.intent, Intent::Claim));
        self.pending = records;
        for (text, entry) in claims {
            let verdict = match self.body.claims.get(&text) {
                Some(claim) if claim.state != ClaimState::NotRun => {
                    Verdict::Foreign(claim.state.clone())
                }
                _ => Verdict::NotRun(NotRun::StoreUnavailable),
            };
            decided.extend(entry.decide(verdict));
        }
        decided
    }

    fn give_up_sent(&mut self) -> Vec<Decision> {
        let records = |entry: &Entry| matches!(entry.intent, Intent::Record(_));
        let again = self.sent.iter().filter(|(_, entry)| records(entry));
        let again: Vec<_> = again.map(|(text, entry)| (text.clone(), entry.clone())).collect();
        self.pending.extend(again);
        self.decide_sent(|_| Verdict::NotRun(NotRun::StoreUnavailable))
    }

    fn decide_sent(&mut self, verdict: impl Fn(&ClaimId) -> Verdict) -> Vec<Decision> {
        let sent = mem::take(&mut self.sent).into_values();
        let decide = |entry: Entry| {
            let verdict = verdict(&entry.claim);
            entry.decide(verdict)
        };
        sent.filter_map(decide).collect()
    }
}

enum Merged {
    Write(Claim),
    Decided(Verdict),
    Drop,
}

fn merge_record(present: Option<&Claim>, nonce: ClaimNonce, state: &ClaimState) -> Merged {
    match present {
        Some(claim) if claim.nonce == nonce => Merged::Write(Claim { nonce, state: state.clone() }),
        _ => Merged::Drop,
    }
}

fn merge_claim(
    present: Option<&Claim>,
    nonce: ClaimNonce,
    now: UnixMillis,
    id: &ClaimId,
    settings: &ClaimSettings,
) -> Merged {
    if settings.is_expired(id, now) {
        return Merged::Decided(Verdict::Expired);
    }
    match present {
        Some(claim) if claim.nonce == nonce => Merged::Decided(Verdict::Granted),
        Some(claim) if claim.state != ClaimState::NotRun => {
            Merged::Decided(Verdict::Foreign(claim.state.clone()))
        }
        _ => Merged::Write(Claim { nonce, state: ClaimState::Open }),
    }
}
