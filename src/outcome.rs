//! Result of a command and its output as text and as JSON.

use {
    crate::cli::Format,
    serde::Serialize,
    serde_json::{Value, json},
    std::io::{Write, stderr, stdout},
    thiserror::Error,
};

/// How a command ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// The command succeeded.
    Done,
    /// The command failed or was refused, and nothing changed.
    Failed,
    /// Bad usage or settings.
    Usage,
    /// The command may or may not have taken effect.
    NotKnownYet,
}

impl Status {
    /// Returns the exit code of the process.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Failed => 1,
            Self::Usage => 2,
            Self::NotKnownYet => 3,
        }
    }
}

/// Status and output of a command.
pub struct Outcome {
    /// How the command ended.
    pub status: Status,
    text: String,
    json: Value,
    is_error: bool,
}

impl Outcome {
    /// Creates an outcome that is printed on stdout.
    pub fn new(status: Status, text: String, json: &impl Serialize) -> Outcome {
        let json = serde_json::to_value(json).expect("command results serialize to JSON");
        Outcome { status, text, json, is_error: false }
    }

    /// Prints the result on stdout, or the error on stderr.
    pub fn print(&self, format: Format) {
        let mut text = match format {
            Format::Text => self.text.clone(),
            Format::Json => self.json.to_string(),
        };
        if !text.is_empty() && !text.ends_with('\n') {
            text.push('\n');
        }
        // Writing fails if the reader has closed the pipe; there is nobody to report that to.
        let _ = match self.is_error {
            true => stderr().write_all(text.as_bytes()),
            false => stdout().write_all(text.as_bytes()),
        };
    }
}

/// Error of a command that has no result to print.
#[derive(Clone, Debug, Error)]
pub enum Failure {
    /// Bad usage or settings.
    #[error("{0}")]
    Usage(String),
    /// The command failed and nothing changed.
    #[error("{0}")]
    Failed(String),
    /// The command may or may not have taken effect.
    #[error("not known yet: {reason}\nto find out: {command}")]
    NotKnownYet {
        /// Why the outcome is not known.
        reason: String,
        /// Command that tells the outcome.
        command: String,
    },
}

impl From<Failure> for Outcome {
    fn from(failure: Failure) -> Outcome {
        let text = format!("error: {failure}");
        let (status, json) = match &failure {
            Failure::Usage(error) => (Status::Usage, json!({ "error": error })),
            Failure::Failed(error) => (Status::Failed, json!({ "error": error })),
            Failure::NotKnownYet { reason, command } => {
                (Status::NotKnownYet, json!({ "error": reason, "command": command }))
            }
        };
        Outcome { status, text, json, is_error: true }
    }
}
