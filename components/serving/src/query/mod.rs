//! State machine of a caller's query over the shards of one or several collections, driven by a
//! request thread of the entry host.
//!
//! Each collection is pinned to one snapshot and to that snapshot's partition map. Responses that
//! belong to another snapshot, member, shard or attempt are never merged.

mod attempt;
mod canary;
mod coverage;
#[allow(clippy::module_inception)]
mod query;
mod response;
mod restart;
mod spec;
mod view;

pub use {
    canary::KnownFingerprints,
    coverage::{
        Coverage, MissingReason, MissingShard, NotRunReason, Outcome, PinnedSnapshot, QueryResult,
    },
    query::Query,
    response::{Counters, LeafResponse, ShardResponse},
    spec::{
        ATTEMPTS_PER_QUERY, Action, AttemptResult, AttemptSpec, Event, QuerySpec, Target, Trust,
    },
    view::{LeafInfo, LeafView},
};
