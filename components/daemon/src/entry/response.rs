//! Builds the responses to callers, and records finished queries.

use {
    crate::{
        entry::QueryRequest,
        observe::{CoverageSummary, Observer, QuerySummary},
        view::ClusterView,
    },
    wigeonramp_config::caller_api::{
        CollectionResult, MissingShard, QueryOutcome, QueryResponse, ShardCoverage, ShardResult,
    },
    wigeonramp_serving::query::{Outcome, PinnedSnapshot, QueryResult, ShardResponse},
    wigeonramp_units::{CollectionId, RequestId, Span},
};

/// Maximum number of missing shards that the timeline lists for one query.
const MAX_MISSING_LISTED: usize = 16;

/// The response to a query, with the retry delay of a refused one.
#[derive(Clone, Debug)]
pub struct QueryReply {
    /// The response.
    pub response: QueryResponse,
    /// Delay after which the caller should retry; zero if unknown.
    pub retry_after: Span,
}

impl QueryReply {
    /// Creates the reply to a request that was not sent to any leaf.
    pub fn refused(query: &QueryRequest, reason: &str, retry_after: Span) -> Self {
        let outcome = QueryOutcome::RefusedNotRun { reason: reason.to_owned() };
        Self { response: without_results(query, outcome), retry_after }
    }

    /// Creates the reply to a request that was refused before its claim was decided. This
    /// submission did not run, but an earlier one may have.
    pub fn refused_unclaimed(query: &QueryRequest, reason: &str, retry_after: Span) -> Self {
        if query.repeated {
            return Self { response: unknown_resubmission(&query.request, reason), retry_after };
        }
        Self::refused(query, reason, retry_after)
    }

    /// Creates the reply to a request that may have run.
    pub fn unknown(query: &QueryRequest, reason: &str) -> Self {
        let outcome = QueryOutcome::Unknown { reason: reason.to_owned() };
        Self { response: without_results(query, outcome), retry_after: Span::ZERO }
    }

    /// Creates the reply to a query that ended with `result`.
    pub fn of(query: &QueryRequest, result: QueryResult) -> Self {
        let reason = match result.outcome {
            Outcome::Done => {
                let response = QueryResponse {
                    request_id: query.request.clone(),
                    outcome: QueryOutcome::Done,
                    collections: collection_results(query, result),
                };
                return Self { response, retry_after: Span::ZERO };
            }
            Outcome::NotRun(reason) => {
                return Self::refused(query, &reason.to_string(), Span::ZERO);
            }
            Outcome::Unknown(reason) => reason,
        };
        Self::unknown(query, &reason.to_string())
    }
}

/// Returns the response to a resubmission that was refused before its claim was decided.
pub fn unknown_resubmission(request: &RequestId, reason: &str) -> QueryResponse {
    let reason = format!("{reason}; an earlier submission may have run");
    QueryResponse {
        request_id: request.clone(),
        outcome: QueryOutcome::Unknown { reason },
        collections: Vec::new(),
    }
}

fn without_results(query: &QueryRequest, outcome: QueryOutcome) -> QueryResponse {
    QueryResponse { request_id: query.request.clone(), outcome, collections: Vec::new() }
}

fn collection_results(query: &QueryRequest, result: QueryResult) -> Vec<CollectionResult> {
    let QueryResult { pinned, coverage, mut responses, .. } = result;
    let mut missing = coverage.missing;
    query
        .collections
        .iter()
        .map(|id| {
            let shards: Vec<ShardResponse> =
                responses.extract_if(.., |shard| shard.collection == *id).collect();
            let missing: Vec<MissingShard> = missing
                .extract_if(.., |missing| missing.collection == *id)
                .map(|missing| MissingShard {
                    shard: missing.shard,
                    reason: missing.reason.to_string(),
                })
                .collect();
            collection_result(id, &pinned, shards, missing)
        })
        .collect()
}

fn collection_result(
    id: &CollectionId,
    pinned: &[PinnedSnapshot],
    shards: Vec<ShardResponse>,
    missing: Vec<MissingShard>,
) -> CollectionResult {
    let covered = u32::try_from(shards.len()).unwrap_or(u32::MAX);
    let total = covered + u32::try_from(missing.len()).unwrap_or(u32::MAX);
    let pinned = pinned.iter().find(|pinned| pinned.collection == *id && covered > 0);
    CollectionResult {
        collection: id.clone(),
        snapshot: pinned.map(|pinned| pinned.snapshot),
        map_version: pinned.map(|pinned| pinned.map_version),
        coverage: ShardCoverage { covered, total, missing },
        parts: shards.into_iter().map(shard_result).collect(),
    }
}

fn shard_result(shard: ShardResponse) -> ShardResult {
    let response = shard.response;
    ShardResult {
        shard: response.shard,
        rows: response.rows,
        // The holder drops responses that are not valid UTF-8.
        payload: String::from_utf8_lossy(&response.payload).into_owned(),
    }
}

/// Counts a query under each collection that it names. The collections are taken from the request,
/// because a response without rows lists none.
pub fn count_query(observer: &Observer, query: &QueryRequest, outcome: &QueryOutcome) {
    let outcome = match outcome {
        QueryOutcome::Done => "done",
        QueryOutcome::RefusedNotRun { .. } => "refused_not_run",
        QueryOutcome::Unknown { .. } => "unknown",
    };
    for collection in &query.collections {
        observer.query_counted(collection, outcome);
    }
}

/// Records an answered query in the timeline and the metrics.
pub fn record_query(
    observer: &Observer,
    cluster: &ClusterView,
    response: &QueryResponse,
    took: Span,
) {
    let outcome = match &response.outcome {
        QueryOutcome::Done => "done".to_owned(),
        QueryOutcome::RefusedNotRun { reason } => format!("refused_not_run: {reason}"),
        QueryOutcome::Unknown { reason } => format!("unknown: {reason}"),
    };
    let coverage = response.collections.iter().map(|collection| &collection.coverage);
    let (covered, total) = coverage.fold((0, 0), |(covered, total), coverage| {
        (covered + coverage.covered, total + coverage.total)
    });
    let missing = response.collections.iter().flat_map(|collection| &collection.coverage.missing);
    let missing: Vec<String> = missing
        .take(MAX_MISSING_LISTED)
        .map(|missing| format!("{}={}", missing.shard, missing.reason))
        .collect();
    observer.query_finished(&QuerySummary {
        config: cluster.document.version,
        covered,
        missing: &missing.join(" "),
        outcome: &outcome,
        request: &response.request_id,
        took,
        total,
    });
    for collection in &response.collections {
        observer.coverage(&CoverageSummary {
            collection: &collection.collection,
            covered: collection.coverage.covered,
            took,
            total: collection.coverage.total,
        });
    }
}
