//! Calls to peers that do not answer or cannot be reached.

use {
    crossbeam::channel::unbounded,
    std::{
        net::{SocketAddr, TcpListener},
        time::{Duration, Instant as StdInstant},
    },
    tokio::runtime::Runtime,
    wigeonramp_daemon::{
        clock,
        peer::client::{AttemptEvent, LostAttempts, Peers},
    },
    wigeonramp_proto::peer::{LeafWork, RunLeavesRequest},
    wigeonramp_units::{AttemptId, Span},
};

const TIMEOUT: Duration = Duration::from_secs(10);

fn run(address: SocketAddr, within: Span) -> LostAttempts {
    let runtime = Runtime::new().expect("a runtime");
    let peers = Peers::new(runtime.handle().clone());
    let work = vec![LeafWork { attempt: 5, ..LeafWork::default() }];
    let request = RunLeavesRequest { work, ..RunLeavesRequest::default() };
    let (events, lost) = unbounded();
    peers.run_leaves(address, request, clock::now() + within, events);
    match lost.recv_timeout(TIMEOUT).expect("the call ends") {
        AttemptEvent::Lost(lost) => lost,
        AttemptEvent::Reply(reply) => panic!("unexpected reply: {reply:?}"),
    }
}

/// Guards against a query that waits until its deadline for a peer that no longer answers.
#[test]
fn a_silent_peer_is_given_up_long_before_the_deadline() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let begun = StdInstant::now();
    let lost = run(silent.local_addr().expect("an address"), Span::secs(60));
    assert_eq!(lost.attempts, [AttemptId(5)]);
    assert!(lost.maybe_sent);
    assert!(begun.elapsed() < TIMEOUT);
}

/// Guards against a call that continues after its query's deadline while pings are answered or not
/// yet due.
#[test]
fn a_call_ends_at_the_deadline() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let lost = run(silent.local_addr().expect("an address"), Span::millis(50));
    assert!(lost.maybe_sent && lost.reason.contains("in time"), "{lost:?}");
}

/// Guards against attempts that count as possibly sent although no connection was opened.
#[test]
fn attempts_at_an_unreachable_peer_count_as_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let lost = run(address, Span::secs(5));
    assert!(!lost.maybe_sent, "{lost:?}");
}

/// Guards against connections that are never closed, and against calls that are cut off when their
/// connection is dropped as idle.
#[test]
fn an_idle_connection_is_dropped_and_a_call_on_it_continues() {
    let silent = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let runtime = Runtime::new().expect("a runtime");
    let peers = Peers::new(runtime.handle().clone());
    let work = vec![LeafWork { attempt: 5, ..LeafWork::default() }];
    let request = RunLeavesRequest { work, ..RunLeavesRequest::default() };
    let (events, lost) = unbounded();
    let begun = clock::now();
    let address = silent.local_addr().expect("an address");
    peers.run_leaves(address, request, begun + Span::millis(300), events);
    peers.retain(begun + Span::secs(4), |_| true);
    assert_eq!(peers.len(), 1, "used less than 5 s ago");
    peers.retain(begun + Span::secs(6), |_| true);
    assert!(peers.is_empty());
    match lost.recv_timeout(TIMEOUT).expect("the call ends") {
        AttemptEvent::Lost(lost) => assert!(lost.reason.contains("in time"), "{lost:?}"),
        AttemptEvent::Reply(reply) => panic!("unexpected reply: {reply:?}"),
    }
}
