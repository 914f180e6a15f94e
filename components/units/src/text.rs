//! The error of all `FromStr` implementations.

use thiserror::Error;

/// A text that is not a value of the wanted type.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{text:?} is not a {kind}: expected {expected}")]
pub struct ParseError {
    /// What the text was parsed as.
    pub kind: &'static str,
    /// The form that would have been accepted.
    pub expected: &'static str,
    /// The text as given.
    pub text: String,
}

impl ParseError {
    /// An error for `text`.
    pub fn new(kind: &'static str, expected: &'static str, text: &str) -> Self {
        Self { kind, expected, text: text.to_owned() }
    }
}
