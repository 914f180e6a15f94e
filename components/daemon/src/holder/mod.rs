//! Leaves that this host holds: their queues, connections, workers and health checks.

mod auxiliary;
pub mod connection;
pub mod job;
mod job_result;
pub mod leaf;
mod transport;
mod worker;

use {
    crate::{
        holder::{
            auxiliary::{AuxiliaryConnections, HealthTargets},
            connection::Health,
            job::LeafJob,
            leaf::{HeldLeaf, HoldingStart, LeafSpec},
        },
        observe::Observer,
        suspects::Suspects,
        view::{ClusterView, HolderRights},
    },
    parking_lot::{Mutex, RwLock},
    std::{
        collections::HashMap,
        io::Result as IoResult,
        net::SocketAddr,
        sync::{Arc, Weak},
    },
    wigeonramp_config::{Document, LeafLimits},
    wigeonramp_proto::peer::LeafReport,
    wigeonramp_serving::upstream::{HandoverState, LeafState, Refusal},
    wigeonramp_units::{AttemptId, Connections, Epoch, InstanceId, LeafId},
};

/// Connections within a leaf's limit that its `Upstream` does not count: the auxiliary connection.
const AUXILIARY_CONNECTIONS: u32 = 1;

type LeafMap<R> = RwLock<HashMap<LeafId, Arc<HeldLeaf<R>>>>;

/// Parts of the host that held leaves use.
pub struct HeldLeavesParts<R> {
    /// Instance of this host.
    pub instance: InstanceId,
    /// Timeline and metrics.
    pub observer: Arc<Observer>,
    /// Rights of this host as a holder.
    pub rights: Arc<R>,
    /// Requests that may crash leaves.
    pub suspects: Arc<Suspects>,
}

/// All leaves that this host holds.
pub struct HeldLeaves<R> {
    instance: Mutex<InstanceId>,
    leaves: Arc<LeafMap<R>>,
    parts: HeldLeavesParts<R>,
    auxiliary: AuxiliaryConnections,
}

/// Outcome of a request to release a leaf.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseOutcome {
    /// Requests are still in flight at the leaf.
    InFlight,
    /// The leaf is not held here.
    NotHeld,
    /// No request is in flight any more; the state for the next holder.
    Released(Box<HandoverState>),
}

impl<R: HolderRights> HeldLeaves<R> {
    /// Creates an empty set. Fails if the thread for auxiliary connections cannot be started.
    pub fn new(parts: HeldLeavesParts<R>) -> IoResult<Self> {
        let leaves = Arc::new(RwLock::new(HashMap::new()));
        let auxiliary = AuxiliaryConnections::start(WeakLeaves(Arc::downgrade(&leaves)))?;
        let instance = Mutex::new(parts.instance.clone());
        Ok(Self { instance, leaves, parts, auxiliary })
    }

    /// Sets the instance of this host. The next view ends the leaves of the old instance.
    pub fn set_instance(&self, instance: InstanceId) {
        *self.instance.lock() = instance;
    }

    fn leave(&self, leaf: &LeafId) {
        if let Some(held) = self.get(leaf) {
            held.leave();
        }
    }

    /// Starts to hold the leaves that `view` assigns to this instance, and ends all others.
    ///
    /// A leaf that another holder still has to release is not started; `hold` starts it after the
    /// release. `start` returns how a leaf starts that was not handed over. Returns false while a
    /// leaf whose declaration changed still has requests in flight; the caller then tries again
    /// soon.
    pub fn apply_view(&self, view: &ClusterView, start: impl Fn(&LeafId) -> HoldingStart) -> bool {
        let mut applied = true;
        let instance = self.instance.lock().clone();
        for leaf in self.ids() {
            match view.holders.get(&leaf) {
                Some(holder) if holder.instance == instance => (),
                // The leaf is kept until the next holder requests its release and state.
                Some(holder) if holder.releasing.as_ref() == Some(&instance) => self.leave(&leaf),
                _ => self.end(&leaf),
            }
        }
        for (leaf, holder) in &view.holders {
            if holder.instance != instance {
                continue;
            }
            let Some(spec) = leaf_spec(&view.document, leaf, holder.epoch) else { continue };
            match self.update(&spec) {
                Update::Done => (),
                Update::InFlight => applied = false,
                Update::NotHeld if holder.releasing.is_some() => (),
                Update::NotHeld => self.hold(spec, start(leaf)),
            }
            if let Some(held) = self.get(leaf) {
                held.set_in_service(view.document.in_service(leaf));
            }
        }
        applied
    }

    /// Updates a leaf that is already held to its current declaration and epoch.
    fn update(&self, spec: &LeafSpec) -> Update {
        let Some(leaf) = self.get(&spec.leaf) else { return Update::NotHeld };
        let held = leaf.spec();
        if held.epoch != spec.epoch || held.address != spec.address {
            self.end(&spec.leaf);
            return Update::NotHeld;
        }
        if held != spec {
            // The new limits apply to all requests at the leaf, so none may run under the old spec.
            let Some(state) = leaf.release() else { return Update::InFlight };
            self.hold(spec.clone(), HoldingStart::HandedOver(state));
        }
        Update::Done
    }

    /// Ends all leaves, see [`Self::end`].
    pub fn end_all(&self) {
        for leaf in self.ids() {
            self.end(&leaf);
        }
    }

    /// Starts to hold a leaf.
    pub fn hold(&self, spec: LeafSpec, start: HoldingStart) {
        let id = spec.leaf.clone();
        let leaf = Arc::new(HeldLeaf::new(spec, start, &self.parts));
        if let Err(err) = worker::start(&leaf) {
            log::error!("leaf {id}: cannot start workers: {err}");
            leaf.end();
            return;
        }
        if let Some(previous) = self.leaves.write().insert(id, leaf) {
            previous.end();
        }
    }

    /// Stops holding a leaf; running jobs may finish.
    pub fn end(&self, leaf: &LeafId) {
        let held = self.leaves.write().remove(leaf);
        if let Some(held) = held {
            held.end();
        }
    }

    /// Stops sending to a leaf. Returns its state once no request is in flight.
    pub fn release(&self, leaf: &LeafId) -> ReleaseOutcome {
        let Some(held) = self.get(leaf) else { return ReleaseOutcome::NotHeld };
        held.release()
            .map_or(ReleaseOutcome::InFlight, |state| ReleaseOutcome::Released(Box::new(state)))
    }

    /// Queues `job` at its leaf, or replies immediately if this host does not hold the leaf.
    pub fn offer(&self, job: LeafJob) {
        match self.get(&job.call.leaf) {
            Some(leaf) => leaf.offer(job),
            None => job.refuse(Refusal::NotHolder),
        }
    }

    /// Cancels an attempt at whichever leaf has it.
    pub fn cancel(&self, entry: &InstanceId, attempt: AttemptId) {
        let leaves: Vec<_> = self.leaves.read().values().cloned().collect();
        for leaf in leaves {
            if let Some(running) = leaf.cancel(entry, attempt) {
                self.auxiliary.cancel(leaf.spec().address, running);
                return;
            }
        }
    }

    /// State and load of all held leaves.
    pub fn reports(&self) -> Vec<LeafReport> {
        let leaves: Vec<_> = self.leaves.read().values().cloned().collect();
        leaves.into_iter().map(|leaf| leaf.report()).collect()
    }

    /// Returns the leaf if this host holds it.
    pub fn get(&self, leaf: &LeafId) -> Option<Arc<HeldLeaf<R>>> {
        self.leaves.read().get(leaf).cloned()
    }

    fn ids(&self) -> Vec<LeafId> {
        self.leaves.read().keys().cloned().collect()
    }
}

/// Result of updating a leaf that may already be held.
enum Update {
    /// The leaf is held as declared.
    Done,
    /// The leaf is not held, or was ended because its epoch or address changed.
    NotHeld,
    /// Requests under the old declaration are still in flight.
    InFlight,
}

/// Returns the spec under which `leaf` is held, or `None` if the document does not declare it.
pub fn leaf_spec(document: &Document, leaf: &LeafId, epoch: Epoch) -> Option<LeafSpec> {
    let declared = document.leaves.get(leaf)?;
    let collection = document.collections.get(&declared.collection)?;
    let declared_limit = collection.leaf_limits.connections.get();
    let connections = Connections(declared_limit.saturating_sub(AUXILIARY_CONNECTIONS).max(1));
    let limits = LeafLimits { connections, ..collection.leaf_limits.clone() };
    Some(LeafSpec { address: declared.address, epoch, leaf: leaf.clone(), limits })
}

/// Access of the health checks to the held leaves; does not keep them alive.
struct WeakLeaves<R>(Weak<LeafMap<R>>);

impl<R: HolderRights> WeakLeaves<R> {
    fn all(&self) -> Vec<Arc<HeldLeaf<R>>> {
        let Some(leaves) = self.0.upgrade() else { return Vec::new() };
        leaves.read().values().cloned().collect()
    }
}

impl<R: HolderRights> HealthTargets for WeakLeaves<R> {
    fn warm_addresses(&self) -> Vec<SocketAddr> {
        let leaves = self.all().into_iter();
        let warm = leaves.filter(|leaf| leaf.upstream_report().state == LeafState::Warm);
        warm.map(|leaf| leaf.spec().address).collect()
    }

    fn on_health(&self, address: SocketAddr, health: Health) {
        if health.snapshots.is_empty() {
            return;
        }
        let leaf = self.all().into_iter().find(|leaf| leaf.spec().address == address);
        if let Some(leaf) = leaf {
            leaf.set_snapshots(health.snapshots);
        }
    }
}
