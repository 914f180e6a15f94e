//! Calls between hosts, over tonic.

pub mod client;
pub mod reply_stream;
pub mod server;
