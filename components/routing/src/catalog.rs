//! The operators' configuration: routes, services and limits towards callers.
//!
//! A host adopts only rising versions, from whatever source they come, so its configuration never
//! goes back within one start of the process.

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{collections::HashMap, sync::Arc},
    wigeonramp_units::{ConfigVersion, RegionId, ServiceId, Span},
};

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RepeatPolicy {
    /// Requests may run more than once.
    Idempotent,
    /// Each attempt of a caller runs at most once.
    AtMostOnce,
}

/// Where a route's requests go.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Target {
    /// To one leaf of one of these services, in proportion to the weights.
    One(Vec<(ServiceId, f64)>),
    /// To one leaf of each of these services; the parts are merged.
    Gather {
        /// One service a shard.
        shards: Vec<ServiceId>,
        /// Records in the answer.
        top_k: usize,
        /// Least share of the shards that makes an answer.
        min_share: f64,
    },
}

/// One route.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Route {
    /// The operators' name for it.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Beginning of the requests' paths, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub repeat: RepeatPolicy,
    /// Longest time a request is kept without a final answer.
    pub timeout: Span,
    /// Time within which an answer has its full worth.
    pub target_latency: Span,
    /// Rank; zero is the most urgent.
    pub priority: u32,
    /// Leaves that one request may be sent to, for each shard.
    pub attempts: usize,
    /// Regions that the requests may be served in; empty for all.
    pub homes: Vec<RegionId>,
    /// Where the requests go.
    pub target: Target,
}

/// What operators declare about a service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServiceSpec {
    /// Connections that each of its leaves takes from all hosts together.
    pub connections: u32,
    /// Time for which a leaf stays cold.
    pub cold_for: Span,
    /// Requests a second that a cold leaf bears; zero when nothing is declared.
    pub cold_per_second: f64,
}

/// Limits on what callers send.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallerLimits {
    /// Longest request head in bytes.
    pub head_bytes: usize,
    /// Longest request body in bytes.
    pub body_bytes: usize,
    /// Longest time from a request's first byte to the end of its head.
    pub head_time: Span,
    /// Longest time that a connection stays open without a request.
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
    /// Rises with every change.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<Arc<Route>>,
    /// All services.
    pub services: IndexMap<ServiceId, ServiceSpec>,
    /// Limits towards callers.
    pub limits: CallerLimits,
}

/// What became of an offered version.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferOutcome {
    /// It is in force on this host now.
    Newer,
    /// It was in force already.
    Same,
    /// This host has seen a higher one.
    Older,
}

/// The configuration in force on one host.
#[derive(Clone, Debug, Default)]
pub struct ActiveCatalog {
    current: Option<Arc<Catalog>>,
    by_host: HashMap<String, Vec<Arc<Route>>>,
}

impl ActiveCatalog {
    /// Nothing is known yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the version if it is higher than the one in force.
    pub fn offer(&mut self, catalog: Catalog) -> OfferOutcome {
        match self.version() {
            Some(known) if catalog.version < known => return OfferOutcome::Older,
            Some(known) if catalog.version == known => return OfferOutcome::Same,
            _ => {}
        }
        self.by_host.clear();
        for route in &catalog.routes {
            self.by_host.entry(route.host.to_ascii_lowercase()).or_default().push(route.clone());
        }
        for routes in self.by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        self.current = Some(Arc::new(catalog));
        OfferOutcome::Newer
    }

    /// The version in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.current.as_ref().map(|catalog| catalog.version)
    }

    /// The configuration in force.
    pub fn current(&self) -> Option<&Arc<Catalog>> {
        self.current.as_ref()
    }

    /// Limits towards callers.
    pub fn limits(&self) -> CallerLimits {
        self.current.as_ref().map(|catalog| catalog.limits).unwrap_or_default()
    }

    /// Regions in which all requests for this host may be served; none when there is no such limit.
    pub fn homes_of(&self, host: &str) -> Option<Vec<RegionId>> {
        let routes = self.by_host.get(&normal_host(host))?;
        let mut limited = routes.iter().filter(|route| !route.homes.is_empty());
        let mut homes = limited.next()?.homes.clone();
        for route in limited {
            homes.retain(|home| route.homes.contains(home));
        }
        Some(homes)
    }

    /// The route with the longest prefix of `path` on `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = match self.by_host.get(host) {
            Some(routes) => routes,
            None => self.by_host.get(&normal_host(host))?,
        };
        routes.iter().find(|route| path.starts_with(route.prefix.as_str()))
    }
}

/// A host header without its port, in lower case.
fn normal_host(host: &str) -> String {
    let name = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    };
    name.to_ascii_lowercase()
}
