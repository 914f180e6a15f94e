//! Subcommands of the tool, one module each.

mod check;
mod confirm;
mod explain;
mod plan;
mod query;
mod status;
mod timeline;
mod upstream;
mod zone;

use crate::{
    cli::Command,
    outcome::{Failure, Outcome},
};

/// Runs `command` and returns its outcome.
pub fn run(command: Command) -> Result<Outcome, Failure> {
    match command {
        Command::Check { file, .. } => check::run(&file),
        Command::Plan { target, plan_out, file, .. } => plan::run(target, &plan_out, &file),
        Command::Zone { command } => zone::run(command),
        Command::Upstream { command } => upstream::run(command),
        Command::Confirm { target, file, .. } => confirm::run(target, &file),
        Command::Status { target, plan, .. } => status::run(target, plan.as_deref()),
        Command::Query { query_args, .. } => query::run(query_args),
        Command::Explain { id, files, .. } => explain::run(&id, &files),
        Command::Timeline { target, timeline_args, .. } => timeline::run(target, timeline_args),
    }
}
