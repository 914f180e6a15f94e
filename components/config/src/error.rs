//! The error of all settings files.

use {
    std::path::{Path, PathBuf},
    thiserror::Error,
};

/// One problem in one file.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: cannot be read ({reason}); expected a readable TOML file", file.display())]
    Unreadable {
        /// The file as it was given.
        file: PathBuf,
        /// What the system said.
        reason: String,
    },
    /// A key is unknown, missing or has a value that cannot be used.
    #[error("{}: {key}: {problem}; expected {expected}", file.display())]
    Invalid {
        /// The file as it was given.
        file: PathBuf,
        /// The key, with its tables, joined by dots.
        key: String,
        /// What was found.
        problem: String,
        /// What would have been accepted.
        expected: String,
    },
    /// The text is not TOML or does not have the wanted form.
    #[error("{}: line {line}: {key}: {problem}", file.display())]
    Syntax {
        /// The file as it was given.
        file: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The key nearest to the fault, with its tables, joined by dots.
        key: String,
        /// What was found and what was expected.
        problem: String,
    },
}

/// A problem of one key, before the file is known.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{key}: {problem}; expected {expected}")]
pub struct ValidationError {
    /// The key, with its tables, joined by dots.
    pub key: String,
    /// What was found.
    pub problem: String,
    /// What would have been accepted.
    pub expected: String,
}

impl ValidationError {
    /// A problem of `key`.
    pub fn new(
        key: impl Into<String>,
        problem: impl Into<String>,
        expected: impl Into<String>,
    ) -> Self {
        Self { key: key.into(), problem: problem.into(), expected: expected.into() }
    }

    /// The error of `file` with this problem.
    pub fn in_file(self, file: &Path) -> ConfigError {
        let Self { key, problem, expected } = self;
        ConfigError::Invalid { file: file.to_owned(), key, problem, expected }
    }
}
