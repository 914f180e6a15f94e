//! The operators' configuration: routes, services and limits on callers.
//!
//! A host adopts only increasing versions, whether they come from the store or another host, so its
//! configuration never goes back while the process runs.

use {
    crate::accounts::{Access, Account, AccountIndex, PresentedKey},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
    wigeonramp_units::{ConfigVersion, RegionId, ServiceId, Span},
};

/// Whether the requests of a route may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatPolicy {
    /// Requests may run more than once.
    Idempotent,
    /// Each submission of a caller runs at most once.
    AtMostOnce,
}

/// Destination of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Target {
    /// One leaf of one of these services, chosen in proportion to the weights.
    One(Vec<(ServiceId, f64)>),
    /// One leaf of each of these services; the responses are merged.
    Gather {
        /// One service per shard.
        shards: Vec<ServiceId>,
        /// Number of records in the merged response.
        top_k: usize,
        /// Minimum share of the shards that a merged response needs.
        min_share: f64,
    },
}

/// Rule for requests with a given host and path prefix.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// Name given by operators.
    pub name: String,
    /// Host name of the requests.
    pub host: String,
    /// Prefix of the requests' paths, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may run more than once.
    pub repeat: RepeatPolicy,
    /// Longest time until a request gets its final reply.
    pub timeout: Span,
    /// Time within which a reply has its full value for the caller.
    pub target_latency: Span,
    /// Priority; zero is the most urgent.
    pub priority: u32,
    /// Number of leaves that a request may be sent to per shard.
    pub attempts: usize,
    /// Regions in which the requests may be served; empty for all.
    pub homes: Vec<RegionId>,
    /// Whether requests need no account although the configuration has accounts.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub public: bool,
    /// Destination of the requests.
    pub target: Target,
}

/// Properties of a service as declared by operators.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// Connections that each leaf accepts from all hosts together.
    pub connections: u32,
    /// Time for which a leaf is cold after a start.
    pub cold_for: Span,
    /// Requests per second that a cold leaf can handle; zero when not declared.
    pub cold_per_second: f64,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time from the first byte of a request to the end of its head.
    pub head_time: Span,
    /// Maximum time for which a connection stays open without a request, and from the first byte of
    /// a request to the end of its body.
    pub idle_time: Span,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_time: Span::secs(3),
            idle_time: Span::secs(15),
        }
    }
}

/// One version of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Catalog {
    /// Version, which rises with every change.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: IndexMap<ServiceId, ServiceSpec>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Accounts; none if requests need none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub accounts: Option<Vec<Arc<Account>>>,
}

/// Result of offering a version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// The version is newer and was adopted.
    Newer,
    /// The version was already in force.
    Same,
    /// A higher version is in force.
    Older,
}

/// What a host knows of the route of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RouteLookup<'a> {
    /// The route.
    Found(&'a Arc<Route>),
    /// The configuration in force has no such route.
    NoRoute,
    /// There is no configuration, so the route may exist.
    NoConfig,
}

/// The configuration in force on one host.
#[derive(Clone, Debug, Default)]
pub struct ActiveCatalog {
    current: Option<Arc<Catalog>>,
    by_host: HashMap<String, Vec<Arc<Route>>>,
    accounts: Option<AccountIndex>,
    /// Routes with the priority of an account in place of their own, by name.
    by_priority: HashMap<(String, u32), Arc<Route>>,
}

impl ActiveCatalog {
    /// Creates a state without a configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adopts the version if it is higher than the one in force.
    pub fn offer(&mut self, catalog: Catalog) -> OfferOutcome {
        match self.version() {
            Some(current) if catalog.version < current => return OfferOutcome::Older,
            Some(current) if catalog.version == current => return OfferOutcome::Same,
            _ => {}
        }
        self.by_host.clear();
        for route in &catalog.routes {
            self.by_host.entry(route.host.to_ascii_lowercase()).or_default().push(route.clone());
        }
        for routes in self.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self.accounts = catalog.accounts.as_deref().map(AccountIndex::new);
        self.by_priority.clear();
        self.current = Some(Arc::new(catalog));
        OfferOutcome::Newer
    }

    /// Returns the version in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.current.as_ref().map(|catalog| catalog.version)
    }

    /// Returns the configuration in force.
    pub fn current(&self) -> Option<&Arc<Catalog>> {
        self.current.as_ref()
    }

    /// Returns the limits on callers, or the defaults without a configuration.
    pub fn limits(&self) -> CallerLimits {
        self.current.as_ref().map(|catalog| catalog.limits).unwrap_or_default()
    }

    /// Returns the regions in which the requests of all routes of this host name may be served;
    /// none if no route limits them.
    pub fn home_regions(&self, host: &str) -> Option<Vec<RegionId>> {
        let routes = self.by_host.get(&normalize_host(host))?;
        let mut limited = routes.iter().filter(|route| !route.homes.is_empty());
        let mut homes = limited.next()?.homes.clone();
        for route in limited {
            homes.retain(|home| route.homes.contains(home));
        }
        Some(homes)
    }

    /// Looks up the route of `host` with the longest prefix that matches `path`.
    pub fn find_route(&self, host: &str, path: &str) -> RouteLookup<'_> {
        if self.current.is_none() {
            return RouteLookup::NoConfig;
        }
        let routes = self.by_host.get(host).or_else(|| self.by_host.get(&normalize_host(host)));
        let mut matching = routes.into_iter().flatten();
        match matching.find(|route| path.starts_with(route.prefix.as_str())) {
            Some(route) => RouteLookup::Found(route),
            None => RouteLookup::NoRoute,
        }
    }

    /// Whether the configuration has accounts.
    pub fn has_accounts(&self) -> bool {
        self.accounts.is_some()
    }

    /// Returns on whose behalf a request of the route that presents `key` may run.
    pub fn access(&self, route: &Route, key: PresentedKey) -> Access {
        self.accounts.as_ref().map_or(Access::Public, |accounts| accounts.access(route, key))
    }

    /// Returns the route with the priority that a request of the account has. All decisions about
    /// the request then see this priority as that of its route.
    pub fn route_for(&mut self, route: &Arc<Route>, account: &Account) -> Arc<Route> {
        let Some(priority) = account.priority.filter(|priority| *priority != route.priority) else {
            return route.clone();
        };
        let with_priority = || Arc::new(Route { priority, ..route.as_ref().clone() });
        let key = (route.name.clone(), priority);
        let known = self.by_priority.entry(key).or_insert_with(with_priority);
        // Two routes may have the same name.
        if known.prefix != route.prefix || known.host != route.host {
            return with_priority();
        }
        known.clone()
    }
}

/// Returns a host header in lower case without its port.
fn normalize_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
