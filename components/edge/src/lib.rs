//! Event loop of a host on the users' platform.
//!
//! A single thread serves callers, sends requests to leaves, lists and watches the store and
//! exchanges state with the other hosts. All sockets are non-blocking; connections, attempts and
//! timers are state machines. Routing decisions are made by `wigeonramp-routing`, and the
//! platform's formats are those of `wigeonramp-platform`.

mod accounts;
mod body;
mod callers;
mod client_metrics;
mod clock;
mod gossip;
mod journal;
mod limits;
mod link_probes;
mod metrics;
mod node;
mod peers;
mod quotas;
mod relays;
mod releases;
mod replicated;
mod requests;
mod response_head;
mod sock;
mod stopping;
mod store;
mod tcp_info;
mod timers;
mod upstreams;

pub use node::{Node, RunError};
