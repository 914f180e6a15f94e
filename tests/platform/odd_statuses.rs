//! Answers of leaves whose status is no final one.

use {
    crate::support::{Fixture, request_status},
    std::time::{Duration, Instant},
    wigeonramp_platform_standin::leaf::RawAnswer,
};

/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a request must be answered whose leaf answers at once with an odd status.
const ANSWER_TIME: Duration = Duration::from_millis(400);
/// Statuses that are no final ones, or none at all.
const STATUSES: [&str; 13] =
    ["000", "001", "099", "101", "600", "999", "20", "2000", "2x0", "+20", "-20", "", "OK"];

fn answer(status: &str) -> RawAnswer {
    let text = format!(
        "HTTP/1.1 {status} X\r\nRequest-Id: {{id}}\r\nResponse-Stamp: {{stamp}}\r\n\
         Content-Length: 0\r\n\r\n"
    );
    RawAnswer { text, ..RawAnswer::default() }
}

/// Guards against a caller that gets the odd status of a leaf as an answer, or waits for another one until its time
/// is up.
#[test]
fn an_answer_with_an_odd_status_is_none() {
    let fixture = Fixture::start("connection_limit", 50);
    let leaf = fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    let address = fixture.caller_address();
    for (number, status) in STATUSES.into_iter().enumerate() {
        leaf.set_raw_answer(Some(answer(status)));
        for method in ["GET", "POST"] {
            let sent = Instant::now();
            let got = request_status(address, method, &format!("{method}-{number}"), TIMEOUT);
            assert_eq!(got, 502, "{method}, {status:?}");
            assert!(sent.elapsed() < ANSWER_TIME, "{method}, {status:?}: {:?}", sent.elapsed());
        }
        leaf.set_raw_answer(None);
        assert_eq!(request_status(address, "GET", &format!("sound-{number}"), TIMEOUT), 200);
    }
    let sound = fixture.add_leaf("one", Duration::from_millis(1));
    leaf.set_raw_answer(Some(answer("000")));
    let statuses = fixture.send_for(Duration::from_secs(2));
    assert!(statuses.iter().all(|status| *status == 200), "the other leaf serves: {statuses:?}");
    assert!(fixture.run_times(&sound).len() > fixture.run_times(&leaf).len());
}
