//! Open-loop load generator that reports tail latency, coverage and extra load on upstreams.
//!
//! With `--off` the report is compared with that of an earlier run and latency ratios are printed.

use {
    bpaf::Bpaf,
    std::{
        net::SocketAddr,
        path::{Path, PathBuf},
        process::ExitCode,
        time::{SystemTime, UNIX_EPOCH},
    },
    wigeonramp_load::{
        AtMostOnceReport, Comparison, LeafCounts, LoadError, LoadProfile, Report, RunPlan, Sample,
        Schedule, Summary, Window, format_table, read_runs, run,
    },
    wigeonramp_units::{PerSecond, Span, UnixMillis},
};

/// Sends a bounded load to a running deployment.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Options {
    /// Load profile (TOML).
    #[bpaf(argument("FILE"))]
    profile: PathBuf,
    /// Caller address of a host; may be repeated.
    #[bpaf(argument("ADDR"), some("at least one --host is needed"))]
    host: Vec<SocketAddr>,
    /// Control address of leaf stand-ins; may be repeated.
    #[bpaf(argument("ADDR"))]
    leaves: Vec<SocketAddr>,
    /// Arrivals per second.
    #[bpaf(argument("NUMBER"), fallback(PerSecond(50)), display_fallback)]
    rate: PerSecond,
    /// Length of the run, at most 10min.
    #[bpaf(
        argument("TIME"),
        fallback(Span::secs(10)),
        display_fallback,
        guard(is_bounded, MAX_LENGTH_ERROR)
    )]
    length: Span,
    /// Maximum number of queries in flight.
    #[bpaf(argument("NUMBER"), fallback(256), display_fallback)]
    senders: usize,
    /// Network delay between caller and host, each way.
    #[bpaf(argument("TIME"), fallback(Span::millis(1)), display_fallback)]
    client_delay: Span,
    /// Seed of the arrivals.
    #[bpaf(argument("NUMBER"), fallback(1), display_fallback)]
    seed: u64,
    /// Name of the tested setting in the report.
    #[bpaf(argument("NAME"), fallback("run".to_owned()))]
    name: String,
    /// Also report by windows of this length, in the JSON report.
    #[bpaf(argument("TIME"))]
    window: Option<Span>,
    /// Also write the report as JSON.
    #[bpaf(argument("FILE"))]
    json: Option<PathBuf>,
    /// Report of an earlier run to compare with, as written by --json.
    #[bpaf(argument("FILE"))]
    off: Option<PathBuf>,
}

const MAX_LENGTH_ERROR: &str = "expected at most 10min";

fn is_bounded(length: &Span) -> bool {
    *length <= Span::secs(600)
}

fn main() -> ExitCode {
    match measure(&options().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("wigeonramp-load: {err}");
            ExitCode::FAILURE
        }
    }
}

fn measure(options: &Options) -> Result<(), LoadError> {
    let profile = LoadProfile::load(&options.profile)?;
    let agent = ureq::Agent::new_with_defaults();
    let before = LeafCounts::read(&agent, &options.leaves)?;
    let names: Vec<String> = profile.class.iter().map(|class| class.name.clone()).collect();
    let started = unix_now();
    let samples = run_load(options, &profile);
    let leaves = LeafCounts::read(&agent, &options.leaves)?.since(&before);
    let summary = Summary::new(&names, &samples);
    let mut report = Report::new(&options.name, options.rate.get(), summary, leaves);
    report.started = started;
    report.windows = options.window.map_or_else(Vec::new, |w| Window::split(&names, &samples, w));
    if profile.class.iter().any(|class| !class.idempotent) {
        let runs = read_runs(&agent, &options.leaves)?;
        report.once = Some(AtMostOnceReport::new(&samples, &runs));
    }
    if let Some(path) = &options.json {
        write_json(path, &report)?;
    }
    let Some(path) = &options.off else {
        print!("{}", format_table(&[&report]));
        return Ok(());
    };
    let comparison = Comparison::new(report, read_json(path)?);
    print!("{}", format_table(&[&comparison.on, &comparison.off]));
    for row in &comparison.ratios {
        let class = &row.class;
        println!("ratio {class}: p50 {:.2} p99 {:.2} p99.9 {:.2}", row.p50, row.p99, row.p999);
    }
    Ok(())
}

fn run_load(options: &Options, profile: &LoadProfile) -> Vec<Sample> {
    let plan = RunPlan {
        classes: profile.class.clone(),
        seeds: options.host.clone(),
        senders: options.senders,
        client_delay: options.client_delay,
        label: options.name.clone(),
    };
    let schedule = Schedule::poisson(&plan.classes, options.rate, options.length, options.seed);
    run(&plan, &schedule)
}

fn unix_now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

fn write_json(path: &Path, report: &Report) -> Result<(), LoadError> {
    let text = serde_json::to_string_pretty(report).map_err(|err| file_err(path, &err))?;
    std::fs::write(path, text).map_err(|err| file_err(path, &err))
}

fn read_json(path: &Path) -> Result<Report, LoadError> {
    let text = std::fs::read_to_string(path).map_err(|err| file_err(path, &err))?;
    serde_json::from_str(&text).map_err(|err| file_err(path, &err))
}

fn file_err(path: &Path, err: &impl ToString) -> LoadError {
    LoadError::File { file: path.display().to_string(), reason: err.to_string() }
}
