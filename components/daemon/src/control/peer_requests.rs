//! Replies of the control plane to requests of peers. Runs on the threads of the runtime, so nothing
//! here may block.

use {
    crate::{
        clock,
        control::{
            assigner::SharedAssigner,
            gossip::{Gossip, LeafGossip},
            host_control::HostControl,
            shared_state::SharedState,
        },
        holder::{HeldLeaves, ReleaseOutcome},
        peer::server::PeerControl,
    },
    std::sync::Arc,
    wigeonramp_control::{
        assignment::AssignmentVersion,
        handover::ReleaseAnswer,
        promise::{PromiseAnswer, PromiseRefusal, RequestedPromise},
    },
    wigeonramp_proto::peer::{
        DocumentKind, FetchDocumentReply, FetchDocumentRequest, Heartbeat, PromiseReply,
        PromiseRequest, ReleaseReply, ReleaseRequest,
    },
    wigeonramp_telemetry::timeline::{EventKind, NewEvent},
    wigeonramp_units::{Epoch, InstanceId, LeafId, ParseError, Span},
};

/// Handler of the control requests of peers.
pub struct PeerRequests<L> {
    assigner: Arc<SharedAssigner>,
    shared: Arc<SharedState>,
    gossip: Arc<Gossip<L>>,
    held_leaves: Arc<HeldLeaves<HostControl>>,
}

impl<L: LeafGossip> PeerRequests<L> {
    /// Creates the handler.
    pub fn new(
        shared: Arc<SharedState>,
        assigner: Arc<SharedAssigner>,
        gossip: Arc<Gossip<L>>,
        held_leaves: Arc<HeldLeaves<HostControl>>,
    ) -> Self {
        Self { assigner, shared, gossip, held_leaves }
    }

    fn try_release(&self, request: &ReleaseRequest) -> Result<ReleaseReply, ParseError> {
        let leaf: LeafId = request.leaf.parse()?;
        let (from, next): (InstanceId, InstanceId) =
            (request.from.parse()?, request.instance.parse()?);
        let epoch = Epoch(request.epoch);
        // Stops sending before the requests in flight at the leaf are checked below; until then one
        // is assumed.
        let answer = {
            let mut state = self.shared.lock();
            if state.identity.instance != from {
                return Ok(ReleaseReply::default());
            }
            let assignment = state.assignment.clone();
            let holding = assignment.as_ref().and_then(|a| a.holdings.get(&leaf));
            let held_epoch = holding.filter(|h| h.instance == from).map(|holding| holding.epoch);
            state.rights.outgoing.release(&leaf, epoch, held_epoch, 1)
        };
        if answer == ReleaseAnswer::OlderEpoch {
            return Ok(ReleaseReply::default());
        }
        let state = match self.held_leaves.release(&leaf) {
            ReleaseOutcome::InFlight => return Ok(ReleaseReply::default()),
            ReleaseOutcome::NotHeld => Vec::new(),
            ReleaseOutcome::Released(state) => serde_json::to_vec(&state).unwrap_or_default(),
        };
        let event = NewEvent::now(EventKind::LeafReleased).leaf(&leaf).epoch(epoch);
        self.shared.record(event.field("to", next));
        Ok(ReleaseReply { released: true, state })
    }

    fn try_promise(&self, request: &PromiseRequest) -> Result<PromiseAnswer, ParseError> {
        let promise = RequestedPromise {
            holder: request.instance.parse()?,
            assigner: request.assigner.parse()?,
            known_version: AssignmentVersion(request.assignment_version),
            term: Span::millis(request.term_ms),
        };
        Ok(self.assigner.request_promise(&self.shared, &promise))
    }
}

impl<L: LeafGossip> PeerControl for PeerRequests<L> {
    fn heartbeat(&self, from: Heartbeat) -> Heartbeat {
        self.gossip.receive(from, clock::now());
        self.gossip.heartbeat()
    }

    fn fetch(&self, request: FetchDocumentRequest) -> FetchDocumentReply {
        let (document, assignment) = {
            let state = self.shared.lock();
            (Arc::clone(&state.document), state.assignment.clone())
        };
        let reply = |version: u64, json: serde_json::Result<Vec<u8>>| FetchDocumentReply {
            version,
            // Serialization cannot fail: a document has only string keys and plain values.
            body: json.unwrap_or_default(),
        };
        match (request.kind(), assignment) {
            (DocumentKind::Config, _) if document.version.get() > request.above => {
                reply(document.version.get(), serde_json::to_vec(&*document))
            }
            (DocumentKind::Assignment, Some(adopted)) if adopted.version.0 > request.above => {
                reply(adopted.version.0, serde_json::to_vec(&*adopted))
            }
            _ => FetchDocumentReply::default(),
        }
    }

    fn release(&self, request: ReleaseRequest) -> ReleaseReply {
        self.try_release(&request).unwrap_or_else(|err| {
            log::warn!("invalid release request refused: {err}");
            ReleaseReply::default()
        })
    }

    fn promise(&self, request: PromiseRequest) -> PromiseReply {
        let answer = self.try_promise(&request).unwrap_or_else(|err| {
            log::warn!("invalid promise request refused: {err}");
            PromiseAnswer::Refused(PromiseRefusal::NotAssigner)
        });
        let assignment_version = self.shared.lock().versions().assignment.0;
        let (granted, reason) = match answer {
            PromiseAnswer::Granted => (true, String::new()),
            PromiseAnswer::Refused(refusal) => (false, format!("{refusal:?}")),
        };
        PromiseReply { granted, reason, assignment_version }
    }
}
