//! Messages between hosts.
//!
//! The code under `generated` is made by `cargo run -p wigeonramp-protogen` from
//! `proto/peer.proto` and committed, so that the build needs no protoc.

/// Generated messages, client and server of the `Peer` service.
#[allow(clippy::all, missing_docs)]
#[rustfmt::skip]
#[path = "generated/wigeonramp.peer.v1.rs"]
pub mod peer;
