//! Leaves that send bytes without end, in place of an answer or within one.

use {
    crate::{host::LimitedHost, leaf::BIG_SERVICE, support::get_status},
    std::{
        thread,
        time::{Duration, Instant},
    },
    wigeonramp_platform_standin::leaf::{Leaf, RawAnswer},
};

/// Number of leaves that send without end at the same time.
const LEAVES: usize = 12;
/// Number of callers whose requests go to them at the same time.
const CALLERS: usize = 24;
/// Time for which they send requests.
const LOAD_TIME: Duration = Duration::from_secs(3);
/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Time within which a request has its answer: half a second after the timeout of the route.
const ANSWER_TIME: Duration = Duration::from_secs(2);

/// Returns the starts of answers and the bytes that follow each of them without end.
fn forms() -> Vec<(&'static str, String, String)> {
    let own = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Stamp: {stamp}\r\n";
    let after = |lines: &str| format!("{own}{lines}");
    let chunked = after("Transfer-Encoding: chunked\r\n\r\n");
    let in_chunks = |text: &str| format!("{chunked}{text}");
    let bytes = "x".repeat(16 * 1024);
    let lines = "X: y\r\n".repeat(2_000);
    vec![
        ("no answer", String::new(), bytes.clone()),
        ("a status line", "HTTP/1.1 200 ".to_owned(), bytes.clone()),
        ("a header's name", after(""), bytes.clone()),
        ("a header's value", after("X: "), bytes.clone()),
        ("headers", after(""), lines.clone()),
        ("interim answers", String::new(), "HTTP/1.1 103 Early\r\nX: y\r\n\r\n".repeat(500)),
        ("a body of a length", after("Content-Length: 99999999999\r\n\r\n"), bytes.clone()),
        ("a body until the end", after("\r\n"), bytes.clone()),
        ("chunks", in_chunks(""), format!("4000\r\n{bytes}\r\n")),
        ("small chunks", in_chunks(""), "1\r\nx\r\n".repeat(2_000)),
        ("a chunk's size", in_chunks(""), "0".repeat(16 * 1024)),
        ("a chunk's extension", in_chunks("1;"), bytes),
        ("trailers", in_chunks("0\r\n"), lines),
    ]
}

/// Sends requests to the leaves from many callers for a while; returns the longest time to a response.
fn load(host: &LimitedHost) -> Duration {
    let address = host.callers();
    let end = Instant::now() + LOAD_TIME;
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            thread::spawn(move || {
                let mut longest = Duration::ZERO;
                let mut n = 0;
                while Instant::now() < end {
                    n += 1;
                    let (sent, id) = (Instant::now(), format!("endless-{caller}-{n}"));
                    get_status(address, "/big/", &id, TIMEOUT);
                    longest = longest.max(sent.elapsed());
                }
                longest
            })
        })
        .collect();
    callers.into_iter().map(|caller| caller.join().expect("a caller")).max().unwrap_or_default()
}

/// Guards against a process that keeps all that faulty leaves send and ends for want of memory, and against other
/// callers that it serves no more.
#[test]
fn bytes_without_end_from_many_leaves_leave_a_host_within_its_memory() {
    let mut host = LimitedHost::start();
    let new_leaf = |_| host.fixture.add_leaf(BIG_SERVICE, Duration::from_millis(1));
    let leaves: Vec<Leaf> = (0..LEAVES).map(new_leaf).collect();
    for (name, text, endless) in forms() {
        for leaf in &leaves {
            let answer = RawAnswer { text: text.clone(), endless: endless.clone(), closes: true };
            leaf.set_raw_answer(Some(answer));
        }
        let longest = load(&host);
        println!("{name}: {longest:?}, peak memory {:?} kB", host.peak_memory_kb());
        assert!(longest < ANSWER_TIME, "{name}: a caller waits for {longest:?}");
    }
    host.check();
}
