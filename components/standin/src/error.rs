//! Errors returned when starting or controlling stand-ins.

use {
    std::{io::Error as IoError, net::SocketAddr},
    thiserror::Error,
};

/// Error when starting or controlling a stand-in.
#[derive(Debug, Error)]
pub enum StandinError {
    /// An address could not be bound.
    #[error("cannot listen on {address}: {source}")]
    Bind {
        /// The requested address.
        address: SocketAddr,
        /// The I/O error.
        source: IoError,
    },
    /// The tokio runtime could not be started.
    #[error("cannot start the runtime: {0}")]
    Runtime(#[source] IoError),
    /// No leaf matches the selector.
    #[error("no leaf matches {0}")]
    NoMatchingLeaf(String),
    /// A value is invalid.
    #[error("{name}: expected {expected}")]
    InvalidValue {
        /// Name of the setting or of the fault's field.
        name: &'static str,
        /// Description of the accepted values.
        expected: &'static str,
    },
}
