//! Command-line tool of wigeonramp.
//!
//! Exit codes: 0 done, 1 failed or refused, 2 bad usage or settings, 3 not known yet.

mod cli;
mod cmd;
mod http;
mod outcome;

use {
    crate::outcome::Outcome,
    bpaf::{Args, ParseFailure},
    std::process::ExitCode,
};

/// Exit code for bad usage and bad settings.
const EXIT_USAGE: u8 = 2;
/// Number of columns at which help texts are wrapped.
const HELP_WIDTH: usize = 100;

fn main() -> ExitCode {
    match cli::cli().run_inner(Args::current_args()) {
        Ok(cli) => finish(cli),
        Err(failure) => {
            failure.print_message(HELP_WIDTH);
            match failure {
                ParseFailure::Stdout(..) | ParseFailure::Completion(..) => ExitCode::SUCCESS,
                ParseFailure::Stderr(..) => ExitCode::from(EXIT_USAGE),
            }
        }
    }
}

fn finish(cli: cli::Cli) -> ExitCode {
    let format = cli.command.format();
    let outcome = cmd::run(cli.command).unwrap_or_else(Outcome::from);
    outcome.print(format);
    ExitCode::from(outcome.status.code())
}
