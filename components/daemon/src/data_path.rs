//! The data path of a host: the servers for callers and peers, the held leaves and the entry.
//!
//! It is generic over the control plane, so that tests can replace it.

use {
    crate::{
        caller::handler::{CallerApi, EntryAddresses},
        clock,
        entry::{Entry, EntryParts, claims::RequestClaims},
        holder::{HeldLeaves, HeldLeavesParts, leaf::HoldingStart},
        http_server::{HttpLimits, HttpServer},
        observe::Observer,
        peer::{
            client::Peers,
            server::{PeerControl, PeerListener},
        },
        suspects::Suspects,
        view::{ClusterView, HolderRights, SharedView},
    },
    serde::Serialize,
    std::{
        io::{Error as IoError, Result as IoResult},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    tokio::runtime::{Builder, Runtime},
    wigeonramp_config::HostSettings,
    wigeonramp_units::{BootId, InstanceId, LeafId},
};

/// Number of threads of the tokio runtime, which only does network I/O.
const RUNTIME_THREADS: usize = 2;
/// Maximum number of connections from callers.
const MAX_CONNECTIONS: usize = 4096;
/// Maximum number of waiting requests per worker.
const QUEUE_PER_WORKER: usize = 4;
/// Number of workers beyond the query limit, so that refusals and urgent queries never wait for a
/// running query.
const SPARE_WORKERS: usize = 4;
/// Time limit for a caller to send the head or the body of a request, or to receive a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// The parts of the control plane that the data path calls.
pub trait ControlPlane: EntryAddresses + HolderRights + PeerControl + RequestClaims {}

impl<C: EntryAddresses + HolderRights + PeerControl + RequestClaims> ControlPlane for C {}

/// Addresses bound by the data path.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct BoundAddresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
}

/// The running data path of a host.
pub struct DataPath<C: ControlPlane> {
    caller: HttpServer<CallerApi<C, C, C>>,
    entry: Arc<Entry<C, C>>,
    held_leaves: Arc<HeldLeaves<C>>,
    instance: InstanceId,
    observer: Arc<Observer>,
    peer: PeerListener,
    peers: Arc<Peers>,
    runtime: Runtime,
    shared_view: Arc<SharedView>,
    suspects: Arc<Suspects>,
}

impl<C: ControlPlane> DataPath<C> {
    /// Binds the addresses for callers and peers and starts to serve them, without any held leaf.
    /// Fails if an address, which the error names, cannot be bound or a thread cannot be started.
    pub fn start(
        settings: &HostSettings,
        boot: &BootId,
        control: Arc<C>,
        shared_view: Arc<SharedView>,
        observer: Arc<Observer>,
    ) -> IoResult<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .thread_name("net")
            .enable_all()
            .build()?;
        let instance = InstanceId::new(&settings.host, boot);
        let suspects = Arc::new(Suspects::default());
        let peers = Arc::new(Peers::new(runtime.handle().clone()));
        let held_leaves = Arc::new(HeldLeaves::new(HeldLeavesParts {
            instance: instance.clone(),
            observer: Arc::clone(&observer),
            rights: Arc::clone(&control),
            suspects: Arc::clone(&suspects),
        })?);
        let entry = Arc::new(Entry::new(EntryParts {
            claims: Arc::clone(&control),
            held_leaves: Arc::clone(&held_leaves),
            instance: instance.clone(),
            observer: Arc::clone(&observer),
            peers: Arc::clone(&peers),
            query_limit: settings.caller_workers,
            shared_view: Arc::clone(&shared_view),
            suspects: Arc::clone(&suspects),
            zone: settings.zone.clone(),
        }));
        let peer = PeerListener::start(
            runtime.handle(),
            settings.peer_listen,
            Arc::clone(&control),
            Arc::clone(&held_leaves),
        )
        .map_err(|err| with_address(settings.peer_listen, &err))?;
        let workers = settings.caller_workers as usize + SPARE_WORKERS;
        let limits = HttpLimits {
            client_timeout: CLIENT_TIMEOUT,
            connections: MAX_CONNECTIONS,
            queue: workers * QUEUE_PER_WORKER,
            workers,
        };
        let api = CallerApi::new(Arc::clone(&entry), control);
        let caller = HttpServer::start(runtime.handle(), settings.caller_listen, &limits, api)
            .map_err(|err| with_address(settings.caller_listen, &err))?;
        Ok(Self {
            caller,
            entry,
            held_leaves,
            instance,
            observer,
            peer,
            peers,
            runtime,
            shared_view,
            suspects,
        })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> BoundAddresses {
        BoundAddresses { caller: self.caller.address(), peer: self.peer.address() }
    }

    /// Makes `view` the current view for queries, held leaves and connections to peers.
    ///
    /// `start` returns the initial state of a newly held leaf that was not handed over. Returns
    /// whether all leaves are held as the view requires; if not, the call must be repeated soon.
    pub fn apply_view(&self, view: ClusterView, start: impl Fn(&LeafId) -> HoldingStart) -> bool {
        self.shared_view.store(view);
        let view = self.shared_view.load();
        self.peers.retain(clock::now(), |address| {
            view.hosts.iter().any(|host| host.peer_address == address)
                || view.holders.values().any(|holder| holder.address == address)
        });
        self.held_leaves.apply_view(&view, start)
    }

    /// Returns the entry, which runs the queries of callers.
    pub fn entry(&self) -> &Arc<Entry<C, C>> {
        &self.entry
    }

    /// Returns the leaves that this host holds.
    pub fn held_leaves(&self) -> &Arc<HeldLeaves<C>> {
        &self.held_leaves
    }

    /// Returns the instance that this host started as.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Returns the timeline and metrics of this host.
    pub fn observer(&self) -> &Arc<Observer> {
        &self.observer
    }

    /// Returns the connections to other hosts.
    pub fn peers(&self) -> &Arc<Peers> {
        &self.peers
    }

    /// Returns the tokio runtime, for use by further servers.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Returns the requests that are suspected of crashing leaves.
    pub fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// Returns the number of callers' requests in flight.
    pub fn in_flight(&self) -> usize {
        self.caller.in_flight()
    }

    /// Closes the connections of callers with their next response.
    pub fn disable_keep_alive(&self) {
        self.caller.disable_keep_alive();
    }

    /// Continues as another instance. The leaves held by the old one are dropped with the next
    /// view.
    pub fn set_instance(&self, instance: InstanceId) {
        self.held_leaves.set_instance(instance);
    }

    /// Stops accepting requests and waits for running ones, first those of callers and then those
    /// of peers.
    ///
    /// Returns whether both ended within `timeout` each.
    pub fn finish(&self, timeout: Duration) -> bool {
        let callers = self.caller.stop(timeout);
        let peers = self.peer.stop(timeout);
        self.held_leaves.end_all();
        callers && peers
    }

    /// Finishes all requests, see `finish`, and shuts down the runtime.
    pub fn stop(self, timeout: Duration) -> bool {
        let finished = self.finish(timeout);
        self.runtime.shutdown_background();
        finished
    }
}

fn with_address(address: SocketAddr, err: &IoError) -> IoError {
    IoError::new(err.kind(), format!("{address}: {err}"))
}
