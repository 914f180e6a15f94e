//! Deletes claim objects that no request id can refer to any more; done by assigners.

use {
    crate::{
        clock,
        control::{
            platform::{CallKind, Platform},
            shared_state::SharedState,
        },
    },
    std::time::Duration,
    wigeonramp_control::claims::{ClaimSettings, is_deletable},
    wigeonramp_store::{ObjectStore, StoreError},
    wigeonramp_units::{Span, UnixMillis},
};

/// Time between two rounds; claims of one minute share objects.
const ROUND: Span = Span::secs(60);
/// How long the thread waits before it looks whether the host has stopped.
const PATIENCE: Duration = Duration::from_millis(250);
/// Periods looked at in the first round, newest first; older ones were left by an outage of all
/// assigners and are found by listing everything in that round.
const PERIODS: u64 = 3;

/// Deletes old claims until the host stops.
pub fn run(shared: &SharedState, platform: &Platform<impl ObjectStore>) {
    let mut next = clock::now();
    let mut listed_all = false;
    while !shared.is_stopped() {
        std::thread::sleep(PATIENCE);
        if clock::now() < next || !acts(shared) {
            continue;
        }
        next = clock::now() + ROUND;
        match round(shared, platform, listed_all) {
            Ok(()) => listed_all = true,
            Err(err) => log::debug!("old claims not deleted: {err}"),
        }
    }
}

/// Whether this host is the first named assigner.
fn acts(shared: &SharedState) -> bool {
    let state = shared.lock();
    let Some(assignment) = &state.assignment else { return false };
    assignment.assigner_ids().next() == Some(&state.identity.instance)
}

fn round(
    shared: &SharedState,
    platform: &Platform<impl ObjectStore>,
    listed_all: bool,
) -> Result<(), StoreError> {
    let settings = ClaimSettings::new(shared.lock().retention.upper_bound(clock::now()));
    let now = clock::unix_now();
    let prefixes = if listed_all { prefixes(&settings, now) } else { vec!["claims/".to_owned()] };
    for prefix in prefixes {
        for object in platform.list(CallKind::Claim, &prefix)? {
            if is_deletable(&object.key, &settings, now) {
                platform.delete(CallKind::Claim, &object.key, object.revision)?;
            }
        }
    }
    Ok(())
}

/// The newest periods that can be deleted.
fn prefixes(settings: &ClaimSettings, now: UnixMillis) -> Vec<String> {
    let current = now.0 / settings.period.as_millis();
    let key = |period: &u64| format!("claims/{period}/");
    let old = (0..current).rev().filter(|period| is_deletable(&key(period), settings, now));
    old.take(PERIODS as usize).map(|period| key(&period)).collect()
}
