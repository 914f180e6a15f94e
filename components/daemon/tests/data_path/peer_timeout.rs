//! The remaining time of a query that an entry host sends to holders on other hosts.

use {
    crate::support::{Cluster, ClusterOptions, TIMEOUT},
    crossbeam::channel::{Receiver, Sender, unbounded},
    serde_json::json,
    std::net::SocketAddr,
    tokio::{net::TcpListener, runtime::Handle},
    tokio_stream::{Empty, wrappers::TcpListenerStream},
    tonic::{Request, Response, Status, transport::Server},
    wigeonramp_daemon::{
        holder::leaf::HoldingStart,
        view::{ClusterView, Holder},
    },
    wigeonramp_proto::peer::{
        CancelAttemptsReply, CancelAttemptsRequest, FetchDocumentReply, FetchDocumentRequest,
        Heartbeat, LeafReply, PromiseReply, PromiseRequest, ReleaseReply, ReleaseRequest,
        RunLeavesRequest,
        peer_server::{Peer, PeerServer},
    },
    wigeonramp_units::Epoch,
};

const QUERIES: usize = 10;
/// The `max_deadline` of the test's collection in microseconds.
const MAX_DEADLINE: u64 = 3_000_000;

/// A peer that records the timeout of each request and runs nothing.
struct RecordingPeer {
    timeouts: Sender<u64>,
}

#[tonic::async_trait]
impl Peer for RecordingPeer {
    type RunLeavesStream = Empty<Result<LeafReply, Status>>;

    async fn run_leaves(
        &self,
        request: Request<RunLeavesRequest>,
    ) -> Result<Response<Self::RunLeavesStream>, Status> {
        let _ = self.timeouts.send(request.into_inner().timeout_us);
        Err(Status::unavailable("runs no requests"))
    }

    async fn cancel_attempts(
        &self,
        _: Request<CancelAttemptsRequest>,
    ) -> Result<Response<CancelAttemptsReply>, Status> {
        Ok(Response::new(CancelAttemptsReply::default()))
    }

    async fn send_heartbeat(&self, _: Request<Heartbeat>) -> Result<Response<Heartbeat>, Status> {
        Ok(Response::new(Heartbeat::default()))
    }

    async fn fetch_document(
        &self,
        _: Request<FetchDocumentRequest>,
    ) -> Result<Response<FetchDocumentReply>, Status> {
        Ok(Response::new(FetchDocumentReply::default()))
    }

    async fn release(&self, _: Request<ReleaseRequest>) -> Result<Response<ReleaseReply>, Status> {
        Ok(Response::new(ReleaseReply::default()))
    }

    async fn promise(&self, _: Request<PromiseRequest>) -> Result<Response<PromiseReply>, Status> {
        Ok(Response::new(PromiseReply::default()))
    }
}

fn recording_peer(runtime: &Handle) -> (SocketAddr, Receiver<u64>) {
    let (timeouts, recorded) = unbounded();
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = Server::builder().add_service(PeerServer::new(RecordingPeer { timeouts }));
    runtime.spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    (address, recorded)
}

/// Guards against a timeout in whole milliseconds, which is zero during the last millisecond, so
/// that the holder refuses work that it could still do.
#[test]
fn the_remaining_time_is_sent_in_microseconds() {
    let cluster = Cluster::start(&ClusterOptions { hosts: 1, ..ClusterOptions::default() });
    let host = &cluster.hosts[0].data;
    let (address, recorded) = recording_peer(host.runtime().handle());
    let holder = Holder {
        address,
        epoch: Epoch(1),
        instance: "h9@b9".parse().expect("an instance"),
        releasing: None,
    };
    let holders = cluster.document.leaves.keys().map(|leaf| (leaf.clone(), holder.clone()));
    let view = ClusterView {
        document: cluster.document.clone(),
        holders: holders.collect(),
        hosts: Vec::new(),
    };
    host.apply_view(view, |_| HoldingStart::Cold);
    (0..QUERIES).for_each(|n| drop(cluster.query(0, &json!(n))));
    let first = recorded.recv_timeout(TIMEOUT).expect("the holder received a request");
    let timeouts: Vec<u64> = [first].into_iter().chain(recorded.try_iter()).collect();
    assert!(timeouts.iter().all(|timeout| (1..=MAX_DEADLINE).contains(timeout)), "{timeouts:?}");
    // A timeout is a whole number of milliseconds by chance in 1 of 1000 cases.
    assert!(timeouts.len() >= QUERIES, "{timeouts:?}");
    assert!(timeouts.iter().any(|timeout| timeout % 1_000 != 0), "{timeouts:?}");
}
