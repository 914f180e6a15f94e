//! The answer as callers get it.

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

/// Missing shards that the timeline names for one query.
const MISSING_SHOWN: usize = 16;

/// An answer, and when a refused caller should ask again.
#[derive(Clone, Debug)]
pub struct QueryReply {
    /// The answer.
    pub response: QueryResponse,
    /// When asking again makes sense; zero when that is not known.
    pub retry_after: Span,
}

impl QueryReply {
    /// The request was not sent to any leaf.
    pub fn refused(query: &QueryRequest, reason: &str, retry_after: Span) -> Self {
        let outcome = QueryOutcome::RefusedNotRun { reason: reason.to_owned() };
        Self { response: without_parts(query, outcome), retry_after }
    }

    /// The request was refused before its claim was decided. This sending did not run, but an earlier
    /// one may have.
    pub fn refused_unclaimed(query: &QueryRequest, reason: &str, retry_after: Span) -> Self {
        if query.repeated {
            return Self { response: unknown_repetition(&query.request, reason), retry_after };
        }
        Self::refused(query, reason, retry_after)
    }

    /// The request may have run.
    pub fn unknown(query: &QueryRequest, reason: &str) -> Self {
        let outcome = QueryOutcome::Unknown { reason: reason.to_owned() };
        Self { response: without_parts(query, outcome), retry_after: Span::ZERO }
    }

    /// What the query found.
    pub fn of(query: &QueryRequest, answer: QueryResult) -> Self {
        let reason = match answer.outcome {
            Outcome::Done => {
                let response = QueryResponse {
                    request_id: query.request.clone(),
                    outcome: QueryOutcome::Done,
                    collections: collections(query, answer),
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

/// The answer to a repetition that was refused before its claim was decided.
pub fn unknown_repetition(request: &RequestId, reason: &str) -> QueryResponse {
    let reason = format!("{reason}; an earlier sending may have run");
    QueryResponse {
        request_id: request.clone(),
        outcome: QueryOutcome::Unknown { reason },
        collections: Vec::new(),
    }
}

fn without_parts(query: &QueryRequest, outcome: QueryOutcome) -> QueryResponse {
    QueryResponse { request_id: query.request.clone(), outcome, collections: Vec::new() }
}

fn collections(query: &QueryRequest, answer: QueryResult) -> Vec<CollectionResult> {
    let QueryResult { pinned, coverage, responses: parts, .. } = answer;
    let mut parts = parts;
    let mut missing = coverage.missing;
    query
        .collections
        .iter()
        .map(|id| {
            let mine: Vec<ShardResponse> =
                parts.extract_if(.., |part| part.collection == *id).collect();
            let missing: Vec<MissingShard> = missing
                .extract_if(.., |missing| missing.collection == *id)
                .map(|missing| MissingShard {
                    shard: missing.shard,
                    reason: missing.reason.to_string(),
                })
                .collect();
            collection(id, &pinned, mine, missing)
        })
        .collect()
}

fn collection(
    id: &CollectionId,
    pinned: &[PinnedSnapshot],
    parts: Vec<ShardResponse>,
    missing: Vec<MissingShard>,
) -> CollectionResult {
    let covered = u32::try_from(parts.len()).unwrap_or(u32::MAX);
    let total = covered + u32::try_from(missing.len()).unwrap_or(u32::MAX);
    let pinned = pinned.iter().find(|pinned| pinned.collection == *id && covered > 0);
    CollectionResult {
        collection: id.clone(),
        snapshot: pinned.map(|pinned| pinned.snapshot),
        map_version: pinned.map(|pinned| pinned.map_version),
        coverage: ShardCoverage { covered, total, missing },
        parts: parts.into_iter().map(part).collect(),
    }
}

fn part(part: ShardResponse) -> ShardResult {
    let reply = part.response;
    ShardResult {
        shard: reply.shard,
        rows: reply.rows,
        // The holder drops answers that are not text.
        payload: String::from_utf8_lossy(&reply.payload).into_owned(),
    }
}

/// Counts a query under the collections that it names; an answer without rows has none.
pub fn count(observer: &Observer, query: &QueryRequest, outcome: &QueryOutcome) {
    let outcome = match outcome {
        QueryOutcome::Done => "done",
        QueryOutcome::RefusedNotRun { .. } => "refused_not_run",
        QueryOutcome::Unknown { .. } => "unknown",
    };
    for collection in &query.collections {
        observer.query_counted(collection, outcome);
    }
}

/// Records an answered query.
pub fn observe(observer: &Observer, cluster: &ClusterView, answer: &QueryResponse, took: Span) {
    let outcome = match &answer.outcome {
        QueryOutcome::Done => "done".to_owned(),
        QueryOutcome::RefusedNotRun { reason } => format!("refused_not_run: {reason}"),
        QueryOutcome::Unknown { reason } => format!("unknown: {reason}"),
    };
    let coverage = answer.collections.iter().map(|collection| &collection.coverage);
    let (covered, total) = coverage.fold((0, 0), |(covered, total), coverage| {
        (covered + coverage.covered, total + coverage.total)
    });
    let missing = answer.collections.iter().flat_map(|collection| &collection.coverage.missing);
    let missing: Vec<String> = missing
        .take(MISSING_SHOWN)
        .map(|missing| format!("{}={}", missing.shard, missing.reason))
        .collect();
    observer.query_finished(&QuerySummary {
        config: cluster.document.version,
        covered,
        missing: &missing.join(" "),
        outcome: &outcome,
        request: &answer.request_id,
        took,
        total,
    });
    for collection in &answer.collections {
        observer.coverage(&CoverageSummary {
            collection: &collection.collection,
            covered: collection.coverage.covered,
            took,
            total: collection.coverage.total,
        });
    }
}
