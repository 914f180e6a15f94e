//! Control side of the host: session, documents, assignment, heartbeats, hand-overs and claims.
//!
//! Each job has a thread of its own and makes its own calls, so that a call that hangs stops nothing
//! else. `gate` holds what they share with the data path.

pub mod adopt;
pub mod applying;
pub mod assigning;
pub mod calls;
pub mod changing;
pub mod claiming;
pub mod cleaning;
pub mod directory;
pub mod doubt;
pub mod fetching;
pub mod gossip;
pub mod handing;
pub mod host_control;
pub mod lookup;
pub mod news;
pub mod peer_side;
pub mod platform;
pub mod renewal;
pub mod shared_state;
pub mod stopping;
pub mod threads;
pub mod waker;
pub mod watching;
