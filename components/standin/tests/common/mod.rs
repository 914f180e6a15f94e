//! Shared helpers of the tests of leaf stand-ins.

#![allow(dead_code, reason = "each test file uses some of the helpers")]

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

/// Maximum wait for a condition; reached only by failing tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Settings with which every request takes `service`.
pub fn fixed_service_time(service: Span) -> LeafSettings {
    let service = ServiceTime { median: service, sigma: Percent(0), max: Span::secs(60) };
    LeafSettings { service, ..LeafSettings::default() }
}

/// Starts leaves `a1` and `a2` warm with `settings`.
pub fn start_warm_leaves(settings: LeafSettings) -> Leaves {
    start_leaves(settings, true)
}

/// Starts leaves `a1` and `a2` with `settings`.
pub fn start_leaves(settings: LeafSettings, start_warm: bool) -> Leaves {
    start_leaves_from(&document(), settings, start_warm)
}

/// Configuration document that declares leaves `a1` and `a2`.
pub fn document() -> Document {
    serde_json::from_str(include_str!("document.json")).expect("document")
}

/// Starts the leaves of `document` with `settings`.
pub fn start_leaves_from(document: &Document, settings: LeafSettings, start_warm: bool) -> Leaves {
    let options =
        LeavesOptions { ephemeral_ports: true, start_warm, settings, ..Default::default() };
    start(document, &options).expect("leaves")
}

/// Address of a leaf.
pub fn address(leaves: &Leaves, leaf: &str) -> SocketAddr {
    let leaf: LeafId = leaf.parse().expect("leaf id");
    leaves.address(&leaf).expect("leaf")
}

/// Sets or clears a fault at leaf `a1`.
pub fn inject_fault(leaves: &Leaves, fault: LeafFault) {
    leaves.inject_fault(LeafSelector::prefix("a1"), fault).expect("fault");
}

/// Counters of leaf `a1`.
pub fn counters(leaves: &Leaves) -> LeafCounters {
    leaves.statuses("a1").remove(0).counters
}

/// Waits until the counters of leaf `a1` satisfy `condition`; `what` describes it in the failure.
pub fn wait_for(leaves: &Leaves, what: &str, condition: impl Fn(&LeafCounters) -> bool) {
    let start = Instant::now();
    while !condition(&counters(leaves)) {
        assert!(start.elapsed() < WAIT_TIMEOUT, "{what} did not happen: {:?}", counters(leaves));
        yield_now();
    }
}

/// Deadline header `from_now` milliseconds from now, as Unix time in milliseconds.
pub fn deadline(from_now: i64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("clock");
    (now.as_millis() as i64 + from_now).to_string()
}

/// A client with its own connections.
pub fn client() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(WAIT_TIMEOUT))
        .proxy(None)
        .build();
    config.new_agent()
}

/// A client with a short timeout, for requests that are expected to get no response.
pub fn short_timeout_client() -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_millis(500)))
        .proxy(None)
        .build();
    config.new_agent()
}

/// A search request; by default one that leaf `a1` accepts.
#[derive(Clone, Debug)]
pub struct SearchRequest {
    /// Headers by name.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: &'static str,
}

impl SearchRequest {
    /// Creates a request with an attempt id.
    pub fn new(attempt: u64) -> Self {
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

    /// Sets a header.
    pub fn with_header(mut self, name: &'static str, value: impl ToString) -> Self {
        self = self.without_header(name);
        self.headers.push((name, value.to_string()));
        self
    }

    /// Removes a header.
    pub fn without_header(mut self, name: &'static str) -> Self {
        self.headers.retain(|(known, _)| *known != name);
        self
    }

    /// Sets the body.
    pub fn with_body(self, body: &'static str) -> Self {
        Self { body, ..self }
    }

    /// Sends the request.
    pub fn send(&self, client: &Agent, to: SocketAddr) -> Result<LeafResponse, ureq::Error> {
        let mut req = client.post(format!("http://{to}/search"));
        for (name, value) in &self.headers {
            req = req.header(*name, value);
        }
        let mut response = req.send(self.body)?;
        let body = response.body_mut().read_to_vec();
        let truncated = body.is_err();
        let values = |name| response.headers().get_all(name).iter();
        let header = |name| {
            let values: Vec<_> = values(name).map(|value| value.to_str().expect("text")).collect();
            (name, values.join("|"))
        };
        let headers = RESPONSE_HEADERS.map(header).to_vec();
        Ok(LeafResponse {
            status: response.status().as_u16(),
            headers,
            body: body.unwrap_or_default(),
            truncated,
        })
    }
}

const RESPONSE_HEADERS: [&str; 9] = [
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

/// A response of a leaf.
#[derive(Debug)]
pub struct LeafResponse {
    /// Status code.
    pub status: u16,
    /// Headers of the leaf protocol; the values of repeated ones are joined by `|`.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty if it was truncated.
    pub body: Vec<u8>,
    /// Whether the body ended before its announced length.
    pub truncated: bool,
}

impl LeafResponse {
    /// Returns a header of the leaf protocol; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(known, _)| *known == name).map_or("", |(_, value)| value)
    }

    /// Returns whether the digest matches the body.
    pub fn digest_matches(&self) -> bool {
        self.header("x-digest") == Digest::of(&self.body).to_string()
    }

    /// Parses the rows.
    pub fn rows(&self) -> Rows {
        serde_json::from_slice(&self.body).expect("rows")
    }
}
