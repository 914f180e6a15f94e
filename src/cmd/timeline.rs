//! `timeline`: events of all hosts, merged in order of time.

use {
    crate::{
        cli::{Target, TimelineArgs},
        cmd::status,
        http::{CallError, Client},
        outcome::{Failure, Outcome, Status},
    },
    serde_json::json,
    std::{collections::BTreeSet, fmt::Write as _, net::SocketAddr, thread},
    wigeonramp_config::api::TIMELINE_PATH,
    wigeonramp_telemetry::timeline::{self, EventKind, TimelineResponse},
};

/// Maximum number of hosts read concurrently.
const MAX_READERS: usize = 16;

/// Reads and merges the timelines of the target host and of all hosts in its status.
///
/// Hosts that cannot be read are listed as missing; the command fails only if none can be read.
pub fn run(target: Target, args: TimelineArgs) -> Result<Outcome, Failure> {
    let query = query_params(&args)?;
    let client = Client::operator(target.host.0);
    let status = status::read(&client).map_err(CallError::into_read_failure)?;
    let mut addresses: BTreeSet<_> =
        status.hosts.iter().map(|host| host.operator_address).collect();
    addresses.insert(target.host.0);
    let addresses: Vec<_> = addresses.into_iter().collect();
    let (mut event_lists, mut errors) = (Vec::new(), Vec::new());
    for result in read_all(&addresses, &query) {
        match result {
            Ok(timeline) => event_lists.push(timeline.events),
            Err(err) => errors.push(err.to_string()),
        }
    }
    if event_lists.is_empty() {
        return Err(Failure::Failed(errors.join("; ")));
    }
    let events = timeline::merge(event_lists);
    let mut text = timeline::to_text(&events);
    for error in &errors {
        let _ = writeln!(text, "missing: {error}");
    }
    let json = json!({ "events": events, "missing": errors });
    Ok(Outcome::new(Status::Done, text, &json))
}

fn read_all(
    addresses: &[SocketAddr],
    query: &[(&str, String)],
) -> Vec<Result<TimelineResponse, CallError>> {
    let read = |address: &SocketAddr| Client::operator(*address).get(TIMELINE_PATH, query);
    let per_reader = addresses.len().div_ceil(MAX_READERS).max(1);
    thread::scope(|scope| {
        let spawn =
            |chunk| scope.spawn(move || -> Vec<_> { <[_]>::iter(chunk).map(read).collect() });
        let readers: Vec<_> = addresses.chunks(per_reader).map(spawn).collect();
        readers
            .into_iter()
            .flat_map(|reader| reader.join().expect("readers do not panic"))
            .collect()
    })
}

/// Returns the query parameters for the timeline API.
fn query_params(args: &TimelineArgs) -> Result<Vec<(&'static str, String)>, Failure> {
    let TimelineArgs { request, leaf, zone, config_version, kind, since } = args;
    if let Some(kind) = kind.as_ref().filter(|kind| EventKind::from_name(kind).is_none()) {
        let error = format!("--kind: {kind:?} is not an event kind; expected one such as hedge");
        return Err(Failure::Usage(error));
    }
    let since_us = since.map(|since| timeline::unix_us().saturating_sub(since.0).to_string());
    let pairs = [
        ("request", request.as_ref().map(ToString::to_string)),
        ("leaf", leaf.as_ref().map(ToString::to_string)),
        ("zone", zone.as_ref().map(ToString::to_string)),
        ("config_version", config_version.map(|version| version.to_string())),
        ("kind", kind.clone()),
        ("since", since_us),
    ];
    Ok(pairs.into_iter().filter_map(|(key, value)| Some((key, value?))).collect())
}
