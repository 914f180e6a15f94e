//! Request limits of leaves: hearing them from responses, the messages about them between hosts,
//! and their log lines.

use {
    crate::{clock::millis, node::Node},
    indexmap::IndexMap,
    serde_json::{Value, json},
    std::net::Ipv4Addr,
    wigeonramp_platform::http::ResponseHead,
    wigeonramp_routing::{
        leaf::LeafInstance,
        leaves::LeafKey,
        limits::{
            LeafUsage, LimitedSends,
            messages::{LimitMessage, LimitNews, PermitGrant, PermitRequest},
            statement::{LimitChange, NamedLimit},
        },
    },
    wigeonramp_units::{Instant, RequestRate, Span},
};

/// Interval of the log line with the requests meant for limited leaves.
const USAGE_INTERVAL: Span = Span::secs(1);
/// Maximum number of leaves in that line.
const MAX_LOGGED: usize = 12;
/// Maximum number of messages in a datagram, which keeps it below the usual packet size.
const MESSAGES_PER_DATAGRAM: usize = 16;

/// What a leaf said about its limit.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct NewsMessage {
    #[prost(string, tag = "1")]
    leaf: String,
    #[prost(uint64, optional, tag = "2")]
    born: Option<u64>,
    /// Requests per second; absent if the leaf names no limit.
    #[prost(double, optional, tag = "3")]
    rate: Option<f64>,
    /// Milliseconds since the request was sent whose response said so, rounded up.
    #[prost(uint32, tag = "4")]
    asked: u32,
    /// Milliseconds since that response arrived.
    #[prost(uint32, tag = "5")]
    heard: u32,
}

/// Request for permits.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RequestMessage {
    #[prost(message, required, tag = "1")]
    news: NewsMessage,
    #[prost(uint64, tag = "2")]
    serial: u64,
    #[prost(uint32, tag = "3")]
    wanted: u32,
    #[prost(uint32, tag = "4")]
    unused: u32,
    /// Milliseconds for which the sender delegates its share.
    #[prost(uint32, tag = "5")]
    delegation: u32,
    #[prost(uint32, tag = "6")]
    known_hosts: u32,
    #[prost(uint64, tag = "7")]
    acknowledged: u64,
}

/// Granted permits.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct GrantMessage {
    #[prost(message, required, tag = "1")]
    news: NewsMessage,
    #[prost(uint64, tag = "2")]
    serial: u64,
    #[prost(uint32, tag = "3")]
    permits: u32,
    #[prost(bool, tag = "4")]
    delegated: bool,
}

/// All messages about limits in one datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct LimitsMessage {
    #[prost(message, repeated, tag = "1")]
    requests: Vec<RequestMessage>,
    #[prost(message, repeated, tag = "2")]
    grants: Vec<GrantMessage>,
    #[prost(message, repeated, tag = "3")]
    news: Vec<NewsMessage>,
}

impl From<&LimitNews> for NewsMessage {
    fn from(news: &LimitNews) -> Self {
        Self {
            leaf: news.leaf.id.to_string(),
            born: news.leaf.born,
            rate: news.rate.map(RequestRate::per_second),
            asked: millis(news.asked_ago).saturating_add(1),
            heard: millis(news.heard_ago),
        }
    }
}

impl NewsMessage {
    /// Converts the message; returns `None` if the leaf's id or the limit is invalid.
    fn news(&self) -> Option<LimitNews> {
        let rate = match self.rate {
            Some(rate) => Some(RequestRate::new(rate)?),
            None => None,
        };
        Some(LimitNews {
            leaf: LeafInstance { id: self.leaf.parse().ok()?, born: self.born },
            rate,
            asked_ago: Span::millis(self.asked.into()),
            heard_ago: Span::millis(self.heard.into()),
        })
    }
}

impl RequestMessage {
    fn request(&self) -> Option<LimitMessage> {
        Some(LimitMessage::Request(PermitRequest {
            news: self.news.news()?,
            serial: self.serial,
            wanted: self.wanted,
            unused: self.unused,
            acknowledged: self.acknowledged,
            delegation: Span::millis(self.delegation.into()),
            known_hosts: self.known_hosts,
        }))
    }
}

impl GrantMessage {
    fn grant(&self) -> Option<LimitMessage> {
        Some(LimitMessage::Grant(PermitGrant {
            news: self.news.news()?,
            serial: self.serial,
            permits: self.permits,
            delegated: self.delegated,
        }))
    }
}

impl LimitsMessage {
    fn add(&mut self, message: &LimitMessage) {
        match message {
            LimitMessage::Request(req) => self.requests.push(RequestMessage {
                news: (&req.news).into(),
                serial: req.serial,
                wanted: req.wanted,
                unused: req.unused,
                delegation: millis(req.delegation),
                known_hosts: req.known_hosts,
                acknowledged: req.acknowledged,
            }),
            LimitMessage::Grant(grant) => self.grants.push(GrantMessage {
                news: (&grant.news).into(),
                serial: grant.serial,
                permits: grant.permits,
                delegated: grant.delegated,
            }),
            LimitMessage::News(news) => self.news.push(news.into()),
        }
    }

    /// Returns the valid messages.
    fn messages(&self) -> impl Iterator<Item = LimitMessage> {
        let requests = self.requests.iter().filter_map(RequestMessage::request);
        let grants = self.grants.iter().filter_map(GrantMessage::grant);
        let news = self.news.iter().filter_map(NewsMessage::news).map(LimitMessage::News);
        requests.chain(grants).chain(news)
    }
}

impl Node {
    /// Records the limit that a leaf named in a response to a request sent at `asked`.
    pub(crate) fn hear_limit(&mut self, leaf: LeafKey, head: &ResponseHead, asked: Instant) {
        // A failing leaf may leave out the limit that it names otherwise.
        let is_success = head.status < 300 && head.stamp.is_some();
        if head.limit == NamedLimit::None && (!is_success || self.routing.limits.is_empty()) {
            return;
        }
        let Some(leaf) = self.routing.leaves.get(leaf) else { return };
        let instance = leaf.registration.instance();
        self.routing.limits.on_response(&instance, head.limit, asked, self.now);
    }

    /// Handles the messages about limits in a datagram of the host `from`.
    pub(crate) fn on_limit_messages(&mut self, from: Ipv4Addr, messages: &LimitsMessage) {
        let known_hosts = self.members.limit_share_count(self.now);
        for message in messages.messages() {
            self.routing.limits.on_message(from, message, known_hosts, self.now);
        }
    }

    /// Returns the time at which messages about limits are due; `None` without limited leaves.
    pub(crate) fn next_limit_message(&self) -> Option<Instant> {
        self.routing.limits.next_at(self.now)
    }

    /// Sends the messages about limits that are due, and logs changes of limits.
    pub(crate) fn send_limit_messages(&mut self) {
        if self.next_limit_message().is_some_and(|at| at <= self.now) {
            let hosts = self.members.limit_hosts(self.now);
            let mut by_host: IndexMap<Ipv4Addr, Vec<LimitMessage>> = IndexMap::new();
            for out in self.routing.limits.poll(&hosts, self.now) {
                by_host.entry(out.to).or_default().push(out.message);
            }
            for (to, messages) in by_host {
                for chunk in messages.chunks(MESSAGES_PER_DATAGRAM) {
                    let mut datagram = LimitsMessage::default();
                    chunk.iter().for_each(|message| datagram.add(message));
                    self.send_limits(to, datagram);
                }
            }
        }
        self.log_limit_changes();
        self.resume_awaiting_permits();
        self.process_ended_attempts();
    }

    /// Tells a host that has just started of all limits.
    pub(crate) fn send_known_limits(&mut self, to: Ipv4Addr) {
        let news = self.routing.limits.news(self.now);
        for chunk in news.chunks(MESSAGES_PER_DATAGRAM) {
            let news = chunk.iter().map(NewsMessage::from).collect();
            self.send_limits(to, LimitsMessage { news, ..LimitsMessage::default() });
        }
    }

    fn log_limit_changes(&mut self) {
        for (leaf, change) in self.routing.limits.take_changes() {
            let (state, limit, before) = match change {
                LimitChange::Named(rate) => ("named", Some(rate), None),
                LimitChange::Changed { before, now } => ("changed", Some(now), Some(before)),
                LimitChange::Ended(before) => ("ended", None, Some(before)),
            };
            let fields =
                json!({ "leaf": leaf.id, "state": state, "limit": limit, "before": before });
            self.journal.record("leaf_limit", fields, self.now);
        }
    }

    /// Logs and counts the requests that were meant for limited leaves.
    pub(crate) fn report_limited_sends(&mut self) {
        if self.now < self.next_limit_usage {
            return;
        }
        self.next_limit_usage = self.now + USAGE_INTERVAL;
        let used = self.routing.limits.take_usage(self.now);
        if used.is_empty() {
            return;
        }
        let mut total = LimitedSends::default();
        for usage in &used {
            total.first += usage.sends.first;
            total.extra += usage.sends.extra;
            total.denied += usage.sends.denied;
        }
        self.metrics.count_limited_sends(total);
        let leaves: Vec<Value> = used
            .iter()
            .take(MAX_LOGGED)
            .map(|LeafUsage { leaf, rate, sends }| {
                json!({
                    "leaf": leaf.id, "limit": rate, "first": sends.first, "extra": sends.extra,
                    "denied": sends.denied,
                })
            })
            .collect();
        let fields = json!({
            "limited": self.routing.limits.count(), "first": total.first, "extra": total.extra,
            "denied": total.denied, "leaves": leaves,
        });
        self.journal.record("limited_sends", fields, self.now);
    }
}
