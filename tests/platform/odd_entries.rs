//! Entries of another writer among the registrations of leaves, which hosts cannot read.

use {
    crate::support::{Fixture, get_status},
    std::{
        thread,
        time::{Duration, Instant},
    },
};

/// Time that callers wait for a response.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Time within which a leaf must be used again.
const APPLY_TIME: Duration = Duration::from_secs(3);

/// Returns the contents of odd entries, each with its name.
fn odd_contents() -> Vec<(&'static str, Vec<u8>)> {
    let nested = format!("{{\"slots\":{}{}}}", "[".repeat(100_000), "]".repeat(100_000));
    let large = format!("{{\"service\":\"one\",\"note\":\"{}\"}}", "x".repeat(1_000_000));
    let leaf = |fields: &str| {
        format!(
            "{{\"service\":\"one\",\"zone\":\"a\",\"version\":\"v\",\"slots\":2,\"state\":\"ready\",\
             \"warmup_left_ms\":0,\"sequence\":1,{fields}}}"
        )
        .into_bytes()
    };
    vec![
        ("nested", nested.into_bytes()),
        ("large-number", b"{\"service\":\"one\",\"slots\":1e999}".to_vec()),
        ("surrogate", b"{\"service\":\"one\",\"note\":\"\\udcff\\udcfe\"}".to_vec()),
        ("no-text", b"{\"service\":\"one\",\"note\":\"\xff\xfe\"}".to_vec()),
        ("port-out-of-range", leaf("\"address\":\"127.0.0.1:65536\"")),
        ("port-zero", leaf("\"address\":\"127.0.0.1:0\"")),
        ("empty", b"{}".to_vec()),
        ("null", b"null".to_vec()),
        ("one-megabyte", large.into_bytes()),
    ]
}

/// Guards against one entry that cannot be read and makes every list and watch fail, so that no host
/// learns of leaves any more, now or after its start, or ends by itself.
#[test]
fn entries_that_cannot_be_read_do_not_stop_the_news_of_leaves() {
    let mut fixture = Fixture::start("connection_limit", 50);
    let leaving = fixture.add_leaf("one", Duration::from_millis(1));
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    for (name, content) in odd_contents() {
        fixture.store.put_raw("servers", &format!("odd-{name}"), &content);
        fixture.store.put_raw("evacuations", &format!("odd-{name}"), &content);
        fixture.store.put_raw("wigeonramp-members", &format!("odd-{name}"), &content);
    }
    thread::sleep(Duration::from_millis(500));
    leaving.register("draining");
    fixture.wait_until_unused(&leaving);
    assert!(!fixture.has_ended());
    // The host lists everything again, as the changes since what it knows are gone.
    fixture.store.put("other", "object", serde_json::json!({}));
    fixture.store.compact_history();
    fixture.send_for(Duration::from_secs(3));
    assert!(fixture.count_log_lines(&["store_listed", "servers"]) >= 2);
    for (name, _) in odd_contents() {
        let parts = ["object_ignored", "servers", &format!("\"odd-{name}\"")];
        assert_eq!(fixture.count_log_lines(&parts), 1, "{name} is named once");
    }
    fixture.restart(0);
    fixture.wait_until_serving();
}

/// Guards against a leaf that stays in use although its entry has become odd, and against one that is
/// not used again when its entry is good again.
#[test]
fn a_leaf_is_used_only_while_its_entry_can_be_read() {
    let fixture = Fixture::start("connection_limit", 50);
    let leaf = fixture.add_leaf("one", Duration::from_millis(1));
    fixture.add_leaf("one", Duration::from_millis(1));
    fixture.wait_until_serving();
    for (name, content) in odd_contents() {
        fixture.store.put_raw("servers", leaf.id(), &content);
        fixture.wait_until_unused(&leaf);
        leaf.register("ready");
        let before = fixture.run_times(&leaf).len();
        let deadline = Instant::now() + APPLY_TIME;
        while fixture.run_times(&leaf).len() == before {
            assert!(Instant::now() < deadline, "{name}: the entry is good again");
            get_status(fixture.caller_address(), "/read/", &format!("again-{name}"), TIMEOUT);
        }
    }
}
