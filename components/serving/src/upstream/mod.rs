//! State machine of one held leaf: its slots, warm-up ramp, queue and connections. The leaf's
//! holder owns it.
//!
//! The daemon calls [`Upstream::next_action`] under the leaf's lock immediately before it sends
//! bytes. It calls it again after each event and at the time given by [`NextAction::Wait`], until
//! the result is `Wait`. A connection carries one job at a time.

mod connections;
mod handover;
mod lifecycle;
mod queue;
mod ramp;
mod types;
#[allow(clippy::module_inception)]
mod upstream;

pub use {
    handover::{CrashSuspect, HandoverState, UpstreamReport},
    types::{
        Allowance, CancelResult, Completion, ConnectionId, Effect, HealthReport, JobId, JobMeta,
        LeafState, NextAction, OfferResult, Refusal, Rights,
    },
    upstream::Upstream,
};
