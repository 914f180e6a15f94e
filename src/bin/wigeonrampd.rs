//! Daemon of a host.

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
        path::PathBuf,
        process::ExitCode,
    },
    wigeonramp_config::{HostSettings, LogLevel},
    wigeonramp_daemon::host::{Host, HostAddresses},
    wigeonramp_store::{HttpStore, HttpStoreTimes},
    wigeonramp_telemetry::logging::{self, LogOutput},
    wigeonramp_units::InstanceId,
};

/// Exit code for settings that cannot be used.
const BAD_SETTINGS: u8 = 2;

/// Runs one host of the query tier.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Args {
    /// Settings of the host (TOML)
    #[bpaf(argument("FILE"))]
    settings: PathBuf,
}

/// The line that says that the host is ready.
#[derive(Serialize)]
struct Ready<'a> {
    instance: &'a InstanceId,
    #[serde(flatten)]
    addresses: HostAddresses,
}

fn main() -> ExitCode {
    let args = args().run();
    let settings = match HostSettings::load(&args.settings) {
        Ok(settings) => settings,
        Err(err) => {
            eprintln!("wigeonrampd: {err}");
            return ExitCode::from(BAD_SETTINGS);
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
    let store = HttpStore::new(platform.parse()?, HttpStoreTimes::default());
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
