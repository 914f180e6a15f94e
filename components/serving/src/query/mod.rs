//! One caller's query over the shards of one or several collections, owned by the entry host's
//! request thread.
//!
//! Each collection is pinned to one snapshot and to that snapshot's partition map. Answers of
//! another snapshot, member, shard or attempt are never merged.

mod attempt;
mod canary;
mod coverage;
mod merge;
#[allow(clippy::module_inception)]
mod query;
mod restart;
mod spec;
mod view;

pub use {
    canary::KnownFingerprints,
    coverage::{
        Coverage, MissingReason, MissingShard, NotRunReason, Outcome, PinnedSnapshot, QueryResult,
    },
    merge::{Counters, LeafResponse, ShardResponse},
    query::Query,
    spec::{
        ATTEMPTS_PER_QUERY, Action, AttemptResult, AttemptSpec, Event, QuerySpec, Target, Trust,
    },
    view::{LeafInfo, LeafView},
};
