//! Error type shared by all `FromStr` implementations of this crate.

use thiserror::Error;

/// A text that could not be parsed as the requested type.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a {kind}: expected {expected}")]
pub struct ParseError {
    /// Name of the expected type, such as `host id`.
    pub kind: &'static str,
    /// Description of the accepted form.
    pub expected: &'static str,
    /// The rejected text.
    pub text: String,
}

impl ParseError {
    /// Creates the error for the rejected `text`.
    pub fn new(kind: &'static str, expected: &'static str, text: &str) -> Self {
        Self { kind, expected, text: text.to_owned() }
    }
}
