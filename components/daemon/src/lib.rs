//! The host daemon: the I/O around the state machines of the `control` and `serving` crates.
//!
//! Requests of callers and connections to leaves are handled on plain threads. One small tokio
//! runtime carries the calls between hosts and reads and writes the sockets of callers.

pub mod caller;
pub mod clock;
pub mod control;
pub mod data_path;
pub mod entry;
pub mod holder;
pub mod host;
pub mod http_server;
pub mod observe;
pub mod operator;
pub mod peer;
pub mod reply;
pub mod suspects;
pub mod view;
