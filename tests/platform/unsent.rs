//! Requests whose time is up before anything of them has left the host.

use {
    crate::support::{Fixture, request_status},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::Duration,
    },
    wigeonramp_platform_standin::leaf::LeafFault,
};

/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time that the requests have; shorter than the time for which an attempt is queued.
const TIME_LEFT_MS: u64 = 150;

/// Sends a request with little time left; returns its status line.
fn send_urgent(address: SocketAddr, id: &str) -> String {
    let mut sock = TcpStream::connect(address).expect("a connection");
    sock.set_read_timeout(Some(TIMEOUT)).expect("a timeout");
    let head = format!(
        "POST /write/{id} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {id}\r\n\
         Request-Deadline: {TIME_LEFT_MS}\r\nContent-Length: 2\r\n\r\nhi"
    );
    sock.write_all(head.as_bytes()).expect("a request");
    let mut response = vec![0; 1_024];
    let length = sock.read(&mut response).expect("a response");
    let response = String::from_utf8_lossy(&response[..length]).into_owned();
    response.lines().next().unwrap_or_default().to_owned()
}

/// Guards against 504 for a request that still waits for a connection when its time is up, and
/// against a run after the reply that it did not run.
#[test]
fn request_that_waits_for_a_connection_until_its_deadline_did_not_run() {
    let fixture = Fixture::start("connection_limit", 1);
    let leaf = fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    leaf.set_fault(LeafFault::Mute);
    let address = fixture.caller_address();
    let blocking: Vec<_> = (0..2)
        .map(|n| thread::spawn(move || request_status(address, "POST", &format!("b{n}"), TIMEOUT)))
        .collect();
    thread::sleep(Duration::from_millis(100));
    let status = send_urgent(address, "urgent");
    leaf.set_fault(LeafFault::None);
    blocking.into_iter().for_each(|caller| {
        caller.join().expect("a caller");
    });
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        (status.as_str(), fixture.runs_of("urgent")),
        ("HTTP/1.1 503 Service Unavailable", 0)
    );
}
