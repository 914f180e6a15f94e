//! `upstream out` and `upstream in`: plans for an upstream.

use {
    crate::{
        cli::UpstreamCommand,
        cmd::plan,
        outcome::{Failure, Outcome},
    },
    wigeonramp_config::api::Intent,
};

/// Asks for the plan and writes it to a file.
pub fn run(command: UpstreamCommand) -> Result<Outcome, Failure> {
    match command {
        UpstreamCommand::Out { target, plan_out, leaf, .. } => {
            plan::make(target, &plan_out, Intent::LeafOut { leaf })
        }
        UpstreamCommand::In { target, plan_out, leaf, .. } => {
            plan::make(target, &plan_out, Intent::LeafIn { leaf })
        }
    }
}
