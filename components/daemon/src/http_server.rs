//! HTTP/1 server with bounded workers, bodies and time, and a graceful stop.
//!
//! Connections are read and written on the tokio runtime that tonic uses; each request runs on a
//! thread of a fixed pool. See `docs/decisions/caller-http.md` for why this is not `astra`.

use {
    bytes::Bytes,
    crossbeam::channel::{Receiver, Sender, TrySendError, bounded, never},
    http::{
        HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header,
        request::Parts as HttpParts,
    },
    http_body_util::{BodyExt, Full, LengthLimitError, Limited},
    hyper::{body::Incoming, server::conn::http1, service::service_fn},
    hyper_util::{
        rt::{TokioIo, TokioTimer},
        server::graceful::{GracefulShutdown, Watcher},
    },
    parking_lot::Mutex,
    rustix::net::sockopt::set_tcp_user_timeout,
    std::{
        convert::Infallible,
        io::{Error as IoError, Result as IoResult},
        net::SocketAddr,
        panic::{AssertUnwindSafe, catch_unwind},
        sync::{
            Arc,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{
        net::{TcpListener, TcpStream},
        runtime::Handle,
        sync::{OwnedSemaphorePermit, Semaphore, oneshot, watch},
        time,
    },
};

/// Longest wait after a failed `accept`; such failures are mostly a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Bounds of a server.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Open connections.
    pub connections: usize,
    /// Requests that wait for a worker.
    pub queue: usize,
    /// Time for the head and again for the body of a request; also for a client to take bytes.
    pub client_timeout: Duration,
    /// Threads that run requests.
    pub workers: usize,
}

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The body.
    pub body: Bytes,
    /// Disconnected once the client has gone away or has its answer.
    pub client: Receiver<Infallible>,
    /// The headers.
    pub headers: HeaderMap,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
}

/// A refusal that the server itself makes before a handler runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerRefusal {
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The body did not arrive in time or broke off.
    BodyIncomplete,
    /// All workers and the queue are taken.
    Busy,
    /// The handler panicked.
    HandlerFailed,
}

impl ServerRefusal {
    /// Name of the refusal, for metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::Busy => "all_workers_busy",
            Self::HandlerFailed => "internal_fault",
        }
    }
}

/// What answers the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request on a worker thread.
    fn handle(&self, request: HttpRequest) -> Response<Full<Bytes>>;

    /// Answers a request that no worker saw; `request` is there if it arrived whole.
    fn refuse(
        &self,
        refusal: ServerRefusal,
        request: Option<&HttpRequest>,
    ) -> Response<Full<Bytes>>;

    /// Longest accepted body in bytes.
    fn max_body(&self) -> usize;
}

struct Job {
    reply: oneshot::Sender<Response<Full<Bytes>>>,
    request: HttpRequest,
}

struct Shared<H> {
    closing: AtomicBool,
    handler: H,
    jobs: Sender<Job>,
    running: AtomicUsize,
    client_timeout: Duration,
}

/// A running server.
pub struct HttpServer<H: Handler> {
    address: SocketAddr,
    finished: Mutex<Option<oneshot::Receiver<()>>>,
    shared: Arc<Shared<H>>,
    stop: watch::Sender<bool>,
    runtime: Handle,
    workers: Mutex<Vec<JoinHandle<()>>>,
}

impl<H: Handler> HttpServer<H> {
    /// Binds `address` and starts to serve. Fails if it cannot be bound.
    pub fn start(
        runtime: &Handle,
        address: SocketAddr,
        limits: &HttpLimits,
        handler: H,
    ) -> IoResult<Self> {
        let listener = runtime.block_on(TcpListener::bind(address))?;
        let address = listener.local_addr()?;
        let (jobs, queue) = bounded(limits.queue);
        let shared = Arc::new(Shared {
            closing: AtomicBool::new(false),
            handler,
            jobs,
            running: AtomicUsize::new(0),
            client_timeout: limits.client_timeout,
        });
        let mut workers = Vec::with_capacity(limits.workers);
        for n in 0..limits.workers {
            let shared = Arc::clone(&shared);
            let queue = queue.clone();
            let name = format!("http-{n}");
            workers.push(thread::Builder::new().name(name).spawn(move || work(&shared, &queue))?);
        }
        let (stop, stopped) = watch::channel(false);
        let (done, finished) = oneshot::channel();
        let permits = Arc::new(Semaphore::new(limits.connections));
        runtime.spawn(accept(listener, Arc::clone(&shared), permits, stopped, done));
        Ok(Self {
            address,
            finished: Mutex::new(Some(finished)),
            shared,
            stop,
            runtime: runtime.clone(),
            workers: Mutex::new(workers),
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What answers the requests.
    pub fn handler(&self) -> &H {
        &self.shared.handler
    }

    /// Requests that wait or run.
    pub fn in_flight(&self) -> usize {
        self.shared.running.load(Ordering::Acquire)
    }

    /// Asks clients, with each answer, to leave their connection.
    pub fn disable_keep_alive(&self) {
        self.shared.closing.store(true, Ordering::Release);
    }

    /// Stops accepting, closes idle connections and waits for running requests.
    ///
    /// Returns whether all connections ended within `patience`.
    pub fn stop(&self, timeout: Duration) -> bool {
        self.disable_keep_alive();
        self.stop.send_replace(true);
        let Some(finished) = self.finished.lock().take() else { return true };
        self.runtime.block_on(async { time::timeout(timeout, finished).await.is_ok() })
    }
}

impl<H: Handler> Drop for HttpServer<H> {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        // The workers end once the last connection has dropped its sender; nobody waits for that.
        self.workers.lock().clear();
    }
}

fn work<H: Handler>(shared: &Shared<H>, queue: &Receiver<Job>) {
    while let Ok(job) = queue.recv() {
        // A client that went away drops its receiver; the answer is then not needed.
        if job.reply.is_closed() {
            continue;
        }
        let Job { reply, request } = job;
        // One failed request must not take the worker away from all others.
        let answer = catch_unwind(AssertUnwindSafe(|| shared.handler.handle(request)));
        let answer =
            answer.unwrap_or_else(|_| shared.handler.refuse(ServerRefusal::HandlerFailed, None));
        let _ = reply.send(answer);
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    shared: Arc<Shared<H>>,
    permits: Arc<Semaphore>,
    mut stopped: watch::Receiver<bool>,
    done: oneshot::Sender<()>,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = next_stream(&listener, &permits) => accepted,
            _ = stopped.wait_for(|stop| *stop) => break,
        };
        match accepted {
            Ok((stream, permit)) => {
                let watcher = graceful.watcher();
                tokio::spawn(serve(stream, Arc::clone(&shared), watcher, permit));
            }
            Err(err) => {
                log::warn!("accept failed: {err}");
                time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    graceful.shutdown().await;
    let _ = done.send(());
}

async fn next_stream(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
) -> IoResult<(TcpStream, OwnedSemaphorePermit)> {
    let permit = Arc::clone(permits).acquire_owned().await.expect("the semaphore is never closed");
    let (stream, _) = listener.accept().await?;
    Ok((stream, permit))
}

async fn serve<H: Handler>(
    stream: TcpStream,
    shared: Arc<Shared<H>>,
    watcher: Watcher,
    _permit: OwnedSemaphorePermit,
) {
    let timeout = u32::try_from(shared.client_timeout.as_millis()).unwrap_or(u32::MAX);
    // The kernel closes the connection of a client that takes no bytes for this long.
    let set = set_tcp_user_timeout(&stream, timeout).map_err(IoError::from);
    if let Err(err) = stream.set_nodelay(true).and(set) {
        log::debug!("socket options: {err}");
    }
    let service = service_fn({
        let shared = Arc::clone(&shared);
        move |request| {
            let shared = Arc::clone(&shared);
            async move { Ok::<_, Infallible>(respond(&shared, request).await) }
        }
    });
    let conn = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(shared.client_timeout)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(err) = watcher.watch(conn).await {
        log::debug!("caller connection ended: {err}");
    }
}

async fn respond<H: Handler>(
    shared: &Shared<H>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    shared.running.fetch_add(1, Ordering::AcqRel);
    let _running = Running(&shared.running);
    let mut response = match collect(shared, request).await {
        Ok(request) => run(shared, request).await,
        Err(refusal) => {
            let mut response = shared.handler.refuse(refusal, None);
            // The rest of the body is still on its way; the connection cannot be used again.
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            response
        }
    };
    if shared.closing.load(Ordering::Acquire) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

struct Running<'a>(&'a AtomicUsize);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn collect<H: Handler>(
    shared: &Shared<H>,
    request: Request<Incoming>,
) -> Result<HttpRequest, ServerRefusal> {
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, shared.handler.max_body()).collect();
    let body = match time::timeout(shared.client_timeout, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(err)) if err.is::<LengthLimitError>() => return Err(ServerRefusal::BodyTooLarge),
        Ok(Err(_)) | Err(_) => return Err(ServerRefusal::BodyIncomplete),
    };
    let HttpParts { headers, method, uri, .. } = parts;
    Ok(HttpRequest { body, client: never(), headers, method, uri })
}

async fn run<H: Handler>(shared: &Shared<H>, mut request: HttpRequest) -> Response<Full<Bytes>> {
    let (reply, answer) = oneshot::channel();
    // hyper drops this future, and the sender with it, when the client closes its connection.
    let (_present, client) = bounded(0);
    request.client = client;
    match shared.jobs.try_send(Job { reply, request }) {
        Ok(()) => (),
        Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
            return shared.handler.refuse(ServerRefusal::Busy, Some(&job.request));
        }
    }
    match answer.await {
        Ok(response) => response,
        Err(_) => shared.handler.refuse(ServerRefusal::HandlerFailed, None),
    }
}

/// An answer with a JSON body.
pub fn json_response(status: StatusCode, body: &impl serde::Serialize) -> Response<Full<Bytes>> {
    let text = serde_json::to_vec(body).expect("answers contain only texts, numbers and lists");
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
