//! gRPC protocol between hosts.
//!
//! The code under `generated` is generated from `proto/peer.proto` by
//! `cargo run -p wigeonramp-protogen` and committed, so that the build does not need protoc.

/// Messages, client and server of the `Peer` service.
#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
#[path = "generated/wigeonramp.peer.v1.rs"]
pub mod peer;
