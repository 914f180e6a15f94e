//! Data-plane decisions, free of I/O.
//!
//! Every aggregate takes events with an explicit `now` and returns its decisions as values. The
//! shells of the daemon own threads, sockets and clocks.

pub mod upstream;

pub use wigeonramp_config::LeafLimits;
