//! The data path of a host: caller server, peer server, holders and entry, over any control side.

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

/// Threads of the tokio runtime; they only move bytes.
const RUNTIME_THREADS: usize = 2;
/// Connections of callers.
const MAX_CONNECTIONS: usize = 4096;
/// Requests that wait for a worker, for each worker.
const QUEUE_PER_WORKER: usize = 4;
/// Workers above the limit of queries, so that a refusal and an urgent query never wait for one
/// that runs.
const REFUSING_WORKERS: usize = 4;
/// Time for a caller to send its head, its body, or to take an answer.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// What the data path asks of the control side.
pub trait ControlPlane: EntryAddresses + HolderRights + PeerControl + RequestClaims {}

impl<C: EntryAddresses + HolderRights + PeerControl + RequestClaims> ControlPlane for C {}

/// The addresses that a host has bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct BoundAddresses {
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where peers connect.
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
    suspects: Arc<Suspects>,
    shared_view: Arc<SharedView>,
}

impl<C: ControlPlane> DataPath<C> {
    /// Binds the caller's and the peers' address and serves them; holds no leaf yet. Fails if an
    /// address cannot be bound, and names it.
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
            suspects: Arc::clone(&suspects),
            shared_view: Arc::clone(&shared_view),
            zone: settings.zone.clone(),
        }));
        let peer = PeerListener::start(
            runtime.handle(),
            settings.peer_listen,
            Arc::clone(&control),
            Arc::clone(&held_leaves),
        )
        .map_err(|err| at(settings.peer_listen, &err))?;
        let workers = settings.caller_workers as usize + REFUSING_WORKERS;
        let limits = HttpLimits {
            connections: MAX_CONNECTIONS,
            queue: workers * QUEUE_PER_WORKER,
            client_timeout: CLIENT_TIMEOUT,
            workers,
        };
        let api = CallerApi::new(Arc::clone(&entry), control);
        let caller = HttpServer::start(runtime.handle(), settings.caller_listen, &limits, api)
            .map_err(|err| at(settings.caller_listen, &err))?;
        Ok(Self {
            caller,
            entry,
            held_leaves,
            instance,
            observer,
            peer,
            peers,
            runtime,
            suspects,
            shared_view,
        })
    }

    /// The bound addresses.
    pub fn addresses(&self) -> BoundAddresses {
        BoundAddresses { caller: self.caller.address(), peer: self.peer.address() }
    }

    /// Puts `view` in force: for queries, for held leaves and for connections to peers.
    ///
    /// Returns whether all leaves are held as the view says; if not, call again soon. `start`
    /// says how a leaf begins that nobody handed over.
    pub fn adopt(&self, view: ClusterView, start: impl Fn(&LeafId) -> HoldingStart) -> bool {
        self.shared_view.store(view);
        let view = self.shared_view.load();
        self.peers.retain(clock::now(), |address| {
            view.hosts.iter().any(|host| host.peer_address == address)
                || view.holders.values().any(|holder| holder.address == address)
        });
        self.held_leaves.apply_view(&view, start)
    }

    /// What runs the queries of callers.
    pub fn entry(&self) -> &Arc<Entry<C, C>> {
        &self.entry
    }

    /// The leaves that this host holds.
    pub fn held_leaves(&self) -> &Arc<HeldLeaves<C>> {
        &self.held_leaves
    }

    /// This start of the host.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Timeline and metrics.
    pub fn observer(&self) -> &Arc<Observer> {
        &self.observer
    }

    /// Connections to other hosts.
    pub fn peers(&self) -> &Arc<Peers> {
        &self.peers
    }

    /// The runtime that carries sockets, for further servers.
    pub fn runtime(&self) -> &Runtime {
        &self.runtime
    }

    /// Requests that may crash leaves.
    pub fn suspects(&self) -> &Arc<Suspects> {
        &self.suspects
    }

    /// Requests of callers that wait or run.
    pub fn in_flight(&self) -> usize {
        self.caller.in_flight()
    }

    /// Asks callers, with each answer, to leave their connection.
    pub fn disable_keep_alive(&self) {
        self.caller.disable_keep_alive();
    }

    /// Goes on under another instance; the leaves of the old one end with the next view.
    pub fn set_instance(&self, instance: InstanceId) {
        self.held_leaves.set_instance(instance);
    }

    /// Stops accepting and waits for running requests, first of callers and then of peers.
    ///
    /// Returns whether all ended within `patience` each.
    pub fn finish(&self, timeout: Duration) -> bool {
        let callers = self.caller.stop(timeout);
        let peers = self.peer.stop(timeout);
        self.held_leaves.end_all();
        callers && peers
    }

    /// Finishes all requests and ends the runtime; see `finish`.
    pub fn stop(self, timeout: Duration) -> bool {
        let finished = self.finish(timeout);
        self.runtime.shutdown_background();
        finished
    }
}

fn at(address: SocketAddr, err: &IoError) -> IoError {
    IoError::new(err.kind(), format!("{address}: {err}"))
}
