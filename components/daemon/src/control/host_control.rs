//! Interface of the control plane to the data path and the peer server.

use {
    crate::{
        caller::handler::{EntryAddressList, EntryAddresses},
        control::{
            claims::ClaimService, data_path_gossip::DataPathGossip, peer_requests::PeerRequests,
            shared_state::SharedState,
        },
        entry::{
            QueryRequest,
            claims::{ClaimDecision, ClaimedOutcome, RequestClaims},
            request::CallerIdentity,
        },
        peer::server::PeerControl,
        view::HolderRights,
    },
    std::sync::{Arc, OnceLock},
    wigeonramp_proto::peer::{
        FetchDocumentReply, FetchDocumentRequest, Heartbeat, PromiseReply, PromiseRequest,
        ReleaseReply, ReleaseRequest,
    },
    wigeonramp_serving::upstream::Rights,
    wigeonramp_units::{Instant, LeafId},
};

/// Rights, claims, entry addresses and replies to peers of one host.
pub struct HostControl {
    claims: Arc<ClaimService>,
    shared: Arc<SharedState>,
    // Set later, because replies to peers need the data path, which is built with this value.
    peer_requests: OnceLock<PeerRequests<DataPathGossip>>,
}

impl HostControl {
    /// Creates the interface. Peers get empty replies until [`Self::serve_peers`] is called.
    pub fn new(shared: Arc<SharedState>, claims: Arc<ClaimService>) -> Self {
        Self { claims, shared, peer_requests: OnceLock::new() }
    }

    /// Starts to answer peers.
    pub fn serve_peers(&self, peer_requests: PeerRequests<DataPathGossip>) {
        if self.peer_requests.set(peer_requests).is_err() {
            log::error!("serve_peers was called twice");
        }
    }
}

impl HolderRights for HostControl {
    fn rights(&self, leaf: &LeafId, now: Instant) -> Rights {
        self.shared.rights(leaf, now)
    }

    fn deadline_cap(&self, now: Instant) -> Instant {
        self.shared.lock().rights.deadline_cap(now)
    }
}

impl EntryAddresses for HostControl {
    fn entry_addresses(&self, caller: &CallerIdentity) -> EntryAddressList {
        self.shared.entry_addresses(&caller.caller)
    }
}

impl RequestClaims for HostControl {
    fn claim(&self, query: &QueryRequest) -> ClaimDecision {
        self.claims.claim(query)
    }

    fn record(&self, query: &QueryRequest, outcome: &ClaimedOutcome) {
        self.claims.record(query, outcome);
    }
}

impl PeerControl for HostControl {
    fn heartbeat(&self, from: Heartbeat) -> Heartbeat {
        self.peer_requests.get().map(|requests| requests.heartbeat(from)).unwrap_or_default()
    }

    fn fetch(&self, request: FetchDocumentRequest) -> FetchDocumentReply {
        self.peer_requests.get().map(|requests| requests.fetch(request)).unwrap_or_default()
    }

    fn release(&self, request: ReleaseRequest) -> ReleaseReply {
        self.peer_requests.get().map(|requests| requests.release(request)).unwrap_or_default()
    }

    fn promise(&self, request: PromiseRequest) -> PromiseReply {
        self.peer_requests.get().map(|requests| requests.promise(request)).unwrap_or_default()
    }
}
