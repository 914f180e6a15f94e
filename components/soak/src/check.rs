//! The promises, checked against what callers were told and leaves ran.

use {
    crate::{
        traffic::{Kind, Sent},
        world::{History, MIN_SHARE_PERCENT, SHARDS, TOP_K, ZoneOut},
    },
    indexmap::{IndexMap, IndexSet},
    std::{
        fmt::{Display, Formatter, Result as FmtResult},
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::leaf::Run,
    wigeonramp_routing::merge::merge_top_k,
};

/// Time within which a version is in force, and a leaf that left gets nothing more.
const APPLY: Duration = Duration::from_millis(3_000);
/// Time after which a zone that was taken out gets nothing more.
const ZONE_APPLY: Duration = Duration::from_millis(5_000);
/// Promises with a time bound rest for this long after a disturbance.
const REST: Duration = Duration::from_millis(4_000);
/// Share of the requests that is served again after the last fault.
const RECOVERED: f64 = 0.9;

/// A promise that was broken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Violation {
    /// The promise.
    pub invariant: &'static str,
    /// What was seen.
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

/// Checks a whole run.
pub(crate) fn check(sent: &[Sent], runs: &[Run], history: &History) -> Vec<Violation> {
    let mut by_id: IndexMap<&str, Vec<&Run>> = IndexMap::new();
    for run in runs {
        by_id.entry(&run.id).or_default().push(run);
    }
    let known: IndexSet<&str> = sent.iter().map(|sent| sent.id.as_str()).collect();
    let unasked = runs.iter().filter(|run| !known.contains(run.id.as_str()));
    let mut found: Vec<Violation> = unasked
        .filter_map(|run| violation("only what callers sent is run", run.id.clone()))
        .collect();
    for one in sent {
        let runs = by_id.get(one.id.as_str()).map_or(&[][..], Vec::as_slice);
        found.extend(at_most_once(one, runs));
        found.extend(refusal_is_true(one, runs));
        found.extend(answer_is_the_leafs(one, runs));
        found.extend(version_in_force(one, runs, history));
    }
    found.extend(runs.iter().filter_map(|run| left_alone(run, history)));
    found.extend(runs.iter().filter_map(|run| zone_is_out(run, history)));
    found
}

/// Checks that the fleet serves again.
pub(crate) fn recovery(served: f64) -> Option<Violation> {
    if served >= RECOVERED {
        return None;
    }
    violation("the fleet recovers", format!("served share {served:.2}"))
}

fn at_most_once(sent: &Sent, runs: &[&Run]) -> Option<Violation> {
    if sent.kind != Kind::Write || runs.len() <= 1 {
        return None;
    }
    violation("at most once", format!("{} ran {} times", sent.id, runs.len()))
}

fn refusal_is_true(sent: &Sent, runs: &[&Run]) -> Option<Violation> {
    let status = sent.told.as_ref()?.status;
    if sent.kind != Kind::Write || !matches!(status, 408 | 421 | 429 | 503) || runs.is_empty() {
        return None;
    }
    violation("a refusal is true", format!("{} got {status} and ran", sent.id))
}

fn answer_is_the_leafs(sent: &Sent, runs: &[&Run]) -> Option<Violation> {
    const INVARIANT: &str = "the whole answer to the own request";
    let told = sent.told.as_ref()?;
    if told.status == 0 {
        return violation(INVARIANT, format!("{} got bytes that are no answer", sent.id));
    }
    if told.status != 200 {
        return None;
    }
    if sent.kind != Kind::Gather {
        let stamp = told.stamp.as_deref();
        let whole =
            runs.iter().any(|run| Some(run.stamp.as_str()) == stamp && run.body == told.body);
        let observed = || format!("{} got {stamp:?}", sent.id);
        return if whole { None } else { violation(INVARIANT, observed()) };
    }
    let parts: Vec<&&Run> =
        told.parts.iter().filter_map(|part| runs.iter().find(|run| run.stamp == *part)).collect();
    let shards: IndexSet<&str> = parts.iter().map(|run| run.service.as_str()).collect();
    let body = merge_top_k(parts.iter().map(|run| run.body.as_slice()), TOP_K);
    let sound = parts.len() == told.parts.len()
        && shards.len() == parts.len()
        && parts.len() + told.missing == SHARDS
        && parts.len() * 100 >= MIN_SHARE_PERCENT * SHARDS
        && body == told.body;
    let observed = || format!("{}: {} parts, {} missing", sent.id, told.parts.len(), told.missing);
    if sound { None } else { violation("parts and coverage are true", observed()) }
}

fn is_disturbed(history: &History, at: Instant) -> bool {
    history.disturbed.iter().any(|from| {
        let end = *from + REST + APPLY;
        at >= *from && at < end
    })
}

/// The versions that may be in force for a request: the newest written a while before it, and
/// whatever was written since.
fn version_in_force(sent: &Sent, runs: &[&Run], history: &History) -> Option<Violation> {
    if is_disturbed(history, sent.at) {
        return None;
    }
    let old = history.versions.iter().rev().find(|version| version.at + APPLY <= sent.at);
    let new = history.versions.iter().filter(|v| v.at + APPLY > sent.at && v.at <= sent.ended);
    let allowed: Vec<_> = old.into_iter().chain(new).collect();
    old?;
    let wrong = match sent.kind {
        Kind::Gather => false,
        Kind::Read | Kind::Write => {
            runs.iter().any(|run| !allowed.iter().any(|version| version.single == run.service))
        }
        Kind::Extra if !allowed.iter().any(|version| version.extra) => !runs.is_empty(),
        Kind::Extra if allowed.iter().all(|version| version.extra) => {
            sent.told.as_ref().is_some_and(|told| told.status == 404)
        }
        Kind::Extra => false,
    };
    if !wrong {
        return None;
    }
    violation("a version is in force in time", format!("{} {:?}", sent.id, sent.kind))
}

fn left_alone(run: &Run, history: &History) -> Option<Violation> {
    let (_, left) = history.left.iter().find(|(leaf, _)| *leaf == run.leaf)?;
    if run.at < *left + APPLY || is_disturbed(history, run.at) || is_disturbed(history, *left) {
        return None;
    }
    let late = run.at.duration_since(*left).as_millis();
    violation("a leaving leaf gets nothing more", format!("{} after {late} ms", run.leaf))
}

fn zone_is_out(run: &Run, history: &History) -> Option<Violation> {
    let zone = history.zones.get(&run.leaf)?;
    let is_out = |out: &&ZoneOut| {
        out.zone == zone.as_str()
            && run.at >= out.from + ZONE_APPLY
            && out.until.is_none_or(|until| run.at < until)
    };
    let out = history.zones_out.iter().find(is_out)?;
    if is_disturbed(history, run.at) || is_disturbed(history, out.from) {
        return None;
    }
    let late = run.at.duration_since(out.from).as_millis();
    violation("a zone that is out gets nothing more", format!("{} after {late} ms", run.leaf))
}
