//! The time left that an entry host names to holders on other hosts.

use {
    crate::support::{Cluster, PATIENCE, Shape},
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
/// `max_deadline` of the test's collection, in microseconds.
const MAX_DEADLINE: u64 = 3_000_000;

/// A holder that notes the time left of each request and runs nothing.
struct Noting {
    timeouts: Sender<u64>,
}

#[tonic::async_trait]
impl Peer for Noting {
    type RunLeavesStream = Empty<Result<LeafReply, Status>>;

    async fn run_leaves(
        &self,
        request: Request<RunLeavesRequest>,
    ) -> Result<Response<Self::RunLeavesStream>, Status> {
        let _ = self.timeouts.send(request.into_inner().timeout_us);
        Err(Status::unavailable("a test's holder"))
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

fn noting_peer(runtime: &Handle) -> (SocketAddr, Receiver<u64>) {
    let (timeouts, noted) = unbounded();
    let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = Server::builder().add_service(PeerServer::new(Noting { timeouts }));
    runtime.spawn(server.serve_with_incoming(TcpListenerStream::new(listener)));
    (address, noted)
}

/// Guards against a time left in whole milliseconds, which is zero in the last one and makes the
/// holder refuse work that it could still do.
#[test]
fn the_time_left_is_sent_in_microseconds() {
    let cluster = Cluster::start(&Shape { hosts: 1, ..Shape::default() });
    let host = &cluster.hosts[0].data;
    let (address, noted) = noting_peer(host.runtime().handle());
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
    host.adopt(view, |_| HoldingStart::Cold);
    (0..QUERIES).for_each(|n| drop(cluster.ask(0, &json!(n))));
    let first = noted.recv_timeout(PATIENCE).expect("the holder was asked");
    let timeouts: Vec<u64> = [first].into_iter().chain(noted.try_iter()).collect();
    assert!(timeouts.iter().all(|left| (1..=MAX_DEADLINE).contains(left)), "{timeouts:?}");
    // One time left is a whole number of milliseconds by chance in 1 of 1000 cases.
    assert!(timeouts.len() >= QUERIES, "{timeouts:?}");
    assert!(timeouts.iter().any(|left| left % 1_000 != 0), "{timeouts:?}");
}
