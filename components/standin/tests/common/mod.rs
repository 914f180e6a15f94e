//! What the tests of the leaf stand-ins share.

#![allow(dead_code, reason = "each test file uses a part of the helpers")]

use {
    std::{
        net::SocketAddr,
        thread::yield_now,
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    ureq::Agent,
    wigeonramp_config::Document,
    wigeonramp_standin::leaves::{
        LeafCounters, LeafFault, LeafSelector, LeafSettings, Leaves, LeavesOptions, Rows,
        ServiceTime, start,
    },
    wigeonramp_units::{Digest, LeafId, Percent, Span},
};

/// Longest wait for a condition; only failing tests take it.
const PATIENCE: Duration = Duration::from_secs(20);

/// Settings under which every request takes `service`.
pub fn fixed(service: Span) -> LeafSettings {
    let service = ServiceTime { median: service, sigma: Percent(0), max: Span::secs(60) };
    LeafSettings { service, ..LeafSettings::default() }
}

/// Warm leaves `a1` and `a2` under `settings`.
pub fn leaves(settings: LeafSettings) -> Leaves {
    start_leaves(settings, true)
}

/// Leaves `a1` and `a2` under `settings`.
pub fn start_leaves(settings: LeafSettings, start_warm: bool) -> Leaves {
    start_document(&document(), settings, start_warm)
}

/// The document in which leaves `a1` and `a2` are declared.
pub fn document() -> Document {
    serde_json::from_str(include_str!("document.json")).expect("document")
}

/// The leaves of `document` under `settings`.
pub fn start_document(document: &Document, settings: LeafSettings, start_warm: bool) -> Leaves {
    let options =
        LeavesOptions { ephemeral_ports: true, start_warm, settings, ..Default::default() };
    start(document, &options).expect("leaves")
}

/// Address of a leaf.
pub fn address(leaves: &Leaves, leaf: &str) -> SocketAddr {
    let leaf: LeafId = leaf.parse().expect("leaf id");
    leaves.address(&leaf).expect("leaf")
}

/// Sets a fault at leaf `a1`.
pub fn fault(leaves: &Leaves, fault: LeafFault) {
    leaves.inject_fault(LeafSelector::prefix("a1"), fault).expect("fault");
}

/// Counters of leaf `a1`.
pub fn counters(leaves: &Leaves) -> LeafCounters {
    leaves.statuses("a1").remove(0).counters
}

/// Waits until the counters of leaf `a1` satisfy `holds`.
pub fn wait_for(leaves: &Leaves, what: &str, holds: impl Fn(&LeafCounters) -> bool) {
    let start = Instant::now();
    while !holds(&counters(leaves)) {
        assert!(start.elapsed() < PATIENCE, "{what} did not happen: {:?}", counters(leaves));
        yield_now();
    }
}

/// Wall-clock time in `from_now` milliseconds.
pub fn deadline(from_now: i64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock");
    (now.as_millis() as i64 + from_now).to_string()
}

/// A client with connections of its own.
pub fn client() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .proxy(None)
        .build();
    config.new_agent()
}

/// A client that gives up early on calls that are meant to stay unanswered.
pub fn impatient() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_millis(500)))
        .proxy(None)
        .build();
    config.new_agent()
}

/// One search request; by default one that leaf `a1` answers.
#[derive(Clone, Debug)]
pub struct Search {
    /// Headers by name.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: &'static str,
}

impl Search {
    /// A request with an attempt id.
    pub fn attempt(attempt: u64) -> Self {
        let headers = vec![
            ("x-request-id", "r1".to_owned()),
            ("x-member", "m1".to_owned()),
            ("x-deadline-ms", deadline(60_000)),
            ("x-snapshot", "10".to_owned()),
            ("x-map-version", "1".to_owned()),
            ("x-shard", "s1".to_owned()),
            ("x-attempt", attempt.to_string()),
        ];
        Self { headers, body: "{\"q\":1}" }
    }

    /// The request with another value of a header.
    pub fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self = self.without(name);
        self.headers.push((name, value.to_string()));
        self
    }

    /// The request without a header.
    pub fn without(mut self, name: &'static str) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self
    }

    /// The request with another body.
    pub fn body(self, body: &'static str) -> Self {
        Self { body, ..self }
    }

    /// Sends the request.
    pub fn send(&self, client: &Agent, to: SocketAddr) -> Result<Answer, ureq::Error> {
        let mut req = client.post(format!("http://{to}/search"));
        for (name, value) in &self.headers {
            req = req.header(*name, value);
        }
        let mut got = req.send(self.body)?;
        let body = got.body_mut().read_to_vec();
        let cut = body.is_err();
        let all = |name| got.headers().get_all(name).iter();
        let header = |name| {
            let values: Vec<_> = all(name).map(|value| value.to_str().expect("text")).collect();
            (name, values.join("|"))
        };
        let headers = ANSWER_HEADERS.map(header).to_vec();
        Ok(Answer { status: got.status().as_u16(), headers, body: body.unwrap_or_default(), cut })
    }
}

const ANSWER_HEADERS: [&str; 9] = [
    "x-attempt",
    "x-boot",
    "x-digest",
    "x-map-version",
    "x-member",
    "x-rows",
    "x-shard",
    "x-snapshot",
    "x-snapshots",
];

/// An answer of a leaf.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// Headers of the leaf protocol; values of repeated ones are joined by `|`.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty if it was cut.
    pub body: Vec<u8>,
    /// Whether the body ended before its announced length.
    pub cut: bool,
}

impl Answer {
    /// A header of the leaf protocol; empty if the answer lacks it.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| *known == name).map_or("", |(_, value)| value)
    }

    /// Whether the digest matches the body.
    pub fn digest_matches(&self) -> bool {
        self.header("x-digest") == Digest::of(&self.body).to_string()
    }

    /// The rows.
    pub fn rows(&self) -> Rows {
        serde_json::from_slice(&self.body).expect("rows")
    }
}
