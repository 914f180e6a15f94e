//! What the load consists of: classes of queries and their shares.

use {
    serde::Deserialize,
    std::path::Path,
    thiserror::Error,
    wigeonramp_units::{CallerId, CollectionId, ParseError, Span},
};

/// A load profile, read from TOML.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct LoadProfile {
    /// Classes of queries.
    pub class: Vec<QueryClass>,
}

/// One class of queries.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QueryClass {
    /// Name in the report.
    pub name: String,
    /// Caller that sends the queries.
    pub caller: CallerId,
    /// The caller's bearer token.
    pub token: String,
    /// Collections that each query covers.
    pub collections: Vec<CollectionId>,
    /// Share of the arrivals, relative to the other classes.
    pub weight: u32,
    /// Time that each query allows.
    pub timeout: Span,
    /// Number of different bodies; repetitions skip the canary of the tier.
    pub distinct: u64,
    /// Whether running a query twice does no harm. Otherwise each query goes to one shard, and is
    /// sent again once or twice through other hosts.
    #[serde(default = "idempotent_by_default")]
    pub idempotent: bool,
    /// Number of shards, `<collection>/00` and so on, that queries that are not idempotent go to.
    #[serde(default)]
    pub shards: u32,
}

fn idempotent_by_default() -> bool {
    true
}

/// Why a load run did not start or could not be evaluated.
#[derive(Debug, Error)]
pub enum LoadError {
    /// A profile or report file could not be read, written or parsed.
    #[error("{file}: {reason}")]
    File {
        /// Path of the file.
        file: String,
        /// The problem, and what was expected instead.
        reason: String,
    },
    /// A host or a stand-in did not answer as expected.
    #[error("{url}: {reason}")]
    Http {
        /// Address that was asked.
        url: String,
        /// What was wrong.
        reason: String,
    },
    /// An option's value is not usable.
    #[error(transparent)]
    Parse(#[from] ParseError),
}

impl LoadError {
    /// An error of the call to `url`.
    pub fn http(url: &str, reason: impl ToString) -> Self {
        Self::Http { url: url.to_owned(), reason: reason.to_string() }
    }
}

impl LoadProfile {
    /// Reads and checks a profile; fails with the file and what was expected.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let profile_err =
            |reason: String| LoadError::File { file: path.display().to_string(), reason };
        let text = std::fs::read_to_string(path).map_err(|err| profile_err(err.to_string()))?;
        let profile: Self = toml::from_str(&text).map_err(|err| profile_err(err.to_string()))?;
        if profile.class.is_empty() {
            return Err(profile_err("expected at least one [[class]]".to_owned()));
        }
        if let Some(class) = profile.class.iter().find(|c| c.weight == 0 || c.distinct == 0) {
            let reason = format!("class {:?}: expected weight and distinct above 0", class.name);
            return Err(profile_err(reason));
        }
        let aimless =
            |c: &&QueryClass| !c.idempotent && (c.shards == 0 || c.collections.len() != 1);
        if let Some(class) = profile.class.iter().find(aimless) {
            let name = &class.name;
            return Err(profile_err(format!(
                "class {name:?}: expected one collection and shards above 0 if not idempotent"
            )));
        }
        Ok(profile)
    }
}
