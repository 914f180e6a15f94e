//! Accounts of client programs: who a request belongs to, by the API key that it presents.
//!
//! A host knows only digests of the keys. They are compared, replicated to other hosts and never
//! shown.

use {
    crate::catalog::Route,
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{Debug, Formatter, Result as FmtResult},
        sync::Arc,
    },
    wigeonramp_units::{RequestRate, Span},
};

/// Length of a key's digest in bytes.
pub const DIGEST_BYTES: usize = 16;

/// Digest of an API key.
#[derive(Clone, Copy, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(transparent)]
pub struct KeyDigest(pub [u8; DIGEST_BYTES]);

impl Debug for KeyDigest {
    /// Leaves the digest out: a short key could be found from it by trial.
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.write_str("KeyDigest")
    }
}

/// API keys that a request presents.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PresentedKey {
    /// The request has no key.
    #[default]
    None,
    /// The request has one key.
    One(KeyDigest),
    /// The request has several headers with a key, or one that cannot be a key.
    Invalid,
}

/// Requests that an account may send over all hosts together.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Quota {
    /// Requests per second; above zero.
    pub rate: RequestRate,
    /// Requests beyond the rate.
    pub burst: f64,
}

/// An account.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Account {
    /// Name, which leaves get; a valid header value.
    pub name: String,
    /// Priority of its requests, which takes precedence over that of the route.
    pub priority: Option<u32>,
    /// Quota; none if unlimited.
    pub quota: Option<Quota>,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// Bounds that the platform sets for accounts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AccountBounds {
    /// Length of the windows in which the requests of an account are counted.
    pub window: Span,
    /// Fraction by which the requests in a window may exceed the quota.
    pub overshoot: f64,
    /// Requests in a window beyond that.
    pub slack: f64,
    /// Time within which a version of the configuration takes effect.
    pub apply_time: Span,
    /// Age of the news of the store from which no key is accepted; none if keys are accepted at any
    /// age.
    pub max_key_age: Option<Span>,
}

impl Default for AccountBounds {
    fn default() -> Self {
        Self {
            window: Span::secs(5),
            overshoot: 0.1,
            slack: 20.0,
            apply_time: Span::secs(5),
            max_key_age: None,
        }
    }
}

/// On whose behalf a request may run.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// No account: the route is public, or the configuration has no accounts.
    Public,
    /// The account that holds the presented key.
    Account(Arc<Account>),
    /// The request presents no key, several, or one that no account holds.
    Denied,
}

/// The accounts of one version of the configuration, by the digests of their keys.
#[derive(Clone, Debug)]
pub struct AccountIndex {
    by_key: IndexMap<KeyDigest, Arc<Account>>,
}

impl AccountIndex {
    /// Creates the index.
    pub fn new(accounts: &[Arc<Account>]) -> Self {
        let keys = |account: &Arc<Account>| {
            let account = account.clone();
            account.keys.clone().into_iter().map(move |key| (key, account.clone()))
        };
        Self { by_key: accounts.iter().flat_map(keys).collect() }
    }

    /// Returns on whose behalf a request of the route that presents `key` may run.
    pub fn access(&self, route: &Route, key: PresentedKey) -> Access {
        if route.public {
            return Access::Public;
        }
        let account = match key {
            PresentedKey::One(key) => self.by_key.get(&key),
            PresentedKey::None | PresentedKey::Invalid => None,
        };
        account.map_or(Access::Denied, |account| Access::Account(account.clone()))
    }
}
