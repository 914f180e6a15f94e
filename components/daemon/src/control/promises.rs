//! Promises that this host requests from assigners while it cannot renew its session.

use {
    crate::{
        clock,
        control::{
            assigner::SharedAssigner,
            peer_calls::{self, PeerCall},
            shared_state::{HostState, SharedState},
        },
        peer::client::Peers,
    },
    wigeonramp_control::promise::{PromiseAnswer, PromiseRefusal, RequestedPromise},
    wigeonramp_proto::peer::PromiseRequest,
    wigeonramp_telemetry::timeline::{EventKind, NewEvent},
    wigeonramp_units::{Instant, Span},
};

/// Number of checks of the session in one session time.
const CHECKS_PER_SESSION_TIME: u64 = 16;

/// A round of requests to all assigners.
struct Round {
    requests: Vec<RequestedPromise>,
    began: Instant,
}

/// Requests promises whenever the session is about to expire or has expired.
pub fn run(shared: &SharedState, assigner: &SharedAssigner, peers: &Peers) {
    let (mut all_promised, mut stale) = (false, true);
    while !shared.is_stopped() {
        let (round, session_time) = {
            let mut state = shared.lock();
            let now = clock::now();
            let session_time = state.session_time.lower_bound(now);
            let needed = state.rights.needs_promises(now);
            (needed.then(|| begin(&mut state, session_time, now)).flatten(), session_time)
        };
        if let Some(round) = round {
            request_promises(shared, assigner, peers, round);
        }
        let (valid, in_doubt) = {
            let (state, now) = (shared.lock(), clock::now());
            (state.rights.promises.is_valid(now), state.rights.in_doubt(now))
        };
        record_staleness(shared, &mut stale);
        // Promises that end while the session is valid are no longer needed, so that is not
        // recorded.
        let changed = valid != all_promised && (valid || in_doubt);
        all_promised = valid;
        if changed {
            log::info!("promises of all assigners hold: {all_promised}");
            shared
                .record(NewEvent::now(EventKind::PromiseRound).field("all_promised", all_promised));
        }
        shared.wakers().promises.wait(session_time / CHECKS_PER_SESSION_TIME);
    }
}

/// Records when contact with the store and all peers is lost and when it is restored.
fn record_staleness(shared: &SharedState, stale: &mut bool) {
    let is_stale = shared.lock().rights.is_stale(clock::now());
    if is_stale == *stale {
        return;
    }
    *stale = is_stale;
    log::info!("neither the store nor a peer answers, nothing is sent to leaves: {is_stale}");
    shared.record(NewEvent::now(if is_stale {
        EventKind::ConfigStale
    } else {
        EventKind::ConfigFresh
    }));
}

fn begin(state: &mut HostState, session_time: Span, now: Instant) -> Option<Round> {
    let assignment = state.assignment.clone()?;
    if assignment.leaf_count(&state.identity.instance) == 0 {
        return None;
    }
    let instance = state.identity.instance.clone();
    let requests = state.rights.promises.begin(&instance, &assignment, session_time, now);
    Some(Round { requests, began: now })
}

fn request_promises(shared: &SharedState, assigner: &SharedAssigner, peers: &Peers, round: Round) {
    let Round { requests, began } = round;
    let (local, remote): (Vec<_>, Vec<_>) = {
        let instance = shared.instance();
        requests.into_iter().partition(|request| request.assigner == instance)
    };
    for request in local {
        let answer = assigner.request_promise(shared, &request);
        shared.lock().rights.promises.on_answer(&request, answer, began);
    }
    let reachable: Vec<_> = {
        let state = shared.lock();
        let address = |request: RequestedPromise| {
            state.hosts.get(&request.assigner).map(|host| (host.peer_address, request))
        };
        remote.into_iter().filter_map(address).collect()
    };
    let calls = reachable.iter().map(|(address, request)| PeerCall {
        address: *address,
        request: PromiseRequest {
            instance: request.holder.as_str().to_owned(),
            term_ms: request.term.as_millis(),
            assigner: request.assigner.as_str().to_owned(),
            assignment_version: request.known_version.0,
        },
    });
    peer_calls::call_all(
        peers,
        calls.collect(),
        |mut client, request| async move { client.promise(request).await },
        |i, reply| {
            let request = &reachable[i].1;
            let answer = match reply {
                Ok(reply) if reply.granted => PromiseAnswer::Granted,
                Ok(reply) => {
                    // The reason is only logged; a round treats all refusals alike.
                    log::info!("{} refuses a promise: {}", request.assigner, reply.reason);
                    PromiseAnswer::Refused(PromiseRefusal::NotAssigner)
                }
                Err(status) => {
                    return log::debug!(
                        "promise request to {} failed: {}",
                        request.assigner,
                        status.message()
                    );
                }
            };
            let mut state = shared.lock();
            state.rights.record_contact(began);
            state.rights.promises.on_answer(request, answer, began);
        },
    );
}
