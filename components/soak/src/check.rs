//! Checks of the invariants: compares what callers received with what leaves ran.

mod accounts;
mod notices;
mod releases;

use {
    crate::{
        callers::{RequestKind, RequestRecord},
        fleet::{
            History, MIN_SHARE_PERCENT, NamedLimit, SHARDS, TOP_K, TurnedAway, ZoneEvacuation,
        },
    },
    indexmap::{IndexMap, IndexSet},
    std::{
        fmt::{Display, Formatter, Result as FmtResult},
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::leaf::Run,
    wigeonramp_routing::merge::merge_top_k,
};

/// Time after which a written version must be in force on all hosts, and a draining leaf must get
/// no more requests.
const PROPAGATION_LIMIT: Duration = Duration::from_millis(3_000);
/// Time after which a zone that was taken out must get no more requests.
const EVACUATION_LIMIT: Duration = Duration::from_millis(5_000);
/// Invariants with a time limit are not checked for this long, plus `PROPAGATION_LIMIT`, after a
/// disturbance.
const DISTURBANCE_GRACE: Duration = Duration::from_millis(4_000);
/// Length of the windows in which requests to a leaf that names a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);
/// Time that hosts have to act on a limit.
const LIMIT_REACTION: Duration = Duration::from_millis(500);
/// Requests allowed in a window in addition to one and a half times the limit.
const LIMIT_SLACK: f64 = 5.0;
/// Minimum share of requests that must succeed once the fleet has recovered from the last fault.
const MIN_RECOVERED_SHARE: f64 = 0.9;

/// A violated invariant.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// Description of the invariant.
    pub invariant: &'static str,
    /// Request or leaf that violated it, and what was observed.
    pub observed: String,
}

impl Display for Violation {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        write!(f, "{}: {}", self.invariant, self.observed)
    }
}

fn violation(invariant: &'static str, observed: String) -> Option<Violation> {
    Some(Violation { invariant, observed })
}

/// Checks all requests and runs of a soak test; returns the violations.
pub(crate) fn check(requests: &[RequestRecord], runs: &[Run], history: &History) -> Vec<Violation> {
    let mut by_id: IndexMap<&str, Vec<&Run>> = IndexMap::new();
    for run in runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    let sent_ids: IndexSet<&str> = requests.iter().map(|req| req.id.as_str()).collect();
    let unknown_runs = runs.iter().filter(|run| !sent_ids.contains(run.id.as_str()));
    let mut violations: Vec<Violation> = unknown_runs
        .filter_map(|run| violation("leaves run only requests that callers sent", run.id.clone()))
        .collect();
    for req in requests {
        let runs = by_id.get(req.id.as_str()).map_or(&[][..], Vec::as_slice);
        violations.extend(check_at_most_once(req, runs));
        violations.extend(check_refusal(req, runs));
        violations.extend(check_response(req, runs));
        violations.extend(check_config_version(req, runs, history));
    }
    let hosts: IndexMap<&str, String> =
        requests.iter().map(|req| (req.id.as_str(), req.host.ip().to_string())).collect();
    let is_judged = |run: &&Run| {
        hosts.get(run.id.as_str()).is_none_or(|host| !is_turned_away(history, host, run.at))
    };
    let judged: Vec<&Run> = runs.iter().filter(is_judged).collect();
    violations.extend(judged.iter().filter_map(|run| check_draining_leaf(run, history)));
    violations.extend(judged.iter().filter_map(|run| check_evacuated_zone(run, history)));
    violations.extend(accounts::check(requests, &by_id, history));
    violations.extend(releases::check(requests, runs, history));
    violations.extend(notices::check_leaving(requests, &by_id, history));
    violations.extend(notices::check_pauses(requests, history));
    violations.extend(history.limits.iter().filter_map(|limit| check_limit(limit, runs, history)));
    violations
}

/// Checks that the fleet serves requests again after the last fault.
pub(crate) fn check_recovery(success_share: f64) -> Option<Violation> {
    if success_share >= MIN_RECOVERED_SHARE {
        return None;
    }
    violation("the fleet recovers", format!("share of successful requests {success_share:.2}"))
}

fn check_at_most_once(req: &RequestRecord, runs: &[&Run]) -> Option<Violation> {
    if req.kind != RequestKind::Write || runs.len() <= 1 {
        return None;
    }
    violation("at most once", format!("{} ran {} times", req.id, runs.len()))
}

fn check_refusal(req: &RequestRecord, runs: &[&Run]) -> Option<Violation> {
    let status = req.response.as_ref()?.status;
    if req.kind != RequestKind::Write || !matches!(status, 408 | 421 | 429 | 503) || runs.is_empty()
    {
        return None;
    }
    violation("a refused request did not run", format!("{} got {status} and ran", req.id))
}

fn check_response(req: &RequestRecord, runs: &[&Run]) -> Option<Violation> {
    const INVARIANT: &str = "a response is complete and belongs to its request";
    let response = req.response.as_ref()?;
    if response.status == 0 {
        return violation(INVARIANT, format!("{} got bytes that are not an HTTP response", req.id));
    }
    if response.status != 200 {
        return None;
    }
    if req.kind != RequestKind::Gather {
        let stamp = response.stamp.as_deref();
        let is_complete =
            runs.iter().any(|run| Some(run.stamp.as_str()) == stamp && run.body == response.body);
        let observed = || format!("{} got {stamp:?}", req.id);
        return if is_complete { None } else { violation(INVARIANT, observed()) };
    }
    let parts: Vec<&&Run> = response
        .part_stamps
        .iter()
        .filter_map(|stamp| runs.iter().find(|run| run.stamp == *stamp))
        .collect();
    let shards: IndexSet<&str> = parts.iter().map(|run| run.service.as_str()).collect();
    let body = merge_top_k(parts.iter().map(|run| run.body.as_slice()), TOP_K);
    let is_consistent = parts.len() == response.part_stamps.len()
        && shards.len() == parts.len()
        && parts.len() + response.missing == SHARDS
        && parts.len() * 100 >= MIN_SHARE_PERCENT * SHARDS
        && body == response.body;
    let observed = || {
        format!("{}: {} parts, {} missing", req.id, response.part_stamps.len(), response.missing)
    };
    if is_consistent {
        None
    } else {
        violation("parts and coverage are reported correctly", observed())
    }
}

fn is_near_disturbance(history: &History, at: Instant) -> bool {
    history.disturbances.iter().any(|start| {
        let end = *start + DISTURBANCE_GRACE + PROPAGATION_LIMIT;
        at >= *start && at < end
    })
}

/// Whether the store turned a host away at the moment or shortly before, so that it need not know of changes.
fn is_turned_away(history: &History, host: &str, at: Instant) -> bool {
    let covers = |away: &TurnedAway| {
        let is_over = |end| at >= end + DISTURBANCE_GRACE + PROPAGATION_LIMIT;
        at >= away.start && !away.end.is_some_and(is_over)
    };
    let of_host = history.turned_away.iter().filter(|a| a.hosts.iter().any(|ip| ip == host));
    of_host.into_iter().any(covers)
}

/// Checks that the response was given under a configuration version that may be in force: the
/// newest one written at least `PROPAGATION_LIMIT` before the request, or any one written after
/// that.
fn check_config_version(
    req: &RequestRecord,
    runs: &[&Run],
    history: &History,
) -> Option<Violation> {
    let host = req.host.ip().to_string();
    if is_near_disturbance(history, req.sent_at) || is_turned_away(history, &host, req.sent_at) {
        return None;
    }
    let old = history
        .versions
        .iter()
        .rev()
        .find(|version| version.written_at + PROPAGATION_LIMIT <= req.sent_at);
    let new = history
        .versions
        .iter()
        .filter(|v| v.written_at + PROPAGATION_LIMIT > req.sent_at && v.written_at <= req.ended_at);
    let allowed: Vec<_> = old.into_iter().chain(new).collect();
    old?;
    let is_violated = match req.kind {
        RequestKind::Gather => false,
        RequestKind::Read | RequestKind::Write => {
            runs.iter().any(|run| !allowed.iter().any(|version| version.service == run.service))
        }
        RequestKind::Extra if !allowed.iter().any(|version| version.has_extra_route) => {
            !runs.is_empty()
        }
        RequestKind::Extra if allowed.iter().all(|version| version.has_extra_route) => {
            req.response.as_ref().is_some_and(|response| response.status == 404)
        }
        RequestKind::Extra => false,
    };
    if !is_violated {
        return None;
    }
    violation("a version is in force in time", format!("{} {:?}", req.id, req.kind))
}

/// Checks that no leaf runs requests once its draining must be known to all hosts.
fn check_draining_leaf(run: &Run, history: &History) -> Option<Violation> {
    let (_, since) = history.draining.iter().find(|(leaf, _)| *leaf == run.leaf)?;
    if run.at < *since + PROPAGATION_LIMIT
        || is_near_disturbance(history, run.at)
        || is_near_disturbance(history, *since)
    {
        return None;
    }
    let after_ms = run.at.duration_since(*since).as_millis();
    violation("a draining leaf gets no more requests", format!("{} after {after_ms} ms", run.leaf))
}

/// Checks that no leaf of a zone that was taken out runs requests.
fn check_evacuated_zone(run: &Run, history: &History) -> Option<Violation> {
    let zone = history.leaf_zones.get(&run.leaf)?;
    let is_out = |out: &&ZoneEvacuation| {
        out.zone == zone.as_str()
            && run.at >= out.start + EVACUATION_LIMIT
            && out.end.is_none_or(|end| run.at < end)
    };
    let out = history.evacuations.iter().find(is_out)?;
    if is_near_disturbance(history, run.at) || is_near_disturbance(history, out.start) {
        return None;
    }
    let after_ms = run.at.duration_since(out.start).as_millis();
    violation(
        "a zone that is out gets no more requests",
        format!("{} after {after_ms} ms", run.leaf),
    )
}

/// Checks that a leaf that names a limit gets no more requests in any window. Windows near a
/// disturbance are left out.
fn check_limit(named: &NamedLimit, runs: &[Run], history: &History) -> Option<Violation> {
    let start = named.start + LIMIT_REACTION;
    let is_counted = |run: &&Run| {
        run.leaf == named.leaf && run.at >= start && named.end.is_none_or(|end| run.at < end)
    };
    let mut times: Vec<Instant> = runs.iter().filter(is_counted).map(|run| run.at).collect();
    times.sort_unstable();
    let allowed = 1.5 * named.limit * LIMIT_WINDOW.as_secs_f64() + LIMIT_SLACK;
    let in_window =
        |from: Instant| times.iter().filter(|at| (from..from + LIMIT_WINDOW).contains(at)).count();
    let is_calm = |from: &Instant| {
        !is_near_disturbance(history, *from) && !is_near_disturbance(history, *from + LIMIT_WINDOW)
    };
    let busiest = times.iter().copied().filter(is_calm).map(in_window).max()?;
    if busiest as f64 <= allowed {
        return None;
    }
    let observed = format!("{} got {busiest} of {allowed} requests in a window", named.leaf);
    violation("a leaf gets no more than the limit that it names", observed)
}
