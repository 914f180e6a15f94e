//! Tests the faults of the in-memory store: each error must tell correctly whether the write took
//! effect.

use {
    std::thread::spawn,
    wigeonramp_store::{
        MemoryStore, ObjectStore, Precondition, ReadOutcome, StoreError, WriteOutcome,
    },
    wigeonramp_units::{Revision, Span},
};

const KEY: &str = "config/current";

fn body(store: &MemoryStore) -> Option<String> {
    match store.get(KEY) {
        Ok(ReadOutcome::Found(object)) => Some(object.body),
        Ok(ReadOutcome::Missing) => None,
        Err(err) => panic!("get: {err}"),
    }
}

fn create(store: &MemoryStore) -> Result<WriteOutcome, StoreError> {
    store.put(KEY, "{}", Precondition::Create)
}

/// Guards against a store that is down but still applies writes.
#[test]
fn down_changes_nothing() {
    let store = MemoryStore::new();
    store.set_down(true);
    assert!(matches!(create(&store), Err(StoreError::Unavailable { .. })));
    assert!(matches!(store.list(""), Err(StoreError::Unavailable { .. })));
    store.set_down(false);
    assert_eq!(body(&store), None);
    assert_eq!(store.calls(), 3);
}

/// Guards against a lost response that is reported as a failed write, and against losing more
/// responses than requested.
#[test]
fn lost_answer_means_written() {
    let store = MemoryStore::new();
    store.drop_responses(1);
    assert!(matches!(create(&store), Err(StoreError::Unknown { .. })));
    assert_eq!(body(&store).as_deref(), Some("{}"));
    let put = store.put(KEY, "[]", Precondition::Revision(Revision(1)));
    assert_eq!(put, Ok(WriteOutcome::Written(Revision(2))));
}

/// Guards against stale reads that also make conditional writes compare with the stale content.
#[test]
fn stale_reads_leave_writes_current() {
    let store = MemoryStore::new();
    create(&store).expect("create");
    store.set_stale_reads(true);
    let put = store.put(KEY, "[]", Precondition::Revision(Revision(1)));
    assert_eq!(put, Ok(WriteOutcome::Written(Revision(2))));
    assert_eq!(body(&store).as_deref(), Some("{}"));
    store.set_stale_reads(false);
    assert_eq!(body(&store).as_deref(), Some("[]"));
}

/// Guards against a delayed write that takes effect at once or never.
#[test]
fn slow_write_takes_effect_later() {
    let store = MemoryStore::new();
    store.set_slow(Some(2));
    assert!(matches!(create(&store), Err(StoreError::Unknown { .. })));
    assert_eq!(store.revision(), Revision(0));
    assert!(matches!(store.get(KEY), Err(StoreError::Unknown { .. })));
    assert_eq!(store.revision(), Revision(0));
    assert!(matches!(store.get(KEY), Err(StoreError::Unknown { .. })));
    assert_eq!(store.revision(), Revision(1));
}

/// Guards against delayed writes that are lost when the fault is removed.
#[test]
fn slow_writes_are_applied_at_recovery() {
    let store = MemoryStore::new();
    store.set_slow(Some(1_000));
    assert!(create(&store).is_err());
    store.set_slow(None);
    assert_eq!(body(&store).as_deref(), Some("{}"));
}

/// Guards against a watch on one clone that misses a write through another clone.
#[test]
fn watch_wakes_on_writes_of_clones() {
    let store = MemoryStore::new();
    let writer = store.clone();
    let watcher = spawn(move || store.watch("config/", Revision(0), Span::secs(10)));
    create(&writer).expect("create");
    let changes = watcher.join().expect("watcher").expect("watch");
    assert_eq!(changes.len(), 1);
}
