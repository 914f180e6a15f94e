//! Guards against bad input that does not exit with code 2, or whose error message does not say
//! what is expected.

use {
    crate::support::{Closed, Scratch},
    insta::assert_snapshot,
};

const HOST: &str = r#"
host = "gulf-01"
zone = "gulf-a"
caller_listen = "127.0.0.1:0"
peer_listen = "127.0.0.1:0"
operator_listen = "127.0.0.1:0"
platform = "http://127.0.0.1:7000"
"#;
const GULF: &str = include_str!("../../deployments/gulf.toml");

#[test]
fn check_recognises_files_and_reports_problems() {
    let scratch = Scratch::new();
    scratch.file("host.toml", HOST);
    scratch.file("gulf.toml", GULF);
    scratch.file("bad.toml", &GULF.replace("\"2s\"", "\"2 s\""));
    scratch.file("other.toml", "[package]\n");
    scratch.file("broken.toml", "host = \n");
    let runs: [&[&str]; 7] = [
        &["check", "host.toml"],
        &["check", "gulf.toml"],
        &["check", "--format", "json", "gulf.toml"],
        &["check", "bad.toml"],
        &["check", "--format=json", "other.toml"],
        &["check", "broken.toml"],
        &["check", "missing.toml"],
    ];
    assert_snapshot!(runs.map(|args| scratch.run(args, &[])).concat());
}

#[test]
fn bad_input_to_each_command_exits_with_2() {
    let scratch = Scratch::new();
    scratch.file("host.toml", HOST);
    scratch.file("plan.json", "{\"id\": \"op-1\"}");
    let query = ["query", "--entry=127.0.0.1:1", "--caller=c", "--token=t", "--collection=q"];
    let with = |more: &[&'static str]| [&query, more].concat();
    let non_idempotent = with(&["--body={}", "--non-idempotent"]);
    let repeated = with(&["--body={}", "--repeated", "--request-id=1-a"]);
    let bad_body = with(&["--body={"]);
    let bad_timeout = with(&["--body={}", "--timeout=5"]);
    let runs: [&[&str]; 17] = [
        &[],
        &["frobnicate"],
        &["check"],
        &["check", "--format=xml", "host.toml"],
        &["plan", "host.toml"],
        &["plan", "--host=127.0.0.1:1", "host.toml"],
        &["zone", "out", "--host=127.0.0.1:1"],
        &["zone", "out", "--host=127.0.0.1:1", "gulf a"],
        &["zone", "in", "--host=gulf-01", "gulf-a"],
        &["upstream", "out", "--host=127.0.0.1:1", ""],
        &["confirm", "--host=127.0.0.1:1", "missing.json"],
        &["confirm", "--host=127.0.0.1:1", "plan.json"],
        &["status", "--host=127.0.0.1:1", "--plan=plan.json"],
        &["timeline", "--host=127.0.0.1:1", "--since=yesterday"],
        &["timeline", "--host=127.0.0.1:1", "--kind=explosion"],
        &["query", "--body={}", "--caller=c", "--token=t"],
        &["query", "--collection=q", "--body={}", "--caller=c", "--token=t"],
    ];
    let bad_token =
        ["query", "--entry=127.0.0.1:1", "--caller=c", "--token=a b", "--collection=q", "--body=1"];
    let mut table = runs.map(|args| scratch.run(args, &[])).concat();
    for args in [non_idempotent, repeated, bad_body, bad_timeout, bad_token.to_vec()] {
        table.push_str(&scratch.run(&args, &[]));
    }
    assert_eq!(table.matches("exit 2\n").count(), table.matches("$ wigeonramp").count());
    assert_snapshot!(table);
}

#[test]
fn an_unreachable_host_exits_with_1() {
    let scratch = Scratch::new();
    let closed = Closed::new();
    let address = closed.address;
    let host = format!("--host={address}");
    let entry = format!("--entry={address}");
    let runs: [&[&str]; 4] = [
        &["zone", "out", &host, "gulf-a"],
        &["status", &host, "--format=json"],
        &["timeline", &host],
        &["query", &entry, "--collection=q", "--body={}", "--caller=c", "--token=t"],
    ];
    assert_snapshot!(runs.map(|args| scratch.run(args, &[address])).concat());
}

#[test]
fn help_names_commands_and_exit_codes() {
    let scratch = Scratch::new();
    assert_snapshot!(
        [&["--help"][..], &["zone", "--help"]].map(|args| scratch.run(args, &[])).concat()
    );
}
