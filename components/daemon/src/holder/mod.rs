//! Leaves that this host holds.

mod auxiliary;
pub mod connection;
pub mod job;
pub mod leaf;
mod outcome;
mod transport;
mod worker;

use {
    crate::{
        holder::{
            auxiliary::{AuxiliaryConnections, HealthChecked},
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

/// Connections of a leaf's cap that its `Upstream` does not count: the side connection.
const AUXILIARY_CONNECTIONS: u32 = 1;

type LeafMap<R> = RwLock<HashMap<LeafId, Arc<HeldLeaf<R>>>>;

/// The parts of the host that holding uses.
pub struct HeldLeavesParts<R> {
    /// This start of the host.
    pub instance: InstanceId,
    /// Timeline and metrics.
    pub observer: Arc<Observer>,
    /// What may be sent.
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

/// Answer to a request to release a leaf.
#[derive(Clone, Debug, PartialEq)]
pub enum ReleaseOutcome {
    /// Work is still at the leaf.
    InFlight,
    /// The leaf is not held here.
    NotHeld,
    /// Nothing is at the leaf any more.
    Released(Box<HandoverState>),
}

impl<R: HolderRights> HeldLeaves<R> {
    /// Holds nothing yet. Fails if the system gives no thread.
    pub fn new(parts: HeldLeavesParts<R>) -> IoResult<Self> {
        let leaves = Arc::new(RwLock::new(HashMap::new()));
        let auxiliary = AuxiliaryConnections::start(WeakLeaves(Arc::downgrade(&leaves)))?;
        let instance = Mutex::new(parts.instance.clone());
        Ok(Self { instance, leaves, parts, auxiliary })
    }

    /// Goes on under another instance; the leaves of the old one end with the next view.
    pub fn set_instance(&self, instance: InstanceId) {
        *self.instance.lock() = instance;
    }

    fn leave(&self, leaf: &LeafId) {
        if let Some(held) = self.get(leaf) {
            held.leave();
        }
    }

    /// Takes the leaves that `view` assigns to this instance, and gives up all others.
    ///
    /// A leaf that another holder still has to release is not taken; `hold` takes it once it is
    /// released. `start` says how a leaf begins that nobody handed over. Returns false while a
    /// leaf whose declaration changed still has work in flight; call again soon.
    pub fn apply_view(&self, view: &ClusterView, start: impl Fn(&LeafId) -> HoldingStart) -> bool {
        let mut settled = true;
        let me = self.instance.lock().clone();
        for leaf in self.ids() {
            match view.holders.get(&leaf) {
                Some(holder) if holder.instance == me => (),
                // The next holder asks for the leaf's state.
                Some(holder) if holder.releasing.as_ref() == Some(&me) => self.leave(&leaf),
                _ => self.end(&leaf),
            }
        }
        for (leaf, holder) in &view.holders {
            if holder.instance != me {
                continue;
            }
            let Some(spec) = leaf_spec(&view.document, leaf, holder.epoch) else { continue };
            match self.update(&spec) {
                Update::Done => (),
                Update::Waits => settled = false,
                Update::NotHeld if holder.releasing.is_some() => (),
                Update::NotHeld => self.hold(spec, start(leaf)),
            }
            if let Some(held) = self.get(leaf) {
                held.set_in_service(view.document.in_service(leaf));
            }
        }
        settled
    }

    /// Brings a leaf that is held already up to date.
    fn update(&self, spec: &LeafSpec) -> Update {
        let Some(leaf) = self.get(&spec.leaf) else { return Update::NotHeld };
        let held = leaf.spec();
        if held.epoch != spec.epoch || held.address != spec.address {
            self.end(&spec.leaf);
            return Update::NotHeld;
        }
        if held != spec {
            // The new limits count all work at the leaf, so nothing of the old spec may run.
            let Some(state) = leaf.release() else { return Update::Waits };
            self.hold(spec.clone(), HoldingStart::HandedOver(state));
        }
        Update::Done
    }

    /// Stops sending to all leaves.
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
            log::error!("leaf {id}: workers not started: {err}");
            leaf.end();
            return;
        }
        if let Some(before) = self.leaves.write().insert(id, leaf) {
            before.end();
        }
    }

    /// Stops sending to a leaf for good.
    pub fn end(&self, leaf: &LeafId) {
        let held = self.leaves.write().remove(leaf);
        if let Some(held) = held {
            held.end();
        }
    }

    /// Stops sending to a leaf; gives its state once nothing is in flight.
    pub fn release(&self, leaf: &LeafId) -> ReleaseOutcome {
        let Some(held) = self.get(leaf) else { return ReleaseOutcome::NotHeld };
        held.release()
            .map_or(ReleaseOutcome::InFlight, |state| ReleaseOutcome::Released(Box::new(state)))
    }

    /// Queues `job` at its leaf; replies at once when the leaf is not held here.
    pub fn offer(&self, job: LeafJob) {
        match self.get(&job.call.leaf) {
            Some(leaf) => leaf.offer(job),
            None => job.refuse(Refusal::NotHolder),
        }
    }

    /// Cancels an attempt wherever it is.
    pub fn cancel(&self, entry: &InstanceId, attempt: AttemptId) {
        let leaves: Vec<_> = self.leaves.read().values().cloned().collect();
        for leaf in leaves {
            if let Some(running) = leaf.cancel(entry, attempt) {
                self.auxiliary.cancel(leaf.spec().address, running);
                return;
            }
        }
    }

    /// Conditions of all leaves that are held here.
    pub fn reports(&self) -> Vec<LeafReport> {
        let leaves: Vec<_> = self.leaves.read().values().cloned().collect();
        leaves.into_iter().map(|leaf| leaf.report()).collect()
    }

    /// The leaf, if it is held here.
    pub fn get(&self, leaf: &LeafId) -> Option<Arc<HeldLeaf<R>>> {
        self.leaves.read().get(leaf).cloned()
    }

    fn ids(&self) -> Vec<LeafId> {
        self.leaves.read().keys().cloned().collect()
    }
}

/// What became of a leaf that may be held already.
enum Update {
    /// It is held as declared.
    Done,
    /// It is not held, or was held in another epoch or at another address.
    NotHeld,
    /// Work under the old declaration is still in flight.
    Waits,
}

/// What holding `leaf` consists of; `None` if the document does not declare it.
pub fn leaf_spec(document: &Document, leaf: &LeafId, epoch: Epoch) -> Option<LeafSpec> {
    let declared = document.leaves.get(leaf)?;
    let collection = document.collections.get(&declared.collection)?;
    let declared_cap = collection.leaf_limits.connections.get();
    let connections = Connections(declared_cap.saturating_sub(AUXILIARY_CONNECTIONS).max(1));
    let limits = LeafLimits { connections, ..collection.leaf_limits.clone() };
    Some(LeafSpec { address: declared.address, epoch, leaf: leaf.clone(), limits })
}

/// The side channel's view of the leaves; does not keep them alive.
struct WeakLeaves<R>(Weak<LeafMap<R>>);

impl<R: HolderRights> WeakLeaves<R> {
    fn all(&self) -> Vec<Arc<HeldLeaf<R>>> {
        let Some(leaves) = self.0.upgrade() else { return Vec::new() };
        leaves.read().values().cloned().collect()
    }
}

impl<R: HolderRights> HealthChecked for WeakLeaves<R> {
    fn warm(&self) -> Vec<SocketAddr> {
        let leaves = self.all().into_iter();
        let warm = leaves.filter(|leaf| leaf.upstream_report().state == LeafState::Warm);
        warm.map(|leaf| leaf.spec().address).collect()
    }

    fn checked(&self, address: SocketAddr, health: Health) {
        if health.snapshots.is_empty() {
            return;
        }
        let leaf = self.all().into_iter().find(|leaf| leaf.spec().address == address);
        if let Some(leaf) = leaf {
            leaf.set_snapshots(health.snapshots);
        }
    }
}
