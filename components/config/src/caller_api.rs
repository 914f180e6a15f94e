//! Request and response bodies and headers of the caller API.
//!
//! `GET /v1/entry` responds with `EntryResponse`. `POST /v1/query` takes `QueryRequest` and
//! responds with `QueryResponse`, whatever the HTTP status. A request that is malformed or has no
//! valid credentials gets an `ErrorResponse` instead, and this submission of it has not run. The
//! response to a well-formed repetition of a non-idempotent request is always a `QueryResponse`.

use {
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::net::SocketAddr,
    wigeonramp_units::{CollectionId, MapVersion, RequestId, ShardId, SnapshotId},
};

/// Path of the entry addresses.
pub const ENTRY_PATH: &str = "/v1/entry";
/// Path to run a query.
pub const QUERY_PATH: &str = "/v1/query";
/// Header with the caller's bearer token, prefixed with `TOKEN_SCHEME`.
pub const TOKEN_HEADER: &str = "authorization";
/// Authentication scheme that precedes the caller's token.
pub const TOKEN_SCHEME: &str = "Bearer ";
/// Header with the caller's id.
pub const CALLER_HEADER: &str = "x-caller";

/// Addresses of entry hosts that a caller may send queries to.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntryResponse {
    /// Addresses in order of preference; never empty.
    pub addresses: Vec<SocketAddr>,
    /// Time for which the caller may use the addresses without a new request, in milliseconds.
    pub lifetime_ms: u64,
}

/// A query.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QueryRequest {
    /// Id chosen by the caller; required and of the form `<unix ms>-<random>` if the request is not
    /// idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_id: Option<RequestId>,
    /// Collections to query; exactly one if the request is not idempotent.
    pub collections: Vec<CollectionId>,
    /// Body that is passed to the leaves unchanged.
    pub body: Value,
    /// Whether the request may run more than once.
    #[serde(default = "idempotent_by_default")]
    pub idempotent: bool,
    /// Whether the caller has sent this id before. If so, a non-idempotent request that is refused
    /// before its claim (the stored record that lets it run at most once) is decided gets the
    /// outcome "unknown".
    #[serde(default, skip_serializing_if = "is_false")]
    pub repeated: bool,
    /// The only shard to query; required if the request is not idempotent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shard: Option<ShardId>,
    /// Time that the caller waits for the response, in milliseconds; the longest `max_deadline` of
    /// the collections if absent.
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

/// The response to a query.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QueryResponse {
    /// Id of the request; chosen by the entry host if the caller gave none.
    pub request_id: RequestId,
    /// Outcome of the request.
    pub outcome: QueryOutcome,
    /// Result of each collection, in the order of the request; empty unless the outcome is `Done`.
    pub collections: Vec<CollectionResult>,
}

/// Outcome of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum QueryOutcome {
    /// The request ran; the coverage tells on which shards.
    Done,
    /// The request was refused and was not sent to any leaf.
    RefusedNotRun {
        /// Reason of the refusal.
        reason: String,
    },
    /// The request may have run.
    Unknown {
        /// Reason why the outcome is unknown.
        reason: String,
    },
}

/// Result of a query for one collection.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CollectionResult {
    /// The collection.
    pub collection: CollectionId,
    /// The one snapshot that all parts were computed from; absent if there are no parts.
    pub snapshot: Option<SnapshotId>,
    /// Version of the partition map of that snapshot; absent if there are no parts.
    pub map_version: Option<MapVersion>,
    /// Covered and missing shards.
    pub coverage: ShardCoverage,
    /// Result of each covered shard.
    pub parts: Vec<ShardResult>,
}

/// Covered and missing shards of a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardCoverage {
    /// Number of shards in the response.
    pub covered: u32,
    /// Number of shards that were requested.
    pub total: u32,
    /// Shards that are missing from the response.
    pub missing: Vec<MissingShard>,
}

/// A shard that is missing from a response.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct MissingShard {
    /// The shard.
    pub shard: ShardId,
    /// Reason why it is missing.
    pub reason: String,
}

/// Result of one shard.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ShardResult {
    /// The shard.
    pub shard: ShardId,
    /// Number of rows.
    pub rows: u32,
    /// The leaf's response, unchanged.
    pub payload: String,
}

/// Response to a request that was not accepted; this submission ran nothing and changed nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ErrorResponse {
    /// Description of the error and of what was expected.
    pub error: String,
}
