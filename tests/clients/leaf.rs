//! Leaves with large responses and with responses that do not end.

use {
    crate::support::Fixture,
    serde_json::json,
    std::{
        io::{BufRead, BufReader, Error, Read, Result, Write},
        net::{TcpListener, TcpStream},
        thread,
    },
};

/// Service of these leaves.
pub const BIG_SERVICE: &str = "big";
/// Size of a large response in bytes.
const RESPONSE_BYTES: usize = 128 * 1024;
/// Size of the body whose bytes the leaf checks.
const CHECKED_BYTES: usize = 256 * 1024;
/// Size of a chunk of a response that does not end.
const CHUNK_BYTES: usize = 64 * 1024;

/// Starts and registers a leaf of `BIG_SERVICE`. Its responses are large; those to paths that end
/// in `endless` do not end. Bodies of requests must be those of `checked_body`, or the connection
/// closes.
pub fn start_big_leaf(fixture: &Fixture) {
    let listener = TcpListener::bind((fixture.hosts[0].ip.as_str(), 0)).expect("a listener");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for sock in listener.incoming().flatten() {
            // An error ends only the connection that it occurred on.
            thread::spawn(move || serve(&sock).ok());
        }
    });
    let spec = json!({
        "service": BIG_SERVICE, "address": address, "zone": "a", "version": "v1", "slots": 2,
        "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": 1,
    });
    fixture.store.put("servers", "i-big", spec);
}

/// Returns a body in which each byte depends on its place.
pub fn checked_body() -> Vec<u8> {
    (0..CHECKED_BYTES).map(|at| (at % 251) as u8).collect()
}

fn serve(mut sock: &TcpStream) -> Result<()> {
    let mut input = BufReader::new(sock);
    let body = vec![b'x'; RESPONSE_BYTES];
    let mut first = String::new();
    while input.read_line(&mut first)? > 0 {
        let mut id = String::new();
        let mut length = 0;
        for line in input.by_ref().lines() {
            let line = line?;
            match line.split_once(": ") {
                None => break,
                Some(("Request-Id", value)) => value.clone_into(&mut id),
                Some(("Content-Length", value)) => length = value.parse().map_err(Error::other)?,
                Some(_) => {}
            }
        }
        let mut received = vec![0; length];
        input.read_exact(&mut received)?;
        if length > 0 && received != checked_body() {
            return Ok(());
        }
        let head = format!("HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: i-big.1\r\n");
        sock.write_all(head.as_bytes())?;
        if first.contains("endless") {
            sock.write_all(b"Transfer-Encoding: chunked\r\n\r\n")?;
            let chunk = vec![b'x'; CHUNK_BYTES];
            loop {
                write!(sock, "{CHUNK_BYTES:x}\r\n")?;
                sock.write_all(&chunk)?;
                sock.write_all(b"\r\n")?;
            }
        }
        write!(sock, "Content-Length: {RESPONSE_BYTES}\r\n\r\n")?;
        sock.write_all(&body)?;
        first.clear();
    }
    Ok(())
}
