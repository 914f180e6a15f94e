//! Decisions of a host that sends to upstreams itself, free of I/O.
//!
//! Every aggregate takes events with an explicit `now` and returns its decisions as values. The
//! event loop in `wigeonramp-edge` owns sockets, clocks and the process.

pub mod budget;
pub mod catalog;
pub mod changes;
pub mod entry;
pub mod exchange;
pub mod follow;
pub mod latency;
pub mod leaf;
pub mod leaves;
pub mod list_watch;
pub mod members;
pub mod merge;
pub mod overload;
pub mod poison;
pub mod reply;
pub mod state;
