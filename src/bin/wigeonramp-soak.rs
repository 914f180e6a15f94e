//! Runs seeds of the soak against the daemon beside this program.

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
    /// Seeds, one after the other
    #[bpaf(argument("N"), fallback(1))]
    seeds: u64,
    /// Seconds with faults for each seed
    #[bpaf(argument("S"), fallback(15))]
    seconds: u64,
    /// Hosts
    #[bpaf(argument("N"), fallback(6))]
    hosts: u8,
    /// Directory for settings and logs
    #[bpaf(argument("DIR"))]
    directory: PathBuf,
}

fn main() -> ExitCode {
    let args = args().run();
    let daemon = match std::env::current_exe() {
        Ok(own) => own.with_file_name("wigeonrampd"),
        Err(err) => {
            eprintln!("wigeonramp-soak: the program's own path: {err}");
            return ExitCode::FAILURE;
        }
    };
    let mut broken = 0;
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
                    broken += 1;
                    report.faults.iter().for_each(|fault| println!("  fault: {fault}"));
                    report.violations.iter().take(20).for_each(|v| println!("  broken: {v}"));
                }
            }
            Err(err) => {
                broken += 1;
                println!("seed {seed}: not run: {err}");
            }
        }
    }
    if broken == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
