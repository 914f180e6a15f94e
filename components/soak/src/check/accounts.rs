//! Checks of what leaves run for accounts.

use {
    super::{PROPAGATION_LIMIT, Violation, is_near_disturbance, is_turned_away, violation},
    crate::{
        accounts::{ACCOUNTS, KeySpan, SoakAccount},
        callers::{RequestKind, RequestRecord},
        fleet::History,
    },
    indexmap::IndexMap,
    std::time::{Duration, Instant},
    wigeonramp_platform_standin::leaf::Run,
};

/// Window of quotas, and what is allowed in it beside the quota, as in the settings of hosts.
const QUOTA_WINDOW: Duration = Duration::from_secs(5);
const QUOTA_FACTOR: f64 = 1.1;
const QUOTA_SLACK: f64 = 20.0;

/// Checks all requests of a run with accounts.
pub(super) fn check(
    requests: &[RequestRecord],
    runs: &IndexMap<&str, Vec<&Run>>,
    history: &History,
) -> Vec<Violation> {
    if history.keys.is_empty() {
        return Vec::new();
    }
    let mut violations = Vec::new();
    for req in requests {
        let runs = runs.get(req.id.as_str()).map_or(&[][..], Vec::as_slice);
        violations.extend(runs.iter().filter_map(|run| check_key_at_leaf(run, history)));
        violations.extend(runs.iter().filter_map(|run| check_account(req, run, history)));
        violations.extend(check_removed_key(req, runs, history));
        violations.extend(check_refusal(req, runs, history));
    }
    let requests: IndexMap<&str, &RequestRecord> =
        requests.iter().map(|req| (req.id.as_str(), req)).collect();
    let quotas = ACCOUNTS.iter().filter(|account| account.rate > 0.0);
    violations.extend(quotas.filter_map(|account| check_quota(account, &requests, runs)));
    violations
}

fn check_key_at_leaf(run: &Run, history: &History) -> Option<Violation> {
    let has_key = |value: &str| history.keys.iter().any(|span| value.contains(&span.key));
    let is_key =
        |(name, value): &(String, String)| name.eq_ignore_ascii_case("X-Api-Key") || has_key(value);
    run.headers.iter().any(is_key).then_some(())?;
    violation("no leaf gets a key", format!("{} at {}", run.id, run.leaf))
}

fn spans<'a>(req: &'a RequestRecord, history: &'a History) -> impl Iterator<Item = &'a KeySpan> {
    history.keys.iter().filter(|span| req.key.as_ref() == Some(&span.key))
}

/// Checks that the leaf got the name of an account that has had the key, and none on a public route.
fn check_account(req: &RequestRecord, run: &Run, history: &History) -> Option<Violation> {
    let names = run.header_values("Tenant");
    let is_right = match (req.kind, &names[..]) {
        (RequestKind::Extra, names) => names.is_empty(),
        (_, [name]) => {
            spans(req, history).any(|span| span.account == *name && span.start <= run.at)
        }
        (_, _) => false,
    };
    if is_right {
        return None;
    }
    let observed = format!("{} with {:?} as {names:?}", req.id, req.key);
    violation("a leaf gets the account that has the key", observed)
}

/// Whether the host may not know the versions written before the request was sent.
fn may_be_outdated(req: &RequestRecord, history: &History) -> bool {
    let host = req.host.ip().to_string();
    is_near_disturbance(history, req.sent_at) || is_turned_away(history, &host, req.sent_at)
}

/// Checks that no request runs for an account that lost the key earlier.
fn check_removed_key(req: &RequestRecord, runs: &[&Run], history: &History) -> Option<Violation> {
    if may_be_outdated(req, history) || req.kind == RequestKind::Extra {
        return None;
    }
    let is_valid =
        |span: &KeySpan| span.end.is_none_or(|end| req.sent_at < end + PROPAGATION_LIMIT);
    let is_removed = |run: &&&Run| {
        let names = run.header_values("Tenant");
        !spans(req, history).any(|span| names.contains(&span.account) && is_valid(span))
    };
    let run = runs.iter().find(is_removed)?;
    let observed = format!("{} with {:?} at {}", req.id, req.key, run.leaf);
    violation("a removed key is not used", observed)
}

/// Checks that refusals are true: 429 did not run and has a quota as its reason, 401 has no key.
fn check_refusal(req: &RequestRecord, runs: &[&Run], history: &History) -> Option<Violation> {
    let status = req.response.as_ref()?.status;
    if matches!(status, 401 | 429) && !runs.is_empty() {
        let observed = format!("{} got {status} and ran", req.id);
        return violation("a request refused for its account did not run", observed);
    }
    let has_quota = |span: &KeySpan| {
        ACCOUNTS.iter().any(|account| account.name == span.account && account.rate > 0.0)
    };
    if status == 429 && (req.kind == RequestKind::Extra || !spans(req, history).any(has_quota)) {
        let observed = format!("{} with {:?} got 429", req.id, req.key);
        return violation("only requests with a quota are refused beyond it", observed);
    }
    let is_held = |span: &KeySpan| {
        span.start + PROPAGATION_LIMIT <= req.sent_at
            && span.end.is_none_or(|end| end > req.ended_at)
    };
    if status != 401 || may_be_outdated(req, history) || !spans(req, history).any(is_held) {
        return None;
    }
    violation("a key of an account is accepted", format!("{} with {:?}", req.id, req.key))
}

/// Checks that leaves run no more requests of an account in any window than its quota allows, whatever
/// happens to hosts. A request counts once, when it first runs.
fn check_quota(
    account: &SoakAccount,
    requests: &IndexMap<&str, &RequestRecord>,
    runs: &IndexMap<&str, Vec<&Run>>,
) -> Option<Violation> {
    let is_counted = |run: &Run| run.header_values("Tenant").contains(&account.name);
    let first_run = |(id, runs): (&&str, &Vec<&Run>)| {
        requests.get(id)?;
        runs.iter().filter(|run| is_counted(run)).map(|run| run.at).min()
    };
    let mut times: Vec<Instant> = runs.iter().filter_map(first_run).collect();
    times.sort_unstable();
    let quota = account.rate.mul_add(QUOTA_WINDOW.as_secs_f64(), account.burst);
    let allowed = quota.mul_add(QUOTA_FACTOR, QUOTA_SLACK);
    let in_window = |first: usize| {
        let end = times[first] + QUOTA_WINDOW;
        times.partition_point(|at| *at < end) - first
    };
    let fullest = (0..times.len()).map(in_window).max()?;
    if fullest as f64 <= allowed {
        return None;
    }
    let observed = format!("{}: {fullest} of {allowed} requests in a window", account.name);
    violation("an account keeps within its quota", observed)
}
