//! `MemoryStore`, a fake of the object API for tests.
//!
//! `MemoryStore` has the platform's semantics: one revision counter for all keys, conditional
//! writes, and watches that report the latest change of each key. Faults are injected by methods
//! and depend on the number of calls instead of on time, so that tests need no clock.

use {
    crate::{
        Change, MAX_VALUE_BYTES, Object, ObjectStore, PlatformHost, Precondition, ReadOutcome,
        StoreError, WriteOutcome, is_key,
    },
    std::{
        collections::BTreeMap,
        sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError},
        time::Instant,
    },
    wigeonramp_units::{Revision, Span},
};

/// In-memory implementation of the object API; clones share their content and faults.
#[derive(Clone, Debug, Default)]
pub struct MemoryStore {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct State {
    revision: Revision,
    entries: Entries,
    hosts: Vec<PlatformHost>,
    down: bool,
    responses_to_drop: u32,
    stale_entries: Option<Entries>,
    write_delay: Option<u32>,
    delayed_writes: Vec<DelayedWrite>,
    calls: u64,
}

/// The latest change of each key; a deleted key stays as a tombstone, so that watches report it.
type Entries = BTreeMap<String, Entry>;

#[derive(Clone, Debug)]
struct Entry {
    revision: Revision,
    body: Option<String>,
}

#[derive(Clone, Debug)]
struct Write {
    key: String,
    body: Option<String>,
    precondition: Precondition,
}

#[derive(Debug)]
struct DelayedWrite {
    calls_left: u32,
    write: Write,
}

impl MemoryStore {
    /// Creates an empty store without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the list that `hosts` returns.
    pub fn set_hosts(&self, hosts: Vec<PlatformHost>) {
        self.lock().hosts = hosts;
    }

    /// Sets whether every call fails as `Unavailable` and changes nothing.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.shared.changed.notify_all();
    }

    /// Injects a fault: the next `n` writes take effect but fail as `Unknown`, as if the response
    /// had been lost.
    pub fn drop_responses(&self, n: u32) {
        self.lock().responses_to_drop = n;
    }

    /// Sets whether `get` and `list` keep returning the content at the time of this call.
    pub fn set_stale_reads(&self, stale: bool) {
        let mut state = self.lock();
        state.stale_entries = stale.then(|| state.entries.clone());
    }

    /// Injects a fault: every call fails as `Unknown`, as if it had timed out, and each write takes
    /// effect `calls` calls later.
    ///
    /// `None` removes the fault and applies all delayed writes.
    pub fn set_slow(&self, calls: Option<u32>) {
        let mut state = self.lock();
        state.write_delay = calls;
        if calls.is_none() {
            state.apply_delayed(|_| true);
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// Returns the current revision of the store.
    pub fn revision(&self) -> Revision {
        self.lock().revision
    }

    /// Returns the number of calls so far, including failed ones.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        let key = write.key.clone();
        if !is_key(&key) {
            return Err(StoreError::refused(&key, "invalid key"));
        }
        let mut state = self.lock();
        state.begin_call(&key)?;
        if let Some(calls_left) = state.write_delay {
            state.delayed_writes.push(DelayedWrite { calls_left, write });
            return Err(StoreError::unknown(&key, "timed out"));
        }
        let outcome = state.apply(write);
        self.shared.changed.notify_all();
        if state.responses_to_drop > 0 {
            state.responses_to_drop -= 1;
            return Err(StoreError::unknown(&key, "response lost"));
        }
        Ok(outcome)
    }
}

impl State {
    /// Counts the call and applies delayed writes that are due. Fails if the store is down.
    fn begin_call(&mut self, key: &str) -> Result<(), StoreError> {
        self.calls += 1;
        for delayed in &mut self.delayed_writes {
            delayed.calls_left = delayed.calls_left.saturating_sub(1);
        }
        self.apply_delayed(|delayed| delayed.calls_left == 0);
        if self.down {
            return Err(StoreError::unavailable(key, "store is down"));
        }
        Ok(())
    }

    fn begin_read(&mut self, key: &str) -> Result<(), StoreError> {
        self.begin_call(key)?;
        match self.write_delay {
            Some(_) => Err(StoreError::unknown(key, "timed out")),
            None => Ok(()),
        }
    }

    fn apply_delayed(&mut self, due: impl Fn(&DelayedWrite) -> bool) {
        let (ready, pending) =
            std::mem::take(&mut self.delayed_writes).into_iter().partition::<Vec<_>, _>(due);
        self.delayed_writes = pending;
        for delayed in ready {
            self.apply(delayed.write);
        }
    }

    fn apply(&mut self, write: Write) -> WriteOutcome {
        let current = find_object(&self.entries, &write.key);
        let precondition_holds = match write.precondition {
            Precondition::Create => current.is_none(),
            Precondition::Revision(revision) => {
                current.as_ref().is_some_and(|object| object.revision == revision)
            }
        };
        if !precondition_holds {
            return WriteOutcome::Conflict(current);
        }
        self.revision = self.revision.next();
        self.entries.insert(write.key, Entry { revision: self.revision, body: write.body });
        WriteOutcome::Written(self.revision)
    }

    fn readable_entries(&self) -> &Entries {
        self.stale_entries.as_ref().unwrap_or(&self.entries)
    }

    fn changes(&self, prefix: &str, after: Revision) -> Vec<Change> {
        let mut changes: Vec<_> = with_prefix(&self.entries, prefix)
            .filter(|(_, entry)| entry.revision > after)
            .map(|(key, entry)| Change {
                key: key.clone(),
                revision: entry.revision,
                body: entry.body.clone(),
            })
            .collect();
        changes.sort_by_key(|change| change.revision);
        changes
    }
}

fn with_prefix<'a>(
    entries: &'a Entries,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a String, &'a Entry)> {
    entries.range(prefix.to_owned()..).take_while(move |(key, _)| key.starts_with(prefix))
}

fn to_object(key: &str, entry: &Entry) -> Option<Object> {
    let body = entry.body.clone()?;
    Some(Object { key: key.to_owned(), revision: entry.revision, body })
}

fn find_object(entries: &Entries, key: &str) -> Option<Object> {
    entries.get(key).and_then(|entry| to_object(key, entry))
}

impl ObjectStore for MemoryStore {
    fn get(&self, key: &str) -> Result<ReadOutcome, StoreError> {
        let mut state = self.lock();
        state.begin_read(key)?;
        Ok(find_object(state.readable_entries(), key)
            .map_or(ReadOutcome::Missing, ReadOutcome::Found))
    }

    fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        let mut state = self.lock();
        state.begin_read(prefix)?;
        let objects = with_prefix(state.readable_entries(), prefix);
        Ok(objects.filter_map(|(key, entry)| to_object(key, entry)).collect())
    }

    fn put(
        &self,
        key: &str,
        body: &str,
        precondition: Precondition,
    ) -> Result<WriteOutcome, StoreError> {
        if body.len() > MAX_VALUE_BYTES {
            return Err(StoreError::refused(key, "value over 1 MiB"));
        }
        self.write(Write { key: key.to_owned(), body: Some(body.to_owned()), precondition })
    }

    fn delete(&self, key: &str, revision: Revision) -> Result<WriteOutcome, StoreError> {
        let precondition = Precondition::Revision(revision);
        self.write(Write { key: key.to_owned(), body: None, precondition })
    }

    fn watch(&self, prefix: &str, after: Revision, wait: Span) -> Result<Vec<Change>, StoreError> {
        let deadline = Instant::now() + wait.to_duration();
        let mut state = self.lock();
        state.begin_read(prefix)?;
        loop {
            if state.down {
                return Err(StoreError::unknown(prefix, "store went down"));
            }
            let changes = state.changes(prefix, after);
            let remaining = deadline.saturating_duration_since(Instant::now());
            if !changes.is_empty() || remaining.is_zero() {
                return Ok(changes);
            }
            let woken = self.shared.changed.wait_timeout(state, remaining);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn hosts(&self) -> Result<Vec<PlatformHost>, StoreError> {
        let mut state = self.lock();
        state.begin_read("hosts")?;
        Ok(state.hosts.clone())
    }
}
