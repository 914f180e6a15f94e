//! Stand-ins of the platform and of leaves, with settable faults.
//!
//! Each stand-in runs on a tokio runtime of its own, so that one process serves many leaves and
//! many waiting watches with a few threads. `platform::start` and `leaves::start` return handles
//! that stop their stand-in when dropped; with port 0 the handles name the bound addresses.

mod error;
pub mod leaves;
mod net;
pub mod platform;

pub use error::StandinError;
