//! Connections to leaves: use after a timeout, closing from another thread, and closed idle
//! connections.

use {
    std::{
        io::{Read, Write},
        net::{TcpListener, TcpStream},
        thread,
        time::{Duration, Instant as StdInstant},
    },
    wigeonramp_daemon::{
        clock,
        holder::connection::{CallOutcome, Connection, LeafCall},
    },
    wigeonramp_units::{AttemptId, Instant, MapVersion, SnapshotId, Span},
};

const TIMEOUT: Duration = Duration::from_secs(10);

fn call(deadline: Instant) -> LeafCall {
    LeafCall {
        attempt: AttemptId(1),
        body: "{}".into(),
        collection: "c".parse().expect("an id"),
        deadline,
        entry: "h@b".parse().expect("an id"),
        leaf: "l".parse().expect("an id"),
        map_version: MapVersion(1),
        member: "m".parse().expect("an id"),
        request: "r".parse().expect("an id"),
        shard: "s".parse().expect("an id"),
        snapshot: SnapshotId(1),
    }
}

struct Leaf {
    connection: Connection,
    listener: TcpListener,
    stream: TcpStream,
}

fn leaf() -> Leaf {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let connection = Connection::open(address, TIMEOUT).expect("the listener is there");
    let (stream, _) = listener.accept().expect("the connection is there");
    Leaf { connection, listener, stream }
}

fn search(connection: &Connection, within: Span) -> CallOutcome {
    let deadline = clock::now() + within;
    connection.search(&call(deadline), clock::unix_at(deadline))
}

/// Guards against an HTTP client that resends a request on a new connection, and against a late
/// response that is taken for the response to the next request.
#[test]
fn a_timed_out_connection_is_not_used_again() {
    let Leaf { connection, listener, stream: _stream } = leaf();
    assert!(matches!(search(&connection, Span::millis(100)), CallOutcome::TimedOut));
    assert!(matches!(search(&connection, Span::secs(5)), CallOutcome::NotSent));
    listener.set_nonblocking(true).expect("the listener is open");
    assert!(listener.accept().is_err(), "a second connection was opened");
}

/// Guards against a worker that stays blocked on a leaf without a response after its attempt was
/// cancelled.
#[test]
fn a_call_ends_when_another_thread_closes_its_connection() {
    let Leaf { connection, mut stream, .. } = leaf();
    let begun = StdInstant::now();
    thread::scope(|scope| {
        let running = scope.spawn(|| search(&connection, Span::secs(60)));
        stream.read_exact(&mut [0; 1]).expect("the call has started");
        connection.close();
        let end = running.join().expect("the call does not panic");
        assert!(matches!(end, CallOutcome::Reset), "{end:?}");
    });
    assert!(begun.elapsed() < TIMEOUT);
}

/// Guards against counting a connection that was closed while idle as a failure of the leaf or of
/// the request.
#[test]
fn a_request_on_a_closed_idle_connection_counts_as_not_sent() {
    let Leaf { connection, mut stream, .. } = leaf();
    thread::scope(|scope| {
        let first = scope.spawn(|| search(&connection, Span::secs(5)));
        stream.read_exact(&mut [0; 1]).expect("the call has started");
        let response = b"HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(response).expect("the call waits");
        assert!(matches!(first.join().expect("the call does not panic"), CallOutcome::Shed));
    });
    drop(stream);
    assert!(matches!(search(&connection, Span::secs(5)), CallOutcome::NotSent));
}
