//! Fetches documents from peers that know a higher version.

use {
    crate::{
        control::{shared_state::SharedState, watcher::FollowedDocument},
        peer::client::Peers,
    },
    crossbeam::channel::{Receiver, Sender, bounded},
    std::{net::SocketAddr, time::Duration},
    tokio::time,
    wigeonramp_config::Document,
    wigeonramp_control::{adoption::DocumentSource, assignment::Assignment, heartbeat::Fetch},
    wigeonramp_proto::peer::{DocumentKind, FetchDocumentRequest},
    wigeonramp_units::Span,
};

/// Fetches that wait; further ones are dropped, as the next heartbeat asks again.
const QUEUE: usize = 64;
/// Longest wait for a document; it may have 1 MB.
const TIMEOUT: Duration = Duration::from_secs(2);
/// How long the thread waits before it looks whether the host has stopped.
const PATIENCE: Span = Span::millis(500);

/// Documents of a peer that are newer than the adopted ones.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DocumentFetch {
    /// Which documents.
    pub documents: Fetch,
    /// The peer's address.
    pub from: SocketAddr,
}

/// Hands fetches to the thread that does them.
#[derive(Clone, Debug)]
pub struct Fetcher {
    rx: Receiver<DocumentFetch>,
    tx: Sender<DocumentFetch>,
}

impl Fetcher {
    /// No fetch waits.
    pub fn new() -> Self {
        let (tx, rx) = bounded(QUEUE);
        Self { rx, tx }
    }

    /// Fetches from a peer soon; never blocks.
    pub fn enqueue(&self, wanted: DocumentFetch) {
        let _ = self.tx.try_send(wanted);
    }

    /// Fetches until the host stops.
    pub fn run(&self, shared: &SharedState, peers: &Peers) {
        while !shared.is_stopped() {
            let Ok(wanted) = self.rx.recv_timeout(PATIENCE.to_duration()) else { continue };
            let known = shared.lock().versions();
            if wanted.documents.config {
                fetch::<Document>(shared, peers, wanted.from, DocumentKind::Config, known.config.0);
            }
            if wanted.documents.assignment {
                let above = known.assignment.0;
                fetch::<Assignment>(shared, peers, wanted.from, DocumentKind::Assignment, above);
            }
        }
    }
}

impl Default for Fetcher {
    fn default() -> Self {
        Self::new()
    }
}

fn fetch<T: FollowedDocument>(
    shared: &SharedState,
    peers: &Peers,
    from: SocketAddr,
    kind: DocumentKind,
    above: u64,
) {
    let mut client = peers.client(from);
    let request = FetchDocumentRequest { kind: kind.into(), above };
    let call = async move { time::timeout(TIMEOUT, client.fetch_document(request)).await };
    let reply = match peers.runtime().block_on(call) {
        Ok(Ok(reply)) => reply.into_inner(),
        Ok(Err(status)) => return log::debug!("{} from {from}: {}", T::KEY, status.message()),
        Err(_) => return log::debug!("{} from {from}: no answer in time", T::KEY),
    };
    if reply.body.is_empty() {
        return;
    }
    match serde_json::from_slice::<T>(&reply.body) {
        Ok(document) => document.offer(shared, DocumentSource::Peer),
        Err(err) => log::error!("{} from {from} cannot be read and is refused: {err}", T::KEY),
    }
}
