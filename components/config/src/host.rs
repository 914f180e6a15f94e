//! Settings of a host.
//!
//! A host stores nothing on disk. These settings contain its identity and its listen addresses; all
//! other configuration comes from the configuration document.

use {
    crate::{
        error::{ConfigError, ValidationError},
        file, rules,
    },
    serde::{Deserialize, Serialize},
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
    },
    wigeonramp_units::{HostId, ZoneId},
};

/// Default number of threads that run callers' requests.
const DEFAULT_CALLER_WORKERS: u32 = 64;
/// Maximum number of threads that run callers' requests; the stacks of more threads would exceed a
/// small host's memory.
const MAX_CALLER_WORKERS: u32 = 4096;

/// Settings of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host.
    pub host: HostId,
    /// Zone that the host runs in.
    pub zone: ZoneId,
    /// Listen address for callers; with port 0 the operating system chooses a port.
    pub caller_listen: SocketAddr,
    /// Listen address for other hosts; with port 0 the operating system chooses a port.
    pub peer_listen: SocketAddr,
    /// Listen address for operators; with port 0 the operating system chooses a port.
    pub operator_listen: SocketAddr,
    /// Base URL of the platform's API, without a path.
    pub platform: String,
    /// Peer addresses to fetch documents from while the platform is unavailable.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Number of threads that run callers' requests.
    #[serde(default = "default_caller_workers")]
    pub caller_workers: u32,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
}

/// Log output of a host.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LogSettings {
    /// Minimum severity of the lines that are written.
    #[serde(default)]
    pub level: LogLevel,
    /// File to append lines to; stderr if absent.
    #[serde(default)]
    pub file: Option<PathBuf>,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// No lines.
    Off,
    /// Errors.
    Error,
    /// Warnings and errors.
    Warn,
    /// Warnings, errors and state changes.
    #[default]
    Info,
    /// Also failed background calls to the store and to other hosts.
    Debug,
    /// All lines.
    Trace,
}

impl LogLevel {
    /// Returns the name of the level, as used in settings and log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Off => "off",
            Self::Error => "error",
            Self::Warn => "warn",
            Self::Info => "info",
            Self::Debug => "debug",
            Self::Trace => "trace",
        }
    }
}

impl HostSettings {
    /// Reads and validates the settings in `path`. Fails at the first error, with file and key.
    pub fn load(path: &Path) -> Result<HostSettings, ConfigError> {
        Self::parse(path, &file::read(path)?)
    }

    /// Parses and validates the settings in `text`, which was read from `path`. Fails at the first
    /// error.
    pub fn parse(path: &Path, text: &str) -> Result<HostSettings, ConfigError> {
        let settings: HostSettings = file::parse(path, text)?;
        settings.check().map_err(|err| err.in_file(path))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), ValidationError> {
        check_platform(&self.platform)?;
        rules::check_range(
            "caller_workers",
            self.caller_workers.into(),
            1,
            MAX_CALLER_WORKERS.into(),
        )?;
        self.check_listen_addresses()?;
        match self.seeds.iter().find(|seed| seed.port() == 0) {
            Some(seed) => {
                Err(ValidationError::new("seeds", format!("{seed} has port 0"), "a peer's port"))
            }
            None => Ok(()),
        }
    }

    fn check_listen_addresses(&self) -> Result<(), ValidationError> {
        let addresses = [
            ("caller_listen", self.caller_listen),
            ("peer_listen", self.peer_listen),
            ("operator_listen", self.operator_listen),
        ];
        for (i, (key, address)) in addresses.iter().enumerate() {
            let duplicate = addresses[..i].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = duplicate.filter(|_| address.port() != 0) {
                let problem = format!("{address} is also the value of {other}");
                return Err(ValidationError::new(*key, problem, "a different address, or port 0"));
            }
        }
        Ok(())
    }
}

fn check_platform(url: &str) -> Result<(), ValidationError> {
    let address = url.strip_prefix("http://").map(|rest| rest.trim_end_matches('/'));
    if address.is_some_and(|address| address.parse::<SocketAddr>().is_ok()) {
        return Ok(());
    }
    let expected = "a base URL with an IP address and a port, such as \"http://10.0.0.1:7000\"";
    Err(ValidationError::new("platform", format!("{url:?} is not usable"), expected))
}

fn default_caller_workers() -> u32 {
    DEFAULT_CALLER_WORKERS
}
