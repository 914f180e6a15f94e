//! Promises of assigners while the session cannot be renewed.

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

/// Looks at the session in one session time.
const LOOKS: u64 = 16;
struct Round {
    asks: Vec<RequestedPromise>,
    began: Instant,
}

/// Asks for promises whenever the session is about to expire or has expired.
pub fn run(shared: &SharedState, assigner: &SharedAssigner, peers: &Peers) {
    let (mut held, mut stale) = (false, true);
    while !shared.is_stopped() {
        let (round, time) = {
            let mut state = shared.lock();
            let now = clock::now();
            let time = state.session_time.lower_bound(now);
            let wanted = state.rights.needs_promises(now);
            (wanted.then(|| begin(&mut state, time, now)).flatten(), time)
        };
        if let Some(round) = round {
            ask(shared, assigner, peers, round);
        }
        let (holds, doubt) = {
            let (state, now) = (shared.lock(), clock::now());
            (state.rights.promises.is_valid(now), state.rights.in_doubt(now))
        };
        note_freshness(shared, &mut stale);
        // Promises that end while the session is valid are not needed any more.
        let told = holds != held && (holds || doubt);
        held = holds;
        if told {
            log::info!("promises of all assigners hold: {held}");
            shared.record(NewEvent::now(EventKind::PromiseRound).field("all_promised", held));
        }
        shared.wakers().promises.wait(time / LOOKS);
    }
}

/// Notes when contact with store and peers is lost and found again.
fn note_freshness(shared: &SharedState, stale: &mut bool) {
    let now = shared.lock().rights.is_stale(clock::now());
    if now == *stale {
        return;
    }
    *stale = now;
    log::info!("neither store nor peers answer, nothing is sent: {now}");
    shared.record(NewEvent::now(if now { EventKind::ConfigStale } else { EventKind::ConfigFresh }));
}

fn begin(state: &mut HostState, time: Span, now: Instant) -> Option<Round> {
    let assignment = state.assignment.clone()?;
    if assignment.leaf_count(&state.identity.instance) == 0 {
        return None;
    }
    let me = state.identity.instance.clone();
    let asks = state.rights.promises.begin(&me, &assignment, time, now);
    Some(Round { asks, began: now })
}

fn ask(shared: &SharedState, assigner: &SharedAssigner, peers: &Peers, round: Round) {
    let Round { asks, began } = round;
    let (own, others): (Vec<_>, Vec<_>) = {
        let me = shared.instance();
        asks.into_iter().partition(|ask| ask.assigner == me)
    };
    for ask in own {
        let answer = assigner.request_promise(shared, &ask);
        shared.lock().rights.promises.on_answer(&ask, answer, began);
    }
    let reachable: Vec<_> = {
        let state = shared.lock();
        let address = |ask: RequestedPromise| {
            state.hosts.get(&ask.assigner).map(|host| (host.peer_address, ask))
        };
        others.into_iter().filter_map(address).collect()
    };
    let requests = reachable.iter().map(|(address, ask)| PeerCall {
        address: *address,
        request: PromiseRequest {
            instance: ask.holder.as_str().to_owned(),
            term_ms: ask.term.as_millis(),
            assigner: ask.assigner.as_str().to_owned(),
            assignment_version: ask.known_version.0,
        },
    });
    peer_calls::call_all(
        peers,
        requests.collect(),
        |mut client, request| async move { client.promise(request).await },
        |i, reply| {
            let ask = &reachable[i].1;
            let answer = match reply {
                Ok(reply) if reply.granted => PromiseAnswer::Granted,
                Ok(reply) => {
                    log::info!("{} gives no promise: {}", ask.assigner, reply.reason);
                    PromiseAnswer::Refused(PromiseRefusal::NotAssigner)
                }
                Err(status) => {
                    return log::debug!("{} does not answer: {}", ask.assigner, status.message());
                }
            };
            let mut state = shared.lock();
            state.rights.record_contact(began);
            state.rights.promises.on_answer(ask, answer, began);
        },
    );
}
