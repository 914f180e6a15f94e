//! Log output as JSON lines.

use {
    log::LevelFilter,
    log4rs::{
        append::{
            Append,
            console::{ConsoleAppender, Target},
            file::FileAppender,
        },
        config::{Appender, Config, Root},
        encode::json::JsonEncoder,
    },
    std::path::PathBuf,
    thiserror::Error,
};

const APPENDER: &str = "output";

/// Where log lines go and which are written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogOutput {
    /// Least severe level that is written.
    pub level: LevelFilter,
    /// File that lines are appended to; stderr if absent.
    pub file: Option<PathBuf>,
}

/// Log output that cannot be set up.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The log file cannot be opened.
    #[error("log file {}: cannot be opened ({reason}); expected a file in a writable directory", file.display())]
    File {
        /// The file as it was given.
        file: PathBuf,
        /// What the system said.
        reason: String,
    },
    /// The process already has a logger.
    #[error("the process already has a logger")]
    AlreadyInitialized,
    /// The logger's own configuration is inconsistent.
    #[error("log output: {0}")]
    InvalidConfig(String),
}

/// Sets the process's logger. Fails if there is one already or the file cannot be opened.
pub fn init(output: &LogOutput) -> Result<(), LoggingError> {
    let appender = Appender::builder().build(APPENDER, appender(output)?);
    let root = Root::builder().appender(APPENDER).build(output.level);
    let cfg = Config::builder()
        .appender(appender)
        .build(root)
        .map_err(|err| LoggingError::InvalidConfig(err.to_string()))?;
    log4rs::init_config(cfg).map(|_| ()).map_err(|_| LoggingError::AlreadyInitialized)
}

fn appender(output: &LogOutput) -> Result<Box<dyn Append>, LoggingError> {
    let encoder = Box::new(JsonEncoder::new());
    let Some(file) = &output.file else {
        let console = ConsoleAppender::builder().encoder(encoder).target(Target::Stderr).build();
        return Ok(Box::new(console));
    };
    let appender = FileAppender::builder().encoder(encoder).build(file);
    let appender = appender
        .map_err(|err| LoggingError::File { file: file.clone(), reason: err.to_string() })?;
    Ok(Box::new(appender))
}
