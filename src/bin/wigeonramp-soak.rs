//! Runs the soak test with one or more seeds, using the daemon binary next to this program.

use {
    bpaf::Bpaf,
    std::{path::PathBuf, process::ExitCode, time::Duration},
    wigeonramp_soak::{SoakPlan, run},
};

/// Injects random faults into a fleet of hosts and checks what callers and leaves see.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options)]
struct Args {
    /// First seed
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of seeds, run one after the other
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Seconds of fault injection for each seed
    #[bpaf(argument("S"), fallback(15))]
    seconds: u64,
    /// Number of hosts
    #[bpaf(argument("N"), fallback(6))]
    hosts: u8,
    /// Directory for settings and logs
    #[bpaf(argument("DIR"))]
    directory: PathBuf,
}

fn main() -> ExitCode {
    let args = args().run();
    let daemon = match std::env::current_exe() {
        Ok(path) => path.with_file_name("wigeonrampd"),
        Err(err) => {
            eprintln!("wigeonramp-soak: cannot find the path of this program: {err}");
            return ExitCode::FAILURE;
        }
    };
    let mut failed_seeds = 0;
    for seed in args.seed..args.seed + args.seeds {
        let plan = SoakPlan {
            seed,
            fault_duration: Duration::from_secs(args.seconds),
            hosts: args.hosts,
            daemon: daemon.clone(),
            directory: args.directory.join(seed.to_string()),
        };
        match run(&plan) {
            Ok(report) => {
                let (sent, served) = (report.requests, report.served);
                let violations = report.violations.len();
                println!("seed {seed}: {sent} requests, {served} served, {violations} violations");
                if violations > 0 {
                    failed_seeds += 1;
                    report.faults.iter().for_each(|fault| println!("  fault: {fault}"));
                    report.violations.iter().take(20).for_each(|v| println!("  violation: {v}"));
                }
            }
            Err(err) => {
                failed_seeds += 1;
                println!("seed {seed}: not run: {err}");
            }
        }
    }
    if failed_seeds == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
