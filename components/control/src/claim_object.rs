//! Claim objects: keys, bodies and retention.

use {
    crate::claims::{NotRun, Verdict},
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
    wigeonramp_units::{ByteSize, CallerId, MemberId, RequestId, Span, UnixMillis},
    xxhash_rust::xxh3::xxh3_64,
};

/// Time after the retention at which a claim object is deleted, for clocks that differ.
const DELETION_MARGIN: Span = Span::secs(300);
/// How far a request id may lie ahead of a host's clock. Clocks are assumed to be within 200 ms.
pub const MAX_CLOCK_LEAD: Span = Span::secs(5);
const PREFIX: &str = "claims/";
/// Commas, quotes and brackets around one entry of the JSON body.
const ENTRY_FRAME: usize = 4;
const BODY_FRAME: usize = 16;

/// A request, as it is claimed.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimId {
    /// The caller's member.
    pub member: MemberId,
    /// The caller.
    pub caller: CallerId,
    /// The request, `<unix ms>-<random>`.
    pub request: RequestId,
}

impl ClaimId {
    /// The key in the claim body; ids never contain the separator.
    pub fn body_key(&self) -> String {
        format!("{}|{}|{}", self.member, self.caller, self.request)
    }

    /// The time in the request id.
    pub fn requested_at(&self) -> Option<UnixMillis> {
        let (ms, random) = self.request.as_str().split_once('-')?;
        let digits = !ms.is_empty() && ms.bytes().all(|b| b.is_ascii_digit());
        let ms = ms.parse().ok().filter(|_| digits && !random.is_empty())?;
        Some(UnixMillis(ms))
    }
}

/// Random number that marks one attempt to claim.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct ClaimNonce(pub u64);

/// State of a claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// Claimed; no outcome is recorded.
    Open,
    /// The request ran and was answered.
    Done,
    /// No byte was sent; the request may be claimed again.
    NotRun,
    /// Bytes were sent and no answer came.
    Unknown,
}

/// One entry of a claim object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Claim {
    /// Who claimed.
    pub nonce: ClaimNonce,
    /// What came of it.
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
    /// Upper bound of the JSON text in bytes.
    pub fn size(&self) -> u64 {
        let entries = self.claims.iter().map(|(text, claim)| Self::entry_size(text, claim));
        BODY_FRAME as u64 + entries.sum::<u64>()
    }

    pub(crate) fn entry_size(text: &str, claim: &Claim) -> u64 {
        // Records replace an open claim in place, so room for the longest state is counted.
        let longest = Claim { nonce: claim.nonce, state: ClaimState::Unknown };
        let json = serde_json::to_string(&longest).unwrap_or_default();
        (text.len() + json.len() + ENTRY_FRAME) as u64
    }
}

/// Settings of claims.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClaimSettings {
    /// How long a request id is known.
    pub retention: Span,
    /// Requests of one period share objects.
    pub period: Span,
    /// Objects of one period.
    pub buckets: u64,
    /// Largest body; below the store's limit of 1 MB.
    pub max_body: ByteSize,
}

impl ClaimSettings {
    /// Settings with the given retention, periods of 1 min, 4 buckets and bodies up to 900 kB.
    ///
    /// A host may make few calls, so each has to carry many claims: with 16 and with 512 buckets one
    /// host granted 9 claims a second. All hosts must use the same number, because the bucket of a
    /// request id decides where its claim is found.
    pub const fn new(retention: Span) -> Self {
        let period = Span::secs(60);
        Self { retention, period, buckets: 4, max_body: ByteSize(900_000) }
    }

    pub(crate) fn key(&self, claim: &ClaimId, now: UnixMillis) -> Result<String, Verdict> {
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

    /// The object of `claim`; `None` for a malformed request id.
    pub fn object_key(&self, claim: &ClaimId) -> Option<String> {
        let period = claim.requested_at()?.0 / self.period.as_millis();
        let bucket = xxh3_64(claim.body_key().as_bytes()) % self.buckets;
        Some(format!("{PREFIX}{period}/{bucket}"))
    }

    // Bodies of the present and the last period are kept; a write to an older one reads it first.
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
