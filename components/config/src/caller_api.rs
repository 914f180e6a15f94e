//! Bodies and headers of the caller API.
//!
//! `GET /v1/entry` answers with `EntryResponse`. `POST /v1/query` takes `QueryRequest` and answers
//! with `QueryResponse`, whatever the HTTP status; a request without valid credentials or of wrong
//! form gets an `ErrorResponse` and this sending has not run. A readable repetition of a request that is
//! not idempotent always gets a `QueryResponse`.

use {
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::net::SocketAddr,
    wigeonramp_units::{CollectionId, MapVersion, RequestId, ShardId, SnapshotId},
};

/// Path that names the addresses to use.
pub const ENTRY_PATH: &str = "/v1/entry";
/// Path that runs a query.
pub const QUERY_PATH: &str = "/v1/query";
/// Header with the caller's token, after `TOKEN_SCHEME`.
pub const TOKEN_HEADER: &str = "authorization";
/// Scheme in front of the caller's token.
pub const TOKEN_SCHEME: &str = "Bearer ";
/// Header with the caller's id.
pub const CALLER_HEADER: &str = "x-caller";

/// Addresses that a caller may send queries to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryResponse {
    /// Addresses in order of preference; never empty.
    pub addresses: Vec<SocketAddr>,
    /// How long the caller may use them without asking again, in milliseconds.
    pub lifetime_ms: u64,
}

/// One query.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// Chosen by the caller; `<unix ms>-<random>` and required if not idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
    /// Collections to ask; exactly one if not idempotent.
    pub collections: Vec<CollectionId>,
    /// Passed to the leaves as it is.
    pub body: Value,
    /// Whether running it twice does no harm.
    #[serde(default = "idempotent_by_default")]
    pub idempotent: bool,
    /// Whether the caller has sent this id before. A request that is not idempotent and is refused
    /// before its claim is decided is then answered with "unknown".
    #[serde(default, skip_serializing_if = "is_false")]
    pub repeated: bool,
    /// The only shard to ask; required if not idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<ShardId>,
    /// Time the caller waits, in milliseconds; the collections' longest deadline if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<u64>,
}

fn idempotent_by_default() -> bool {
    true
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_false(flag: &bool) -> bool {
    !flag
}

/// The answer to a query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QueryResponse {
    /// The request that this answers; chosen by the entry host if the caller gave none.
    pub request_id: RequestId,
    /// What became of the request.
    pub outcome: QueryOutcome,
    /// One entry for each collection, in the request's order; empty unless done.
    pub collections: Vec<CollectionResult>,
}

/// What became of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum QueryOutcome {
    /// It ran; the coverage says on which shards.
    Done,
    /// It was refused and no leaf got it.
    RefusedNotRun {
        /// Why it was refused.
        reason: String,
    },
    /// It may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: String,
    },
}

/// One collection's share of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CollectionResult {
    /// The collection.
    pub collection: CollectionId,
    /// The only snapshot that all parts were computed on; absent if there are none.
    pub snapshot: Option<SnapshotId>,
    /// The partition map of that snapshot; absent if there are no parts.
    pub map_version: Option<MapVersion>,
    /// Which shards are in the answer.
    pub coverage: ShardCoverage,
    /// Rows of each covered shard.
    pub parts: Vec<ShardResult>,
}

/// Which shards are in an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardCoverage {
    /// Shards in the answer.
    pub covered: u32,
    /// Shards that were asked for.
    pub total: u32,
    /// The other shards.
    pub missing: Vec<MissingShard>,
}

/// A shard that is not in an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Why it is missing.
    pub reason: String,
}

/// One shard's rows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardResult {
    /// The shard.
    pub shard: ShardId,
    /// Number of rows.
    pub rows: u32,
    /// The leaf's answer, unchanged.
    pub payload: String,
}

/// A request that was not accepted; nothing ran and nothing changed by this sending.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ErrorResponse {
    /// What was wrong and what was expected.
    pub error: String,
}
