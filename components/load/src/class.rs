//! Load profiles: classes of queries and their shares of the load.

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
    /// Query classes; at least one.
    pub class: Vec<QueryClass>,
}

/// One class of queries.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct QueryClass {
    /// Name of the class in the report.
    pub name: String,
    /// Id of the caller that sends the queries.
    pub caller: CallerId,
    /// Bearer token of the caller.
    pub token: String,
    /// Collections that each query asks.
    pub collections: Vec<CollectionId>,
    /// Weight of the class among all classes when an arrival is assigned to one.
    pub weight: u32,
    /// Timeout of each query.
    pub timeout: Span,
    /// Number of distinct bodies; a repeated body skips the hosts' canary.
    pub distinct: u64,
    /// Whether the queries are idempotent. If not, each query goes to one shard and is resubmitted
    /// once or twice through other hosts.
    #[serde(default = "idempotent_by_default")]
    pub idempotent: bool,
    /// Number of shards, `<collection>/00` and so on, to which non-idempotent queries go.
    #[serde(default)]
    pub shards: u32,
}

fn idempotent_by_default() -> bool {
    true
}

/// Error that keeps a load run from starting or from being evaluated.
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
    /// A host or a stand-in was not reached or sent an unexpected response.
    #[error("{url}: {reason}")]
    Http {
        /// URL of the call.
        url: String,
        /// The problem, and what was expected instead.
        reason: String,
    },
    /// An option has an invalid value.
    #[error(transparent)]
    Parse(#[from] ParseError),
}

impl LoadError {
    /// Creates the error of a call to `url`.
    pub fn http(url: &str, reason: impl ToString) -> Self {
        Self::Http { url: url.to_owned(), reason: reason.to_string() }
    }
}

impl LoadProfile {
    /// Reads and validates a profile; errors name the file and what was expected.
    pub fn load(path: &Path) -> Result<Self, LoadError> {
        let file_err =
            |reason: String| LoadError::File { file: path.display().to_string(), reason };
        let text = std::fs::read_to_string(path).map_err(|err| file_err(err.to_string()))?;
        let profile: Self = toml::from_str(&text).map_err(|err| file_err(err.to_string()))?;
        if profile.class.is_empty() {
            return Err(file_err("expected at least one [[class]]".to_owned()));
        }
        if let Some(class) = profile.class.iter().find(|c| c.weight == 0 || c.distinct == 0) {
            let reason = format!("class {:?}: expected weight and distinct above 0", class.name);
            return Err(file_err(reason));
        }
        let lacks_target =
            |c: &&QueryClass| !c.idempotent && (c.shards == 0 || c.collections.len() != 1);
        if let Some(class) = profile.class.iter().find(lacks_target) {
            let name = &class.name;
            return Err(file_err(format!(
                "class {name:?}: expected one collection and shards above 0 if not idempotent"
            )));
        }
        Ok(profile)
    }
}
