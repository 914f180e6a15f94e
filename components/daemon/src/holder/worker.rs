//! Worker threads that carry out the actions that a leaf's [`Upstream`] decides on.
//!
//! [`Upstream`]: wigeonramp_serving::upstream::Upstream

use {
    crate::{
        clock,
        holder::{
            connection::{CallOutcome, Connection, LeafCall},
            job_result::JobResult,
            leaf::{HeldLeaf, State},
        },
        observe::AttemptRef,
        view::HolderRights,
    },
    parking_lot::MutexGuard,
    std::{
        io::{Error as IoError, Result as IoResult},
        panic::{AssertUnwindSafe, catch_unwind},
        process::abort,
        sync::Arc,
        thread,
        time::{Duration, Instant as StdInstant},
    },
    wigeonramp_serving::upstream::{ConnectionId, JobId, NextAction},
    wigeonramp_units::{BootId, Instant},
};

/// Timeout of a connect to a leaf, and of the health check that probes the connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Workers in addition to one per slot: one can open a connection while all slots are in use.
const EXTRA_WORKERS: u32 = 1;

/// Starts the workers of `leaf`. They end after [`HeldLeaf::end`].
pub fn start<R: HolderRights>(leaf: &Arc<HeldLeaf<R>>) -> IoResult<()> {
    let slots = leaf.spec().limits.slots.get().max(1);
    for n in 0..slots + EXTRA_WORKERS {
        let leaf = Arc::clone(leaf);
        let name = format!("{}-{n}", leaf.spec().leaf);
        thread::Builder::new().name(name).spawn(move || work_or_abort(&leaf))?;
    }
    Ok(())
}

/// Aborts the process on a panic: the count of requests at the leaf is then wrong, so no further
/// request may be sent.
fn work_or_abort<R: HolderRights>(leaf: &HeldLeaf<R>) {
    if catch_unwind(AssertUnwindSafe(|| work(leaf))).is_err() {
        log::error!("leaf {}: worker panicked, aborting the process", leaf.spec().leaf);
        abort();
    }
}

fn work<R: HolderRights>(leaf: &HeldLeaf<R>) {
    let mut state = leaf.state.lock();
    loop {
        let now = clock::now();
        let rights = leaf.rights.rights(&leaf.spec().leaf, now);
        match state.upstream.next_action(now, rights) {
            NextAction::Send { job, connection } => send(leaf, &mut state, job, connection, now),
            NextAction::Connect { connection, probe } => {
                connect(leaf, &mut state, connection, probe)
            }
            NextAction::Drop(job, refusal) => leaf.drop_job(&mut state, job, refusal, now),
            NextAction::Wait(_) if state.ended && state.upstream.is_drained() => {
                // The other workers end as well.
                leaf.changed.notify_all();
                return;
            }
            NextAction::Wait(until) => wait(leaf, &mut state, until),
        }
    }
}

fn wait<R>(leaf: &HeldLeaf<R>, state: &mut MutexGuard<'_, State>, until: Option<Instant>) {
    match until {
        None => leaf.changed.wait(state),
        Some(until) => {
            let deadline = StdInstant::now() + clock::until(until).to_duration();
            leaf.changed.wait_until(state, deadline);
        }
    }
}

fn send<R: HolderRights>(
    leaf: &HeldLeaf<R>,
    state: &mut MutexGuard<'_, State>,
    id: JobId,
    connection: ConnectionId,
    now: Instant,
) {
    let open_connection = state.connections.get(&connection).cloned();
    let Some(pending) = state.jobs.get_mut(&id) else {
        log::error!("leaf {}: queued job {} is unknown", leaf.spec().leaf, id.0);
        return;
    };
    pending.sent_at = Some(now);
    let call = pending.job.call.clone();
    // Another job may be ready for another worker.
    leaf.changed.notify_one();
    let expiry = clock::unix_at(call.deadline.min(leaf.rights.deadline_cap(now)));
    let outcome = MutexGuard::unlocked(state, || match open_connection {
        Some(connection) => connection.search(&call, expiry),
        None => CallOutcome::NotSent,
    });
    let ended_at = clock::now();
    let latency = ended_at.since(now);
    if let CallOutcome::InvalidResponse(what) = &outcome {
        leaf.observer.invalid_response(&attempt_ref(&call), what);
    }
    match &outcome {
        CallOutcome::Answered(_) => drop(state.snapshots.insert(call.snapshot)),
        CallOutcome::SnapshotGone(available) if !available.is_empty() => {
            state.snapshots = available.iter().copied().collect();
        }
        CallOutcome::SnapshotGone(_) => drop(state.snapshots.remove(&call.snapshot)),
        CallOutcome::NotSent => {
            state.connections.remove(&connection);
            state.upstream.connection_closed(connection);
        }
        _ => (),
    }
    let cancelled = state.jobs.get(&id).is_none_or(|pending| pending.cancelled);
    leaf.finish(state, id, JobResult::from_call(outcome, latency, cancelled), latency, ended_at);
    leaf.changed.notify_all();
}

fn connect<R: HolderRights>(
    leaf: &HeldLeaf<R>,
    state: &mut MutexGuard<'_, State>,
    id: ConnectionId,
    probe: bool,
) {
    leaf.changed.notify_one();
    let opened = MutexGuard::unlocked(state, || open(leaf, probe));
    let now = clock::now();
    let effects = match opened {
        Ok(opened) => {
            state.connections.insert(id, Arc::new(opened.connection));
            state.upstream.connected(id, opened.boot, now)
        }
        Err(err) => {
            let what = format!("connect failed: {err}");
            leaf.observer.connection_event(&leaf.spec().leaf, &what);
            state.upstream.connect_failed(id, now)
        }
    };
    leaf.apply(state, effects, now);
    leaf.changed.notify_all();
}

fn attempt_ref(call: &LeafCall) -> AttemptRef<'_> {
    AttemptRef {
        attempt: call.attempt,
        collection: &call.collection,
        leaf: &call.leaf,
        request: &call.request,
        shard: &call.shard,
    }
}

/// A newly opened connection and, after a probe, the boot id of the leaf.
struct Opened {
    boot: Option<BootId>,
    connection: Connection,
}

fn open<R: HolderRights>(leaf: &HeldLeaf<R>, probe: bool) -> IoResult<Opened> {
    let connection = Connection::open(leaf.spec().address, CONNECT_TIMEOUT)?;
    if !probe {
        return Ok(Opened { boot: None, connection });
    }
    let health = connection.health(CONNECT_TIMEOUT).map_err(IoError::other)?;
    Ok(Opened { boot: health.boot, connection })
}
