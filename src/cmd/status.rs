//! `status`: a host's view of the deployment, or whether a plan is in force.

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

/// A confirm is conditional on the plan's base version and names its operation.
const SAFE_TO_REPEAT: &str = "confirming the same file again is safe and settles it";

/// Prints the status, or what became of the plan in `plan_file`.
pub fn run(target: Target, plan_file: Option<&Path>) -> Result<Outcome, Failure> {
    let plan = plan_file.map(plan::read).transpose()?;
    let status = read(&Client::operator(target.host.0)).map_err(CallError::read_only)?;
    let (Some(plan), Some(file)) = (plan, plan_file) else {
        return Ok(Outcome::new(Status::Done, describe(&status), &status));
    };
    let again = confirm::find_out(target, file);
    let events = format!(
        "wigeonramp timeline --config-version {} --host {}",
        plan.target.version, target.host.0
    );
    Ok(confirm::outcome(&of_plan(&plan, &status, again, events)))
}

/// Reads the status of one host.
pub fn read(client: &Client) -> Result<StatusResponse, CallError> {
    client.get(STATUS_PATH, &[])
}

/// What the host's adopted version says about `plan`.
///
/// A later version does not tell who wrote the plan's version; the events of its adoption do.
fn of_plan(
    plan: &PlanResponse,
    status: &StatusResponse,
    again: String,
    events: String,
) -> ConfirmResponse {
    let wanted = plan.target.version;
    let host = &status.host;
    let Some(found) = status.config_version else {
        let reason = format!("host {host} has no configuration");
        return ConfirmResponse::NotKnownYet { reason, command: again };
    };
    match found.cmp(&wanted) {
        Ordering::Less => {
            let reason =
                format!("host {host} has version {found}, before {wanted}; {SAFE_TO_REPEAT}");
            ConfirmResponse::NotKnownYet { reason, command: again }
        }
        Ordering::Greater => {
            let reason = format!("host {host} has version {found}, after {wanted}");
            ConfirmResponse::NotKnownYet { reason, command: events }
        }
        Ordering::Equal if status.config_op.as_ref() == Some(&plan.id) => in_force(wanted, status),
        Ordering::Equal => {
            let reason = format!("another operation wrote version {wanted}");
            ConfirmResponse::Refused { reason, current: Some(found) }
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
         session: {}\nstore: last answer {}\n",
        or(status.config_version.as_ref(), "none"),
        or(status.assignment_version.as_ref(), "none"),
        status.session_ms.map_or("expired".to_owned(), |ms| format!("valid for {ms}ms")),
        status.store_contact_ms.map_or("never".to_owned(), |ms| format!("{ms}ms ago")),
    );
    let _ = writeln!(text, "hosts: {}", hosts.len());
    for host in hosts {
        let HostStatus { instance, zone, operator_address, listed, leaving, .. } = host;
        let version = or(host.config_version.as_ref(), "none");
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

fn or<T: Display>(value: Option<&T>, otherwise: &str) -> String {
    value.map_or(otherwise.to_owned(), T::to_string)
}
