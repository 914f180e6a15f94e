//! Daemon that runs one host of the query tier.
//!
//! Runs either from a settings file given on the command line or on the platform, which names the
//! settings file in an environment variable.

use {
    bpaf::Bpaf,
    serde::Serialize,
    signal_hook::{
        consts::{SIGINT, SIGTERM},
        iterator::Signals,
    },
    std::{
        error::Error,
        io::{Write, stdout},
        path::{Path, PathBuf},
        process::ExitCode,
    },
    wigeonramp_config::{HostSettings, LogLevel},
    wigeonramp_daemon::host::{Host, HostAddresses},
    wigeonramp_edge::{Node, RunError},
    wigeonramp_platform::settings::PATH_VARIABLE,
    wigeonramp_store::{HttpStore, HttpStoreTimeouts},
    wigeonramp_telemetry::logging::{self, LogOutput},
    wigeonramp_units::InstanceId,
};

/// Exit code for invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;

/// Runs one host of the query tier.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Args {
    /// With a settings file
    SettingsFile {
        /// Settings of the host (TOML)
        #[bpaf(argument("FILE"))]
        settings: PathBuf,
    },
    /// On the platform
    Platform {
        /// Take the settings file that the platform names in WIGEONRAMP_CONFIG
        #[bpaf(long("platform"), req_flag(()))]
        _platform: (),
    },
}

/// JSON line printed when the host is ready.
#[derive(Serialize)]
struct Ready<'a> {
    instance: &'a InstanceId,
    #[serde(flatten)]
    addresses: HostAddresses,
}

fn main() -> ExitCode {
    match args().run() {
        Args::SettingsFile { settings } => run_with_settings(&settings),
        Args::Platform { .. } => run_on_platform(),
    }
}

fn run_on_platform() -> ExitCode {
    let Some(path) = std::env::var_os(PATH_VARIABLE) else {
        eprintln!(
            "wigeonrampd: {PATH_VARIABLE} is not set; expected the path of the settings file"
        );
        return ExitCode::from(EXIT_BAD_SETTINGS);
    };
    match Node::start(Path::new(&path)).and_then(|mut node| node.run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("wigeonrampd: {err}");
            let is_settings = matches!(err, RunError::Settings(_));
            if is_settings { ExitCode::from(EXIT_BAD_SETTINGS) } else { ExitCode::FAILURE }
        }
    }
}

fn run_with_settings(path: &Path) -> ExitCode {
    let settings = match HostSettings::load(path) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("wigeonrampd: {err}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    match run(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("wigeonrampd: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(settings: &HostSettings) -> Result<(), Box<dyn Error>> {
    logging::init(&LogOutput {
        level: level_filter(settings.log.level),
        file: settings.log.file.clone(),
    })?;
    let mut signals = Signals::new([SIGINT, SIGTERM])?;
    let platform = settings.platform.trim_start_matches("http://").trim_end_matches('/');
    let store = HttpStore::new(platform.parse()?, HttpStoreTimeouts::default());
    let host = Host::start(settings, store)?;
    let ready = Ready { instance: host.instance(), addresses: host.addresses() };
    let mut out = stdout();
    writeln!(out, "{}", serde_json::to_string(&ready)?)?;
    out.flush()?;
    signals.forever().next();
    host.stop();
    Ok(())
}

fn level_filter(level: LogLevel) -> log::LevelFilter {
    match level {
        LogLevel::Off => log::LevelFilter::Off,
        LogLevel::Error => log::LevelFilter::Error,
        LogLevel::Warn => log::LevelFilter::Warn,
        LogLevel::Info => log::LevelFilter::Info,
        LogLevel::Debug => log::LevelFilter::Debug,
        LogLevel::Trace => log::LevelFilter::Trace,
    }
}
