//! Leaves with large responses and with responses that do not end.

use {
    crate::support::Fixture,
    serde_json::json,
    std::{
        io::{BufRead, BufReader, Result, Write},
        net::{TcpListener, TcpStream},
        thread,
    },
};

/// Service of these leaves.
pub const BIG_SERVICE: &str = "big";
/// Size of a large response in bytes.
const RESPONSE_BYTES: usize = 128 * 1024;
/// Size of a chunk of a response that does not end.
const CHUNK_BYTES: usize = 64 * 1024;

/// Starts and registers a leaf of `BIG_SERVICE`. Its responses are large; those to paths that end in
/// `endless` do not end.
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

fn serve(mut sock: &TcpStream) -> Result<()> {
    let mut lines = BufReader::new(sock).lines();
    let body = vec![b'x'; RESPONSE_BYTES];
    while let Some(first) = lines.next().transpose()? {
        let mut id = String::new();
        for line in lines.by_ref() {
            let line = line?;
            if line.is_empty() {
                break;
            }
            if let Some(("Request-Id", value)) = line.split_once(": ") {
                value.clone_into(&mut id);
            }
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
    }
    Ok(())
}
