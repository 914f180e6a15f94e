//! The state of one leaf.

use {
    crate::{
        StandinError,
        leaves::{
            cold::{Cold, Load},
            counters::{LeafCounters, LeafStatus, unix_now},
            fault::{Faults, LeafFault},
            index::Index,
            search::Answered,
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

/// One leaf behind its port.
#[derive(Debug)]
pub(crate) struct Leaf {
    pub(crate) id: LeafId,
    pub(crate) zone: ZoneId,
    pub(crate) limits: LeafLimits,
    pub(crate) port: Arc<Listener>,
    slots: Arc<Semaphore>,
    state: Mutex<State>,
}

/// The part of a leaf that changes.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: LeafSettings,
    pub(crate) faults: Faults,
    pub(crate) counters: LeafCounters,
    pub(crate) index: Index,
    pub(crate) previous: Option<Answered>,
    rng: ChaCha8Rng,
    /// Start of the process; keeps boot ids new when the stand-in itself restarts.
    process: UnixMillis,
    starts: u64,
    cold: Option<Cold>,
    waiting: usize,
    /// Crashes that wait for their restart; only the last one restarts the leaf.
    downs: u64,
    attempts: HashMap<String, Arc<Notify>>,
}

/// What a leaf is started with.
#[derive(Clone, Debug)]
pub(crate) struct LeafParts {
    pub(crate) id: LeafId,
    pub(crate) zone: ZoneId,
    pub(crate) limits: LeafLimits,
    pub(crate) index: Index,
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
    /// Slots in use, in hundredths.
    pub load: Percent,
    /// Snapshots that the leaf holds.
    pub snapshots: Vec<SnapshotId>,
}

/// Marks a request that was counted on arrival; uncounts it when dropped.
pub(crate) struct InFlight {
    leaf: Arc<Leaf>,
    start: u64,
    within_cold: bool,
    answered: bool,
}

impl Leaf {
    pub(crate) fn new(parts: LeafParts, port: Arc<Listener>) -> Self {
        let LeafParts { id, zone, limits, index, settings, seed, start_warm } = parts;
        let now = Instant::now();
        let counters = LeafCounters { cold_starts: u64::from(!start_warm), ..Default::default() };
        let state = State {
            settings,
            faults: Faults::default(),
            counters,
            index,
            previous: None,
            rng: ChaCha8Rng::seed_from_u64(seed ^ Digest::of(id.as_str().as_bytes()).0),
            process: unix_now(),
            starts: 1,
            cold: (!start_warm).then(|| Cold::start(now, Some(now))),
            waiting: 0,
            downs: 0,
            attempts: HashMap::new(),
        };
        let slots = Arc::new(Semaphore::new(limits.slots.get() as usize));
        Self { id, zone, limits, port, slots, state: Mutex::new(state) }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn boot(&self) -> BootId {
        self.lock().boot()
    }

    /// Counts a new connection; `false` if it is over the cap.
    pub(crate) fn count_connect(&self, open: usize) -> bool {
        let mut state = self.lock();
        state.refresh();
        let State { cold, counters, .. } = &mut *state;
        if let Some(cold) = cold {
            cold.connected(&mut Load { now: Instant::now(), limits: &self.limits, counters });
        }
        if open > self.limits.connections.get() as usize {
            counters.connects_refused += 1;
            return false;
        }
        counters.connects += 1;
        counters.most_connections = counters.most_connections.max(open as u64);
        true
    }

    /// Spends the cost of a connection in a slot.
    pub(crate) async fn pay_connect(&self) {
        if self.limits.connect_cost == Span::ZERO {
            return;
        }
        let Ok(_slot) = self.slots.acquire().await else { return };
        let cost = self.lock().slowed(self.limits.connect_cost);
        sleep(cost.to_duration()).await;
    }

    /// Counts a search request that arrived.
    pub(crate) fn arrive(self: &Arc<Self>) -> InFlight {
        let mut state = self.lock();
        state.refresh();
        state.counters.count_arrival(unix_now());
        let State { cold, counters, starts, .. } = &mut *state;
        let mut load = Load { now: Instant::now(), limits: &self.limits, counters };
        let within_cold = cold.as_mut().is_some_and(|cold| cold.arrived(&mut load));
        InFlight { leaf: self.clone(), start: *starts, within_cold, answered: false }
    }

    /// Waits for a slot; `None` if too many already wait.
    pub(crate) async fn slot(self: &Arc<Self>) -> Option<OwnedSemaphorePermit> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Some(slot);
        }
        let _waiting = {
            let mut state = self.lock();
            if state.waiting >= state.settings.queue {
                return None;
            }
            state.waiting += 1;
            Waiting(self.clone())
        };
        self.slots.clone().acquire_owned().await.ok()
    }

    /// Counts a run and returns how long it takes.
    pub(crate) fn count_run(&self, id: &RequestId) -> Span {
        let mut state = self.lock();
        state.refresh();
        state.counters.count_run(id);
        let used =
            (self.limits.slots.get() as usize).saturating_sub(self.slots.available_permits());
        state.counters.most_slots = state.counters.most_slots.max(used as u64);
        let State { settings, rng, faults, .. } = &mut *state;
        let mut time = settings.service.draw(rng);
        for (percent, factor) in [
            (settings.straggler_percent, settings.straggler_factor),
            (faults.straggle, faults.straggle_factor),
        ] {
            if hits(rng, percent) {
                time = time * u64::from(factor);
            }
        }
        state.slowed(time)
    }

    /// Makes the attempt known to `cancel` until the mark is dropped.
    pub(crate) fn register(self: &Arc<Self>, attempt: &str) -> Running {
        let cancelled = Arc::new(Notify::new());
        self.lock().attempts.insert(attempt.to_owned(), cancelled.clone());
        Running { leaf: self.clone(), attempt: attempt.to_owned(), cancelled }
    }

    /// Ends the attempt if it waits or runs here.
    pub(crate) fn cancel(&self, attempt: &str) -> bool {
        match self.lock().attempts.get(attempt) {
            Some(cancelled) => {
                cancelled.notify_one();
                true
            }
            None => false,
        }
    }

    /// Whether a fault that hits `percent` of the answers hits this one.
    pub(crate) fn draw(&self, percent: impl Fn(&Faults) -> Percent) -> bool {
        let mut state = self.lock();
        let percent = percent(&state.faults);
        hits(&mut state.rng, percent)
    }

    pub(crate) async fn inject_fault(self: &Arc<Self>, fault: &LeafFault) {
        self.lock().faults.set(fault);
        match fault {
            LeafFault::Clear {} => self.port.set_open(true).await,
            LeafFault::Crash { down } => self.crash(*down).await,
            LeafFault::Silent {} => self.port.silence_connections(),
            LeafFault::DropSnapshot { snapshot } => self.lock().index.drop_snapshot(*snapshot),
            LeafFault::AddSnapshot { snapshot, map_version, shards } => {
                self.lock().index.add(*snapshot, *map_version, shards.clone());
            }
            LeafFault::TurnCold { break_connections } => self.turn_cold(*break_connections).await,
            LeafFault::Listener { open } => self.port.set_open(*open).await,
            _ => {}
        }
    }

    /// Resets every connection, stays down, then starts cold.
    pub(crate) async fn crash(self: &Arc<Self>, down: Span) {
        let crash = {
            let mut state = self.lock();
            state.counters.crashes += 1;
            state.downs += 1;
            state.downs
        };
        self.port.set_open(false).await;
        self.port.reset_connections().await;
        let leaf = self.clone();
        tokio::spawn(async move {
            sleep(down.to_duration()).await;
            if leaf.lock().downs == crash {
                leaf.turn_cold(true).await;
                leaf.port.set_open(true).await;
            }
        });
    }

    async fn turn_cold(&self, break_connections: bool) {
        self.start_cold(break_connections);
        if break_connections {
            self.port.reset_connections().await;
        }
    }

    fn start_cold(&self, announced: bool) {
        let mut state = self.lock();
        let now = Instant::now();
        let grace = state.settings.announce_grace.to_duration();
        state.starts += 1;
        state.counters.cold_starts += 1;
        state.cold = Some(Cold::start(now, announced.then(|| now + grace)));
    }

    pub(crate) fn health(&self) -> Health {
        let mut state = self.lock();
        state.refresh();
        let slots = self.limits.slots.get().max(1);
        let free = u32::try_from(self.slots.available_permits()).unwrap_or(slots);
        let load = Percent(100 * (slots - free.min(slots)) / slots);
        let (cold, leaving) = (state.cold.is_some(), state.faults.leaving);
        let (cold, leaving, load) = match state.settings.health {
            HealthReport::Truthful => (cold, leaving, load),
            HealthReport::AlwaysWell => (false, false, Percent(0)),
            HealthReport::AlwaysIll => (true, false, Percent(100)),
        };
        Health { boot: state.boot(), cold, leaving, load, snapshots: state.index.snapshots() }
    }

    pub(crate) fn status(&self) -> LeafStatus {
        let mut state = self.lock();
        state.refresh();
        let mut counters = state.counters.clone();
        counters.waiting = state.waiting as u64;
        counters.open_connections = self.port.open_connections() as u64;
        let (boot, cold) = (state.boot(), state.cold.is_some());
        LeafStatus { leaf: self.id.clone(), boot, cold, counters }
    }
}

impl State {
    fn boot(&self) -> BootId {
        boot_id(self.process, self.starts)
    }

    /// Ends the cold state when it is over.
    fn refresh(&mut self) {
        let over = |cold: &Cold| cold.is_over(&self.settings, Instant::now());
        if self.cold.as_ref().is_some_and(over) {
            self.cold = None;
        }
    }

    fn slowed(&self, time: Span) -> Span {
        let slowdown = self.cold.as_ref().map(|cold| cold.slowdown(&self.settings));
        time.percent(slowdown.map_or(100, |percent| percent.get().into()))
    }
}

impl InFlight {
    /// Notes that an answer is sent; `rows` if it is one with rows.
    pub(crate) fn answered(mut self, rows: bool) {
        self.answered = true;
        let leaf = self.leaf.clone();
        let mut state = leaf.lock();
        let State { cold, counters, settings, starts, .. } = &mut *state;
        counters.answered += u64::from(rows);
        if let Some(cold) = cold.as_mut() {
            cold.sign_sent(settings, Instant::now());
            if rows && self.within_cold && self.start == *starts {
                cold.served();
            }
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut state = self.leaf.lock();
        state.counters.in_flight = state.counters.in_flight.saturating_sub(1);
        state.counters.abandoned += u64::from(!self.answered);
        if self.start == state.starts
            && let Some(cold) = state.cold.as_mut()
        {
            cold.ended();
        }
    }
}

/// Marks an attempt that waits or runs.
pub(crate) struct Running {
    leaf: Arc<Leaf>,
    attempt: String,
    cancelled: Arc<Notify>,
}

impl Running {
    /// Returns when the attempt is cancelled.
    pub(crate) async fn cancelled(&self) {
        self.cancelled.notified().await;
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.leaf.lock();
        // Another sender may have used the same attempt id since.
        let own = state.attempts.get(&self.attempt);
        if own.is_some_and(|own| Arc::ptr_eq(own, &self.cancelled)) {
            state.attempts.remove(&self.attempt);
        }
    }
}

struct Waiting(Arc<Leaf>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.lock().waiting -= 1;
    }
}

fn hits(rng: &mut ChaCha8Rng, percent: Percent) -> bool {
    // Draws nothing when off, so that a fault does not shift the numbers that others see.
    percent.get() > 0 && rng.random_range(0..100) < percent.get()
}

fn boot_id(process: UnixMillis, starts: u64) -> BootId {
    match format!("boot-{process}-{starts}").parse() {
        Ok(boot) => boot,
        Err(err) => unreachable!("boot ids are well formed: {err}"),
    }
}

/// Checks that a wait is short enough to be bounded.
pub(crate) fn check_wait(name: &'static str, wait: Span) -> Result<(), StandinError> {
    const MAX_WAIT: Duration = Duration::from_secs(3600);
    if wait.to_duration() > MAX_WAIT {
        return Err(StandinError::InvalidValue { name, expected: "at most 60min" });
    }
    Ok(())
}
