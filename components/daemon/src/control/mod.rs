//! Control plane of the host: session, documents, assignment, heartbeats, handovers and claims.
//!
//! Each task runs on its own thread and makes its own calls, so that a hanging call blocks no other
//! task. `shared_state` holds the state that they share with the data path.

pub mod adoption;
pub mod applier;
pub mod assigner;
pub mod claim_cleanup;
pub mod claims;
pub mod data_path_gossip;
pub mod drain;
pub mod fetcher;
pub mod gossip;
pub mod handover;
pub mod host_control;
pub mod host_directory;
pub mod host_lookup;
pub mod peer_calls;
pub mod peer_requests;
pub mod platform;
pub mod promises;
pub mod session_renewal;
pub mod shared_state;
pub mod threads;
pub mod transitional;
pub mod wakers;
pub mod watcher;
