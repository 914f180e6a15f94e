//! The host's view of the cluster, and its rights to send to leaves.
//!
//! The control plane builds a new view after each change and replaces the old one as a whole; the
//! data path loads it once per request.

use {
    indexmap::IndexMap,
    parking_lot::RwLock,
    std::{net::SocketAddr, sync::Arc},
    wigeonramp_config::Document,
    wigeonramp_serving::upstream::Rights,
    wigeonramp_units::{
        ConfigVersion, Epoch, HostId, InstanceId, Instant, LeafId, Percent, ZoneId,
    },
};

/// The holder of a leaf: the only host that sends requests to it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Address for connections from peers.
    pub address: SocketAddr,
    /// Epoch of the leaf in the assignment.
    pub epoch: Epoch,
    /// Instance of the host.
    pub instance: InstanceId,
    /// Holder of the previous epoch, until it has released the leaf.
    pub releasing: Option<InstanceId>,
}

/// A host of the cluster that is not dead.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostView {
    /// Address for connections from callers.
    pub caller_address: SocketAddr,
    /// Id of the host.
    pub host: HostId,
    /// Instance of the host.
    pub instance: InstanceId,
    /// Whether the host is stopping.
    pub leaving: bool,
    /// Share of its query limit that is in use.
    pub load: Percent,
    /// Address for connections from peers.
    pub peer_address: SocketAddr,
    /// Zone of the host.
    pub zone: ZoneId,
}

/// The cluster as seen by one host.
#[derive(Clone, Debug)]
pub struct ClusterView {
    /// The adopted configuration; version 0 if none has been adopted yet.
    pub document: Arc<Document>,
    /// Holder of each assigned leaf.
    pub holders: IndexMap<LeafId, Holder>,
    /// Hosts that are not dead, including this one.
    pub hosts: Vec<HostView>,
}

impl ClusterView {
    /// Creates a view without configuration, holders and hosts.
    pub fn empty() -> Self {
        Self { document: Arc::new(Document::empty()), holders: IndexMap::new(), hosts: Vec::new() }
    }

    /// Returns whether a configuration has been adopted.
    pub fn configured(&self) -> bool {
        self.document.version > ConfigVersion(0)
    }
}

/// The current view of a host, shared by its threads.
#[derive(Debug)]
pub struct SharedView {
    current: RwLock<Arc<ClusterView>>,
}

impl SharedView {
    /// Creates an empty view.
    pub fn new() -> Self {
        Self { current: RwLock::new(Arc::new(ClusterView::empty())) }
    }

    /// Returns the current view.
    pub fn load(&self) -> Arc<ClusterView> {
        Arc::clone(&self.current.read())
    }

    /// Replaces the view.
    pub fn store(&self, view: ClusterView) {
        *self.current.write() = Arc::new(view);
    }
}

impl Default for SharedView {
    fn default() -> Self {
        Self::new()
    }
}

/// Rights of this host as a holder, checked under the leaf's lock before bytes are sent.
pub trait HolderRights: Send + Sync + 'static {
    /// Returns what this host may send to `leaf` at `now`.
    fn rights(&self, leaf: &LeafId, now: Instant) -> Rights;

    /// Returns the latest deadline that a request sent at `now` may have.
    fn deadline_cap(&self, now: Instant) -> Instant;
}
