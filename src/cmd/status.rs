//! `status`: prints a host's view of the deployment, or whether a plan is in force.

use {
    crate::{
        cli::Target,
        cmd::{confirm, plan},
        http::{CallError, Client},
        outcome::{Failure, Outcome, Status},
    },
    std::{
        cmp::Ordering,
        fmt::{Display, Write as _},
        path::Path,
    },
    wigeonramp_config::api::{
        ConfirmResponse, HostStatus, LeafStatus, PlanResponse, STATUS_PATH, StatusResponse,
    },
    wigeonramp_units::ConfigVersion,
};

/// Hint for an undecided plan. Repeating a confirm is safe: it is conditional on the plan's base
/// version and carries the plan's operation id.
const CONFIRM_AGAIN: &str = "confirming the same file again is safe and settles the outcome";

/// Returns the status of the target host, or the outcome of the plan in `plan_file`.
pub fn run(target: Target, plan_file: Option<&Path>) -> Result<Outcome, Failure> {
    let plan = plan_file.map(plan::read).transpose()?;
    let status = read(&Client::operator(target.host.0)).map_err(CallError::into_read_failure)?;
    let (Some(plan), Some(file)) = (plan, plan_file) else {
        return Ok(Outcome::new(Status::Done, describe(&status), &status));
    };
    let status_command = confirm::status_command(target, file);
    let timeline_command = format!(
        "wigeonramp timeline --config-version {} --host {}",
        plan.target.version, target.host.0
    );
    Ok(confirm::outcome(&plan_outcome(&plan, &status, status_command, timeline_command)))
}

/// Reads the status of one host.
pub fn read(client: &Client) -> Result<StatusResponse, CallError> {
    client.get(STATUS_PATH, &[])
}

/// Derives the outcome of `plan` from the configuration version that the host has adopted.
///
/// A later version does not show which operation wrote the plan's version; the timeline events of
/// that version's adoption do.
fn plan_outcome(
    plan: &PlanResponse,
    status: &StatusResponse,
    status_command: String,
    timeline_command: String,
) -> ConfirmResponse {
    let planned = plan.target.version;
    let host = &status.host;
    let Some(adopted) = status.config_version else {
        let reason = format!("host {host} has no configuration");
        return ConfirmResponse::NotKnownYet { reason, command: status_command };
    };
    match adopted.cmp(&planned) {
        Ordering::Less => {
            let reason =
                format!("host {host} has version {adopted}, before {planned}; {CONFIRM_AGAIN}");
            ConfirmResponse::NotKnownYet { reason, command: status_command }
        }
        Ordering::Greater => {
            let reason = format!("host {host} has version {adopted}, after {planned}");
            ConfirmResponse::NotKnownYet { reason, command: timeline_command }
        }
        Ordering::Equal if status.config_op.as_ref() == Some(&plan.id) => in_force(planned, status),
        Ordering::Equal => {
            let reason = format!("another operation wrote version {planned}");
            ConfirmResponse::Refused { reason, current: Some(adopted) }
        }
    }
}

fn in_force(version: ConfigVersion, status: &StatusResponse) -> ConfirmResponse {
    let adopted = |host: &&HostStatus| host.config_version >= Some(version);
    let (hosts, pending): (Vec<_>, Vec<_>) = status.hosts.iter().partition(adopted);
    let ids = |hosts: Vec<&HostStatus>| hosts.iter().map(|host| host.instance.host()).collect();
    ConfirmResponse::InForce { version, hosts: ids(hosts), pending: ids(pending) }
}

fn describe(status: &StatusResponse) -> String {
    let StatusResponse { host, boot, zone, state, hosts, leaves, .. } = status;
    let mut text = format!(
        "host {host}@{boot} in {zone}: {state}\nconfiguration: {}\nassignment: {}\n\
         session: {}\nstore: last response {}\n",
        display_or(status.config_version.as_ref(), "none"),
        display_or(status.assignment_version.as_ref(), "none"),
        status.session_ms.map_or("expired".to_owned(), |ms| format!("valid for {ms}ms")),
        status.store_contact_ms.map_or("never".to_owned(), |ms| format!("{ms}ms ago")),
    );
    let _ = writeln!(text, "hosts: {}", hosts.len());
    for host in hosts {
        let HostStatus { instance, zone, operator_address, listed, leaving, .. } = host;
        let version = display_or(host.config_version.as_ref(), "none");
        let listed = if *listed { "listed" } else { "not listed" };
        let leaving = if *leaving { ", leaving" } else { "" };
        let _ = writeln!(
            text,
            "  {instance} {zone} {operator_address} configuration {version}, {listed}{leaving}"
        );
    }
    let _ = writeln!(text, "upstreams held: {}", leaves.len());
    for LeafStatus { leaf, state, epoch, in_flight, queued, allowance } in leaves {
        let _ = writeln!(
            text,
            "  {leaf} {state}, epoch {epoch}, {in_flight} of {allowance} in flight, {queued} queued"
        );
    }
    text
}

fn display_or<T: Display>(value: Option<&T>, default: &str) -> String {
    value.map_or(default.to_owned(), T::to_string)
}
