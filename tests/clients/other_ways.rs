//! The other ways into a host: leaves, other hosts, and the ports for readiness, directory and
//! metrics.

use {
    crate::{
        crowd::{Crowd, connect},
        host::LimitedHost,
        support::{HOST, get_status},
    },
    std::{net::TcpStream, thread, time::Duration},
};

/// Length in a frame of a stream between hosts, the largest that hosts of earlier versions take.
const FRAME_BYTES: u32 = 16 * 1024 * 1024;

/// Guards against responses of leaves that do not end and grow beside each other.
#[test]
fn endless_responses_of_a_leaf() {
    let mut host = LimitedHost::start();
    let mut crowd = Crowd::default();
    let request = format!("GET /big/endless HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: e\r\n\r\nx");
    crowd.add_bytes(host.callers(), 20, request.into_bytes());
    crowd.send();
    host.check();
}

/// Guards against long frames from any address that connects to the port for other hosts.
#[test]
fn long_frames_of_other_hosts() {
    let mut host = LimitedHost::start();
    let mut crowd = Crowd::default();
    let mut frame = FRAME_BYTES.to_le_bytes().to_vec();
    frame.resize(frame.len() + FRAME_BYTES as usize, b' ');
    crowd.add_bytes(host.peers(), 8, frame);
    crowd.send();
    host.check();
}

/// Guards against silent connections to the host's other ports that take all descriptors, and
/// against ports that answer nobody else meanwhile.
#[test]
fn silent_connections_to_other_ports() {
    let mut host = LimitedHost::start();
    let ports = [&host.endpoints()[..], &[host.peers()]].concat();
    let connect_all = |port| (0..250).filter_map(move |_| connect(port));
    let conns: Vec<TcpStream> = ports.into_iter().flat_map(connect_all).collect();
    thread::sleep(Duration::from_secs(1));
    host.check();
    let [readiness, directory, metrics] = host.endpoints();
    let is_served = |address| {
        (0..100).any(|_| {
            thread::sleep(Duration::from_millis(50));
            get_status(address, "/", "port", Duration::from_secs(1)) != 0
        })
    };
    assert!(is_served(readiness), "readiness must be answered");
    assert!(is_served(directory), "the directory must be answered");
    assert!(is_served(metrics), "metrics must be answered");
    drop(conns);
}
