//! Discovery of other hosts through the store.
//!
//! After the start, all sessions are listed repeatedly until the session of this host is among
//! them. Of two hosts that start together, the one whose session was written later then finds the
//! other. With a single list, hosts that all listed before they wrote never discovered each other.
//! After that, only single sessions are read: those of hosts in the assignment that no heartbeat
//! has reported.
//!
//! This runs on its own thread: a store that hangs must not delay heartbeats, which keep the rights
//! of the host from becoming stale.

use {
    crate::{
        clock,
        control::{
            host_directory::KnownHost,
            platform::{CallKind, Platform},
            shared_state::SharedState,
        },
    },
    std::{collections::BTreeSet, thread},
    wigeonramp_control::{backoff::Backoff, session::SessionRecord, store_result::ReadResult},
    wigeonramp_store::ObjectStore,
    wigeonramp_units::{InstanceId, Span},
};

/// Interval between lookups of unknown hosts.
const ROUND_INTERVAL: Span = Span::secs(1);
/// Maximum number of sessions read in a round.
const LOOKUPS_PER_ROUND: usize = 5;

/// Discovers hosts until this host stops.
pub fn run(shared: &SharedState, platform: &Platform<impl ObjectStore>) {
    let mut backoff = Backoff::default();
    let mut listed = false;
    while !shared.is_stopped() {
        let answered = if listed {
            look_up(shared, platform)
        } else {
            let found_this_host = list(shared, platform);
            listed = found_this_host == Some(true);
            found_this_host.is_some()
        };
        if answered {
            backoff.reset();
            thread::sleep(ROUND_INTERVAL.to_duration());
        } else {
            thread::sleep(backoff.next_delay(&mut rand::rng()).to_duration());
        }
    }
}

/// Reads all sessions. Returns whether the session of this host is among them, or `None` if the
/// store did not answer.
fn list(shared: &SharedState, platform: &Platform<impl ObjectStore>) -> Option<bool> {
    let objects = platform.list(CallKind::Session, "session/").ok()?;
    let records = objects.iter().filter_map(|object| {
        let record = serde_json::from_str::<SessionRecord>(&object.body);
        record.inspect_err(|err| log::error!("{} cannot be parsed: {err}", object.key)).ok()
    });
    let records: Vec<_> = records.collect();
    records.iter().for_each(|record| add_host(shared, record));
    let this_instance = shared.lock().identity.instance.clone();
    Some(records.iter().any(|record| record.instance == this_instance))
}

/// Reads the sessions of unknown hosts. Returns false if the store did not answer.
fn look_up(shared: &SharedState, platform: &Platform<impl ObjectStore>) -> bool {
    for id in unknown_hosts(shared).iter().take(LOOKUPS_PER_ROUND) {
        match platform.read(CallKind::Session, &SessionRecord::key(id)) {
            ReadResult::Found(found) => add_host(shared, &found.value),
            ReadResult::Missing => (),
            ReadResult::Failed => return false,
        }
    }
    true
}

fn unknown_hosts(shared: &SharedState) -> BTreeSet<InstanceId> {
    let state = shared.lock();
    let Some(assignment) = &state.assignment else { return BTreeSet::new() };
    let holdings = assignment.holdings.values();
    let involved = holdings.flat_map(|h| [Some(&h.instance), h.from.as_ref()]).flatten();
    let is_unknown =
        |id: &&InstanceId| state.hosts.get(id).is_none() && **id != state.identity.instance;
    involved.chain(assignment.assigner_ids()).filter(is_unknown).cloned().collect()
}

fn add_host(shared: &SharedState, record: &SessionRecord) {
    let mut state = shared.lock();
    if record.instance == state.identity.instance {
        return;
    }
    let changed = state.hosts.update(KnownHost::from_session(record, clock::now()));
    drop(state);
    if changed {
        shared.wakers().apply.wake();
    }
}
