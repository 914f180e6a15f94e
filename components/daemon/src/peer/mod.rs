//! Calls between hosts, over tonic.

pub mod client;
pub mod replies;
pub mod server;
