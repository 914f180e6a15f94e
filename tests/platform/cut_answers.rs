//! A leaf that stops at any byte of its answer.

use {
    crate::support::Fixture,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
    wigeonramp_platform_standin::{
        caller::{Caller, CallerRequest, CallerResponse},
        leaf::{AnswerForm, Cut, CutEnd, Leaf},
    },
};

/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The same where the leaf falls silent.
const SHORT_TIMEOUT: Duration = Duration::from_millis(250);
/// Number of bytes between the places at which a leaf falls silent.
const SILENCE_STEP: usize = 13;

/// Id of request `n`; all have the same length, so all answers have.
fn id(n: usize) -> String {
    format!("cut-{n:06}")
}

/// Returns the bytes of a whole answer.
fn whole_answer(leaf: SocketAddr) -> Vec<u8> {
    let mut sock = TcpStream::connect(leaf).expect("a connection");
    sock.set_read_timeout(Some(Duration::from_millis(200))).expect("a timeout");
    let req = format!("GET /read/x HTTP/1.1\r\nHost: h\r\nRequest-Id: {}\r\n\r\n", id(0));
    sock.write_all(req.as_bytes()).expect("a request");
    let mut answer = Vec::new();
    // Ends with the connection or, if that stays open, with the timeout.
    let _ = sock.read_to_end(&mut answer);
    answer
}

fn send(host: SocketAddr, method: &str, id: &str, wait: Duration) -> Option<CallerResponse> {
    let path = if method == "POST" { format!("/write/{id}") } else { format!("/read/{id}") };
    let req = CallerRequest { method, host: "h.example", path: &path, id, wait };
    Caller::connect(host).and_then(|mut caller| caller.send(&req)).ok()
}

/// What a caller may get of one answer.
struct Case {
    /// Form, cut and method, for messages.
    name: String,
    method: &'static str,
    /// Whether the leaf has sent all of its answer.
    is_whole: bool,
    /// Whether the end of the connection ends the answer, and its head was sent.
    ends_with_connection: bool,
}

fn check(fixture: &Fixture, case: &Case, id: &str, wait: Duration) {
    let Case { name, method, is_whole, ends_with_connection } = case;
    let response = send(fixture.caller_address(), method, id, wait);
    let status = response.as_ref().map_or(0, |response| response.status);
    let run = fixture.run_of(id);
    if status == 200 {
        assert!(*is_whole || *ends_with_connection, "{name}: a success");
        let body = response.map(|response| response.body).unwrap_or_default();
        assert!(run.body.starts_with(&body), "{name}: other bytes");
        assert!(!is_whole || body == run.body, "{name}: a short body");
    }
    assert!(!matches!(status, 408 | 421 | 429 | 503), "{name}: {status} says that it did not run");
    if *method == "POST" {
        assert_eq!(fixture.runs_of(id), 1, "{name}: it may run once");
    }
}

/// Cuts the answers of a leaf at each byte in each way, and checks what callers get. After each tenth cut,
/// an answer that is not cut must be served, on whatever connection.
fn cut_everywhere(form: AnswerForm) {
    let fixture = Fixture::start("connection_limit", 50);
    let leaf = fixture.add_leaf("one", Duration::ZERO);
    fixture.wait_until_serving();
    leaf.set_form(form);
    let answer = whole_answer(leaf.address());
    let end_of_head = answer.windows(4).rposition(|bytes| bytes == b"\r\n\r\n");
    let head = end_of_head.expect("a head") + 4;
    let mut number = 0;
    for end in [CutEnd::Close, CutEnd::Reset, CutEnd::Silence] {
        let (step, wait) = match end {
            CutEnd::Silence => (SILENCE_STEP, SHORT_TIMEOUT),
            CutEnd::Close | CutEnd::Reset => (1, TIMEOUT),
        };
        for after in (0..=answer.len()).step_by(step) {
            for method in ["GET", "POST"] {
                number += 1;
                let cut = Cut { after, end };
                let is_until_close = form == AnswerForm::UntilClose;
                let case = Case {
                    name: format!("{form:?} {cut:?} {method}"),
                    method,
                    is_whole: after == answer.len() && !is_until_close,
                    ends_with_connection: is_until_close && after >= head && end == CutEnd::Close,
                };
                leaf.set_cut(Some(cut));
                check(&fixture, &case, &id(number), wait);
            }
            if after % 10 == 0 {
                check_uncut(&fixture, &leaf, &id(900_000 + number));
            }
        }
    }
}

fn check_uncut(fixture: &Fixture, leaf: &Leaf, id: &str) {
    leaf.set_cut(None);
    let response = send(fixture.caller_address(), "GET", id, TIMEOUT).expect("a response");
    assert_eq!((response.status, response.body), (200, fixture.run_of(id).body));
}

/// Guards against an answer that is cut off and reaches the caller as a whole one.
#[test]
fn a_cut_answer_with_a_length_is_no_success() {
    cut_everywhere(AnswerForm::Length);
}

/// Guards against an interim response that is taken for the answer.
#[test]
fn a_cut_answer_after_interim_responses_is_no_success() {
    cut_everywhere(AnswerForm::Interim);
}

/// Guards against chunks or a trailer that are cut off and taken for the end.
#[test]
fn a_cut_answer_in_chunks_is_no_success() {
    cut_everywhere(AnswerForm::Chunked);
}

/// Guards against a head that is cut off, or a reset, that is taken for the end of an answer without a
/// length.
#[test]
fn a_cut_answer_without_a_length_is_no_success_before_its_body() {
    cut_everywhere(AnswerForm::UntilClose);
}
