//! How `HttpStore` maps broken and refusing answers, against a scripted TCP server.

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

/// What the server does with one connection.
#[derive(Clone, Copy)]
enum Script {
    /// Sends the status with a body that names it.
    Status(u16),
    /// Sends these bytes.
    Bytes(&'static str),
    /// Closes without an answer.
    Close,
    /// Answers nothing until the client gives up.
    Silence,
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
        answer(stream, script);
    });
    Server { address, thread }
}

fn answer(mut stream: TcpStream, script: Script) {
    read_request(&mut stream);
    match script {
        Script::Status(code) => {
            let text = format!("HTTP/1.1 {code} x\r\ncontent-length: 4\r\n\r\n\"no\"");
            stream.write_all(text.as_bytes()).expect("write");
        }
        Script::Bytes(text) => stream.write_all(text.as_bytes()).expect("write"),
        Script::Close => {}
        Script::Silence => {
            // Ends when the client closes its connection after its time-out.
            let _ = stream.read(&mut [0; 16]);
        }
    }
}

/// Reads head and body, so that closing does not reset a client that still sends.
fn read_request(stream: &mut TcpStream) {
    let mut text = Vec::new();
    let mut buf = [0; 1024];
    while !String::from_utf8_lossy(&text).contains("\r\n\r\n") || ends_in_body(&text) {
        let n = stream.read(&mut buf).expect("read");
        assert!(n > 0, "client closed");
        text.extend_from_slice(&buf[..n]);
    }
}

fn ends_in_body(text: &[u8]) -> bool {
    let text = String::from_utf8_lossy(text);
    text.starts_with("PUT") && !text.ends_with("{}")
}

fn kind<T>(result: Result<T, StoreError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(StoreError::Refused { .. }) => "refused",
        Err(StoreError::Unavailable { .. }) => "unavailable",
        Err(StoreError::Unknown { .. }) => "unknown",
        Err(StoreError::Malformed { .. }) => "malformed",
    }
}

fn against<T>(
    script: Script,
    call: impl FnOnce(&HttpStore) -> Result<T, StoreError>,
) -> &'static str {
    let server = serve_once(script);
    let times = HttpStoreTimeouts { connect: Span::secs(2), call: Span::millis(200) };
    let store = HttpStore::new(server.address, times);
    let outcome = kind(call(&store));
    drop(store);
    server.thread.join().expect("server");
    outcome
}

/// Guards against an error that claims "nothing changed" when a write may have taken effect.
#[test]
fn answers_map_to_errors() {
    let mut cases: Vec<(String, Script)> = [400, 403, 404, 409, 413, 429, 500, 502, 503, 504]
        .into_iter()
        .map(|code| (format!("status {code}"), Script::Status(code)))
        .collect();
    let cut = "HTTP/1.1 200 OK\r\ncontent-length: 90\r\n\r\n{\"revision\":";
    let not_json = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{x";
    cases.extend([
        ("cut body".to_owned(), Script::Bytes(cut)),
        ("body not JSON".to_owned(), Script::Bytes(not_json)),
        ("not HTTP".to_owned(), Script::Bytes("hello\r\n\r\n")),
        ("closed without answer".to_owned(), Script::Close),
        ("silence".to_owned(), Script::Silence),
    ]);
    let mut table = String::new();
    for (name, script) in cases {
        let get = against(script, |store| store.get("k"));
        let put = against(script, |store| store.put("k", "{}", Precondition::Create));
        let delete = against(script, |store| store.delete("k", Revision(1)));
        writeln!(table, "{name}: get {get}, put {put}, delete {delete}").expect("write");
    }
    assert_snapshot!(table);
}

/// Guards against keys and values that are sent although the platform cannot hold them.
#[test]
fn bad_keys_and_values_are_refused_without_a_call() {
    // Nothing can listen at port 0, so a call that is sent would not be `Refused`.
    let store = HttpStore::new(([127, 0, 0, 1], 0).into(), HttpStoreTimeouts::default());
    let long = "x".repeat(1024 * 1024 + 1);
    assert_eq!(kind(store.get("a b")), "refused");
    assert_eq!(kind(store.get("")), "refused");
    assert_eq!(kind(store.get("a?b")), "refused");
    assert_eq!(kind(store.put("k", &long, Precondition::Create)), "refused");
}
