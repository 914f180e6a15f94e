//! One host: all its parts, started and stopped together.

use {
    crate::{
        caller::handler::CallerApi,
        clock,
        control::{
            applying::Applier,
            assigning::AssignDesk,
            claiming::ClaimDesk,
            fetching::Fetcher,
            gate::{Gate, Identity},
            gossip::Gossip,
            news::HostNews,
            peer_side::PeerSide,
            platform::Platform,
            renewal::new_boot,
            stopping,
            threads::{ControlParts, ControlThreads},
        },
        entry::{Entry, EntryParts},
        holder::{HolderParts, Holders},
        http_server::{HttpLimits, HttpServer},
        observe::Observer,
        operator::OperatorApi,
        peer::{client::Peers, server::PeerListener},
        suspects::Suspects,
        view::Views,
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
    wigeonramp_control::drain::DrainState,
    wigeonramp_store::ObjectStore,
    wigeonramp_telemetry::{
        metrics::Metrics,
        timeline::{Entry as Event, EventKind, Timeline},
    },
    wigeonramp_units::{InstanceId, Span},
};

/// Threads of the tokio runtime; they only move bytes.
const RUNTIME_THREADS: usize = 2;
/// Connections of callers.
const MAX_CONNECTIONS: usize = 4096;
/// Connections of operators.
const OPERATOR_CONNECTIONS: usize = 64;
/// Threads for operators; a confirmation takes one for some seconds.
const OPERATOR_WORKERS: usize = 8;
/// Requests that wait for a worker, for each worker.
const QUEUE_PER_WORKER: usize = 4;
/// Workers above the limit of queries, so that a refusal and an urgent query never wait for one
/// that runs.
const REFUSING_WORKERS: usize = 4;
/// Events that the timeline keeps.
const RING: usize = 65_536;
/// Time for a caller to send its head, its body, or to take an answer.
const SLOW_CLIENT: Duration = Duration::from_secs(5);
/// Longest wait for running requests at the end of a stop.
const STOP_PATIENCE: Duration = Duration::from_secs(30);
/// Longest wait at the end of a stop for outcomes of claims to be written.
const RECORD_PATIENCE: Span = Span::secs(5);

/// The addresses that a host has bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct BoundAddresses {
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
    /// Where peers connect.
    pub peer: SocketAddr,
}

type HostEntry = Entry<ClaimDesk, Gate>;
type Api = CallerApi<Gate, ClaimDesk, Gate>;

/// A running host.
pub struct Host<S: ObjectStore> {
    addresses: BoundAddresses,
    caller: HttpServer<Api>,
    claims: Arc<ClaimDesk>,
    control: ControlThreads,
    entry: Arc<HostEntry>,
    gate: Arc<Gate>,
    holders: Arc<Holders<Gate>>,
    instance: InstanceId,
    operator: HttpServer<OperatorApi<S>>,
    peer: PeerListener,
    runtime: Runtime,
}

impl<S: ObjectStore> Host<S> {
    /// Binds all addresses and starts all parts.
    pub fn start(settings: &HostSettings, store: S) -> IoResult<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .thread_name("net")
            .enable_all()
            .build()?;
        let me = identity(settings);
        let instance = me.instance.clone();
        let (host, zone, boot) = (me.host.clone(), me.zone.clone(), me.boot.clone());
        let timeline = Arc::new(Timeline::new(host, zone, boot, RING));
        let metrics = Arc::new(Metrics::new());
        let observer = Arc::new(Observer::new(Arc::clone(&timeline), Arc::clone(&metrics)));
        let gate = Arc::new(Gate::new(me, timeline, metrics));
        let views = Arc::new(Views::new());
        let suspects = Arc::new(Suspects::default());
        let holders = Arc::new(Holders::new(HolderParts {
            observer: Arc::clone(&observer),
            rights: Arc::clone(&gate),
            suspects: Arc::clone(&suspects),
        })?);
        let peers = Arc::new(Peers::new(runtime.handle().clone()));
        let claims = Arc::new(ClaimDesk::new(Arc::clone(&gate)));
        let entry = Arc::new(Entry::new(EntryParts {
            claims: Arc::clone(&claims),
            holders: Arc::clone(&holders),
            instance: instance.clone(),
            observer,
            peers: Arc::clone(&peers),
            query_limit: settings.caller_workers,
            suspects: Arc::clone(&suspects),
            views: Arc::clone(&views),
            zone: settings.zone.clone(),
        }));
        let news = Arc::new(HostNews {
            board: Arc::clone(entry.board()),
            holders: Arc::clone(&holders),
            suspects: Arc::clone(&suspects),
            views: Arc::clone(&views),
        });
        let session_time = gate.core().session_time.longer(clock::now());
        let desk = Arc::new(AssignDesk::new(instance.clone(), session_time));
        let fetcher = Fetcher::new();
        let gossip = Arc::new(Gossip::new(Arc::clone(&gate), news, fetcher.clone()));
        let platform = Arc::new(Platform::new(store, Arc::clone(&gate)));
        let peer_side = Arc::new(PeerSide::new(
            Arc::clone(&gate),
            Arc::clone(&desk),
            Arc::clone(&gossip),
            Arc::clone(&holders),
        ));
        let peer = PeerListener::start(
            runtime.handle(),
            settings.peer_listen,
            peer_side,
            Arc::clone(&holders),
        )
        .map_err(|err| named(settings.peer_listen, &err))?;
        let api = CallerApi::new(Arc::clone(&entry), Arc::clone(&gate));
        let limits = caller_limits(settings.caller_workers as usize);
        let caller = HttpServer::start(runtime.handle(), settings.caller_listen, &limits, api)
            .map_err(|err| named(settings.caller_listen, &err))?;
        let api = OperatorApi::new(Arc::clone(&gate), Arc::clone(&holders), Arc::clone(&platform));
        let limits = operator_limits();
        let operator = HttpServer::start(runtime.handle(), settings.operator_listen, &limits, api)
            .map_err(|err| named(settings.operator_listen, &err))?;
        let addresses = BoundAddresses {
            caller: caller.address(),
            operator: operator.address(),
            peer: peer.address(),
        };
        gate.set_addresses(addresses.caller, addresses.peer, addresses.operator);
        gate.record(Event::now(EventKind::HostStarted).field("instance", &instance));
        let load = {
            let entry = Arc::clone(&entry);
            move || entry.load()
        };
        let parts = ControlParts {
            applier: Applier {
                gate: Arc::clone(&gate),
                holders: Arc::clone(&holders),
                suspects,
                views,
            },
            claims: Arc::clone(&claims),
            desk,
            fetcher,
            gate: Arc::clone(&gate),
            gossip,
            peers,
            platform,
            seeds: settings.seeds.clone(),
        };
        let control = ControlThreads::start(parts, load)?;
        Ok(Self {
            addresses,
            caller,
            claims,
            control,
            entry,
            gate,
            holders,
            instance,
            operator,
            peer,
            runtime,
        })
    }

    /// The bound addresses.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// The instance that this host started as; an ended session makes it go on as another one.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Knowledge and rights of this host.
    pub fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    /// What runs the queries of callers.
    pub fn entry(&self) -> &Arc<HostEntry> {
        &self.entry
    }

    /// Stops without cutting off a request.
    pub fn stop(self) {
        stopping::drain(
            &self.gate,
            || self.in_flight(),
            |state| {
                if state == DrainState::Finishing {
                    self.caller.send_away();
                }
            },
        );
        if !self.caller.stop(STOP_PATIENCE) {
            log::error!("requests of callers still run; their connections are cut");
        }
        if !self.claims.flush(RECORD_PATIENCE) {
            log::warn!("outcomes of claims were not written; repetitions are answered as unknown");
        }
        if !self.peer.stop(STOP_PATIENCE) {
            log::error!("calls of other hosts still run; their connections are cut");
        }
        self.operator.stop(STOP_PATIENCE);
        self.gate.record(Event::now(EventKind::HostStopped));
        self.control.stop();
        self.runtime.shutdown_background();
    }

    /// Requests of callers and work at leaves.
    fn in_flight(&self) -> usize {
        let reports = self.holders.reports();
        let at_leaves: usize =
            reports.iter().map(|report| (report.in_flight + report.queued) as usize).sum();
        self.caller.running() + at_leaves
    }
}

fn identity(settings: &HostSettings) -> Identity {
    let boot = new_boot();
    Identity {
        instance: InstanceId::new(&settings.host, &boot),
        boot,
        caller_address: settings.caller_listen,
        host: settings.host.clone(),
        operator_address: settings.operator_listen,
        peer_address: settings.peer_listen,
        zone: settings.zone.clone(),
    }
}

fn caller_limits(queries: usize) -> HttpLimits {
    let workers = queries + REFUSING_WORKERS;
    HttpLimits {
        connections: MAX_CONNECTIONS,
        queue: workers * QUEUE_PER_WORKER,
        slow_client: SLOW_CLIENT,
        workers,
    }
}

fn operator_limits() -> HttpLimits {
    HttpLimits {
        connections: OPERATOR_CONNECTIONS,
        queue: OPERATOR_WORKERS * QUEUE_PER_WORKER,
        slow_client: SLOW_CLIENT,
        workers: OPERATOR_WORKERS,
    }
}

fn named(address: SocketAddr, err: &IoError) -> IoError {
    IoError::new(err.kind(), format!("{address}: {err}"))
}
