//! Settings of one host.
//!
//! A host keeps nothing on disk; these settings tell it who it is and where it listens. Everything
//! else comes from the configuration document.

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

/// Threads that run callers' requests unless the settings say otherwise.
const DEFAULT_CALLER_WORKERS: u32 = 64;
/// Each worker is a thread with its own stack; more would exceed a small host's memory.
const MAX_CALLER_WORKERS: u32 = 4096;

/// Settings of one host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostSettings {
    /// Name of the host.
    pub host: HostId,
    /// Zone the host stands in.
    pub zone: ZoneId,
    /// Where callers connect; port 0 lets the system choose.
    pub caller_listen: SocketAddr,
    /// Where other hosts connect; port 0 lets the system choose.
    pub peer_listen: SocketAddr,
    /// Where operators connect; port 0 lets the system choose.
    pub operator_listen: SocketAddr,
    /// Base URL of the platform's API, without a path.
    pub platform: String,
    /// Peer addresses to ask for documents while the platform is away.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Threads that run callers' requests.
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
    /// Least severe level that is written.
    #[serde(default)]
    pub level: LogLevel,
    /// File that lines are appended to; stderr if absent.
    #[serde(default)]
    pub file: Option<PathBuf>,
}

/// Severity of a log line.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Nothing is written.
    Off,
    /// Only faults.
    Error,
    /// Faults and doubtful conditions.
    Warn,
    /// Changes of state as well.
    #[default]
    Info,
    /// Decisions as well.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// The level's name in settings and log lines.
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
    /// Reads and checks the settings in `path`. Fails on the first problem, with file and key.
    pub fn load(path: &Path) -> Result<HostSettings, ConfigError> {
        Self::parse(path, &file::read(path)?)
    }

    /// Checks the settings in `text`, which was read from `path`. Fails on the first problem.
    pub fn parse(path: &Path, text: &str) -> Result<HostSettings, ConfigError> {
        let settings: HostSettings = file::parse(path, text)?;
        settings.check().map_err(|problem| problem.in_file(path))?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), ValidationError> {
        check_platform(&self.platform)?;
        rules::in_range(
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
        let listens = [
            ("caller_listen", self.caller_listen),
            ("peer_listen", self.peer_listen),
            ("operator_listen", self.operator_listen),
        ];
        for (i, (key, address)) in listens.iter().enumerate() {
            let clash = listens[..i].iter().find(|(_, other)| other == address);
            if let Some((other, _)) = clash.filter(|_| address.port() != 0) {
                let problem = format!("{address} is also the value of {other}");
                return Err(ValidationError::new(
                    *key,
                    problem,
                    "an address of its own, or port 0",
                ));
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
