//! `upstream out` and `upstream in`: plans that change the administrative state of an upstream.

use {
    crate::{
        cli::UpstreamCommand,
        cmd::plan,
        outcome::{Failure, Outcome},
    },
    wigeonramp_config::api::Intent,
};

/// Requests the plan from a host and writes it to a file.
pub fn run(command: UpstreamCommand) -> Result<Outcome, Failure> {
    match command {
        UpstreamCommand::Out { target, plan_out, leaf, .. } => {
            plan::request_plan(target, &plan_out, Intent::LeafOut { leaf })
        }
        UpstreamCommand::In { target, plan_out, leaf, .. } => {
            plan::request_plan(target, &plan_out, Intent::LeafIn { leaf })
        }
    }
}
