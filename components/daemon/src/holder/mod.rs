//! Leaves that this host holds.

pub mod connection;
pub mod job;
pub mod leaf;
pub mod transport;

use {
    crate::{
        holder::{job::LeafJob, leaf::HeldLeaf},
        view::{ClusterView, HolderRights},
    },
    parking_lot::RwLock,
    std::{
        collections::{HashMap, HashSet},
        sync::Arc,
    },
    wigeonramp_units::{InstanceId, LeafId},
};

/// All leaves that this host holds.
pub struct Holders<R> {
    instance: InstanceId,
    leaves: RwLock<HashMap<LeafId, Arc<HeldLeaf<R>>>>,
    rights: Arc<R>,
}

impl<R: HolderRights> Holders<R> {
    /// Holds nothing yet.
    pub fn new(instance: InstanceId, rights: Arc<R>) -> Self {
        Self { instance, leaves: RwLock::new(HashMap::new()), rights }
    }

    /// Takes the leaves that `view` assigns to this instance, and gives up all others.
    pub fn adopt(&self, view: &ClusterView) {
        let mine: HashSet<&LeafId> = view
            .holders
            .iter()
            .filter(|(_, holder)| holder.instance == self.instance)
            .map(|(leaf, _)| leaf)
            .collect();
        let mut leaves = self.leaves.write();
        leaves.retain(|id, leaf| {
            let keep = mine.contains(id);
            if !keep {
                leaf.leave();
            }
            keep
        });
        for id in mine {
            let Some(declared) = view.document.leaves.get(id) else { continue };
            let Some(collection) = view.document.collections.get(&declared.collection) else {
                continue;
            };
            let slots = collection.leaf_limits.slots.get();
            leaves.entry(id.clone()).or_insert_with(|| {
                HeldLeaf::start(id.clone(), declared.address, slots, Arc::clone(&self.rights))
            });
        }
    }

    /// Queues `job` at its leaf; replies at once when the leaf is not held here.
    pub fn run(&self, job: LeafJob) {
        let leaf = self.leaves.read().get(&job.call.leaf).cloned();
        match leaf {
            Some(leaf) => leaf.offer(job),
            None => job.refuse("this host does not hold the leaf"),
        }
    }
}
