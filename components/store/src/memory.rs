//! The object API in memory.
//!
//! `MemoryStore` follows the platform's semantics: one revision over all keys, conditional writes,
//! and watches that report the latest change of each key. Its faults are switched by methods and
//! take no time, so that tests need no clock.

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

/// A fake of the object API; clones share their content and faults.
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
    cells: Cells,
    hosts: Vec<PlatformHost>,
    down: bool,
    responses_to_drop: u32,
    stale: Option<Cells>,
    slow_calls: Option<u32>,
    late_writes: Vec<LateWrite>,
    calls: u64,
}

/// The latest change of each key; deleted keys stay as tombstones for watches.
type Cells = BTreeMap<String, Cell>;

#[derive(Clone, Debug)]
struct Cell {
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
struct LateWrite {
    calls_left: u32,
    write: Write,
}

impl MemoryStore {
    /// An empty store without faults.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the host list.
    pub fn set_hosts(&self, hosts: Vec<PlatformHost>) {
        self.lock().hosts = hosts;
    }

    /// Fault: every call fails as unavailable and changes nothing.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
        self.shared.changed.notify_all();
    }

    /// Fault: the answers of the next `n` writes are lost after the write.
    pub fn drop_responses(&self, n: u32) {
        self.lock().responses_to_drop = n;
    }

    /// Fault: `get` and `list` read the content of the moment at which this was switched on.
    pub fn set_stale_reads(&self, stale: bool) {
        let mut state = self.lock();
        state.stale = stale.then(|| state.cells.clone());
    }

    /// Fault: no call gets an answer, and each write takes effect `calls` later calls.
    ///
    /// `None` switches the fault off; writes that are still due then take effect at once.
    pub fn set_slow(&self, calls: Option<u32>) {
        let mut state = self.lock();
        state.slow_calls = calls;
        if calls.is_none() {
            state.apply_late(|_| true);
        }
        drop(state);
        self.shared.changed.notify_all();
    }

    /// The store's version now.
    pub fn revision(&self) -> Revision {
        self.lock().revision
    }

    /// Calls so far, failed ones included.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, write: Write) -> Result<WriteOutcome, StoreError> {
        let key = write.key.clone();
        if !is_key(&key) {
            return Err(StoreError::refused(&key, "not a key"));
        }
        let mut state = self.lock();
        state.begin(&key)?;
        if let Some(calls_left) = state.slow_calls {
            state.late_writes.push(LateWrite { calls_left, write });
            return Err(StoreError::unknown(&key, "timed out"));
        }
        let put = state.apply(write);
        self.shared.changed.notify_all();
        if state.responses_to_drop > 0 {
            state.responses_to_drop -= 1;
            return Err(StoreError::unknown(&key, "answer lost"));
        }
        Ok(put)
    }
}

impl State {
    /// Counts the call and applies writes that are due.
    fn begin(&mut self, key: &str) -> Result<(), StoreError> {
        self.calls += 1;
        for late in &mut self.late_writes {
            late.calls_left = late.calls_left.saturating_sub(1);
        }
        self.apply_late(|late| late.calls_left == 0);
        if self.down {
            return Err(StoreError::unavailable(key, "store is down"));
        }
        Ok(())
    }

    fn begin_read(&mut self, key: &str) -> Result<(), StoreError> {
        self.begin(key)?;
        match self.slow_calls {
            Some(_) => Err(StoreError::unknown(key, "timed out")),
            None => Ok(()),
        }
    }

    fn apply_late(&mut self, due: impl Fn(&LateWrite) -> bool) {
        let (now, later) =
            std::mem::take(&mut self.late_writes).into_iter().partition::<Vec<_>, _>(due);
        self.late_writes = later;
        for late in now {
            self.apply(late.write);
        }
    }

    fn apply(&mut self, write: Write) -> WriteOutcome {
        let current = find(&self.cells, &write.key);
        let holds = match write.precondition {
            Precondition::Create => current.is_none(),
            Precondition::Revision(revision) => {
                current.as_ref().is_some_and(|object| object.revision == revision)
            }
        };
        if !holds {
            return WriteOutcome::Conflict(current);
        }
        self.revision = self.revision.next();
        self.cells.insert(write.key, Cell { revision: self.revision, body: write.body });
        WriteOutcome::Written(self.revision)
    }

    fn readable(&self) -> &Cells {
        self.stale.as_ref().unwrap_or(&self.cells)
    }

    fn changes(&self, prefix: &str, after: Revision) -> Vec<Change> {
        let mut changes: Vec<_> = with_prefix(&self.cells, prefix)
            .filter(|(_, cell)| cell.revision > after)
            .map(|(key, cell)| Change {
                key: key.clone(),
                revision: cell.revision,
                body: cell.body.clone(),
            })
            .collect();
        changes.sort_by_key(|change| change.revision);
        changes
    }
}

fn with_prefix<'a>(
    cells: &'a Cells,
    prefix: &'a str,
) -> impl Iterator<Item = (&'a String, &'a Cell)> {
    cells.range(prefix.to_owned()..).take_while(move |(key, _)| key.starts_with(prefix))
}

fn to_object(key: &str, cell: &Cell) -> Option<Object> {
    let body = cell.body.clone()?;
    Some(Object { key: key.to_owned(), revision: cell.revision, body })
}

fn find(cells: &Cells, key: &str) -> Option<Object> {
    cells.get(key).and_then(|cell| to_object(key, cell))
}

impl ObjectStore for MemoryStore {
    fn get(&self, key: &str) -> Result<ReadOutcome, StoreError> {
        let mut state = self.lock();
        state.begin_read(key)?;
        Ok(find(state.readable(), key).map_or(ReadOutcome::Missing, ReadOutcome::Found))
    }

    fn list(&self, prefix: &str) -> Result<Vec<Object>, StoreError> {
        let mut state = self.lock();
        state.begin_read(prefix)?;
        let objects = with_prefix(state.readable(), prefix);
        Ok(objects.filter_map(|(key, cell)| to_object(key, cell)).collect())
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
        let until = Instant::now() + wait.to_duration();
        let mut state = self.lock();
        state.begin_read(prefix)?;
        loop {
            if state.down {
                return Err(StoreError::unknown(prefix, "store went down"));
            }
            let changes = state.changes(prefix, after);
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                return Ok(changes);
            }
            let woken = self.shared.changed.wait_timeout(state, left);
            state = woken.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn hosts(&self) -> Result<Vec<PlatformHost>, StoreError> {
        let mut state = self.lock();
        state.begin_read("hosts")?;
        Ok(state.hosts.clone())
    }
}
