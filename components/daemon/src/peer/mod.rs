//! Calls between hosts over gRPC.

pub mod client;
pub mod reply_stream;
pub mod server;
