//! `zone out` and `zone in`: plans for a zone.

use {
    crate::{
        cli::ZoneCommand,
        cmd::plan,
        outcome::{Failure, Outcome},
    },
    wigeonramp_config::api::Intent,
};

/// Asks for the plan and writes it to a file.
pub fn run(command: ZoneCommand) -> Result<Outcome, Failure> {
    match command {
        ZoneCommand::Out { target, plan_out, zone, .. } => {
            plan::make(target, &plan_out, Intent::ZoneOut { zone })
        }
        ZoneCommand::In { target, plan_out, zone, .. } => {
            plan::make(target, &plan_out, Intent::ZoneIn { zone })
        }
    }
}
