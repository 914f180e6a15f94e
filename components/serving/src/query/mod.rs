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
    coverage::{Answer, Coverage, Missing, MissingReason, NotRunReason, Outcome, Pinned},
    merge::{Counters, Part, Reply},
    query::Query,
    spec::{ATTEMPTS_PER_QUERY, Action, AttemptResult, Event, QuerySpec, Send, Target, Trust},
    view::{LeafInfo, LeafView},
};
