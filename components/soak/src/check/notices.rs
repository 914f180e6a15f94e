//! Checks of what hosts send to leaves that are leaving or want a pause.

use {
    super::{PROPAGATION_LIMIT, Violation, violation},
    crate::{
        callers::RequestRecord,
        fleet::{History, LeafPause},
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
    wigeonramp_platform_standin::leaf::Run,
};

/// Time after a refusal from which a pause counts.
const PAUSE_REACTION: Duration = Duration::from_millis(500);
/// Number of requests that a leaf may get from a host within a pause.
const MAX_IN_PAUSE: usize = 2;
/// Time around the end of the refusals within which it is not known whether a request was refused.
const SWITCH_TIME: Duration = Duration::from_millis(20);

/// Whether a host was killed, paused, stopped or started within this time.
fn is_interrupted(history: &History, host: &str, from: Instant, to: Instant) -> bool {
    history.interruptions.iter().any(|(ip, at)| ip == host && *at >= from && *at <= to)
}

/// Checks that no host sends to a leaf for longer than allowed after it has passed on a response in which
/// the leaf says that it is leaving.
pub(super) fn check_leaving(
    requests: &[RequestRecord],
    by_id: &IndexMap<&str, Vec<&Run>>,
    history: &History,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (leaf, since) in &history.leaving {
        let runs = |req: &RequestRecord| -> Vec<&Run> {
            let runs = by_id.get(req.id.as_str()).map_or(&[][..], Vec::as_slice);
            runs.iter().copied().filter(|run| run.leaf == *leaf && run.at >= *since).collect()
        };
        let mut told: IndexMap<String, Instant> = IndexMap::new();
        for req in requests {
            let Some(response) = &req.response else { continue };
            let stamps = response.part_stamps.iter().chain(&response.stamp);
            let is_passed_on = |run: &&Run| stamps.clone().any(|stamp| *stamp == run.stamp);
            if runs(req).iter().any(is_passed_on) {
                let first = told.entry(req.host.ip().to_string()).or_insert(req.ended_at);
                *first = (*first).min(req.ended_at);
            }
        }
        for req in requests {
            let host = req.host.ip().to_string();
            let Some(told) =
                told.get(&host).filter(|told| req.sent_at > **told + PROPAGATION_LIMIT)
            else {
                continue;
            };
            let late =
                runs(req).into_iter().find(|run| !is_interrupted(history, &host, *told, run.at));
            violations.extend(late.and_then(|run| {
                let after_ms = run.at.duration_since(*told).as_millis();
                let observed = format!("{leaf} from {host} after {after_ms} ms");
                violation("a leaf that says that it is leaving gets no more requests", observed)
            }));
        }
    }
    violations
}

/// Checks that leaves get next to nothing from a host within the pauses that they ask it for.
pub(super) fn check_pauses(requests: &[RequestRecord], history: &History) -> Vec<Violation> {
    let hosts: IndexMap<&str, String> =
        requests.iter().map(|req| (req.id.as_str(), req.host.ip().to_string())).collect();
    history.pauses.iter().filter_map(|pause| check_pause(pause, &hosts, history)).collect()
}

fn check_pause(
    pause: &LeafPause,
    hosts: &IndexMap<&str, String>,
    history: &History,
) -> Option<Violation> {
    let at_leaf = history.arrivals.iter().filter(|(leaf, ..)| *leaf == pause.leaf);
    let arrivals: Vec<(&String, Instant)> =
        at_leaf.filter_map(|(_, req, at)| Some((hosts.get(req.as_str())?, *at))).collect();
    let is_refused = |at: Instant| {
        at >= pause.start + SWITCH_TIME && pause.end.is_none_or(|end| at + SWITCH_TIME < end)
    };
    for (host, refused) in arrivals.iter().filter(|(_, at)| is_refused(*at)) {
        let covered = *refused + PAUSE_REACTION..*refused + pause.pause;
        let count = arrivals.iter().filter(|(h, at)| h == host && covered.contains(at)).count();
        if count > MAX_IN_PAUSE && !is_interrupted(history, host, *refused, covered.end) {
            let observed = format!("{} got {count} requests from {host}", pause.leaf);
            return violation("a leaf gets next to nothing in a pause", observed);
        }
    }
    None
}
