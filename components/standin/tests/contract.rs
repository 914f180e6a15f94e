//! Contract of `ObjectStore`: the same calls must have the same outcomes on the in-memory store and
//! on the HTTP client with the platform stand-in.

use {
    insta::assert_snapshot,
    std::fmt::{Debug, Write},
    wigeonramp_standin::platform::{PlatformOptions, start},
    wigeonramp_store::{
        HttpStore, HttpStoreTimeouts, MemoryStore, ObjectStore, PlatformHost, Precondition,
        StoreError,
    },
    wigeonramp_units::{Revision, Span},
};

/// One call of the contract.
#[derive(Clone, Copy, Debug)]
enum Call {
    Get(&'static str),
    List(&'static str),
    Create(&'static str, &'static str),
    Update(&'static str, &'static str, u64),
    Delete(&'static str, u64),
    Watch(&'static str, u64),
    Hosts,
}

const CALLS: [Call; 24] = [
    Call::Get("a/1"),
    Call::List("a/"),
    Call::Watch("", 0),
    Call::Update("a/1", "early", 0),
    Call::Delete("a/1", 1),
    Call::Create("a/1", "one"),
    Call::Create("a/1", "again"),
    Call::Create("b@x:y/2", "{\"two\":\"\u{e9}\n\"}"),
    Call::Create("a/3", ""),
    Call::Get("a/1"),
    Call::Get("a/3"),
    Call::List("a/"),
    Call::List(""),
    Call::Update("a/1", "newer", 1),
    Call::Update("a/1", "lost race", 1),
    Call::Delete("a/3", 1),
    Call::Delete("a/3", 3),
    Call::Get("a/3"),
    Call::Watch("a/", 0),
    Call::Watch("a/", 4),
    Call::Watch("a/", 5),
    Call::Create("a/3", "back"),
    Call::Create("not a key", "x"),
    Call::Hosts,
];

fn format_result<T: Debug>(result: Result<T, StoreError>) -> String {
    match result {
        Ok(value) => format!("{value:?}"),
        Err(StoreError::Refused { key, .. }) => format!("Refused {key:?}"),
        Err(err) => panic!("unexpected: {err}"),
    }
}

fn call<S: ObjectStore>(store: &S, call: Call) -> String {
    match call {
        Call::Get(key) => format_result(store.get(key)),
        Call::List(prefix) => format_result(store.list(prefix)),
        Call::Create(key, body) => format_result(store.put(key, body, Precondition::Create)),
        Call::Update(key, body, at) => {
            format_result(store.put(key, body, Precondition::Revision(Revision(at))))
        }
        Call::Delete(key, at) => format_result(store.delete(key, Revision(at))),
        Call::Watch(prefix, after) => {
            format_result(store.watch(prefix, Revision(after), Span::millis(10)))
        }
        Call::Hosts => format_result(store.hosts()),
    }
}

fn transcript<S: ObjectStore>(store: &S) -> String {
    let mut text = String::new();
    for step in CALLS {
        writeln!(text, "{step:?}\n    {}", call(store, step)).expect("write");
    }
    text
}

fn host() -> PlatformHost {
    let [host, zone, address] = ["h1", "z1", "127.0.0.1:1"].map(str::to_owned);
    PlatformHost { host, zone, address, leaving: true }
}

/// Guards against an in-memory store whose outcomes differ from the contract.
#[test]
fn memory_store_keeps_the_contract() {
    let store = MemoryStore::new();
    store.set_hosts(vec![host()]);
    assert_snapshot!("contract", transcript(&store));
}

/// Guards against an HTTP client or stand-in whose outcomes differ from the in-memory store's.
#[test]
fn http_store_keeps_the_contract() {
    let platform = start(&PlatformOptions::default()).expect("platform");
    platform.set_hosts(vec![host()]);
    let store = HttpStore::new(platform.address(), HttpStoreTimeouts::default());
    assert_snapshot!("contract", transcript(&store));
}
