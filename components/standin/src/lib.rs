//! Stand-ins (test doubles) of the platform and of leaves, with fault injection.
//!
//! Each stand-in runs on its own tokio runtime, so that one process serves many leaves and many
//! waiting watches with a few threads. `platform::start` and `leaves::start` return handles that
//! stop the stand-in when dropped and that return the bound addresses.

mod error;
pub mod leaves;
mod net;
pub mod platform;

pub use error::StandinError;
