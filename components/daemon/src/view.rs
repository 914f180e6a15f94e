//! What the data path knows of the cluster, and what it may send.
//!
//! The control side builds a new view after each change and stores it whole; the data path loads
//! it once per request.

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

/// The host that sends to a leaf.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Holder {
    /// Where peers connect to it.
    pub address: SocketAddr,
    /// The assignment's epoch of the leaf.
    pub epoch: Epoch,
    /// The host's instance.
    pub instance: InstanceId,
    /// The holder of the earlier epoch while it has not released the leaf.
    pub releasing: Option<InstanceId>,
}

/// A host that answers callers and peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostView {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// The host's name.
    pub host: HostId,
    /// The host's instance.
    pub instance: InstanceId,
    /// Whether the host is stopping.
    pub leaving: bool,
    /// Share of its request workers in use.
    pub load: Percent,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Where it stands.
    pub zone: ZoneId,
}

/// Cluster as one host sees it.
#[derive(Clone, Debug)]
pub struct ClusterView {
    /// Adopted configuration; version 0 until one is known.
    pub document: Arc<Document>,
    /// Holder of each assigned leaf.
    pub holders: IndexMap<LeafId, Holder>,
    /// Hosts that are not dead, this one included.
    pub hosts: Vec<HostView>,
}

impl ClusterView {
    /// A view without configuration, holders and hosts.
    pub fn empty() -> Self {
        Self { document: Arc::new(Document::empty()), holders: IndexMap::new(), hosts: Vec::new() }
    }

    /// Whether a configuration has been adopted.
    pub fn configured(&self) -> bool {
        self.document.version > ConfigVersion(0)
    }
}

/// The current view, replaced as a whole.
#[derive(Debug)]
pub struct SharedView {
    current: RwLock<Arc<ClusterView>>,
}

impl SharedView {
    /// Starts with an empty view.
    pub fn new() -> Self {
        Self { current: RwLock::new(Arc::new(ClusterView::empty())) }
    }

    /// The current view.
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

/// Rights of this host as a holder; asked under the leaf's lock before bytes are sent.
pub trait HolderRights: Send + Sync + 'static {
    /// What may be sent to `leaf` at `now`.
    fn rights(&self, leaf: &LeafId, now: Instant) -> Rights;

    /// The latest deadline that a request sent at `now` may carry.
    fn deadline_cap(&self, now: Instant) -> Instant;
}
