//! Setup of the process's logger, which writes JSON lines.

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

/// Level and destination of the log.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogOutput {
    /// Minimum severity of the lines that are written.
    pub level: LevelFilter,
    /// File to append lines to; stderr if absent.
    pub file: Option<PathBuf>,
}

/// Failure to set up the logger.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The log file cannot be opened.
    #[error("log file {}: cannot be opened ({reason}); expected a file in a writable directory", file.display())]
    File {
        /// Path as given in the settings.
        file: PathBuf,
        /// Error of the operating system.
        reason: String,
    },
    /// The process already has a logger.
    #[error("the process already has a logger")]
    AlreadyInitialized,
    /// `log4rs` rejected the configuration of its appenders.
    #[error("log output: {0}")]
    InvalidConfig(String),
}

/// Installs the process's logger. Fails if one is already installed or the file cannot be opened.
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
