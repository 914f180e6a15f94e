//! Promises of assigners while the session cannot be renewed.

use {
    crate::{
        clock,
        control::{
            assigning::AssignDesk,
            calls::{self, PeerCall},
            gate::{Core, Gate},
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
pub fn run(gate: &Gate, desk: &AssignDesk, peers: &Peers) {
    let (mut held, mut stale) = (false, true);
    while !gate.is_stopped() {
        let (round, time) = {
            let mut core = gate.core();
            let now = clock::now();
            let time = core.session_time.shorter(now);
            let wanted = core.rights.needs_promises(now);
            (wanted.then(|| begin(&mut core, time, now)).flatten(), time)
        };
        if let Some(round) = round {
            ask(gate, desk, peers, round);
        }
        let (holds, doubt) = {
            let (core, now) = (gate.core(), clock::now());
            (core.rights.promises.is_valid(now), core.rights.in_doubt(now))
        };
        note_freshness(gate, &mut stale);
        // Promises that end while the session is valid are not needed any more.
        let told = holds != held && (holds || doubt);
        held = holds;
        if told {
            log::info!("promises of all assigners hold: {held}");
            gate.record(NewEvent::now(EventKind::PromiseRound).field("all_promised", held));
        }
        gate.wakers().doubt.wait(time / LOOKS);
    }
}

/// Notes when contact with store and peers is lost and found again.
fn note_freshness(gate: &Gate, stale: &mut bool) {
    let now = gate.core().rights.is_stale(clock::now());
    if now == *stale {
        return;
    }
    *stale = now;
    log::info!("neither store nor peers answer, nothing is sent: {now}");
    gate.record(NewEvent::now(if now { EventKind::ConfigStale } else { EventKind::ConfigFresh }));
}

fn begin(core: &mut Core, time: Span, now: Instant) -> Option<Round> {
    let assignment = core.assignment.clone()?;
    if assignment.leaf_count(&core.me.instance) == 0 {
        return None;
    }
    let me = core.me.instance.clone();
    let asks = core.rights.promises.begin(&me, &assignment, time, now);
    Some(Round { asks, began: now })
}

fn ask(gate: &Gate, desk: &AssignDesk, peers: &Peers, round: Round) {
    let Round { asks, began } = round;
    let (own, others): (Vec<_>, Vec<_>) = {
        let me = gate.instance();
        asks.into_iter().partition(|ask| ask.assigner == me)
    };
    for ask in own {
        let answer = desk.promise(gate, &ask);
        gate.core().rights.promises.on_answer(&ask, answer, began);
    }
    let reachable: Vec<_> = {
        let core = gate.core();
        let address = |ask: RequestedPromise| {
            core.hosts.get(&ask.assigner).map(|host| (host.peer_address, ask))
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
    calls::all(
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
            let mut core = gate.core();
            core.rights.record_contact(began);
            core.rights.promises.on_answer(ask, answer, began);
        },
    );
}
