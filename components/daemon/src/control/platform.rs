//! Calls to the platform's store, with metrics and a record of the last contact.

use {
    crate::{clock, control::shared_state::SharedState},
    std::{
        fmt::Display,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
    },
    wigeonramp_control::store_result::{ReadResult, Stored, WriteResult},
    wigeonramp_store::{
        Change, Object, ObjectStore, PlatformHost, Precondition, ReadOutcome, StoreError,
        WriteOutcome,
    },
    wigeonramp_telemetry::{
        metrics::StoreLabels,
        timeline::{EventKind, NewEvent},
    },
    wigeonramp_units::{Revision, Span},
};

/// Purpose of a call, used as a metric label.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallKind {
    /// Reads and writes of the assignment; lists of sessions and hosts.
    Assign,
    /// Claims and their deletion.
    Claim,
    /// Plans and confirmations.
    Plan,
    /// Sessions of single instances.
    Session,
    /// Watches and the initial reads before them.
    Watch,
}

impl CallKind {
    fn as_str(self) -> &'static str {
        match self {
            Self::Assign => "assign",
            Self::Claim => "claim",
            Self::Plan => "plan",
            Self::Session => "session",
            Self::Watch => "watch",
        }
    }
}

/// Client of the platform's store for the control threads.
pub struct Platform<S> {
    available: AtomicBool,
    shared: Arc<SharedState>,
    store: S,
}

impl<S: ObjectStore> Platform<S> {
    /// Creates a client that calls `store`.
    pub fn new(store: S, shared: Arc<SharedState>) -> Self {
        Self { available: AtomicBool::new(true), shared, store }
    }

    /// Reads one key.
    pub fn get(&self, kind: CallKind, key: &str) -> Result<ReadOutcome, StoreError> {
        self.call(kind, || self.store.get(key))
    }

    /// Reads one key as a JSON value.
    pub fn read<T: serde::de::DeserializeOwned>(&self, kind: CallKind, key: &str) -> ReadResult<T> {
        match self.get(kind, key) {
            Ok(ReadOutcome::Found(object)) => parse(&object).map_or(ReadResult::Failed, |value| {
                ReadResult::Found(Stored { revision: object.revision, value })
            }),
            Ok(ReadOutcome::Missing) => ReadResult::Missing,
            Err(_) => ReadResult::Failed,
        }
    }

    /// Writes a JSON value if the key has revision `replaces`, or creates the key for `None`.
    pub fn write<T: serde::de::DeserializeOwned + serde::Serialize>(
        &self,
        kind: CallKind,
        key: &str,
        value: &T,
        replaces: Option<Revision>,
    ) -> WriteResult<T> {
        let body = serde_json::to_string(value).expect("stored values serialize to JSON");
        match self.put(kind, key, &body, replaces) {
            Ok(WriteOutcome::Written(revision)) => WriteResult::Written(revision),
            Ok(WriteOutcome::Conflict(None)) => WriteResult::Conflict(None),
            Ok(WriteOutcome::Conflict(Some(object))) => match parse(&object) {
                Some(value) => {
                    WriteResult::Conflict(Some(Stored { revision: object.revision, value }))
                }
                // The stored object cannot be parsed, and this write may still take effect later.
                None => WriteResult::Unknown,
            },
            Err(StoreError::Refused { .. } | StoreError::Unavailable { .. }) => {
                WriteResult::NoEffect
            }
            Err(StoreError::Unknown { .. } | StoreError::Malformed { .. }) => WriteResult::Unknown,
        }
    }

    /// Writes one key if it has revision `replaces`, or creates it for `None`.
    pub fn put(
        &self,
        kind: CallKind,
        key: &str,
        body: &str,
        replaces: Option<Revision>,
    ) -> Result<WriteOutcome, StoreError> {
        let precondition = replaces.map_or(Precondition::Create, Precondition::Revision);
        self.call(kind, || self.store.put(key, body, precondition))
    }

    /// Deletes one key if it has revision `at`.
    pub fn delete(
        &self,
        kind: CallKind,
        key: &str,
        at: Revision,
    ) -> Result<WriteOutcome, StoreError> {
        self.call(kind, || self.store.delete(key, at))
    }

    /// Reads all objects whose key has a prefix.
    pub fn list(&self, kind: CallKind, prefix: &str) -> Result<Vec<Object>, StoreError> {
        self.call(kind, || self.store.list(prefix))
    }

    /// Waits at most `wait` for changes after revision `after` of keys with a prefix.
    pub fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Span,
    ) -> Result<Vec<Change>, StoreError> {
        self.call(CallKind::Watch, || self.store.watch(prefix, after, wait))
    }

    /// Reads the platform's list of hosts.
    pub fn hosts(&self) -> Result<Vec<PlatformHost>, StoreError> {
        self.call(CallKind::Assign, || self.store.hosts())
    }

    fn call<T>(
        &self,
        kind: CallKind,
        call: impl FnOnce() -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let sent = clock::now();
        let result = call();
        let result_label = match &result {
            Ok(_) => "ok",
            Err(StoreError::Refused { .. }) => "refused",
            Err(StoreError::Unavailable { .. }) => "unavailable",
            Err(StoreError::Unknown { .. }) => "unknown",
            Err(StoreError::Malformed { .. }) => "malformed",
        };
        let labels =
            StoreLabels { kind: kind.as_str().to_owned(), result: result_label.to_owned() };
        let metrics = self.shared.metrics();
        metrics.store_calls.get_or_create(&labels).inc();
        let took = clock::now().since(sent).to_duration().as_secs_f64();
        metrics.store_seconds.get_or_create(&labels).observe(took);
        match &result {
            // A refusal also shows that the store is reachable.
            Ok(_) | Err(StoreError::Refused { .. }) => {
                self.shared.record_store_contact(sent);
                self.set_available(true, "answered");
            }
            Err(err) => self.set_available(false, err),
        }
        result
    }

    fn set_available(&self, available: bool, reason: impl Display) {
        if self.available.swap(available, Ordering::AcqRel) == available {
            return;
        }
        let kind = if available { EventKind::StoreAvailable } else { EventKind::StoreUnavailable };
        log::warn!("store available: {available} ({reason})");
        self.shared.record(NewEvent::now(kind).field("reason", reason));
    }
}

fn parse<T: serde::de::DeserializeOwned>(object: &Object) -> Option<T> {
    let parsed = serde_json::from_str(&object.body);
    parsed.inspect_err(|err| log::error!("{} cannot be parsed: {err}", object.key)).ok()
}
