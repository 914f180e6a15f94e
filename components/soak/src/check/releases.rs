//! Checks of releases: what reached a bad version, and what was lost as old leaves stopped.

use {
    super::{Violation, is_near_disturbance, is_turned_away, violation},
    crate::{callers::RequestRecord, fleet::History, releases::Release},
    indexmap::IndexMap,
    std::time::Duration,
    wigeonramp_platform_standin::leaf::Run,
};

/// Bounds as in the settings of hosts.
const EXPOSURE_SHARE: f64 = 0.1;
const EXPOSURE_SLACK: f64 = 50.0;
const ROLLBACK_LIMIT: Duration = Duration::from_millis(5_000);

/// Checks all releases of a run.
pub(super) fn check(requests: &[RequestRecord], runs: &[Run], history: &History) -> Vec<Violation> {
    if history.releases.is_empty() {
        return Vec::new();
    }
    let requests: IndexMap<&str, &RequestRecord> =
        requests.iter().map(|req| (req.id.as_str(), req)).collect();
    let mut violations = Vec::new();
    for release in &history.releases {
        violations.extend(check_exposure(release, runs));
        for run in runs.iter().filter(|run| run.service == release.service) {
            let Some(req) = requests.get(run.id.as_str()) else { continue };
            violations.extend(check_rolled_back(release, run, req, history));
            violations.extend(check_stopped_leaf(release, run, req, history));
        }
    }
    violations
}

/// Checks that a bad version runs no more than its part of all runs of its service until the end of its
/// time. Hedges and retries count like first attempts.
fn check_exposure(release: &Release, runs: &[Run]) -> Option<Violation> {
    let time = release.start..release.start + release.duration;
    let in_time: Vec<&Run> = runs
        .iter()
        .filter(|run| run.service == release.service && time.contains(&run.at))
        .collect();
    let exposed = in_time.iter().filter(|run| release.candidates.contains(&run.leaf)).count();
    let allowed = EXPOSURE_SHARE.mul_add(in_time.len() as f64, EXPOSURE_SLACK);
    if !release.is_bad || exposed as f64 <= allowed {
        return None;
    }
    let observed =
        format!("{}: {exposed} of {} runs, {allowed} allowed", release.service, in_time.len());
    violation("the exposure of a bad version is bounded", observed)
}

/// Checks that a version that was rolled back gets no request that was sent later than the limit.
fn check_rolled_back(
    release: &Release,
    run: &Run,
    req: &RequestRecord,
    history: &History,
) -> Option<Violation> {
    let since = release.rolled_back?;
    let host = req.host.ip().to_string();
    if !release.candidates.contains(&run.leaf)
        || req.sent_at <= since + ROLLBACK_LIMIT
        || is_near_disturbance(history, req.sent_at)
        || is_turned_away(history, &host, req.sent_at)
    {
        return None;
    }
    let after_ms = req.sent_at.duration_since(since).as_millis();
    let observed = format!("{} at {} after {after_ms} ms", run.id, run.leaf);
    violation("a version that was rolled back gets no more requests", observed)
}

/// Checks that no request is lost at an old leaf that stopped as its release was completed. Hosts that were
/// lost or suspended, or are stopping, may not have confirmed that they no longer use old leaves.
fn check_stopped_leaf(
    release: &Release,
    run: &Run,
    req: &RequestRecord,
    history: &History,
) -> Option<Violation> {
    let stopped_at = release.completed?;
    let is_in_flight = req.ended_at >= stopped_at;
    let host = req.host.ip().to_string();
    let is_interrupted = history.interruptions.iter().any(|(ip, _)| *ip == host)
        || is_near_disturbance(history, stopped_at)
        || is_turned_away(history, &host, stopped_at);
    if !release.stopped.contains(&run.leaf) || !is_in_flight || is_interrupted || req.is_success() {
        return None;
    }
    let status = req.response.as_ref().map(|response| response.status);
    let observed = format!("{} at {}, response {status:?}", run.id, run.leaf);
    violation("no request is lost as a release is completed", observed)
}
