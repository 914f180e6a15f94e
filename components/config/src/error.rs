//! Errors of settings files and configuration documents.

use {
    std::path::{Path, PathBuf},
    thiserror::Error,
};

/// An error in a settings file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: cannot be read ({reason}); expected a readable TOML file", file.display())]
    Unreadable {
        /// Path as given by the user.
        file: PathBuf,
        /// Error of the operating system.
        reason: String,
    },
    /// A value violates a validation rule, or the kind of the file cannot be detected.
    #[error("{}: {key}: {problem}; expected {expected}", file.display())]
    Invalid {
        /// Path as given by the user.
        file: PathBuf,
        /// Full key: its tables and its name, joined by dots.
        key: String,
        /// Description of what was found.
        problem: String,
        /// Description of the accepted values.
        expected: String,
    },
    /// The text is not valid TOML, or a key is unknown, missing or has a value of the wrong type.
    #[error("{}: line {line}: {key}: {problem}", file.display())]
    Syntax {
        /// Path as given by the user.
        file: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Full key nearest to the error: its tables and its name, joined by dots.
        key: String,
        /// Description of what was found and what was expected.
        problem: String,
    },
}

/// An invalid key of a file or document; does not name the file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{key}: {problem}; expected {expected}")]
pub struct ValidationError {
    /// Full key: its tables and its name, joined by dots.
    pub key: String,
    /// Description of what was found.
    pub problem: String,
    /// Description of the accepted values.
    pub expected: String,
}

impl ValidationError {
    /// Creates the error for the invalid `key`.
    pub fn new(
        key: impl Into<String>,
        problem: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Self { key: key.into(), problem: problem.into(), expected: expected.into() }
    }

    /// Converts to an error that names `file`.
    pub fn in_file(self, file: &Path) -> ConfigError {
        let Self { key, problem, expected } = self;
        ConfigError::Invalid { file: file.to_owned(), key, problem, expected }
    }
}
