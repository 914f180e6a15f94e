//! `timeline`: events of all hosts in one order.

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

/// Hosts that are read at the same time.
const READERS: usize = 16;

/// Reads the timelines of all hosts that the first one names.
pub fn run(target: Target, args: TimelineArgs) -> Result<Outcome, Failure> {
    let query = query(&args)?;
    let first = Client::operator(target.host.0);
    let known = status::read(&first).map_err(CallError::read_only)?;
    let mut addresses: BTreeSet<_> = known.hosts.iter().map(|host| host.operator_address).collect();
    addresses.insert(target.host.0);
    let addresses: Vec<_> = addresses.into_iter().collect();
    let (mut lists, mut problems) = (Vec::new(), Vec::new());
    for answer in read_all(&addresses, &query) {
        match answer {
            Ok(answer) => lists.push(answer.events),
            Err(err) => problems.push(err.to_string()),
        }
    }
    if lists.is_empty() {
        return Err(Failure::Failed(problems.join("; ")));
    }
    let events = timeline::merge(lists);
    let mut text = timeline::to_text(&events);
    for problem in &problems {
        let _ = writeln!(text, "missing: {problem}");
    }
    let json = json!({ "events": events, "missing": problems });
    Ok(Outcome::new(Status::Done, text, &json))
}

fn read_all(
    addresses: &[SocketAddr],
    query: &[(&str, String)],
) -> Vec<Result<TimelineResponse, CallError>> {
    let read = |address: &SocketAddr| Client::operator(*address).get(TIMELINE_PATH, query);
    let per_reader = addresses.len().div_ceil(READERS).max(1);
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

fn query(args: &TimelineArgs) -> Result<Vec<(&'static str, String)>, Failure> {
    let TimelineArgs { request, leaf, zone, config_version, kind, since } = args;
    if let Some(kind) = kind.as_ref().filter(|kind| EventKind::from_name(kind).is_none()) {
        let problem = format!("--kind: {kind:?} is no kind of event; expected one such as hedge");
        return Err(Failure::Usage(problem));
    }
    let from = since.map(|since| timeline::unix_us().saturating_sub(since.0).to_string());
    let pairs = [
        ("request", request.as_ref().map(ToString::to_string)),
        ("leaf", leaf.as_ref().map(ToString::to_string)),
        ("zone", zone.as_ref().map(ToString::to_string)),
        ("config_version", config_version.map(|version| version.to_string())),
        ("kind", kind.clone()),
        ("since", from),
    ];
    Ok(pairs.into_iter().filter_map(|(key, value)| Some((key, value?))).collect())
}
