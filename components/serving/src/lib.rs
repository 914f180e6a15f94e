//! Data-plane logic without I/O.
//!
//! Every state machine takes events with an explicit `now` and returns its decisions as values. The
//! daemon owns the threads, sockets and clocks.

pub mod admission;
pub mod budget;
pub mod ejection;
pub mod latency;
pub mod quarantine;
pub mod query;
pub mod snapshot;
pub mod upstream;

pub use wigeonramp_config::LeafLimits;
