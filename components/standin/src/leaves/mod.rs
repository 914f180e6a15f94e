//! Stand-ins of leaves: many in one process, one listener each.
//!
//! The control address takes faults and settings and lists counters; it stays up whatever the
//! leaves do.

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
            control::{Fleet, check_settings},
            index::Index,
            leaf::{Leaf as LeafState, LeafParts},
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

/// How stand-ins of leaves are started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavesOptions {
    /// Prefixes of the leaves to start; empty starts all.
    pub only: Vec<String>,
    /// Prefixes of leaves not to start.
    pub except: Vec<String>,
    /// Address of faults and counters; port 0 takes any free port.
    pub control: SocketAddr,
    /// Whether each leaf takes any free port instead of the one in the document.
    pub ephemeral_ports: bool,
    /// Whether leaves start warm.
    pub start_warm: bool,
    /// Seed of service times and of faults that hit a share of the answers.
    pub seed: u64,
    /// Behaviour of all leaves at the start.
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
        let starts_with = |prefix: &String| leaf.as_str().starts_with(prefix.as_str());
        let only = self.only.is_empty() || self.only.iter().any(starts_with);
        only && !self.except.iter().any(starts_with)
    }
}

/// The bound addresses, as the binary prints them.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeafAddresses {
    /// Address of faults and counters.
    pub control: SocketAddr,
    /// Address of each leaf.
    pub leaves: IndexMap<LeafId, SocketAddr>,
}

/// Running stand-ins of leaves; they stop when dropped.
pub struct Leaves {
    fleet: Fleet,
    addresses: LeafAddresses,
    threads: BackgroundRuntime,
}

/// Starts stand-ins of the leaves in `document`. Fails if a setting is out of range or an address
/// cannot be bound.
pub fn start(document: &Document, options: &LeavesOptions) -> Result<Leaves, StandinError> {
    check_settings(&options.settings)?;
    let threads = BackgroundRuntime::start("leaves", options.workers)?;
    let (fleet, addresses) = threads.block_on(async {
        let mut leaf_addresses = IndexMap::new();
        let mut leaves = Vec::new();
        for (id, declared) in document.leaves.iter().filter(|(id, _)| options.includes(id)) {
            let leaf = start_leaf(document, id, declared, options)?;
            leaf_addresses.insert(id.clone(), leaf.port.address());
            leaves.push(leaf);
        }
        let fleet = Fleet::new(leaves);
        let control = Listener::bind(options.control)?;
        control.serve(Arc::new(fleet.clone()))?;
        let addresses = LeafAddresses { control: control.address(), leaves: leaf_addresses };
        Ok::<_, StandinError>((fleet, addresses))
    })?;
    Ok(Leaves { fleet, addresses, threads })
}

fn start_leaf(
    document: &Document,
    id: &LeafId,
    declared: &Leaf,
    options: &LeavesOptions,
) -> Result<Arc<LeafState>, StandinError> {
    let collection =
        document.collections.get(&declared.collection).ok_or(StandinError::InvalidValue {
            name: "leaf",
            expected: "a collection of the document",
        })?;
    let parts = LeafParts {
        id: id.clone(),
        zone: declared.zone.clone(),
        limits: collection.leaf_limits.clone(),
        index: Index::declared(collection, id),
        settings: options.settings.clone(),
        seed: options.seed,
        start_warm: options.start_warm,
    };
    let mut address = declared.address;
    if options.ephemeral_ports {
        address.set_port(0);
    }
    let port = Listener::bind(address)?;
    let leaf = Arc::new(LeafState::new(parts, port.clone()));
    port.serve(leaf.clone())?;
    Ok(leaf)
}

impl Leaves {
    /// The bound addresses.
    pub fn addresses(&self) -> &LeafAddresses {
        &self.addresses
    }

    /// Address of one leaf; `None` if it was not started.
    pub fn address(&self, leaf: &LeafId) -> Option<SocketAddr> {
        self.addresses.leaves.get(leaf).copied()
    }

    /// Sets or clears a fault; returns once it is in force. Fails if no leaf matches or a value is
    /// out of range.
    pub fn inject_fault(&self, on: LeafSelector, fault: LeafFault) -> Result<(), StandinError> {
        self.threads.block_on(self.fleet.inject_fault(&FaultRequest { on, fault }))
    }

    /// Replaces the settings of some leaves. Fails like `fault`.
    pub fn set_settings(
        &self,
        on: LeafSelector,
        settings: LeafSettings,
    ) -> Result<(), StandinError> {
        self.fleet.set_settings(&SettingsRequest { on, settings })
    }

    /// Counters of the leaves whose id starts with `prefix`.
    pub fn statuses(&self, prefix: &str) -> Vec<LeafStatus> {
        self.fleet.statuses(prefix)
    }

    /// Starts all counters over.
    pub fn reset_counters(&self) {
        self.fleet.reset_counters();
    }
}
