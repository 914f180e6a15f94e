//! Shells of a host around the decisions.
//!
//! Callers and leaves are served by plain threads; one small tokio runtime carries the calls
//! between hosts and reads the sockets of callers.

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
