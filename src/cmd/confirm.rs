//! `confirm`: puts a plan in force and reports the outcome.

use {
    crate::{
        cli::Target,
        cmd::plan,
        http::{CallError, Client},
        outcome::{Failure, Outcome, Status},
    },
    std::path::Path,
    wigeonramp_config::api::{CONFIRM_PATH, ConfirmRequest, ConfirmResponse},
    wigeonramp_units::HostId,
};

/// Confirms the plan in `file`.
pub fn run(target: Target, file: &Path) -> Result<Outcome, Failure> {
    let plan = plan::read(file)?;
    let response: Result<ConfirmResponse, CallError> =
        Client::operator(target.host.0).post(CONFIRM_PATH, &ConfirmRequest { plan });
    match response {
        // The host's command names the default plan file; the plan may be in another file.
        Ok(ConfirmResponse::NotKnownYet { reason, .. }) => {
            let command = status_command(target, file);
            Ok(outcome(&ConfirmResponse::NotKnownYet { reason, command }))
        }
        Ok(response) => Ok(outcome(&response)),
        Err(err @ CallError::Lost { .. }) => Err(Failure::NotKnownYet {
            reason: err.to_string(),
            command: status_command(target, file),
        }),
        Err(err) => Err(Failure::Failed(format!("nothing changed: {err}"))),
    }
}

/// Returns the command that tells whether the plan in `file` is in force.
pub fn status_command(target: Target, file: &Path) -> String {
    format!("wigeonramp status --plan {} --host {}", file.display(), target.host.0)
}

/// Converts the result of a confirm to the outcome of a command.
pub fn outcome(response: &ConfirmResponse) -> Outcome {
    Outcome::new(status(response), describe(response), response)
}

fn status(response: &ConfirmResponse) -> Status {
    match response {
        ConfirmResponse::InForce { .. } => Status::Done,
        ConfirmResponse::Refused { .. } => Status::Failed,
        ConfirmResponse::NotKnownYet { .. } => Status::NotKnownYet,
    }
}

fn describe(response: &ConfirmResponse) -> String {
    match response {
        ConfirmResponse::InForce { version, hosts, pending } => {
            let mut text = format!("version {version} is in force on {}", join_hosts(hosts));
            if !pending.is_empty() {
                text.push_str(&format!("\nwritten, but not yet seen on {}", join_hosts(pending)));
            }
            text
        }
        ConfirmResponse::Refused { reason, current } => {
            let current =
                current.map_or_else(String::new, |v| format!("; version {v} is in force"));
            format!("refused, nothing changed: {reason}{current}")
        }
        ConfirmResponse::NotKnownYet { reason, command } => {
            format!("not known yet: {reason}\nto find out: {command}")
        }
    }
}

fn join_hosts(hosts: &[HostId]) -> String {
    let names: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
    match names.len() {
        0 => "no host yet".to_owned(),
        1 => format!("1 host: {}", names[0]),
        n => format!("{n} hosts: {}", names.join(", ")),
    }
}
