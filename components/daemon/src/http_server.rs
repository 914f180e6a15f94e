//! HTTP/1 server with limits on connections, workers, body size and client time, and a graceful
//! stop.
//!
//! Connections are read and written on the tokio runtime that tonic uses; requests are handled by a
//! fixed pool of threads. `docs/decisions/caller-http.md` explains why `astra` is not used.

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

/// Delay after a failed `accept`, which mostly fails for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct HttpLimits {
    /// Time limit for a client to send the head of a request, again for the body, and to receive
    /// bytes of a response.
    pub client_timeout: Duration,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum number of requests that wait for a worker.
    pub queue: usize,
    /// Number of threads that handle requests.
    pub workers: usize,
}

/// A request with its complete body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// The body.
    pub body: Bytes,
    /// Disconnected once the client has gone away or the response is sent.
    pub client_gone: Receiver<Infallible>,
    /// The headers.
    pub headers: HeaderMap,
    /// The method.
    pub method: Method,
    /// Path and query string.
    pub uri: Uri,
}

/// Why the server itself refuses a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerRefusal {
    /// The body is longer than `Handler::max_body`.
    BodyTooLarge,
    /// The body did not arrive in time or was cut off.
    BodyIncomplete,
    /// All workers are busy and the queue is full.
    Busy,
    /// The handler panicked.
    HandlerFailed,
}

impl ServerRefusal {
    /// Returns the name of the refusal, as used in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::BodyTooLarge => "body_too_large",
            Self::BodyIncomplete => "body_incomplete",
            Self::Busy => "all_workers_busy",
            Self::HandlerFailed => "internal_fault",
        }
    }
}

/// Handles the requests of a server.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request on a worker thread.
    fn handle(&self, request: HttpRequest) -> Response<Full<Bytes>>;

    /// Returns the response to a request that the server refuses. `request` is given only for
    /// `ServerRefusal::Busy`.
    fn refuse(
        &self,
        refusal: ServerRefusal,
        request: Option<&HttpRequest>,
    ) -> Response<Full<Bytes>>;

    /// Returns the maximum length of a request body in bytes.
    fn max_body(&self) -> usize;
}

struct Job {
    request: HttpRequest,
    response: oneshot::Sender<Response<Full<Bytes>>>,
}

struct Shared<H> {
    client_timeout: Duration,
    handler: H,
    in_flight: AtomicUsize,
    jobs: Sender<Job>,
    keep_alive_disabled: AtomicBool,
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
    /// Binds `address` and starts to serve. Fails if the address cannot be bound or a thread cannot
    /// be started.
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
            client_timeout: limits.client_timeout,
            handler,
            in_flight: AtomicUsize::new(0),
            jobs,
            keep_alive_disabled: AtomicBool::new(false),
        });
        let mut workers = Vec::with_capacity(limits.workers);
        for n in 0..limits.workers {
            let shared = Arc::clone(&shared);
            let queue = queue.clone();
            let name = format!("http-{n}");
            workers
                .push(thread::Builder::new().name(name).spawn(move || run_jobs(&shared, &queue))?);
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

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the handler of the server.
    pub fn handler(&self) -> &H {
        &self.shared.handler
    }

    /// Returns the number of requests that are received, queued or handled.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::Acquire)
    }

    /// Sends `connection: close` with every further response.
    pub fn disable_keep_alive(&self) {
        self.shared.keep_alive_disabled.store(true, Ordering::Release);
    }

    /// Stops accepting, closes idle connections and waits for running requests.
    ///
    /// Returns whether all connections ended within `timeout`.
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
        // Detaches the workers, which end once the last connection has dropped its sender.
        self.workers.lock().clear();
    }
}

fn run_jobs<H: Handler>(shared: &Shared<H>, queue: &Receiver<Job>) {
    while let Ok(job) = queue.recv() {
        // The receiver is dropped when the client has gone away.
        if job.response.is_closed() {
            continue;
        }
        let Job { request, response: tx } = job;
        // A panic in the handler must not end the worker thread.
        let response = catch_unwind(AssertUnwindSafe(|| shared.handler.handle(request)));
        let response =
            response.unwrap_or_else(|_| shared.handler.refuse(ServerRefusal::HandlerFailed, None));
        let _ = tx.send(response);
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
                time::sleep(ACCEPT_RETRY_DELAY).await;
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
    // The kernel closes the connection of a client that receives no bytes for this long.
    let set = set_tcp_user_timeout(&stream, timeout).map_err(IoError::from);
    if let Err(err) = stream.set_nodelay(true).and(set) {
        log::debug!("cannot set socket options: {err}");
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
        log::debug!("connection ended: {err}");
    }
}

async fn respond<H: Handler>(
    shared: &Shared<H>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    shared.in_flight.fetch_add(1, Ordering::AcqRel);
    let _guard = InFlightGuard(&shared.in_flight);
    let mut response = match read_request(shared, request).await {
        Ok(request) => run_on_worker(shared, request).await,
        Err(refusal) => {
            let mut response = shared.handler.refuse(refusal, None);
            // The rest of the body may still arrive, so the connection cannot be reused.
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
            response
        }
    };
    if shared.keep_alive_disabled.load(Ordering::Acquire) {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}

async fn read_request<H: Handler>(
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
    Ok(HttpRequest { body, client_gone: never(), headers, method, uri })
}

async fn run_on_worker<H: Handler>(
    shared: &Shared<H>,
    mut request: HttpRequest,
) -> Response<Full<Bytes>> {
    let (tx, rx) = oneshot::channel();
    // hyper drops this future, and this sender with it, when the client closes its connection.
    let (_client_connected, client_gone) = bounded(0);
    request.client_gone = client_gone;
    match shared.jobs.try_send(Job { request, response: tx }) {
        Ok(()) => (),
        Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
            return shared.handler.refuse(ServerRefusal::Busy, Some(&job.request));
        }
    }
    match rx.await {
        Ok(response) => response,
        Err(_) => shared.handler.refuse(ServerRefusal::HandlerFailed, None),
    }
}

/// Creates a response with a JSON body.
pub fn json_response(status: StatusCode, body: &impl serde::Serialize) -> Response<Full<Bytes>> {
    let json = serde_json::to_vec(body).expect("response bodies are always valid JSON");
    let mut response = Response::new(Full::new(json.into()));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
