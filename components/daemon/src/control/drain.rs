//! Graceful stop: the host is unlisted, hands over its leaves, finishes requests and deletes its
//! session.

use {
    crate::{clock, control::shared_state::SharedState},
    wigeonramp_control::{
        assignment::Holding,
        drain::{Drain, DrainProgress, DrainSettings, DrainState},
        session::takeover_time,
    },
    wigeonramp_telemetry::timeline::{EventKind, NewEvent},
    wigeonramp_units::Span,
};

/// Interval at which the progress of the stop is checked.
const CHECK_INTERVAL: Span = Span::millis(20);
/// Timeout of the session write and of the handovers, in takeover times.
const PHASE_TIMEOUT_TAKEOVERS: u64 = 3;

/// Goes through the states of a stop up to `Stopped`. `in_flight` returns the number of requests of
/// callers and at leaves. `on_state` is called with each state that is entered.
pub fn run(
    shared: &SharedState,
    in_flight: impl Fn() -> usize,
    mut on_state: impl FnMut(DrainState),
) {
    let now = clock::now();
    let mut drain = Drain::new(settings(shared), now);
    drain.begin(now);
    let mut state = DrainState::Serving;
    loop {
        if drain.state() != state {
            state = drain.state();
            enter(shared, state);
            on_state(state);
        }
        if state == DrainState::Stopped {
            return;
        }
        shared.wakers().stop.wait(CHECK_INTERVAL);
        drain.step(progress(shared, in_flight()), clock::now());
    }
}

fn settings(shared: &SharedState) -> DrainSettings {
    let state = shared.lock();
    let document = &state.document;
    let deadlines = document.collections.values().map(|collection| collection.max_deadline);
    DrainSettings {
        entry_lifetime: document.limits.entry_lifetime,
        max_deadline: deadlines.max().unwrap_or_default(),
        // Until then a host that has not heard of the stop may direct callers to this one.
        stale_after: state.silent_after(),
        phase_timeout: takeover_time(state.session_time.upper_bound(clock::now()))
            * PHASE_TIMEOUT_TAKEOVERS,
    }
}

fn enter(shared: &SharedState, state: DrainState) {
    shared.lock().drain = state;
    log::info!("stop: {}", state_name(state));
    shared.record(NewEvent::now(EventKind::HostDrain).field("state", state_name(state)));
    let wakers = shared.wakers();
    [&wakers.renew, &wakers.gossip, &wakers.apply].iter().for_each(|waker| waker.wake());
}

fn progress(shared: &SharedState, in_flight: usize) -> DrainProgress {
    let state = shared.lock();
    let instance = &state.identity.instance;
    let is_involved = |holding: &&Holding| {
        holding.instance == *instance || holding.from.as_ref() == Some(instance)
    };
    let holdings = state.assignment.iter().flat_map(|assignment| assignment.holdings.values());
    DrainProgress {
        leaving_written: state.leaving_written,
        held_leaves: holdings.filter(is_involved).count(),
        in_flight,
    }
}

/// Returns the name of a state in status and timeline.
pub fn state_name(state: DrainState) -> &'static str {
    match state {
        DrainState::Serving => "serving",
        DrainState::Unlisted => "unlisted",
        DrainState::HandingOver => "handing_over",
        DrainState::Finishing => "finishing",
        DrainState::Stopped => "stopped",
    }
}
