//! Request routing of a host that sends to upstreams itself, free of I/O.
//!
//! The crate holds state machines that take events with an explicit `now` and return their
//! decisions as values. The event loop in `wigeonramp-edge` owns the sockets, the clock and the
//! process.

pub mod accounts;
pub mod budget;
pub mod catalog;
pub mod changes;
pub mod clients;
pub mod connections;
pub mod entry;
pub mod exchange;
pub mod fair_shares;
pub mod follow;
pub mod lapse;
pub mod latency;
pub mod leaf;
pub mod leaf_links;
pub mod leaves;
pub mod limits;
pub mod list_watch;
pub mod members;
pub mod merge;
pub mod notices;
pub mod overload;
pub mod poison;
pub mod position;
pub mod queue;
pub mod quotas;
pub mod reconcile;
pub mod releases;
pub mod reply;
pub mod reply_time;
pub mod sources;
pub mod state;
pub mod stop;
pub mod store_health;
