//! Learns of hosts from the store: all sessions after the start, until this host's own is among them,
//! and later single sessions of hosts that the assignment names and no heartbeat has described.
//!
//! Of two hosts that start together, the one whose session was written later then finds the other.
//! With a single list, hosts that all listed before they wrote never heard of each other.
//!
//! This has a thread of its own: a store that hangs must not hold up heartbeats, which keep the
//! host's rights fresh.

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

/// Time between two looks for unknown hosts.
const ROUND: Span = Span::secs(1);
/// Sessions read in one round.
const LOOKUPS: usize = 5;

/// Learns of hosts until this one stops.
pub fn run(shared: &SharedState, platform: &Platform<impl ObjectStore>) {
    let mut backoff = Backoff::default();
    let mut listed = false;
    while !shared.is_stopped() {
        let answered = if listed {
            look_up(shared, platform)
        } else {
            let own = list(shared, platform);
            listed = own == Some(true);
            own.is_some()
        };
        if answered {
            backoff.reset();
            thread::sleep(ROUND.to_duration());
        } else {
            thread::sleep(backoff.next_delay(&mut rand::rng()).to_duration());
        }
    }
}

/// Reads all sessions; returns whether this host's own is among them, none if the store did not answer.
fn list(shared: &SharedState, platform: &Platform<impl ObjectStore>) -> Option<bool> {
    let objects = platform.list(CallKind::Session, "session/").ok()?;
    let records = objects.iter().filter_map(|object| {
        let record = serde_json::from_str::<SessionRecord>(&object.body);
        record.inspect_err(|err| log::error!("{} cannot be read: {err}", object.key)).ok()
    });
    let records: Vec<_> = records.collect();
    records.iter().for_each(|record| hear(shared, record));
    let me = shared.lock().identity.instance.clone();
    Some(records.iter().any(|record| record.instance == me))
}

/// Reads the sessions of unknown hosts; false if the store did not answer.
fn look_up(shared: &SharedState, platform: &Platform<impl ObjectStore>) -> bool {
    for id in unknown(shared).iter().take(LOOKUPS) {
        match platform.read(CallKind::Session, &SessionRecord::key(id)) {
            ReadResult::Found(found) => hear(shared, &found.value),
            ReadResult::Missing => (),
            ReadResult::Failed => return false,
        }
    }
    true
}

fn unknown(shared: &SharedState) -> BTreeSet<InstanceId> {
    let state = shared.lock();
    let Some(assignment) = &state.assignment else { return BTreeSet::new() };
    let holdings = assignment.holdings.values();
    let involved = holdings.flat_map(|h| [Some(&h.instance), h.from.as_ref()]).flatten();
    let strange =
        |id: &&InstanceId| state.hosts.get(id).is_none() && **id != state.identity.instance;
    involved.chain(assignment.assigner_ids()).filter(strange).cloned().collect()
}

fn hear(shared: &SharedState, record: &SessionRecord) {
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
