//! Errors of starting and controlling stand-ins.

use {
    std::{io::Error as IoError, net::SocketAddr},
    thiserror::Error,
};

/// Why a stand-in could not be started or controlled.
#[derive(Debug, Error)]
pub enum StandinError {
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The address as given.
        address: SocketAddr,
        /// The system's reason.
        source: IoError,
    },
    /// The threads could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] IoError),
    /// No leaf matches.
    #[error("no leaf matches {0}")]
    NoMatchingLeaf(String),
    /// A value is out of range.
    #[error("{name}: expected {expected}")]
    InvalidValue {
        /// The setting or fault.
        name: &'static str,
        /// What would have been accepted.
        expected: &'static str,
    },
}
