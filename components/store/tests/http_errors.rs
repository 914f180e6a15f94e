//! Tests how `HttpStore` maps broken responses and error statuses to errors, against a scripted TCP
//! server.

use {
    insta::assert_snapshot,
    std::{
        fmt::Write as _,
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        thread::{JoinHandle, spawn},
    },
    wigeonramp_store::{HttpStore, HttpStoreTimeouts, ObjectStore, Precondition, StoreError},
    wigeonramp_units::{Revision, Span},
};

/// What the server does with its only connection.
#[derive(Clone, Copy)]
enum Script {
    /// Sends a response with this status and the JSON body `"no"`.
    Status(u16),
    /// Sends these bytes.
    Bytes(&'static str),
    /// Closes the connection without a response.
    Close,
    /// Sends nothing until the client closes the connection.
    Hang,
}

struct Server {
    address: SocketAddr,
    thread: JoinHandle<()>,
}

fn serve_once(script: Script) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let thread = spawn(move || {
        let (stream, _) = listener.accept().expect("accept");
        respond(stream, script);
    });
    Server { address, thread }
}

fn respond(mut stream: TcpStream, script: Script) {
    read_request(&mut stream);
    match script {
        Script::Status(code) => {
            let text = format!("HTTP/1.1 {code} x\r\ncontent-length: 4\r\n\r\n\"no\"");
            stream.write_all(text.as_bytes()).expect("write");
        }
        Script::Bytes(text) => stream.write_all(text.as_bytes()).expect("write"),
        Script::Close => {}
        Script::Hang => {
            // The read ends when the client closes its connection after its timeout.
            let _ = stream.read(&mut [0; 16]);
        }
    }
}

/// Reads the request's head and body, because closing the connection earlier would reset it while
/// the client still sends.
fn read_request(stream: &mut TcpStream) {
    let mut text = Vec::new();
    let mut buf = [0; 1024];
    while !String::from_utf8_lossy(&text).contains("\r\n\r\n") || body_is_incomplete(&text) {
        let n = stream.read(&mut buf).expect("read");
        assert!(n > 0, "client closed");
        text.extend_from_slice(&buf[..n]);
    }
}

fn body_is_incomplete(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text);
    text.starts_with("PUT") && !text.ends_with("{}")
}

fn outcome<T>(result: Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::Unavailable { .. }) => "unavailable",
        Err(StoreError::Unknown { .. }) => "unknown",
        Err(StoreError::Malformed { .. }) => "malformed",
    }
}

fn call_server<T>(
    script: Script,
    call: impl FnOnce(&HttpStore) -> Result<T, StoreError>,
) -> &'static str {
    let server = serve_once(script);
    let timeouts = HttpStoreTimeouts { connect: Span::secs(2), call: Span::millis(200) };
    let store = HttpStore::new(server.address, timeouts);
    let result = outcome(call(&store));
    drop(store);
    server.thread.join().expect("server");
    result
}

/// Guards against an error that means "nothing changed" although a write may have taken effect.
#[test]
fn answers_map_to_errors() {
    let mut cases: Vec<(String, Script)> = [400, 403, 404, 409, 413, 429, 500, 502, 503, 504]
        .into_iter()
        .map(|code| (format!("status {code}"), Script::Status(code)))
        .collect();
    let truncated = "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"revision\":";
    let not_json = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{x";
    cases.extend([
        ("cut body".to_owned(), Script::Bytes(truncated)),
        ("body not JSON".to_owned(), Script::Bytes(not_json)),
        ("not HTTP".to_owned(), Script::Bytes("hello\r\n\r\n")),
        ("closed without answer".to_owned(), Script::Close),
        ("silence".to_owned(), Script::Hang),
    ]);
    let mut table = String::new();
    for (name, script) in cases {
        let get = call_server(script, |store| store.get("k"));
        let put = call_server(script, |store| store.put("k", "{}", Precondition::Create));
        let delete = call_server(script, |store| store.delete("k", Revision(1)));
        writeln!(table, "{name}: get {get}, put {put}, delete {delete}").expect("write");
    }
    assert_snapshot!(table);
}

/// Guards against sending keys and values that the platform cannot store.
#[test]
fn bad_keys_and_values_are_refused_without_a_call() {
    // No server can listen on port 0, so a call that is sent would not fail as `Refused`.
    let store = HttpStore::new(([127, 0, 0, 1], 0).into(), HttpStoreTimeouts::default());
    let long = "x".repeat(1024 * 1024 + 1);
    assert_eq!(outcome(store.get("a b")), "refused");
    assert_eq!(outcome(store.get("")), "refused");
    assert_eq!(outcome(store.get("a?b")), "refused");
    assert_eq!(outcome(store.put("k", &long, Precondition::Create)), "refused");
}
