//! State of one leaf and its request accounting.

use {
    crate::{
        StandinError,
        leaves::{
            cold::{ColdState, LoadContext},
            counters::{LeafCounters, LeafStatus, unix_now},
            fault::{ActiveFaults, LeafFault},
            index::SnapshotIndex,
            search::SearchResult,
            settings::{HealthReport, LeafSettings},
        },
        net::Listener,
    },
    rand::RngExt,
    rand_chacha::{ChaCha8Rng, rand_core::SeedableRng},
    serde::{Deserialize, Serialize},
    std::{
        collections::HashMap,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, OwnedSemaphorePermit, Semaphore},
        time::sleep,
    },
    wigeonramp_config::LeafLimits,
    wigeonramp_units::{
        BootId, Digest, LeafId, Percent, RequestId, SnapshotId, Span, UnixMillis, ZoneId,
    },
};

/// One leaf and its listener.
#[derive(Debug)]
pub(crate) struct Leaf {
    pub(crate) id: LeafId,
    pub(crate) zone: ZoneId,
    pub(crate) limits: LeafLimits,
    pub(crate) listener: Arc<Listener>,
    slots: Arc<Semaphore>,
    state: Mutex<State>,
}

/// Mutable state of a leaf.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: LeafSettings,
    pub(crate) faults: ActiveFaults,
    pub(crate) counters: LeafCounters,
    pub(crate) index: SnapshotIndex,
    /// Last result that was sent, for the faults that send it again.
    pub(crate) previous_result: Option<SearchResult>,
    rng: ChaCha8Rng,
    /// Start time of the process; keeps boot ids unique across restarts of the stand-in.
    process_start: UnixMillis,
    /// Number of the current start of the leaf, from 1.
    start_number: u64,
    cold: Option<ColdState>,
    waiting: usize,
    /// Number of the last crash; earlier crashes no longer restart the leaf.
    crash_number: u64,
    /// Cancellation signals of the attempts that wait or run.
    attempts: HashMap<String, Arc<Notify>>,
}

/// Start parameters of a leaf.
#[derive(Clone, Debug)]
pub(crate) struct LeafConfig {
    pub(crate) id: LeafId,
    pub(crate) zone: ZoneId,
    pub(crate) limits: LeafLimits,
    pub(crate) index: SnapshotIndex,
    pub(crate) settings: LeafSettings,
    pub(crate) seed: u64,
    pub(crate) start_warm: bool,
}

/// Body of `GET /health`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Health {
    /// Boot id.
    pub boot: BootId,
    /// Whether the leaf is cold.
    pub cold: bool,
    /// Whether the leaf is leaving.
    pub leaving: bool,
    /// Slots in use, in percent.
    pub load: Percent,
    /// Snapshots that the leaf holds.
    pub snapshots: Vec<SnapshotId>,
}

/// A request in flight; ends its accounting when dropped.
pub(crate) struct InFlightRequest {
    leaf: Arc<Leaf>,
    start_number: u64,
    /// Whether the leaf was cold and the request within the cold allowance on arrival.
    within_cold_allowance: bool,
    responded: bool,
}

impl Leaf {
    pub(crate) fn new(cfg: LeafConfig, listener: Arc<Listener>) -> Self {
        let LeafConfig { id, zone, limits, index, settings, seed, start_warm } = cfg;
        let now = Instant::now();
        let counters = LeafCounters { cold_starts: u64::from(!start_warm), ..Default::default() };
        let state = State {
            settings,
            faults: ActiveFaults::default(),
            counters,
            index,
            previous_result: None,
            rng: ChaCha8Rng::seed_from_u64(seed ^ Digest::of(id.as_str().as_bytes()).0),
            process_start: unix_now(),
            start_number: 1,
            cold: (!start_warm).then(|| ColdState::start(now, Some(now))),
            waiting: 0,
            crash_number: 0,
            attempts: HashMap::new(),
        };
        let slots = Arc::new(Semaphore::new(limits.slots.get() as usize));
        Self { id, zone, limits, listener, slots, state: Mutex::new(state) }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn boot_id(&self) -> BootId {
        self.lock().boot_id()
    }

    /// Records a new connection; returns `false` if it exceeds the connection limit.
    pub(crate) fn record_connect(&self, open: usize) -> bool {
        let mut state = self.lock();
        state.update_cold_state();
        let State { cold, counters, .. } = &mut *state;
        if let Some(cold) = cold {
            cold.record_connect(&mut LoadContext {
                now: Instant::now(),
                limits: &self.limits,
                counters,
            });
        }
        if open > self.limits.connections.get() as usize {
            counters.connects_refused += 1;
            return false;
        }
        counters.connects += 1;
        counters.most_connections = counters.most_connections.max(open as u64);
        true
    }

    /// Occupies a slot for the cost of a new connection.
    pub(crate) async fn spend_connect_cost(&self) {
        if self.limits.connect_cost == Span::ZERO {
            return;
        }
        let Ok(_slot) = self.slots.acquire().await else { return };
        let cost = self.lock().apply_cold_slowdown(self.limits.connect_cost);
        sleep(cost.to_duration()).await;
    }

    /// Records a new search request.
    pub(crate) fn record_arrival(self: &Arc<Self>) -> InFlightRequest {
        let mut state = self.lock();
        state.update_cold_state();
        state.counters.count_arrival(unix_now());
        let State { cold, counters, start_number, .. } = &mut *state;
        let mut cx = LoadContext { now: Instant::now(), limits: &self.limits, counters };
        let within_cold_allowance = cold.as_mut().is_some_and(|cold| cold.record_arrival(&mut cx));
        InFlightRequest {
            leaf: self.clone(),
            start_number: *start_number,
            within_cold_allowance,
            responded: false,
        }
    }

    /// Waits for a slot; returns `None` if the queue is full.
    pub(crate) async fn acquire_slot(self: &Arc<Self>) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        let _queued = {
            let mut state = self.lock();
            if state.waiting >= state.settings.queue {
                return None;
            }
            state.waiting += 1;
            QueuedRequest(self.clone())
        };
        self.slots.clone().acquire_owned().await.ok()
    }

    /// Records the start of a run and returns its service time.
    pub(crate) fn start_run(&self, id: &RequestId) -> Span {
        let mut state = self.lock();
        state.update_cold_state();
        state.counters.count_run(id);
        let slots_in_use =
            (self.limits.slots.get() as usize).saturating_sub(self.slots.available_permits());
        state.counters.most_slots = state.counters.most_slots.max(slots_in_use as u64);
        let State { settings, rng, faults, .. } = &mut *state;
        let mut time = settings.service.sample(rng);
        for (percent, factor) in [
            (settings.straggler_percent, settings.straggler_factor),
            (faults.straggle, faults.straggle_factor),
        ] {
            if random_chance(rng, percent) {
                time = time * u64::from(factor);
            }
        }
        state.apply_cold_slowdown(time)
    }

    /// Makes the attempt cancellable until the returned value is dropped.
    pub(crate) fn register_attempt(self: &Arc<Self>, attempt: &str) -> RegisteredAttempt {
        let cancelled = Arc::new(Notify::new());
        self.lock().attempts.insert(attempt.to_owned(), cancelled.clone());
        RegisteredAttempt { leaf: self.clone(), attempt: attempt.to_owned(), cancelled }
    }

    /// Cancels the attempt; returns `false` if it neither waits nor runs at this leaf.
    pub(crate) fn cancel_attempt(&self, attempt: &str) -> bool {
        match self.lock().attempts.get(attempt) {
            Some(cancelled) => {
                cancelled.notify_one();
                true
            }
            None => false,
        }
    }

    /// Decides at random whether a fault with a percentage applies to this request or response.
    pub(crate) fn fault_applies(&self, percent: impl Fn(&ActiveFaults) -> Percent) -> bool {
        let mut state = self.lock();
        let percent = percent(&state.faults);
        random_chance(&mut state.rng, percent)
    }

    pub(crate) async fn inject_fault(self: &Arc<Self>, fault: &LeafFault) {
        self.lock().faults.set(fault);
        match fault {
            LeafFault::Clear {} => self.listener.set_open(true).await,
            LeafFault::Crash { down } => self.crash(*down).await,
            LeafFault::Silent {} => self.listener.silence_connections(),
            LeafFault::DropSnapshot { snapshot } => self.lock().index.drop_snapshot(*snapshot),
            LeafFault::AddSnapshot { snapshot, map_version, shards } => {
                self.lock().index.add(*snapshot, *map_version, shards.clone());
            }
            LeafFault::TurnCold { break_connections } => self.turn_cold(*break_connections).await,
            LeafFault::Listener { open } => self.listener.set_open(*open).await,
            _ => {}
        }
    }

    /// Closes the listener, resets all connections, and restarts the leaf cold after `down`.
    pub(crate) async fn crash(self: &Arc<Self>, down: Span) {
        let crash = {
            let mut state = self.lock();
            state.counters.crashes += 1;
            state.crash_number += 1;
            state.crash_number
        };
        self.listener.set_open(false).await;
        self.listener.reset_connections().await;
        let leaf = self.clone();
        tokio::spawn(async move {
            sleep(down.to_duration()).await;
            if leaf.lock().crash_number == crash {
                leaf.turn_cold(true).await;
                leaf.listener.set_open(true).await;
            }
        });
    }

    async fn turn_cold(&self, break_connections: bool) {
        self.start_cold(break_connections);
        if break_connections {
            self.listener.reset_connections().await;
        }
    }

    /// Makes the leaf cold with a new boot id. `announced` is true if connection resets announce
    /// the cold start to clients before the first response does.
    fn start_cold(&self, announced: bool) {
        let mut state = self.lock();
        let now = Instant::now();
        let grace = state.settings.announce_grace.to_duration();
        state.start_number += 1;
        state.counters.cold_starts += 1;
        state.cold = Some(ColdState::start(now, announced.then(|| now + grace)));
    }

    pub(crate) fn health(&self) -> Health {
        let mut state = self.lock();
        state.update_cold_state();
        let slots = self.limits.slots.get().max(1);
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(slots);
        let load = Percent(100 * (slots - free.min(slots)) / slots);
        let (cold, leaving) = (state.cold.is_some(), state.faults.leaving);
        let (cold, leaving, load) = match state.settings.health {
            HealthReport::Truthful => (cold, leaving, load),
            HealthReport::AlwaysWell => (false, false, Percent(0)),
            HealthReport::AlwaysIll => (true, false, Percent(100)),
        };
        Health { boot: state.boot_id(), cold, leaving, load, snapshots: state.index.snapshots() }
    }

    pub(crate) fn status(&self) -> LeafStatus {
        let mut state = self.lock();
        state.update_cold_state();
        let mut counters = state.counters.clone();
        counters.waiting = state.waiting as u64;
        counters.open_connections = self.listener.open_connections() as u64;
        let (boot, cold) = (state.boot_id(), state.cold.is_some());
        LeafStatus { leaf: self.id.clone(), boot, cold, counters }
    }
}

impl State {
    fn boot_id(&self) -> BootId {
        format_boot_id(self.process_start, self.start_number)
    }

    /// Ends the cold state if it is over.
    fn update_cold_state(&mut self) {
        let is_over = |cold: &ColdState| cold.is_over(&self.settings, Instant::now());
        if self.cold.as_ref().is_some_and(is_over) {
            self.cold = None;
        }
    }

    fn apply_cold_slowdown(&self, time: Span) -> Span {
        let slowdown = self.cold.as_ref().map(|cold| cold.slowdown(&self.settings));
        time.percent(slowdown.map_or(100, |percent| percent.get().into()))
    }
}

impl InFlightRequest {
    /// Records that the response is sent; `has_rows` if it is a response with rows.
    pub(crate) fn finish(mut self, has_rows: bool) {
        self.responded = true;
        let leaf = self.leaf.clone();
        let mut state = leaf.lock();
        let State { cold, counters, settings, start_number, .. } = &mut *state;
        counters.answered += u64::from(has_rows);
        if let Some(cold) = cold.as_mut() {
            cold.record_announcement(settings, Instant::now());
            if has_rows && self.within_cold_allowance && self.start_number == *start_number {
                cold.record_served();
            }
        }
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        let mut state = self.leaf.lock();
        state.counters.in_flight = state.counters.in_flight.saturating_sub(1);
        state.counters.abandoned += u64::from(!self.responded);
        if self.start_number == state.start_number
            && let Some(cold) = state.cold.as_mut()
        {
            cold.record_end();
        }
    }
}

/// An attempt that waits or runs and can be cancelled.
pub(crate) struct RegisteredAttempt {
    leaf: Arc<Leaf>,
    attempt: String,
    cancelled: Arc<Notify>,
}

impl RegisteredAttempt {
    /// Waits until the attempt is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.cancelled.notified().await;
    }
}

impl Drop for RegisteredAttempt {
    fn drop(&mut self) {
        let mut state = self.leaf.lock();
        // Another client may have registered the same attempt id since.
        let registered = state.attempts.get(&self.attempt);
        if registered.is_some_and(|signal| Arc::ptr_eq(signal, &self.cancelled)) {
            state.attempts.remove(&self.attempt);
        }
    }
}

/// A request that waits for a slot.
struct QueuedRequest(Arc<Leaf>);

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

/// Returns true with a probability of `percent`.
fn random_chance(rng: &mut ChaCha8Rng, percent: Percent) -> bool {
    // Draws no number for 0, so that an inactive fault does not change the random sequence.
    percent.get() > 0 && rng.random_range(0..100) < percent.get()
}

fn format_boot_id(process_start: UnixMillis, start_number: u64) -> BootId {
    match format!("boot-{process_start}-{start_number}").parse() {
        Ok(boot) => boot,
        Err(err) => unreachable!("the boot id is well formed: {err}"),
    }
}

/// Checks that a delay does not exceed the maximum.
pub(crate) fn validate_delay(name: &'static str, delay: Span) -> Result<(), StandinError> {
    const MAX_DELAY: Duration = Duration::from_secs(3600);
    if delay.to_duration() > MAX_DELAY {
        return Err(StandinError::InvalidValue { name, expected: "at most 60min" });
    }
    Ok(())
}
