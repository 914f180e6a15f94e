//! One held leaf: its slots, ramp, queue and connections, owned by the leaf's holder.
//!
//! The shell calls [`Upstream::next_action`] under the leaf's lock immediately before it sends bytes, and
//! again after each event and at the time of [`NextAction::Wait`], until it is told to wait. A
//! connection carries one job at a time.

mod connections;
mod handover;
mod lifecycle;
mod limits;
mod queue;
mod ramp;
#[allow(clippy::module_inception)]
mod upstream;

pub use {
    handover::{CrashSuspect, HandoverState, UpstreamReport},
    limits::{
        Allowance, CancelResult, Completion, ConnectionId, Effect, HealthReport, JobId, JobMeta,
        LeafState, NextAction, OfferResult, Refusal, Rights,
    },
    upstream::Upstream,
};
