//! Serves the calls of other hosts.

use {
    crate::{
        clock,
        holder::{
            HeldLeaves,
            connection::LeafCall,
            job::{LeafJob, ReplySink},
        },
        peer::reply_stream::ReplyStream,
        view::HolderRights,
    },
    bytes::Bytes,
    parking_lot::Mutex,
    std::{
        io::{Error as IoError, Result as IoResult},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::{
        net::TcpListener,
        runtime::Handle,
        sync::{mpsc, oneshot, watch},
        time,
    },
    tokio_stream::{StreamExt, wrappers::TcpListenerStream},
    tonic::{Request, Response, Status, transport::Server},
    wigeonramp_config::Priority,
    wigeonramp_proto::peer::{
        CancelAttemptsReply, CancelAttemptsRequest, FetchDocumentReply, FetchDocumentRequest,
        Heartbeat, LeafWork, PromiseReply, PromiseRequest, ReleaseReply, ReleaseRequest,
        RunLeavesRequest,
        peer_server::{Peer, PeerServer},
    },
    wigeonramp_units::{
        AttemptId, CollectionId, Epoch, Fingerprint, InstanceId, MapVersion, MemberId, ParseError,
        RequestId, SnapshotId, Span,
    },
};

/// Interval between keep-alive pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time limit for the answer to a ping.
const PING_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum length of a message in bytes; the maximum body of a caller is far below.
const MAX_MESSAGE: usize = 9 * 1024 * 1024;
/// Maximum number of open streams on a peer's connection.
const MAX_STREAMS: u32 = 4096;

/// Handles the calls that the control plane answers.
pub trait PeerControl: Send + Sync + 'static {
    /// Handles a peer's heartbeat and returns this host's.
    fn heartbeat(&self, from: Heartbeat) -> Heartbeat;

    /// Returns a document if its version is above the requested one.
    fn fetch(&self, request: FetchDocumentRequest) -> FetchDocumentReply;

    /// Hands over a leaf to the calling instance.
    fn release(&self, request: ReleaseRequest) -> ReleaseReply;

    /// Decides whether to give the requested promise.
    fn promise(&self, request: PromiseRequest) -> PromiseReply;
}

/// The `Peer` service of this host.
pub struct PeerService<C, R> {
    control: Arc<C>,
    held_leaves: Arc<HeldLeaves<R>>,
}

fn invalid(err: &ParseError) -> Status {
    Status::invalid_argument(err.to_string())
}

/// The fields that all attempts of a `RunLeavesRequest` share.
struct SharedFields {
    body: Bytes,
    collection: CollectionId,
    entry: InstanceId,
    member: MemberId,
    request: RequestId,
}

impl SharedFields {
    fn of(message: &mut RunLeavesRequest) -> Result<Self, ParseError> {
        Ok(Self {
            body: std::mem::take(&mut message.body).into(),
            collection: message.collection.parse()?,
            entry: message.entry.parse()?,
            member: message.member.parse()?,
            request: message.request_id.parse()?,
        })
    }

    fn job(
        &self,
        message: &RunLeavesRequest,
        work: &LeafWork,
        sink: ReplySink,
    ) -> Result<LeafJob, ParseError> {
        let now = clock::now();
        Ok(LeafJob {
            alone: work.alone,
            call: LeafCall {
                attempt: AttemptId(work.attempt),
                body: self.body.clone(),
                collection: self.collection.clone(),
                deadline: now + Span(message.timeout_us),
                entry: self.entry.clone(),
                leaf: work.leaf.parse()?,
                map_version: MapVersion(message.map_version),
                member: self.member.clone(),
                request: self.request.clone(),
                shard: work.shard.parse()?,
                snapshot: SnapshotId(message.snapshot),
            },
            epoch: Epoch(work.epoch),
            fingerprint: Fingerprint(message.fingerprint),
            hedge: work.hedge,
            idempotent: message.idempotent,
            priority: if message.urgent { Priority::Urgent } else { Priority::Ordinary },
            sink,
            queued_at: now,
        })
    }
}

#[tonic::async_trait]
impl<C: PeerControl, R: HolderRights> Peer for PeerService<C, R> {
    type RunLeavesStream = ReplyStream<R>;

    async fn run_leaves(
        &self,
        request: Request<RunLeavesRequest>,
    ) -> Result<Response<Self::RunLeavesStream>, Status> {
        let mut message = request.into_inner();
        let shared = SharedFields::of(&mut message).map_err(|err| invalid(&err))?;
        let (tx, rx) = mpsc::unbounded_channel();
        let jobs: Result<Vec<LeafJob>, ParseError> = message
            .work
            .iter()
            .map(|work| shared.job(&message, work, ReplySink::Remote(tx.clone())))
            .collect();
        let jobs = jobs.map_err(|err| invalid(&err))?;
        let open = jobs.iter().map(|job| job.call.attempt).collect();
        let replies = ReplyStream::new(shared.entry, open, Arc::clone(&self.held_leaves), rx);
        for job in jobs {
            self.held_leaves.offer(job);
        }
        Ok(Response::new(replies))
    }

    async fn cancel_attempts(
        &self,
        request: Request<CancelAttemptsRequest>,
    ) -> Result<Response<CancelAttemptsReply>, Status> {
        let message = request.into_inner();
        let entry: InstanceId = message.entry.parse().map_err(|err| invalid(&err))?;
        for attempt in message.attempts {
            self.held_leaves.cancel(&entry, AttemptId(attempt));
        }
        Ok(Response::new(CancelAttemptsReply {}))
    }

    async fn send_heartbeat(
        &self,
        request: Request<Heartbeat>,
    ) -> Result<Response<Heartbeat>, Status> {
        Ok(Response::new(self.control.heartbeat(request.into_inner())))
    }

    async fn fetch_document(
        &self,
        request: Request<FetchDocumentRequest>,
    ) -> Result<Response<FetchDocumentReply>, Status> {
        Ok(Response::new(self.control.fetch(request.into_inner())))
    }

    async fn release(
        &self,
        request: Request<ReleaseRequest>,
    ) -> Result<Response<ReleaseReply>, Status> {
        Ok(Response::new(self.control.release(request.into_inner())))
    }

    async fn promise(
        &self,
        request: Request<PromiseRequest>,
    ) -> Result<Response<PromiseReply>, Status> {
        Ok(Response::new(self.control.promise(request.into_inner())))
    }
}

/// A running server for peers.
pub struct PeerListener {
    address: SocketAddr,
    finished: Mutex<Option<oneshot::Receiver<()>>>,
    runtime: Handle,
    stop: watch::Sender<bool>,
}

impl PeerListener {
    /// Binds `address` and starts to serve. Fails if the address cannot be bound.
    pub fn start<C: PeerControl, R: HolderRights>(
        runtime: &Handle,
        address: SocketAddr,
        control: Arc<C>,
        held_leaves: Arc<HeldLeaves<R>>,
    ) -> IoResult<Self> {
        let listener = runtime.block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        let (stop, mut stopped) = watch::channel(false);
        let (done, finished) = oneshot::channel();
        let service = PeerServer::new(PeerService { control, held_leaves })
            .max_decoding_message_size(MAX_MESSAGE)
            .max_encoding_message_size(MAX_MESSAGE);
        let streams = TcpListenerStream::new(listener).map(|stream| {
            let stream = stream?;
            stream.set_nodelay(true)?;
            Ok::<_, IoError>(stream)
        });
        runtime.spawn(async move {
            let served = Server::builder()
                .http2_keepalive_interval(Some(PING_INTERVAL))
                .http2_keepalive_timeout(Some(PING_TIMEOUT))
                .max_concurrent_streams(MAX_STREAMS)
                .add_service(service)
                .serve_with_incoming_shutdown(streams, async move {
                    let _ = stopped.wait_for(|stop| *stop).await;
                })
                .await;
            if let Err(err) = served {
                log::error!("peer server ended: {err}");
            }
            let _ = done.send(());
        });
        Ok(Self { address, finished: Mutex::new(Some(finished)), runtime: runtime.clone(), stop })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting calls and waits for running ones.
    ///
    /// Returns whether all calls ended within `timeout`.
    pub fn stop(&self, timeout: Duration) -> bool {
        self.stop.send_replace(true);
        let Some(finished) = self.finished.lock().take() else { return true };
        self.runtime.block_on(async { time::timeout(timeout, finished).await.is_ok() })
    }
}
