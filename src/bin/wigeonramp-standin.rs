//! Stand-in of the platform or of a deployment's leaves, run as a process.
//!
//! Prints one JSON line with the bound addresses when ready, then runs until it is killed.

use {
    bpaf::Bpaf,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        fmt::Display,
        fs::read_to_string,
        io::{Write, stdout},
        net::SocketAddr,
        path::{Path, PathBuf},
        process::ExitCode,
        thread::park,
    },
    thiserror::Error,
    wigeonramp_config::{ConfigError, Deployment, Document},
    wigeonramp_standin::{
        StandinError,
        leaves::{self, LeafSettings, LeavesOptions},
        platform::{self, PlatformOptions},
    },
    wigeonramp_units::Span,
};

/// Stand-ins of the platform and of leaves.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
enum Command {
    /// Object API and host list.
    #[bpaf(command)]
    Platform {
        /// Address of the API; port 0 takes any free port.
        #[bpaf(argument("ADDR"))]
        listen: SocketAddr,
        /// Address of faults and counters.
        #[bpaf(argument("ADDR"), fallback(([127, 0, 0, 1], 0).into()), display_fallback)]
        control: SocketAddr,
        /// Age at which a change of the host list becomes visible.
        #[bpaf(argument("TIME"), fallback(Span::secs(1)), display_fallback)]
        hosts_lag: Span,
    },
    /// Leaves of a deployment, one listener each.
    #[bpaf(command)]
    Leaves {
        /// The declared deployment (TOML), or a configuration document (`.json`).
        #[bpaf(argument("FILE"))]
        deployment: PathBuf,
        /// Start only leaves whose id starts with this; may be repeated.
        #[bpaf(argument("LEAF_PREFIX"))]
        only: Vec<String>,
        /// Don't start leaves whose id starts with this; may be repeated.
        #[bpaf(argument("LEAF_PREFIX"))]
        except: Vec<String>,
        /// Address of faults, settings and counters.
        #[bpaf(argument("ADDR"))]
        control: SocketAddr,
        /// JSON file with the behaviour of all leaves.
        #[bpaf(argument("FILE"))]
        settings: Option<PathBuf>,
        /// Start the leaves warm.
        #[bpaf(switch)]
        start_warm: bool,
        /// Seed of service times and faults.
        #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
        seed: u64,
        /// Threads that serve requests.
        #[bpaf(argument("NUMBER"), fallback(2), display_fallback)]
        workers: usize,
    },
}

#[derive(Debug, Error)]
enum RunError {
    #[error("{path}: {reason}", path = path.display())]
    File { path: PathBuf, reason: String },
    #[error(transparent)]
    Config(#[from] ConfigError),
    #[error(transparent)]
    Standin(#[from] StandinError),
    #[error("cannot print the addresses: {0}")]
    Print(#[from] std::io::Error),
}

fn main() -> ExitCode {
    match run(command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("wigeonramp-standin: {err}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), RunError> {
    match command {
        Command::Platform { listen, control, hosts_lag } => {
            let options = PlatformOptions { listen, control, hosts_lag, ..Default::default() };
            let platform = platform::start(&options)?;
            print_and_wait(platform.addresses())
        }
        Command::Leaves {
            deployment,
            only,
            except,
            control,
            settings,
            start_warm,
            seed,
            workers,
        } => {
            let document = load_deployment(&deployment)?;
            let settings = match settings {
                Some(path) => read_json(&path)?,
                None => LeafSettings::default(),
            };
            let ephemeral_ports = false;
            let options = LeavesOptions {
                only,
                except,
                control,
                ephemeral_ports,
                start_warm,
                seed,
                settings,
                workers,
            };
            let leaves = leaves::start(&document, &options)?;
            print_and_wait(leaves.addresses())
        }
    }
}

/// Reads the configuration document of a deployment, declared in TOML or expanded in JSON.
fn load_deployment(path: &Path) -> Result<Document, RunError> {
    if path.extension().is_some_and(|extension| extension == "json") {
        return read_json(path);
    }
    Ok(Deployment::load(path)?.expand())
}

fn read_json<T: DeserializeOwned>(path: &Path) -> Result<T, RunError> {
    let file = |err: &dyn Display| RunError::File { path: path.into(), reason: err.to_string() };
    let text = read_to_string(path).map_err(|err| file(&err))?;
    serde_json::from_str(&text).map_err(|err| file(&err))
}

/// Prints the bound addresses as one JSON line and blocks until the process is killed.
fn print_and_wait<T: Serialize>(addresses: &T) -> Result<(), RunError> {
    let line = serde_json::to_string(addresses).map_err(std::io::Error::from)?;
    let mut out = stdout().lock();
    writeln!(out, "{line}")?;
    out.flush()?;
    drop(out);
    loop {
        park();
    }
}
