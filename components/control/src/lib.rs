//! Control-plane decisions, free of I/O.
//!
//! Each state machine takes an event and an explicit `now` and returns the outcome as a value. The
//! daemon makes the calls and reports their results back, also when a response was lost.

pub mod adoption;
pub mod assigner;
pub mod assignment;
pub mod backoff;
pub mod call_budget;
mod claim_object;
pub mod claims;
mod confirm;
mod draft;
pub mod drain;
pub mod entry;
pub mod handover;
pub mod heartbeat;
pub mod membership;
pub mod placement;
pub mod plan;
pub mod promise;
pub mod rights;
pub mod session;
pub mod store_result;
pub mod takeover_throttle;
