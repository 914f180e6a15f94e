//! Stand-ins of leaves: any number in one process, each with its own listener.
//!
//! The control API sets faults and settings and returns counters. It has a separate address, which
//! stays reachable when leaves are down.

mod cold;
mod control;
mod counters;
mod fault;
mod index;
mod leaf;
mod rows;
mod search;
mod settings;

pub use {
    control::SettingsRequest,
    counters::{LeafCounters, LeafStatus},
    fault::{FaultRequest, LeafFault, LeafSelector},
    leaf::Health,
    rows::{Row, RowInputs, Rows},
    settings::{HealthReport, LeafSettings, ServiceTime},
};

use {
    crate::{
        StandinError,
        leaves::{
            control::{LeafSet, validate_settings},
            index::SnapshotIndex,
            leaf::{Leaf as RunningLeaf, LeafConfig},
        },
        net::{BackgroundRuntime, Listener},
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        net::{Ipv4Addr, SocketAddr},
        sync::Arc,
    },
    wigeonramp_config::{Document, Leaf},
    wigeonramp_units::LeafId,
};

/// Start options of stand-ins of leaves.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavesOptions {
    /// Id prefixes of the leaves to start; empty starts all.
    pub only: Vec<String>,
    /// Id prefixes of leaves not to start.
    pub except: Vec<String>,
    /// Address of the control API; port 0 selects a free port.
    pub control: SocketAddr,
    /// Whether each leaf listens on a free port instead of the one in the document.
    pub ephemeral_ports: bool,
    /// Whether leaves start warm.
    pub start_warm: bool,
    /// Seed of random service times and of faults with a percentage.
    pub seed: u64,
    /// Initial settings of all leaves.
    pub settings: LeafSettings,
    /// Number of threads that serve requests.
    pub workers: usize,
}

impl Default for LeavesOptions {
    fn default() -> Self {
        Self {
            only: Vec::new(),
            except: Vec::new(),
            control: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            ephemeral_ports: false,
            start_warm: false,
            seed: 1,
            settings: LeafSettings::default(),
            workers: 2,
        }
    }
}

impl LeavesOptions {
    fn includes(&self, leaf: &LeafId) -> bool {
        let has_prefix = |prefix: &String| leaf.as_str().starts_with(prefix.as_str());
        let selected = self.only.is_empty() || self.only.iter().any(has_prefix);
        selected && !self.except.iter().any(has_prefix)
    }
}

/// Bound addresses, which the binary prints as JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeafAddresses {
    /// Address of the control API.
    pub control: SocketAddr,
    /// Address of each leaf by id.
    pub leaves: IndexMap<LeafId, SocketAddr>,
}

/// Running stand-ins of leaves; they stop when dropped.
pub struct Leaves {
    leaf_set: LeafSet,
    addresses: LeafAddresses,
    runtime: BackgroundRuntime,
}

/// Starts stand-ins of the leaves in `document`. Fails if a setting is out of range or an address
/// cannot be bound.
pub fn start(document: &Document, options: &LeavesOptions) -> Result<Leaves, StandinError> {
    validate_settings(&options.settings)?;
    let runtime = BackgroundRuntime::start("leaves", options.workers)?;
    let (leaf_set, addresses) = runtime.block_on(async {
        let mut leaf_addresses = IndexMap::new();
        let mut leaves = Vec::new();
        for (id, declared) in document.leaves.iter().filter(|(id, _)| options.includes(id)) {
            let leaf = start_leaf(document, id, declared, options)?;
            leaf_addresses.insert(id.clone(), leaf.listener.address());
            leaves.push(leaf);
        }
        let leaf_set = LeafSet::new(leaves);
        let control_listener = Listener::bind(options.control)?;
        control_listener.serve(Arc::new(leaf_set.clone()))?;
        let addresses =
            LeafAddresses { control: control_listener.address(), leaves: leaf_addresses };
        Ok::<_, StandinError>((leaf_set, addresses))
    })?;
    Ok(Leaves { leaf_set, addresses, runtime })
}

fn start_leaf(
    document: &Document,
    id: &LeafId,
    declared: &Leaf,
    options: &LeavesOptions,
) -> Result<Arc<RunningLeaf>, StandinError> {
    let collection =
        document.collections.get(&declared.collection).ok_or(StandinError::InvalidValue {
            name: "leaf",
            expected: "a collection of the document",
        })?;
    let cfg = LeafConfig {
        id: id.clone(),
        zone: declared.zone.clone(),
        limits: collection.leaf_limits.clone(),
        index: SnapshotIndex::from_collection(collection, id),
        settings: options.settings.clone(),
        seed: options.seed,
        start_warm: options.start_warm,
    };
    let mut address = declared.address;
    if options.ephemeral_ports {
        address.set_port(0);
    }
    let listener = Listener::bind(address)?;
    let leaf = Arc::new(RunningLeaf::new(cfg, listener.clone()));
    listener.serve(leaf.clone())?;
    Ok(leaf)
}

impl Leaves {
    /// Returns the bound addresses.
    pub fn addresses(&self) -> &LeafAddresses {
        &self.addresses
    }

    /// Returns the address of a leaf; `None` if it was not started.
    pub fn address(&self, leaf: &LeafId) -> Option<SocketAddr> {
        self.addresses.leaves.get(leaf).copied()
    }

    /// Sets or clears a fault; returns once it is active. Fails if no leaf matches or a value is
    /// out of range.
    pub fn inject_fault(&self, on: LeafSelector, fault: LeafFault) -> Result<(), StandinError> {
        self.runtime.block_on(self.leaf_set.inject_fault(&FaultRequest { on, fault }))
    }

    /// Replaces the settings of the selected leaves. Fails if no leaf matches or a value is out of
    /// range.
    pub fn set_settings(
        &self,
        on: LeafSelector,
        settings: LeafSettings,
    ) -> Result<(), StandinError> {
        self.leaf_set.set_settings(&SettingsRequest { on, settings })
    }

    /// Returns the status of the leaves whose id starts with `prefix`.
    pub fn statuses(&self, prefix: &str) -> Vec<LeafStatus> {
        self.leaf_set.statuses(prefix)
    }

    /// Resets the counters of all leaves.
    pub fn reset_counters(&self) {
        self.leaf_set.reset_counters();
    }
}
