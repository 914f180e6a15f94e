//! Control-plane decisions, free of I/O.
//!
//! Every aggregate takes an event and an explicit `now` and returns outcomes as values. The shells in
//! the daemon do the calls and report the results back, lost answers included.

pub mod adoption;
pub mod assigner;
pub mod assignment;
pub mod backoff;
pub mod call_budget;
mod claim;
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
pub mod takeover_throttle;
pub mod write;
