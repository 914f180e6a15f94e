//! Documents, session records and observers for the tests.

#![allow(dead_code, reason = "each test file uses some of these")]

use {
    std::{fmt::Debug, str::FromStr},
    wigeonramp_config::{AdminState, Document},
    wigeonramp_control::{
        assignment::AssignmentVersion,
        membership::{Membership, SessionObject},
        session::SessionRecord,
    },
    wigeonramp_units::{ConfigVersion, InstanceId, Instant, Percent, Revision, Span, ZoneId},
};

pub const SESSION: Span = Span::secs(4);

pub fn id<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse().unwrap()
}

/// Returns a document with a collection of `shards` shards with two replicas each, in zones a, b
/// and c.
pub fn document(shards: usize) -> Document {
    let leaf = |n: usize| {
        let zone = ["a", "b", "c"][n % 3];
        let body = format!(
            r#"{{"address":"127.0.0.1:{}","zone":"{zone}","collection":"desk","state":"in"}}"#,
            n % 60_000 + 1
        );
        format!(r#""leaf-{n}":{body}"#)
    };
    let shard = |n: usize| format!(r#""s{n}":["leaf-{}","leaf-{}"]"#, 2 * n, 2 * n + 1);
    let join = |parts: Vec<String>| parts.join(",");
    let leaves = join((0..2 * shards).map(leaf).collect());
    let shards = join((0..shards).map(shard).collect());
    let zone = |name| format!(r#""{name}":{{"region":"r","state":"in"}}"#);
    let zones = join(["a", "b", "c"].map(zone).to_vec());
    let json = format!(
        r#"{{"version":1,"op":"op-1","zones":{{{zones}}},"members":{{}},"callers":{{}},
        "collections":{{"desk":{{"prefer":"coverage","soft_deadline":"1s","max_deadline":"2s",
        "hedge":true,"canary":true,"leaf_limits":{{"slots":2,"connections":60,"connect_cost":"6ms",
        "cold_in_flight":1,"cold_per_second":4}},
        "maps":[{{"version":1,"from_snapshot":0,"shards":{{{shards}}}}}]}}}},"leaves":{{{leaves}}},
        "limits":{}}}"#,
        LIMITS
    );
    serde_json::from_str(&json).unwrap()
}

const LIMITS: &str = r#"{"entry_lifetime":"5s","max_body":65536,"hedge_budget":5,"retry_budget":10,
    "ordinary_floor":10,"max_ejected":30,"claim_retention":"10min","quarantine":"10min",
    "session_time":"4s","stale_after":"2s"}"#;

/// Takes `zone` out of service.
pub fn take_out(document: &mut Document, zone: &str) {
    document.zones[&id::<ZoneId>(zone)].state = AdminState::Out;
}

pub fn record(instance: &InstanceId, zone: &str, counter: u64) -> SessionRecord {
    let (host, boot) = instance.as_str().split_once('@').unwrap();
    let address = "127.0.0.1:1".parse().unwrap();
    SessionRecord {
        instance: instance.clone(),
        host: id(host),
        boot: id(boot),
        zone: id(zone),
        peer_address: address,
        caller_address: address,
        operator_address: address,
        counter,
        leaving: false,
        config_version: ConfigVersion(1),
        load_percent: Percent(0),
        settled: AssignmentVersion(0),
    }
}

/// Returns the sessions of `count` instances `h0@1` and up, in zones a, b and c, with `counter`.
pub fn sessions(count: usize, counter: u64) -> Vec<SessionObject> {
    let session = |n: usize| {
        let record = record(&id(&format!("h{n}@1")), ["a", "b", "c"][n % 3], counter);
        SessionObject { record, revision: Revision(counter) }
    };
    (0..count).map(session).collect()
}

/// Returns an observer that saw `count` instances renew at `now`.
pub fn observed(count: usize, now: Instant) -> Membership {
    let mut membership = Membership::new(SESSION, now - SESSION);
    membership.on_session_list(now - Span::secs(1), sessions(count, 1), now - Span::secs(1));
    membership.on_session_list(now, sessions(count, 2), now);
    membership
}
