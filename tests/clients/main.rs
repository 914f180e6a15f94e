//! Clients that are not controlled: a host stays within its memory and its descriptors, whatever
//! they send. In a trial such clients ended a process, which ran out of memory.
//!
//! The limits of the host are lowered, so that small crowds reach them. One test runs at a time.

mod crowd;
mod endless;
mod host;
mod leaf;
mod other_ways;
#[path = "../platform/support.rs"]
#[allow(dead_code)]
mod support;

use {
    crowd::{Crowd, connect},
    host::{FD_LIMIT, LimitedHost},
    leaf::checked_body,
    std::{
        io::{Read, Result, Write},
        net::TcpStream,
        thread,
        time::Duration,
    },
    support::HOST,
};

/// Number of connections that send bodies; all of them fit into the descriptors of the host.
const BODIES: usize = 300;
/// Number of connections beyond the descriptors of the host.
const MANY: usize = FD_LIMIT + 300;

/// Lets a crowd send beside ordinary load or without it, and checks the host while the crowd stays
/// connected and after it has left.
fn check_crowd(has_load: bool, fill: impl Fn(&LimitedHost, &mut Crowd)) {
    let mut host = LimitedHost::start();
    if has_load {
        host.add_ordinary_load();
    }
    let mut crowd = Crowd::default();
    fill(&host, &mut crowd);
    crowd.send();
    host.check();
    drop(crowd);
    host.check();
}

fn add_pipelined(host: &LimitedHost, crowd: &mut Crowd) {
    crowd.add_pipelined(host.callers(), 20, 100);
}

fn add_whole_bodies(host: &LimitedHost, crowd: &mut Crowd) {
    crowd.add_bodies(host.callers(), BODIES, usize::MAX);
}

fn add_bodies_in_pieces(host: &LimitedHost, crowd: &mut Crowd) {
    crowd.add_bodies(host.callers(), BODIES, 8 * 1024);
}

fn add_large_chunks(host: &LimitedHost, crowd: &mut Crowd) {
    crowd.add_chunked(host.callers(), BODIES, false);
}

fn add_small_chunks(host: &LimitedHost, crowd: &mut Crowd) {
    crowd.add_chunked(host.callers(), BODIES, true);
}

/// Guards against responses that pile up for callers that send requests ahead and read nothing.
#[test]
fn unread_responses() {
    check_crowd(false, add_pipelined);
}

/// Like `unread_responses`, beside ordinary load.
#[test]
fn unread_responses_beside_load() {
    check_crowd(true, add_pipelined);
}

/// Guards against memory that follows the number of large bodies being read.
#[test]
fn whole_bodies() {
    check_crowd(false, add_whole_bodies);
}

/// Like `whole_bodies`, beside ordinary load.
#[test]
fn whole_bodies_beside_load() {
    check_crowd(true, add_whole_bodies);
}

/// Guards against memory that follows the number of large bodies being read piece by piece.
#[test]
fn bodies_in_pieces() {
    check_crowd(false, add_bodies_in_pieces);
}

/// Like `bodies_in_pieces`, beside ordinary load.
#[test]
fn bodies_in_pieces_beside_load() {
    check_crowd(true, add_bodies_in_pieces);
}

/// Guards against memory that follows the number of chunked bodies being read.
#[test]
fn large_chunks() {
    check_crowd(false, add_large_chunks);
}

/// Like `large_chunks`, beside ordinary load.
#[test]
fn large_chunks_beside_load() {
    check_crowd(true, add_large_chunks);
}

/// Guards against read buffers that hold several times the decoded size of small chunks.
#[test]
fn small_chunks() {
    check_crowd(false, add_small_chunks);
}

/// Like `small_chunks`, beside ordinary load.
#[test]
fn small_chunks_beside_load() {
    check_crowd(true, add_small_chunks);
}

/// Guards against limits that hold for each kind of crowd but not for all of them together.
#[test]
fn all_crowds_together() {
    check_crowd(true, |host, crowd| {
        crowd.add_pipelined(host.callers(), 20, 100);
        crowd.add_bodies(host.callers(), 90, usize::MAX);
        crowd.add_bodies(host.callers(), 90, 8 * 1024);
        crowd.add_chunked(host.callers(), 90, false);
        crowd.add_chunked(host.callers(), 90, true);
    });
}

/// Guards against descriptors that stay open after callers have closed their connections.
#[test]
fn connections_that_close_at_once() {
    let mut host = LimitedHost::start();
    host.add_ordinary_load();
    for _ in 0..4_000 {
        drop(connect(host.callers()));
    }
    host.check();
}

/// Guards against silent connections that take all descriptors of the host.
#[test]
fn connections_that_send_nothing() {
    let mut host = LimitedHost::start();
    host.add_ordinary_load();
    let conns: Vec<TcpStream> = (0..MANY).filter_map(|_| connect(host.callers())).collect();
    thread::sleep(Duration::from_secs(1));
    host.check();
    drop(conns);
    host.check();
}

/// Guards against heads that arrive slowly and take all descriptors of the host meanwhile.
#[test]
fn heads_of_one_byte_a_second() {
    let mut host = LimitedHost::start();
    host.add_ordinary_load();
    let mut conns: Vec<TcpStream> = (0..MANY).filter_map(|_| connect(host.callers())).collect();
    for byte in b"GET /" {
        for conn in &mut conns {
            // The host may have closed the connection.
            let _ = conn.write(&[*byte]);
        }
        thread::sleep(Duration::from_secs(1));
    }
    host.check();
    drop(conns);
    host.check();
}

/// Guards against a host that no longer accepts connections after the system has refused it
/// descriptors for a while.
#[test]
fn descriptors_that_the_system_refuses() {
    let mut host = LimitedHost::start();
    host.add_ordinary_load();
    host.limit_descriptors(20);
    let conns: Vec<TcpStream> = (0..100).filter_map(|_| connect(host.callers())).collect();
    thread::sleep(Duration::from_secs(1));
    drop(conns);
    host.check();
}

/// Sends a request and returns the first bytes of the response.
fn response_start(host: &LimitedHost, request: &[u8]) -> Result<String> {
    let mut sock = TcpStream::connect(host.callers())?;
    sock.set_read_timeout(Some(Duration::from_secs(5)))?;
    sock.write_all(request)?;
    let mut start = [0; 12];
    sock.read_exact(&mut start)?;
    Ok(String::from_utf8_lossy(&start).into_owned())
}

/// Guards against limits that hit single requests of the largest legal size in calm conditions, and
/// against bodies that are damaged on their way to a leaf.
#[test]
fn largest_requests_are_served_in_calm_conditions() {
    let mut host = LimitedHost::start();
    let body = checked_body();
    let start = format!("POST /big/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: large\r\n");
    let padding = "x".repeat(15_000);
    let with_length =
        format!("{start}X-Padding: {padding}\r\nContent-Length: {}\r\n\r\n", body.len());
    let with_length = [with_length.as_bytes(), &body].concat();
    let mut chunked = format!("{start}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
    for byte in &body {
        chunked.extend_from_slice(&[b'1', b'\r', b'\n', *byte, b'\r', b'\n']);
    }
    chunked.extend_from_slice(b"0\r\n\r\n");
    for request in [with_length, chunked] {
        let start = response_start(&host, &request).expect("a response");
        assert_eq!(start, "HTTP/1.1 200");
    }
    host.check();
}
