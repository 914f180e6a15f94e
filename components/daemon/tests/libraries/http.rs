//! The HTTP server for callers: limits and graceful stop.

use {
    bytes::Bytes,
    crossbeam::channel::{Receiver, Sender, bounded},
    http::{Response, StatusCode},
    http_body_util::Full,
    std::{
        io::{Read, Write},
        net::TcpStream,
        thread,
        time::Duration,
    },
    tokio::runtime::Runtime,
    wigeonramp_daemon::http_server::{Handler, HttpLimits, HttpRequest, HttpServer, ServerRefusal},
};

const TIMEOUT: Duration = Duration::from_secs(10);
const MAX_BODY: usize = 100;

/// Reports each request and blocks until the test releases it.
struct BlockingHandler {
    arrived: Sender<()>,
    release: Receiver<()>,
}

impl Handler for BlockingHandler {
    fn handle(&self, request: HttpRequest) -> Response<Full<Bytes>> {
        let _ = self.arrived.send(());
        let _ = self.release.recv_timeout(TIMEOUT);
        Response::new(Full::new(request.body))
    }

    fn refuse(&self, refusal: ServerRefusal, _: Option<&HttpRequest>) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::new(refusal.as_str().into()));
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
    }

    fn max_body(&self) -> usize {
        MAX_BODY
    }
}

struct Server {
    arrived: Receiver<()>,
    release: Sender<()>,
    runtime: Runtime,
    server: HttpServer<BlockingHandler>,
}

fn server(client_timeout: Duration) -> Server {
    let runtime = Runtime::new().expect("a runtime");
    let (arrived_tx, arrived) = bounded(16);
    let (release, release_rx) = bounded(16);
    let limits = HttpLimits { connections: 16, queue: 1, client_timeout, workers: 1 };
    let handler = BlockingHandler { arrived: arrived_tx, release: release_rx };
    let any = "127.0.0.1:0".parse().expect("an address");
    let server = HttpServer::start(runtime.handle(), any, &limits, handler).expect("it binds");
    Server { arrived, release, runtime, server }
}

impl Server {
    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.server.address()).expect("it accepts");
        stream.set_read_timeout(Some(TIMEOUT)).expect("the timeout is set");
        stream
    }

    fn send(&self, body: &str) -> TcpStream {
        let mut stream = self.connect();
        let head = format!("POST / HTTP/1.1\r\nhost: h\r\ncontent-length: {}\r\n\r\n", body.len());
        stream.write_all(format!("{head}{body}").as_bytes()).expect("it reads");
        stream
    }
}

/// Reads until the server closes the connection.
fn read_to_end(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("the server closes in time");
    text
}

/// Guards against a stop that cuts off a running request or waits for an idle connection.
#[test]
fn a_stop_waits_for_running_requests_and_closes_idle_connections() {
    let server = server(TIMEOUT);
    let idle = server.connect();
    let running = server.send("whole");
    server.arrived.recv_timeout(TIMEOUT).expect("the request runs");
    thread::scope(|scope| {
        let stopped = scope.spawn(|| server.server.stop(TIMEOUT));
        // The listener is closed before the running request ends.
        while TcpStream::connect(server.server.address()).is_ok() {}
        server.release.send(()).expect("the handler waits");
        assert!(stopped.join().expect("the stop does not panic"), "requests were still running");
    });
    let response = read_to_end(running).to_lowercase();
    assert!(response.ends_with("whole") && response.contains("connection: close"), "{response}");
    assert_eq!(read_to_end(idle), "");
    drop(server.runtime);
}

/// Guards against clients that occupy connections and workers by sending slowly.
#[test]
fn slow_and_oversized_requests_end_without_a_worker() {
    let server = server(Duration::from_millis(200));
    let mut slow_head = server.connect();
    slow_head.write_all(b"POST / HTTP/1.1\r\nhost").expect("it reads");
    let mut slow_body = server.connect();
    let head = b"POST / HTTP/1.1\r\nhost: h\r\ncontent-length: 9\r\n\r\nhalf";
    slow_body.write_all(head).expect("it reads");
    let large = server.send(&"x".repeat(MAX_BODY + 1));
    assert!(read_to_end(large).ends_with("body_too_large"));
    assert!(read_to_end(slow_body).ends_with("body_incomplete"));
    assert!(!read_to_end(slow_head).contains("200 OK"));
    assert!(server.arrived.is_empty(), "a request reached a worker");
}

/// Guards against an unbounded queue of requests while all workers are busy.
#[test]
fn requests_beyond_workers_and_queue_are_refused_at_once() {
    let server = server(TIMEOUT);
    let _running = server.send("first");
    server.arrived.recv_timeout(TIMEOUT).expect("the first request runs");
    let others: Vec<TcpStream> = (0..2).map(|_| server.send("more")).collect();
    // One of them waits in the queue, the other is refused.
    let refused = others.iter().any(|stream| {
        stream.set_read_timeout(Some(Duration::from_secs(1))).expect("the timeout is set");
        let mut text = [0; 512];
        let read = (&*stream).read(&mut text).unwrap_or_default();
        String::from_utf8_lossy(&text[..read]).contains("all_workers_busy")
    });
    assert!(refused);
    (0..2).for_each(|_| server.release.send(()).expect("the handler waits"));
}
