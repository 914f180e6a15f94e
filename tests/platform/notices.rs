//! What leaves say of themselves in answers of all kinds.

use {
    crate::support::Fixture,
    std::time::{Duration, Instant},
    wigeonramp_platform_standin::leaf::{Leaf, RawAnswer},
};

/// Time within which requests that were on their way arrive.
const IN_FLIGHT_TIME: Duration = Duration::from_millis(500);
/// Time for which a leaf wants nothing, as it stands in `REST`.
const REST_TIME: Duration = Duration::from_secs(2);
/// Time for which requests are sent to see whether any reaches a leaf that is leaving.
const CHECK_TIME: Duration = Duration::from_millis(1_200);
/// Number of requests that a leaf may get from a host within its rest.
const MAX_IN_REST: usize = 2;
/// Header lines with which a leaf says that it is leaving, and that it wants rest.
const LEAVING: &str = "Server-Leaving: 1\r\n";
const REST: &str = "Retry-After: 2\r\n";

/// Answers with the status line `status`, each with the header line `notice`.
fn answers(status: &str, notice: &str) -> Vec<(&'static str, RawAnswer)> {
    let own =
        format!("HTTP/1.1 {status}\r\nRequest-Id: {{id}}\r\nResponse-Stamp: {{stamp}}\r\n{notice}");
    let framed = |lines: &str| format!("{own}{lines}\r\n");
    let open = |text: String| RawAnswer { text, ..RawAnswer::default() };
    let closing = |text: String| RawAnswer { text, closes: true, ..RawAnswer::default() };
    let late = format!(
        "HTTP/1.1 {status}\r\nRequest-Id: earlier\r\nResponse-Stamp: s\r\n{notice}Content-Length: 0\r\n\r\n"
    );
    vec![
        ("whole", open(framed("Content-Length: 0\r\n"))),
        ("to an earlier request", closing(late)),
        ("broken off after the head", closing(framed("Content-Length: 9\r\n"))),
        ("of two lengths", closing(framed("Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"))),
        ("too long", closing(framed("Content-Length: 99999999999999\r\n"))),
        ("encoded", open(framed("Content-Encoding: gzip\r\nContent-Length: 0\r\n"))),
        ("in a chunk that is none", closing(framed("Transfer-Encoding: chunked\r\n") + "zz\r\n")),
    ]
}

/// A host with a single leaf, which gets all requests that the host does not refuse.
struct Pair {
    fixture: Fixture,
    leaf: Leaf,
}

impl Pair {
    fn start() -> Self {
        let fixture = Fixture::start("connection_limit", 50);
        let leaf = fixture.add_leaf("one", Duration::from_millis(1));
        fixture.wait_until_serving();
        Self { fixture, leaf }
    }

    /// Starts the leaf's process anew and waits until the host knows of that and uses it.
    fn start_again(&self) {
        let starts =
            || self.fixture.count_log_lines(&["\"leaf\"", self.leaf.id(), "\"restarted\""]);
        let before = starts();
        self.leaf.set_raw_answer(None);
        self.leaf.start_again();
        let deadline = Instant::now() + Duration::from_secs(10);
        while starts() == before
            || !self.fixture.send_for(Duration::from_millis(500)).iter().all(|s| *s == 200)
        {
            assert!(Instant::now() < deadline, "the leaf must be used");
        }
    }

    /// Has the leaf give this answer to all requests; returns the number of those that reach it between
    /// `IN_FLIGHT_TIME` and `time` after the first.
    fn runs_after(&self, answer: &RawAnswer, time: Duration) -> usize {
        let since = Instant::now();
        self.leaf.set_raw_answer(Some(answer.clone()));
        self.fixture.send_for(IN_FLIGHT_TIME + time);
        let runs = self.fixture.run_times(&self.leaf);
        let first = *runs.iter().find(|run| **run >= since).expect("a request reached the leaf");
        let is_counted = |run: &&Instant| **run > first + IN_FLIGHT_TIME && **run < first + time;
        runs.iter().filter(is_counted).count()
    }
}

/// Guards against requests to a leaf that has said that it is leaving in an answer that cannot be used, or that
/// belongs to another request.
#[test]
fn a_leaf_that_says_in_any_answer_that_it_is_leaving_gets_no_more_requests() {
    let pair = Pair::start();
    for status in ["200 OK", "500 Failed", "503 Full"] {
        for (name, answer) in answers(status, LEAVING) {
            pair.start_again();
            assert_eq!(pair.runs_after(&answer, CHECK_TIME), 0, "{status}, {name}");
        }
    }
}

/// Guards against requests to a leaf that has asked for rest in a refusal that cannot be used, or that belongs
/// to another request.
#[test]
fn a_leaf_that_asks_for_rest_in_any_refusal_gets_next_to_nothing() {
    let pair = Pair::start();
    for (name, answer) in answers("503 Full", REST) {
        pair.start_again();
        assert!(pair.runs_after(&answer, REST_TIME) <= MAX_IN_REST, "{name}");
    }
}

/// Guards against the longest of several rests that is not heeded, and against a rest that is missed beside the
/// sign of leaving or a limit.
#[test]
fn the_longest_rest_counts_beside_other_notices() {
    let pair = Pair::start();
    for lines in [
        "Retry-After: 2\r\nRetry-After: 0.1\r\n",
        "Retry-After: 0.1\r\nRetry-After: 2\r\n",
        "Server-Limit: 20\r\nRetry-After: 2\r\n",
        "Retry-After: 2\r\nServer-Leaving: 0\r\n",
    ] {
        pair.start_again();
        let (name, answer) = answers("503 Full", lines).swap_remove(0);
        assert!(pair.runs_after(&answer, REST_TIME) <= MAX_IN_REST, "{name}: {lines}");
    }
}

/// Guards against a sign that comes before the final answer and is passed over.
#[test]
fn a_leaf_that_says_in_an_interim_answer_that_it_is_leaving_gets_no_more_requests() {
    let pair = Pair::start();
    pair.start_again();
    let text = format!(
        "HTTP/1.1 103 Early Hints\r\n{LEAVING}\r\nHTTP/1.1 200 OK\r\nRequest-Id: {{id}}\r\n\
         Response-Stamp: {{stamp}}\r\nContent-Length: 0\r\n\r\n"
    );
    let answer = RawAnswer { text, ..RawAnswer::default() };
    assert_eq!(pair.runs_after(&answer, CHECK_TIME), 0);
}
