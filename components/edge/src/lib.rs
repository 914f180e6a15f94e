//! Event loop of a host on the users' platform.
//!
//! One thread serves callers, sends to leaves, follows the store and talks to the other hosts. All
//! sockets are non-blocking; connections, sends and timers are state machines. Decisions are those
//! of `wigeonramp-routing`, names on the wire those of `wigeonramp-platform`.

mod body;
mod callers;
mod clock;
mod gossip;
mod journal;
mod known;
mod metrics;
mod node;
mod peers;
mod requests;
mod sock;
mod stopping;
mod store;
mod timers;
mod upstreams;

pub use node::{Node, RunError};
