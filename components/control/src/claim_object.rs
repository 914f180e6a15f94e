//! Claim objects in the store: their keys, bodies and retention.

use {
    crate::claims::{NotRun, Verdict},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    wigeonramp_units::{ByteSize, CallerId, MemberId, RequestId, Span, UnixMillis},
    xxhash_rust::xxh3::xxh3_64,
};

/// Additional time after the retention before a claim object is deleted, because clocks differ.
const DELETION_MARGIN: Span = Span::secs(300);
/// Largest time by which a request id may be ahead of the clock of a host. Clocks are assumed to
/// differ by at most 200 ms.
pub const MAX_CLOCK_LEAD: Span = Span::secs(5);
const PREFIX: &str = "claims/";
/// Bytes of the punctuation around one entry of the JSON body.
const ENTRY_OVERHEAD: usize = 4;
/// Bytes of the JSON body around its entries.
const BODY_OVERHEAD: usize = 16;

/// Identity of a claimed request.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimId {
    /// The member that the caller belongs to.
    pub member: MemberId,
    /// The caller.
    pub caller: CallerId,
    /// The request id, `<unix ms>-<random>`.
    pub request: RequestId,
}

impl ClaimId {
    /// Returns the key in the claim body. The separator never occurs in an id.
    pub fn body_key(&self) -> String {
        format!("{}|{}|{}", self.member, self.caller, self.request)
    }

    /// Returns the time in the request id; `None` if the id is malformed.
    pub fn requested_at(&self) -> Option<UnixMillis> {
        let (ms, random) = self.request.as_str().split_once('-')?;
        let digits = !ms.is_empty() && ms.bytes().all(|b| b.is_ascii_digit());
        let ms = ms.parse().ok().filter(|_| digits && !random.is_empty())?;
        Some(UnixMillis(ms))
    }
}

/// Random number that identifies one attempt to claim a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimNonce(pub u64);

/// State of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The request is claimed, and no outcome is recorded yet.
    Open,
    /// The request ran, and a response arrived.
    Done,
    /// No byte was sent; the request may be claimed again.
    NotRun,
    /// Bytes were sent, and no response arrived.
    Unknown,
}

/// One entry of a claim object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Nonce of the attempt that claimed the request.
    pub nonce: ClaimNonce,
    /// State of the claim.
    pub state: ClaimState,
}

/// Body of a claim object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimBody {
    /// Claims by member, caller and request.
    pub claims: BTreeMap<String, Claim>,
}

impl ClaimBody {
    /// Returns an upper bound of the length of the JSON text, in bytes.
    pub fn size(&self) -> u64 {
        let entries = self.claims.iter().map(|(text, claim)| Self::entry_size(text, claim));
        BODY_OVERHEAD as u64 + entries.sum::<u64>()
    }

    pub(crate) fn entry_size(text: &str, claim: &Claim) -> u64 {
        // An outcome replaces the open state in place, so the longest state is counted.
        let longest = Claim { nonce: claim.nonce, state: ClaimState::Unknown };
        let json = serde_json::to_string(&longest).unwrap_or_default();
        (text.len() + json.len() + ENTRY_OVERHEAD) as u64
    }
}

/// Settings of claims.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// How long a claim is retained after the time in its request id.
    pub retention: Span,
    /// Length of a period; claims with request ids of the same period share objects.
    pub period: Span,
    /// Number of objects per period.
    pub buckets: u64,
    /// Largest body; must be below the store's value limit of 1 MB.
    pub max_body: ByteSize,
}

impl ClaimSettings {
    /// Creates settings with the given retention, periods of 1 min, 4 buckets and bodies of up to
    /// 900 kB.
    ///
    /// The calls of a host are limited, so each has to carry many claims: with 16 and with 512
    /// buckets one host granted 9 claims a second. All hosts must use the same number of buckets,
    /// because the bucket of a request id determines the object that holds its claim.
    pub const fn new(retention: Span) -> Self {
        let period = Span::secs(60);
        Self { retention, period, buckets: 4, max_body: ByteSize(900_000) }
    }

    // Like `object_key`, but refuses request ids that are malformed, too old or in the future.
    pub(crate) fn checked_key(&self, claim: &ClaimId, now: UnixMillis) -> Result<String, Verdict> {
        let bad = Verdict::NotRun(NotRun::BadRequestId);
        let at = claim.requested_at().ok_or_else(|| bad.clone())?;
        if at > now + MAX_CLOCK_LEAD {
            return Err(bad);
        }
        if self.is_expired(claim, now) {
            return Err(Verdict::Expired);
        }
        self.object_key(claim).ok_or(bad)
    }

    /// Returns the store key of the object that holds `claim`; `None` if the request id is
    /// malformed.
    pub fn object_key(&self, claim: &ClaimId) -> Option<String> {
        let period = claim.requested_at()?.0 / self.period.as_millis();
        let bucket = xxh3_64(claim.body_key().as_bytes()) % self.buckets;
        Some(format!("{PREFIX}{period}/{bucket}"))
    }

    // Bodies of the current and the previous period stay cached; a write to an older object reads
    // it first.
    pub(crate) fn is_recent(&self, key: &str, now: UnixMillis) -> bool {
        period_of(key).is_some_and(|period| period + 1 >= now.0 / self.period.as_millis())
    }

    pub(crate) fn is_expired(&self, claim: &ClaimId, now: UnixMillis) -> bool {
        claim.requested_at().is_none_or(|at| now > at + self.retention)
    }
}

/// Whether the claim object `key` may be deleted.
pub fn is_deletable(key: &str, settings: &ClaimSettings, now: UnixMillis) -> bool {
    let Some(period) = period_of(key) else { return false };
    let end = UnixMillis(period.saturating_add(1).saturating_mul(settings.period.as_millis()));
    now > end + settings.retention + DELETION_MARGIN
}

fn period_of(key: &str) -> Option<u64> {
    key.strip_prefix(PREFIX)?.split('/').next()?.parse().ok()
}
