//! Metrics of the host.

use {
    crate::{client_metrics::ClientMetrics, node::Node},
    prometheus_client::{
        encoding::{EncodeLabelSet, text::encode},
        metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
        registry::Registry,
    },
    std::{
        collections::{HashSet, VecDeque},
        sync::atomic::AtomicU64,
    },
    wigeonramp_routing::{limits::LimitedSends, state::AttemptCounts},
    wigeonramp_units::{Instant, Span},
};

/// Port that serves the metrics.
pub(crate) const PORT: u16 = 9_464;
/// Maximum number of accounts with metrics of their own since the start.
const MAX_ACCOUNTS: usize = 64;
/// Label of all other accounts.
const OTHER_ACCOUNTS: &str = "other";
/// Maximum number of routes with their own label; further routes share one label.
const MAX_ROUTES: usize = 64;
/// Label shared by the routes beyond the maximum.
const OTHER_ROUTES: &str = "other";
/// Period in seconds over which rates are averaged.
const RATE_SECONDS: u64 = 8;
/// Upper bounds of the latency buckets, in seconds.
const BUCKETS: [f64; 10] = [0.01, 0.03, 0.06, 0.1, 0.15, 0.25, 0.6, 1.5, 3.0, 6.0];
/// Upper bounds of the buckets of the target latency left, in seconds.
const LEFT_BUCKETS: [f64; 9] = [0.0, 0.001, 0.003, 0.006, 0.01, 0.02, 0.04, 0.1, 0.5];

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct ReplyLabels {
    route: String,
    status: u16,
    cause: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StoreLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct SendLabels {
    kind: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct AccountLabels {
    account: String,
    outcome: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct StateLabels {
    state: &'static str,
}

#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct RouteLabels {
    route: String,
}

/// Numbers of requests and attempts in one second.
#[derive(Clone, Copy, Debug)]
struct Second {
    number: u64,
    requests: u32,
    attempts: u32,
}

/// All metrics of a host.
pub(crate) struct Metrics {
    registry: Registry,
    replies: Family<ReplyLabels, Counter>,
    latency: Family<RouteLabels, Histogram>,
    target_left: Family<RouteLabels, Histogram>,
    own_delay: Gauge<f64, AtomicU64>,
    attempts: Counter,
    connects: Counter,
    turned_away: Counter,
    probes: Counter,
    link_suspicions: Counter,
    links_lost: Gauge,
    relays: Family<StateLabels, Counter>,
    store_calls: Family<StoreLabels, Counter>,
    store_failures: Family<StoreLabels, Counter>,
    extra_attempts: Counter,
    over_budget: Counter,
    no_leaf: Counter,
    limited_sends: Family<SendLabels, Counter>,
    limited_leaves: Gauge,
    leaving_leaves: Gauge,
    pausing_leaves: Gauge,
    datagram_bytes: Family<SendLabels, Counter>,
    releases: Family<StateLabels, Counter>,
    status_writes: Family<StateLabels, Counter>,
    open_releases: Gauge,
    /// Attempt counts at the last export; the counters grow by the difference.
    last_counts: AttemptCounts,
    admitted_share: Gauge<f64, AtomicU64>,
    traffic_share: Gauge<f64, AtomicU64>,
    config_age: Gauge<f64, AtomicU64>,
    news_age: Gauge<f64, AtomicU64>,
    serving_hosts: Gauge,
    config_version: Gauge,
    leaves: Gauge,
    hosts: Gauge,
    pub clients: ClientMetrics,
    routes: HashSet<String>,
    account_requests: Family<AccountLabels, Counter>,
    /// Accounts with metrics of their own, and all that ever had any.
    labeled_accounts: [HashSet<String>; 2],
    seconds: VecDeque<Second>,
}

impl Metrics {
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("wigeonramp");
        let latency =
            Family::<RouteLabels, Histogram>::new_with_constructor(|| Histogram::new(BUCKETS));
        let target_left =
            Family::<RouteLabels, Histogram>::new_with_constructor(|| Histogram::new(LEFT_BUCKETS));
        let this = Self {
            replies: Family::default(),
            latency,
            target_left,
            own_delay: Gauge::default(),
            attempts: Counter::default(),
            connects: Counter::default(),
            turned_away: Counter::default(),
            probes: Counter::default(),
            link_suspicions: Counter::default(),
            links_lost: Gauge::default(),
            relays: Family::default(),
            store_calls: Family::default(),
            store_failures: Family::default(),
            extra_attempts: Counter::default(),
            over_budget: Counter::default(),
            no_leaf: Counter::default(),
            limited_sends: Family::default(),
            limited_leaves: Gauge::default(),
            leaving_leaves: Gauge::default(),
            pausing_leaves: Gauge::default(),
            datagram_bytes: Family::default(),
            releases: Family::default(),
            status_writes: Family::default(),
            open_releases: Gauge::default(),
            last_counts: AttemptCounts::default(),
            admitted_share: Gauge::default(),
            traffic_share: Gauge::default(),
            config_age: Gauge::default(),
            news_age: Gauge::default(),
            serving_hosts: Gauge::default(),
            config_version: Gauge::default(),
            leaves: Gauge::default(),
            hosts: Gauge::default(),
            clients: ClientMetrics::default(),
            routes: HashSet::new(),
            account_requests: Family::default(),
            labeled_accounts: Default::default(),
            seconds: VecDeque::new(),
            registry: Registry::default(),
        };
        registry.register("replies", "Replies by route, status and cause", this.replies.clone());
        registry.register("reply_seconds", "Time to the reply", this.latency.clone());
        let help = "Part of the target latency left for the way to the caller when a reply is sent";
        registry.register("target_left_seconds", help, this.target_left.clone());
        let help = "Expected delay between the due time of a reply and its last byte written";
        registry.register("reply_own_delay_seconds", help, this.own_delay.clone());
        registry.register("sends", "Requests sent to leaves", this.attempts.clone());
        registry.register("connects", "Connections opened to leaves", this.connects.clone());
        let help = "Connections that leaves reset for want of room";
        registry.register("connections_turned_away", help, this.turned_away.clone());
        let help = "Connections opened to leaves to find out whether they can be reached";
        registry.register("link_probes", help, this.probes.clone());
        let help = "Suspicions that the links to all leaves are lost";
        registry.register("link_suspicions", help, this.link_suspicions.clone());
        let help = "Whether the links to all leaves are lost, or have just come back";
        registry.register("leaf_links_lost", help, this.links_lost.clone());
        let help = "Requests passed on to other hosts: sent, answered, failed";
        registry.register("relays", help, this.relays.clone());
        registry.register("store_calls", "Calls to the store by kind", this.store_calls.clone());
        registry.register(
            "store_failures",
            "Failed calls to the store by kind",
            this.store_failures.clone(),
        );
        registry.register("second_sends", "Second sends", this.extra_attempts.clone());
        let help = "Second sends that the budget did not allow";
        registry.register("second_sends_over_budget", help, this.over_budget.clone());
        let help = "Sends without a leaf to ask, cold ones without an allowance included";
        registry.register("sends_without_leaf", help, this.no_leaf.clone());
        let help = "Requests meant for leaves that name a limit: first and extra ones, and those \
                    without a permit";
        registry.register("limited_sends", help, this.limited_sends.clone());
        let help = "Bytes of datagrams sent to other hosts, without headers, by kind";
        registry.register("datagram_bytes", help, this.datagram_bytes.clone());
        let help = "Changes of releases on this host by new phase or state";
        registry.register("release_changes", help, this.releases.clone());
        let help = "Writes of the statuses of releases by outcome";
        registry.register("release_status_writes", help, this.status_writes.clone());
        let help = "Orders of releases that are neither completed nor rolled back";
        registry.register("open_releases", help, this.open_releases.clone());
        let help = "Leaves that name a limit";
        registry.register("limited_leaves", help, this.limited_leaves.clone());
        let help = "Registered leaves that have said in a response that they are leaving";
        registry.register("leaving_leaves", help, this.leaving_leaves.clone());
        let help = "Leaves that have asked for a pause which is not over";
        registry.register("pausing_leaves", help, this.pausing_leaves.clone());
        let help = "Least share of the most urgent requests that is taken, over groups of shards";
        registry.register("taken_share", help, this.admitted_share.clone());
        let help = "Share of all hosts' traffic that this host counts with";
        registry.register("traffic_share", help, this.traffic_share.clone());
        let help = "Seconds since the configuration in force was adopted";
        registry.register("config_age_seconds", help, this.config_age.clone());
        let help = "Age of the latest time up to which this host knows all changes of the store";
        registry.register("news_age_seconds", help, this.news_age.clone());
        let help = "Hosts that callers can be sent to";
        registry.register("serving_hosts", help, this.serving_hosts.clone());
        registry.register(
            "config_version",
            "Version of the configuration in force",
            this.config_version.clone(),
        );
        registry.register("leaves", "Registered leaves", this.leaves.clone());
        registry.register("hosts", "Known hosts", this.hosts.clone());
        let help =
            "Requests by account, the largest ones by name: sent, refused, or over their quotas";
        registry.register("account_requests", help, this.account_requests.clone());
        this.clients.register(&mut registry);
        Self { registry, ..this }
    }

    fn route_label(&mut self, route: &str) -> String {
        if !self.routes.contains(route) {
            if self.routes.len() >= MAX_ROUTES {
                return OTHER_ROUTES.to_owned();
            }
            self.routes.insert(route.to_owned());
        }
        route.to_owned()
    }

    /// Sets the accounts that have metrics of their own.
    pub fn label_accounts(&mut self, names: impl Iterator<Item = String>) {
        let [labeled, ever] = &mut self.labeled_accounts;
        labeled.clear();
        for name in names {
            if ever.contains(&name) || ever.len() < MAX_ACCOUNTS {
                ever.insert(name.clone());
                labeled.insert(name);
            }
        }
    }

    /// Counts a request of an account.
    pub fn count_account(&self, account: &str, outcome: &'static str) {
        let is_labeled = self.labeled_accounts[0].contains(account);
        let account = if is_labeled { account } else { OTHER_ACCOUNTS }.to_owned();
        self.account_requests.get_or_create(&AccountLabels { account, outcome }).inc();
    }

    /// Counts a request that arrived.
    pub fn count_request(&mut self, now: Instant) {
        self.second(now).requests += 1;
    }

    fn second(&mut self, now: Instant) -> &mut Second {
        let number = now.0 / 1_000_000;
        if self.seconds.back().is_none_or(|second| second.number < number) {
            self.seconds.push_back(Second { number, requests: 0, attempts: 0 });
        }
        let last = self.seconds.len() - 1;
        &mut self.seconds[last]
    }

    /// Returns the average numbers of requests and of attempts per second over the last seconds.
    pub fn rates(&mut self, now: Instant) -> (f64, f64) {
        let number = now.0 / 1_000_000;
        while self.seconds.front().is_some_and(|s| s.number + RATE_SECONDS < number) {
            self.seconds.pop_front();
        }
        let requests: u32 = self.seconds.iter().map(|second| second.requests).sum();
        let attempts: u32 = self.seconds.iter().map(|second| second.attempts).sum();
        let seconds = RATE_SECONDS as f64;
        (f64::from(requests) / seconds, f64::from(attempts) / seconds)
    }

    pub fn count_reply(&mut self, route: Option<&str>, status: u16, cause: &'static str) {
        let route = self.route_label(route.unwrap_or("none"));
        self.replies.get_or_create(&ReplyLabels { route, status, cause }).inc();
    }

    /// Records the time to a reply, and the part of the target latency that is left.
    pub fn observe_latency(&mut self, route: &str, time: Span, left: Span) {
        let labels = RouteLabels { route: self.route_label(route) };
        self.latency.get_or_create(&labels).observe(time.0 as f64 / 1e6);
        self.target_left.get_or_create(&labels).observe(left.0 as f64 / 1e6);
    }

    pub fn count_attempt(&mut self, now: Instant) {
        self.attempts.inc();
        self.second(now).attempts += 1;
    }

    pub fn count_connect(&self) {
        self.connects.inc();
    }

    /// Counts a connection that shows whether a leaf can be reached.
    pub fn count_probe(&self) {
        self.probes.inc();
    }

    /// Counts a request that is passed on to another host.
    pub fn count_relay(&self, state: &'static str) {
        self.relays.get_or_create(&StateLabels { state }).inc();
    }

    /// Counts a suspicion that the links to all leaves are lost.
    pub fn count_suspicion(&self) {
        self.link_suspicions.inc();
    }

    pub fn count_turned_away(&self) {
        self.turned_away.inc();
    }

    pub fn count_store_call(&self, kind: &'static str) {
        self.store_calls.get_or_create(&StoreLabels { kind }).inc();
    }

    pub fn count_store_failure(&self, kind: &'static str) {
        self.store_failures.get_or_create(&StoreLabels { kind }).inc();
    }

    /// Counts requests that were meant for leaves that name a limit.
    pub fn count_limited_sends(&self, sends: LimitedSends) {
        let kinds = [("first", sends.first), ("extra", sends.extra), ("denied", sends.denied)];
        for (kind, count) in kinds {
            self.limited_sends.get_or_create(&SendLabels { kind }).inc_by(count);
        }
    }

    /// Counts the bytes of datagrams to other hosts.
    pub fn count_datagrams(&self, kind: &'static str, bytes: usize) {
        self.datagram_bytes.get_or_create(&SendLabels { kind }).inc_by(bytes as u64);
    }

    /// Counts a change of a release.
    pub fn count_release(&self, state: &'static str) {
        self.releases.get_or_create(&StateLabels { state }).inc();
    }

    /// Counts a write of the status of a release.
    pub fn count_status_write(&self, state: &'static str) {
        self.status_writes.get_or_create(&StateLabels { state }).inc();
    }

    fn add_attempts(&mut self, counts: AttemptCounts) {
        let before = std::mem::replace(&mut self.last_counts, counts);
        self.extra_attempts.inc_by(counts.extra - before.extra);
        self.over_budget.inc_by(counts.over_budget - before.over_budget);
        self.no_leaf.inc_by(counts.no_leaf - before.no_leaf);
    }
}

impl Node {
    /// Encodes all metrics in the text format.
    pub(crate) fn metrics_text(&mut self) -> String {
        let version = self.active_catalog.version().map_or(0, |version| version.0);
        self.metrics.config_version.set(i64::try_from(version).unwrap_or(i64::MAX));
        self.metrics.leaves.set(self.routing.leaves.len() as i64);
        self.metrics.limited_leaves.set(self.routing.limits.count() as i64);
        self.metrics.leaving_leaves.set(self.routing.leaves.leaving_count() as i64);
        let pausing = self.routing.leaves.pausing_count(self.now);
        self.metrics.pausing_leaves.set(pausing as i64);
        self.metrics.links_lost.set(self.routing.links.is_lost().into());
        self.metrics.open_releases.set(self.routing.releases.open_count() as i64);
        self.metrics.hosts.set(self.members.known_count() as i64);
        self.metrics.serving_hosts.set(self.members.serving(self.now).count() as i64);
        self.metrics.add_attempts(self.routing.counts);
        self.metrics.admitted_share.set(self.routing.min_admitted_share());
        self.metrics.traffic_share.set(self.routing.traffic_share);
        self.metrics.own_delay.set(self.routing.reply_timing.own_delay().0 as f64 / 1e6);
        let (leaves, peers) = (self.upstreams.conn_count(), self.peers.conn_count());
        self.metrics.clients.set(&self.clients, leaves, peers);
        if let Some(at) = self.replicated.config_adopted_at {
            self.metrics.config_age.set(self.now.since(at).0 as f64 / 1e6);
        }
        if let Some(age) = self.origin_selector.news_age(self.now) {
            self.metrics.news_age.set(age.0 as f64 / 1e6);
        }
        let mut text = String::new();
        match encode(&mut text, &self.metrics.registry) {
            Ok(()) => text,
            Err(err) => format!("# metrics cannot be encoded: {err}\n"),
        }
    }
}
