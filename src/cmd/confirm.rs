//! `confirm`: puts a plan in force and reports what became of it.

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
    let answer: Result<ConfirmResponse, CallError> =
        Client::operator(target.host.0).post(CONFIRM_PATH, &ConfirmRequest { plan });
    match answer {
        // The host names the default file; the plan may stand in another one.
        Ok(ConfirmResponse::NotKnownYet { reason, .. }) => {
            let command = find_out(target, file);
            Ok(outcome(&ConfirmResponse::NotKnownYet { reason, command }))
        }
        Ok(answer) => Ok(outcome(&answer)),
        Err(err @ CallError::Lost { .. }) => {
            Err(Failure::NotKnownYet { reason: err.to_string(), command: find_out(target, file) })
        }
        Err(err) => Err(Failure::Failed(format!("nothing changed: {err}"))),
    }
}

/// The command that tells whether the plan in `file` is in force.
pub fn find_out(target: Target, file: &Path) -> String {
    format!("wigeonramp status --plan {} --host {}", file.display(), target.host.0)
}

/// Text and exit code of a result.
pub fn outcome(answer: &ConfirmResponse) -> Outcome {
    Outcome::new(status(answer), describe(answer), answer)
}

fn status(answer: &ConfirmResponse) -> Status {
    match answer {
        ConfirmResponse::InForce { .. } => Status::Done,
        ConfirmResponse::Refused { .. } => Status::Failed,
        ConfirmResponse::NotKnownYet { .. } => Status::NotKnownYet,
    }
}

fn describe(answer: &ConfirmResponse) -> String {
    match answer {
        ConfirmResponse::InForce { version, hosts, pending } => {
            let mut text = format!("version {version} is in force on {}", listed(hosts));
            if !pending.is_empty() {
                text.push_str(&format!("\nwritten, but not yet seen on {}", listed(pending)));
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

fn listed(hosts: &[HostId]) -> String {
    let names: Vec<&str> = hosts.iter().map(HostId::as_str).collect();
    match names.len() {
        0 => "no host yet".to_owned(),
        1 => format!("1 host: {}", names[0]),
        n => format!("{n} hosts: {}", names.join(", ")),
    }
}
