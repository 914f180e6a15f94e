//! `zone out` and `zone in`: plans that change the administrative state of a zone.

use {
    crate::{
        cli::ZoneCommand,
        cmd::plan,
        outcome::{Failure, Outcome},
    },
    wigeonramp_config::api::Intent,
};

/// Requests the plan from a host and writes it to a file.
pub fn run(command: ZoneCommand) -> Result<Outcome, Failure> {
    match command {
        ZoneCommand::Out { target, plan_out, zone, .. } => {
            plan::request_plan(target, &plan_out, Intent::ZoneOut { zone })
        }
        ZoneCommand::In { target, plan_out, zone, .. } => {
            plan::request_plan(target, &plan_out, Intent::ZoneIn { zone })
        }
    }
}
