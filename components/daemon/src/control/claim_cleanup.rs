//! Deletion of expired claim objects by the first assigner.

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

/// Interval between rounds. Claims of one minute share objects.
const ROUND_INTERVAL: Span = Span::secs(60);
/// Interval at which the thread checks whether the host has stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Number of periods checked in each round after the first, newest first. Older objects, left by an
/// outage of all assigners, are found by the first round, which lists all claims.
const PERIODS_PER_ROUND: u64 = 3;

/// Deletes expired claim objects until the host stops.
pub fn run(shared: &SharedState, platform: &Platform<impl ObjectStore>) {
    let mut next = clock::now();
    let mut listed_all = false;
    while !shared.is_stopped() {
        std::thread::sleep(STOP_CHECK_INTERVAL);
        if clock::now() < next || !is_first_assigner(shared) {
            continue;
        }
        next = clock::now() + ROUND_INTERVAL;
        match round(shared, platform, listed_all) {
            Ok(()) => listed_all = true,
            Err(err) => log::debug!("expired claims not deleted: {err}"),
        }
    }
}

/// Whether this instance is the first assigner in the assignment.
fn is_first_assigner(shared: &SharedState) -> bool {
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

/// Returns the key prefixes of the newest periods that can be deleted.
fn prefixes(settings: &ClaimSettings, now: UnixMillis) -> Vec<String> {
    let current = now.0 / settings.period.as_millis();
    let key = |period: &u64| format!("claims/{period}/");
    let deletable = (0..current).rev().filter(|period| is_deletable(&key(period), settings, now));
    deletable.take(PERIODS_PER_ROUND as usize).map(|period| key(&period)).collect()
}
