//! Fetches documents from peers that have adopted a higher version.

use {
    crate::{
        control::{shared_state::SharedState, watcher::WatchedDocument},
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

/// Maximum number of queued fetches. Further ones are dropped, since the next heartbeat requests
/// them again.
const QUEUE_LENGTH: usize = 64;
/// Timeout of a fetch; a document can be up to 1 MB.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the thread checks whether the host has stopped.
const STOP_CHECK_INTERVAL: Span = Span::millis(500);

/// A fetch of documents that a peer has in a higher version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DocumentFetch {
    /// Which documents to fetch.
    pub documents: Fetch,
    /// Address of the peer.
    pub from: SocketAddr,
}

/// Queue of fetches and the loop that makes them.
#[derive(Clone, Debug)]
pub struct Fetcher {
    rx: Receiver<DocumentFetch>,
    tx: Sender<DocumentFetch>,
}

impl Fetcher {
    /// Creates an empty queue.
    pub fn new() -> Self {
        let (tx, rx) = bounded(QUEUE_LENGTH);
        Self { rx, tx }
    }

    /// Queues a fetch without blocking.
    pub fn enqueue(&self, fetch: DocumentFetch) {
        let _ = self.tx.try_send(fetch);
    }

    /// Makes the queued fetches until the host stops.
    pub fn run(&self, shared: &SharedState, peers: &Peers) {
        while !shared.is_stopped() {
            let Ok(queued) = self.rx.recv_timeout(STOP_CHECK_INTERVAL.to_duration()) else {
                continue;
            };
            let adopted = shared.lock().versions();
            if queued.documents.config {
                fetch::<Document>(
                    shared,
                    peers,
                    queued.from,
                    DocumentKind::Config,
                    adopted.config.0,
                );
            }
            if queued.documents.assignment {
                let above = adopted.assignment.0;
                fetch::<Assignment>(shared, peers, queued.from, DocumentKind::Assignment, above);
            }
        }
    }
}

impl Default for Fetcher {
    fn default() -> Self {
        Self::new()
    }
}

fn fetch<T: WatchedDocument>(
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
        Err(_) => return log::debug!("{} from {from}: no response in time", T::KEY),
    };
    if reply.body.is_empty() {
        return;
    }
    match serde_json::from_slice::<T>(&reply.body) {
        Ok(document) => document.offer(shared, DocumentSource::Peer),
        Err(err) => log::error!("{} from {from} cannot be parsed and is refused: {err}", T::KEY),
    }
}
