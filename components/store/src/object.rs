//! Interface of the object API: the `ObjectStore` trait, its values and its errors.

use {
    serde::{Deserialize, Serialize},
    std::fmt::Display,
    thiserror::Error,
    wigeonramp_units::{Revision, Span},
};

/// Maximum size of a value that the platform stores, in bytes.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Returns whether `key` is a valid object key: 1 to 512 characters from `a-z A-Z 0-9 . _ - / @ :`.
pub fn is_key(key: &str) -> bool {
    const MAX_KEY_LEN: usize = 512;
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-/@:".contains(c);
    !key.is_empty() && key.len() <= MAX_KEY_LEN && key.chars().all(is_allowed)
}

/// Body of the platform's response to a write that took effect.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteResponse {
    /// Revision of the store after the write.
    pub revision: Revision,
}

/// A key with its stored value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Object {
    /// Full key, such as `config/current`.
    pub key: String,
    /// Revision of the write that stored the value; revisions increase across all keys.
    pub revision: Revision,
    /// The value; this project stores only JSON text.
    pub body: String,
}

/// Outcome of reading a key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadOutcome {
    /// The key has this object.
    Found(Object),
    /// The key has no value.
    Missing,
}

/// Condition under which a write takes effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// The key does not exist yet.
    Create,
    /// The key's current value has this revision.
    Revision(Revision),
}

/// Outcome of a conditional write or delete.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect and created this revision.
    Written(Revision),
    /// The precondition did not hold and nothing changed. Contains the current object, if any.
    Conflict(Option<Object>),
}

/// A change of one key, as reported by a watch.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Full key.
    pub key: String,
    /// Revision of the store after the change.
    pub revision: Revision,
    /// The new value; `None` if the key was deleted.
    pub body: Option<String>,
}

/// Failure of a call to the store.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum StoreError {
    /// The store rejected the call; nothing changed.
    #[error("store refused {key}: {reason}")]
    Refused {
        /// Key or key prefix of the call.
        key: String,
        /// The store's explanation.
        reason: String,
    },
    /// The store could not be reached or did not run the call; nothing changed.
    #[error("store unreachable for {key}: {reason}")]
    Unavailable {
        /// Key or key prefix of the call.
        key: String,
        /// Description of the failure.
        reason: String,
    },
    /// No complete response arrived; a write may have taken effect.
    #[error("no response from the store for {key}: {reason}")]
    Unknown {
        /// Key or key prefix of the call.
        key: String,
        /// Description of the failure.
        reason: String,
    },
    /// The response could not be parsed; a write may have taken effect.
    #[error("malformed response from the store for {key}: {reason}")]
    Malformed {
        /// Key or key prefix of the call.
        key: String,
        /// What could not be parsed.
        reason: String,
    },
}

impl StoreError {
    /// Creates the error of a call for `key` that the store rejected.
    pub fn refused(key: &str, reason: impl Display) -> Self {
        Self::Refused { key: key.to_owned(), reason: reason.to_string() }
    }

    /// Creates the error of a call for `key` that did not reach the store.
    pub fn unavailable(key: &str, reason: impl Display) -> Self {
        Self::Unavailable { key: key.to_owned(), reason: reason.to_string() }
    }

    /// Creates the error of a call for `key` whose outcome is unknown.
    pub fn unknown(key: &str, reason: impl Display) -> Self {
        Self::Unknown { key: key.to_owned(), reason: reason.to_string() }
    }

    /// Creates the error of a call for `key` whose response could not be parsed.
    pub fn malformed(key: &str, reason: impl Display) -> Self {
        Self::Malformed { key: key.to_owned(), reason: reason.to_string() }
    }
}

/// A store that implements the platform's object API.
pub trait ObjectStore: Send + Sync + 'static {
    /// Reads the object at `key`.
    fn get(&self, key: &str) -> Result<ReadOutcome, StoreError>;

    /// Reads all objects whose key starts with `prefix`, in key order.
    fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError>;

    /// Writes `body` to `key` if `precondition` holds.
    fn put(
        &self,
        key: &str,
        body: &str,
        precondition: Precondition,
    ) -> Result<WriteOutcome, StoreError>;

    /// Deletes `key` if its current value has `revision`.
    fn delete(&self, key: &str, revision: Revision) -> Result<WriteOutcome, StoreError>;

    /// Waits up to `wait` for changes above revision `after` to keys that start with `prefix`.
    ///
    /// Returns an empty list if nothing changed in that time.
    fn watch(&self, prefix: &str, after: Revision, wait: Span) -> Result<Vec<Change>, StoreError>;

    /// Lists the hosts that the platform considers live or about to stop. The list lags behind the
    /// actual state.
    fn hosts(&self) -> Result<Vec<PlatformHost>, StoreError>;
}

/// An entry of the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlatformHost {
    /// Name of the host.
    pub host: String,
    /// Availability zone of the host.
    pub zone: String,
    /// Address for connections from other hosts.
    pub address: String,
    /// Whether the platform is about to stop the host.
    pub leaving: bool,
}
