//! Accounts of a run: their keys are added, moved and removed, and one of them exceeds its quota at times.

use {
    crate::fleet::Fleet,
    rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IndexedRandom},
    serde_json::{Value, json},
    std::time::{Duration, Instant},
};

/// Lines of the table `bounds` in the settings of hosts.
pub(crate) const BOUNDS: &str = "quota_window_s = 5\nquota_overshoot = 0.1\nquota_slack = 20\n\
     strict_revocation = false\nrevoke_ms = 5000\nconfig_apply_ms = 5000\n";
/// Key that no account has at any time.
const UNKNOWN_KEY: &str = "soak-key-unknown";
/// Time between two changes, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 300..1_500;
/// Maximum number of keys beside the first one of each account.
const MAX_FURTHER_KEYS: usize = 4;
/// Number of removed keys that callers go on using.
const USED_REMOVED_KEYS: usize = 3;
/// Share of the requests with the hot account's first key, in times that of another key.
const HOT_WEIGHT: usize = 8;

/// An account; quotas do not change within a run.
#[derive(Debug)]
pub(crate) struct SoakAccount {
    pub name: &'static str,
    /// Requests per second; 0 for no quota.
    pub rate: f64,
    pub burst: f64,
}

/// All accounts. Callers exceed the quotas of the first two; the last one has none.
pub(crate) const ACCOUNTS: [SoakAccount; 3] = [
    SoakAccount { name: "hot", rate: 10.0, burst: 10.0 },
    SoakAccount { name: "small", rate: 0.5, burst: 1.0 },
    SoakAccount { name: "steady", rate: 0.0, burst: 0.0 },
];

/// A time in which an account has a key.
#[derive(Clone, Debug)]
pub(crate) struct KeySpan {
    pub key: String,
    pub account: &'static str,
    /// Time just before the first version with the key was written.
    pub start: Instant,
    /// Time just after the first version without the key was written, if it was.
    pub end: Option<Instant>,
}

impl KeySpan {
    fn new(key: String, account: &'static str) -> Self {
        Self { key, account, start: Instant::now(), end: None }
    }

    /// Whether the key stays with the account for the whole run.
    fn is_permanent(&self) -> bool {
        self.key == first_key(self.account)
    }
}

fn first_key(account: &str) -> String {
    format!("soak-key-first-{account}")
}

/// Returns the keys that all accounts have from the start.
pub(crate) fn first_keys() -> Vec<KeySpan> {
    ACCOUNTS.iter().map(|account| KeySpan::new(first_key(account.name), account.name)).collect()
}

/// Returns the value of `tenants` in the configuration.
pub(crate) fn tenants(keys: &[KeySpan]) -> Value {
    let tenant = |account: &SoakAccount| {
        let held = keys.iter().filter(|span| span.account == account.name && span.end.is_none());
        let held: Vec<&str> = held.map(|span| span.key.as_str()).collect();
        json!({
            "name": account.name, "api_keys": held, "rate_per_s": account.rate,
            "burst": account.burst,
        })
    };
    ACCOUNTS.iter().map(tenant).collect()
}

/// Changes of accounts and of their demand in one run.
pub(crate) struct AccountChanges {
    rng: SmallRng,
    next_at: Instant,
    next_key: usize,
    is_hot: bool,
}

impl AccountChanges {
    pub fn new(seed: u64) -> Self {
        let rng = SmallRng::seed_from_u64(seed);
        Self { rng, next_at: Instant::now(), next_key: 0, is_hot: true }
    }

    /// Does what is due; returns the description of a change.
    pub fn advance(&mut self, fleet: &mut Fleet) -> Option<String> {
        let now = Instant::now();
        if now < self.next_at {
            return None;
        }
        self.next_at = now + Duration::from_millis(self.rng.random_range(PAUSE_MS));
        let further: Vec<usize> = (0..fleet.history.keys.len())
            .filter(|n| fleet.history.keys[*n].end.is_none())
            .filter(|n| !fleet.history.keys[*n].is_permanent())
            .collect();
        let account = ACCOUNTS.choose(&mut self.rng)?.name;
        let description = match further.choose(&mut self.rng) {
            Some(span) if further.len() >= MAX_FURTHER_KEYS || self.rng.random() => {
                let key = fleet.history.keys[*span].key.clone();
                let is_moved = self.rng.random();
                fleet.history.keys[*span].end = Some(now);
                if is_moved {
                    fleet.history.keys.push(KeySpan::new(key.clone(), account));
                }
                fleet.configure_again();
                fleet.history.keys[*span].end = Some(Instant::now());
                if is_moved { format!("{key} to {account}") } else { format!("{key} removed") }
            }
            _ => {
                self.next_key += 1;
                let key = format!("soak-key-{}", self.next_key);
                fleet.history.keys.push(KeySpan::new(key.clone(), account));
                fleet.configure_again();
                format!("{key} added to {account}")
            }
        };
        // The quota is exceeded most of the time, as the window of a quota is 5 s.
        self.is_hot = self.rng.random_range(0..4) > 0;
        fleet.set_caller_keys(self.used_keys(&fleet.history.keys));
        Some(description)
    }

    /// Returns the keys that callers use; no key for requests without one.
    fn used_keys(&self, keys: &[KeySpan]) -> Vec<Option<String>> {
        let hot_key = Some(first_key(ACCOUNTS[0].name));
        let weight = if self.is_hot { HOT_WEIGHT } else { 0 };
        let held = keys.iter().filter(|span| span.end.is_none());
        let removed = keys.iter().rev().filter(|span| span.end.is_some()).take(USED_REMOVED_KEYS);
        let steady = [Some(first_key(ACCOUNTS[2].name)), Some(first_key(ACCOUNTS[2].name))];
        let mut used = vec![None, Some(UNKNOWN_KEY.to_owned())];
        used.extend(held.chain(removed).map(|span| Some(span.key.clone())));
        used.extend(std::iter::repeat_n(hot_key, weight));
        used.extend(steady);
        used
    }

    /// Ends the excess; only requests of the account without a quota are sent afterwards, so that all
    /// of them have to succeed.
    pub fn finish(&self, fleet: &Fleet) {
        fleet.set_caller_keys(vec![Some(first_key(ACCOUNTS[2].name))]);
    }
}
