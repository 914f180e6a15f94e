//! Hand-overs of leaves between live holders.

use {
    crate::{
        clock,
        control::{
            host_control::HostControl,
            peer_calls::{self, PeerCall},
            shared_state::SharedState,
        },
        holder::{HeldLeaves, leaf::HoldingStart, leaf_spec},
        peer::client::Peers,
    },
    std::net::SocketAddr,
    wigeonramp_control::handover::PendingRelease,
    wigeonramp_proto::peer::{ReleaseReply, ReleaseRequest},
    wigeonramp_serving::upstream::HandoverState,
    wigeonramp_telemetry::timeline::{EventKind, NewEvent},
    wigeonramp_units::Span,
};

/// Most releases asked for at the same time.
const ASKS: usize = 64;
/// Pause before a leaf with work in flight is asked for again.
const RETRY: Span = Span::millis(20);
/// Pause before an old holder that did not answer is asked again.
const UNREACHED: Span = Span::millis(250);
/// Wait for an assignment with hand-overs.
const IDLE: Span = Span::secs(1);

struct Ask {
    address: SocketAddr,
    ask: PendingRelease,
}

/// Asks old holders to release the leaves that move to this host.
pub fn run(shared: &SharedState, held_leaves: &HeldLeaves<HostControl>, peers: &Peers) {
    while !shared.is_stopped() {
        let pause = round(shared, held_leaves, peers);
        shared.wakers().release.wait(pause);
    }
}

fn round(shared: &SharedState, held_leaves: &HeldLeaves<HostControl>, peers: &Peers) -> Span {
    let (waiting, reachable, version) = {
        let state = shared.lock();
        let Some(assignment) = &state.assignment else { return IDLE };
        let waiting = state.rights.pending_releases(assignment);
        let address = |ask: &PendingRelease| {
            let address = state.hosts.get(&ask.from)?.peer_address;
            Some(Ask { address, ask: ask.clone() })
        };
        let reachable: Vec<_> = waiting.iter().take(ASKS).filter_map(address).collect();
        (waiting.len(), reachable, assignment.version)
    };
    if waiting == 0 {
        return IDLE;
    }
    let me = shared.instance();
    let requests = reachable.iter().map(|Ask { address, ask }| PeerCall {
        address: *address,
        request: ReleaseRequest {
            leaf: ask.leaf.as_str().to_owned(),
            epoch: ask.epoch.get(),
            instance: me.as_str().to_owned(),
            assignment_version: version.0,
            from: ask.from.as_str().to_owned(),
        },
    });
    let began = clock::now();
    let (mut released, mut answers) = (0, 0);
    peer_calls::call_all(
        peers,
        requests.collect(),
        |mut client, request| async move { client.release(request).await },
        |i, reply| match reply {
            Ok(reply) => {
                answers += 1;
                shared.record_peer_contact(began);
                if reply.released {
                    released += 1;
                    take(shared, held_leaves, &reachable[i].ask, &reply);
                }
            }
            Err(status) => {
                let ask = &reachable[i].ask;
                log::debug!("{} does not release {}: {}", ask.from, ask.leaf, status.message());
            }
        },
    );
    if released > 0 {
        shared.wakers().renew.wake();
    }
    if answers > 0 { RETRY } else { UNREACHED }
}

fn take(
    shared: &SharedState,
    held_leaves: &HeldLeaves<HostControl>,
    ask: &PendingRelease,
    reply: &ReleaseReply,
) {
    let state = serde_json::from_slice::<HandoverState>(&reply.state);
    let (start, how) = match state {
        Ok(state) => (HoldingStart::HandedOver(state), "handed_over"),
        Err(err) => {
            if !reply.state.is_empty() {
                log::warn!("state of {} cannot be read, it starts cold: {err}", ask.leaf);
            }
            (HoldingStart::Cold, "cold")
        }
    };
    let document = shared.document();
    // A leaf that is no longer declared is settled without being held.
    if let Some(holding) = leaf_spec(&document, &ask.leaf, ask.epoch) {
        held_leaves.hold(holding, start);
    }
    shared.lock().rights.incoming.on_released(&ask.leaf, ask.epoch);
    let entry = NewEvent::now(EventKind::LeafAcquired).leaf(&ask.leaf).epoch(ask.epoch);
    shared.record(entry.field("start", how).field("from", &ask.from));
}
