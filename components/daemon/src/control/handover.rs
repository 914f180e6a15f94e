//! Handovers of leaves from live holders to this host.

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

/// Maximum number of releases requested concurrently.
const MAX_REQUESTS: usize = 64;
/// Pause before a release is requested again while requests are in flight at the leaf.
const IN_FLIGHT_RETRY: Span = Span::millis(20);
/// Pause before a release is requested again from an old holder that did not answer.
const UNREACHABLE_RETRY: Span = Span::millis(250);
/// Pause while the assignment contains no handover to this host.
const IDLE_PAUSE: Span = Span::secs(1);

/// A release and the address of the old holder.
struct ReleaseTarget {
    address: SocketAddr,
    release: PendingRelease,
}

/// Requests the release of the leaves that move to this host until the host stops.
pub fn run(shared: &SharedState, held_leaves: &HeldLeaves<HostControl>, peers: &Peers) {
    while !shared.is_stopped() {
        let pause = round(shared, held_leaves, peers);
        shared.wakers().release.wait(pause);
    }
}

fn round(shared: &SharedState, held_leaves: &HeldLeaves<HostControl>, peers: &Peers) -> Span {
    let (pending, reachable, version) = {
        let state = shared.lock();
        let Some(assignment) = &state.assignment else { return IDLE_PAUSE };
        let pending = state.rights.pending_releases(assignment);
        let address = |release: &PendingRelease| {
            let address = state.hosts.get(&release.from)?.peer_address;
            Some(ReleaseTarget { address, release: release.clone() })
        };
        let reachable: Vec<_> = pending.iter().take(MAX_REQUESTS).filter_map(address).collect();
        (pending.len(), reachable, assignment.version)
    };
    if pending == 0 {
        return IDLE_PAUSE;
    }
    let instance = shared.instance();
    let requests = reachable.iter().map(|ReleaseTarget { address, release }| PeerCall {
        address: *address,
        request: ReleaseRequest {
            leaf: release.leaf.as_str().to_owned(),
            epoch: release.epoch.get(),
            instance: instance.as_str().to_owned(),
            assignment_version: version.0,
            from: release.from.as_str().to_owned(),
        },
    });
    let sent = clock::now();
    let (mut released, mut answers) = (0, 0);
    peer_calls::call_all(
        peers,
        requests.collect(),
        |mut client, request| async move { client.release(request).await },
        |i, reply| match reply {
            Ok(reply) => {
                answers += 1;
                shared.record_peer_contact(sent);
                if reply.released {
                    released += 1;
                    accept(shared, held_leaves, &reachable[i].release, &reply);
                }
            }
            Err(status) => {
                let release = &reachable[i].release;
                log::debug!(
                    "release of {} by {} failed: {}",
                    release.leaf,
                    release.from,
                    status.message()
                );
            }
        },
    );
    if released > 0 {
        shared.wakers().renew.wake();
    }
    if answers > 0 { IN_FLIGHT_RETRY } else { UNREACHABLE_RETRY }
}

fn accept(
    shared: &SharedState,
    held_leaves: &HeldLeaves<HostControl>,
    release: &PendingRelease,
    reply: &ReleaseReply,
) {
    let state = serde_json::from_slice::<HandoverState>(&reply.state);
    let (start, start_name) = match state {
        Ok(state) => (HoldingStart::HandedOver(state), "handed_over"),
        Err(err) => {
            if !reply.state.is_empty() {
                log::warn!(
                    "leaf {} starts cold, its handover state cannot be parsed: {err}",
                    release.leaf
                );
            }
            (HoldingStart::Cold, "cold")
        }
    };
    let document = shared.document();
    // A leaf that is no longer declared is not held, but its handover is completed.
    if let Some(spec) = leaf_spec(&document, &release.leaf, release.epoch) {
        held_leaves.hold(spec, start);
    }
    shared.lock().rights.incoming.on_released(&release.leaf, release.epoch);
    let event = NewEvent::now(EventKind::LeafAcquired).leaf(&release.leaf).epoch(release.epoch);
    shared.record(event.field("start", start_name).field("from", &release.from));
}
