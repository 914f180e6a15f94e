//! One host: all its parts, started and stopped together.

use {
    crate::{
        caller::handler::CallerApi,
        clock,
        control::simple::{ROUND, SessionBody, SimpleControl},
        entry::{Entry, EntryParts},
        holder::{HolderParts, Holders, leaf::Start},
        http_server::{HttpLimits, HttpServer},
        observe::Observer,
        peer::{client::Peers, server::PeerListener},
        suspects::Suspects,
        view::Views,
    },
    crossbeam::channel::{Receiver, RecvTimeoutError, Sender, bounded},
    rand::RngExt,
    serde::Serialize,
    std::{
        io::{Error as IoError, Result as IoResult},
        net::SocketAddr,
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::runtime::{Builder, Runtime},
    wigeonramp_config::HostSettings,
    wigeonramp_store::ObjectStore,
    wigeonramp_telemetry::{metrics::Metrics, timeline::Timeline},
    wigeonramp_units::{BootId, InstanceId},
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
/// Events that the timeline keeps.
const RING: usize = 65_536;
/// Time for a caller to send its head, its body, or to take an answer.
const SLOW_CLIENT: Duration = Duration::from_secs(5);
/// Longest wait for running requests at the end of a stop.
const STOP_PATIENCE: Duration = Duration::from_secs(30);

/// The addresses that a host has bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct BoundAddresses {
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where peers connect.
    pub peer: SocketAddr,
}

type Control<S> = SimpleControl<S>;
type Api<S> = CallerApi<Control<S>, Control<S>, Control<S>>;

/// A running host.
pub struct Host<S: ObjectStore> {
    addresses: BoundAddresses,
    caller: HttpServer<Api<S>>,
    control: Arc<Control<S>>,
    entry: Arc<Entry<Control<S>, Control<S>>>,
    instance: InstanceId,
    peer: PeerListener,
    rounds: Option<JoinHandle<()>>,
    runtime: Runtime,
    stop: Option<Sender<()>>,
}

impl<S: ObjectStore> Host<S> {
    /// Binds all addresses and starts all parts.
    pub fn start(settings: &HostSettings, store: S) -> IoResult<Self> {
        let runtime = Builder::new_multi_thread()
            .worker_threads(RUNTIME_THREADS)
            .thread_name("net")
            .enable_all()
            .build()?;
        let boot = new_boot();
        let instance = InstanceId::new(&settings.host, &boot);
        let views = Arc::new(Views::new());
        let session = SessionBody {
            caller_address: settings.caller_listen,
            counter: 0,
            host: settings.host.clone(),
            instance: instance.clone(),
            peer_address: settings.peer_listen,
            zone: settings.zone.clone(),
        };
        let control = Arc::new(SimpleControl::new(store, session, Arc::clone(&views)));
        let timeline = Timeline::new(settings.host.clone(), settings.zone.clone(), boot, RING);
        let observer = Arc::new(Observer::new(Arc::new(timeline), Arc::new(Metrics::new())));
        let suspects = Arc::new(Suspects::default());
        let holders = Arc::new(Holders::new(HolderParts {
            instance: instance.clone(),
            observer: Arc::clone(&observer),
            rights: Arc::clone(&control),
            suspects: Arc::clone(&suspects),
        })?);
        let entry = Arc::new(Entry::new(EntryParts {
            claims: Arc::clone(&control),
            holders: Arc::clone(&holders),
            instance: instance.clone(),
            observer,
            peers: Arc::new(Peers::new(runtime.handle().clone())),
            query_limit: settings.caller_workers,
            suspects,
            views: Arc::clone(&views),
            zone: settings.zone.clone(),
        }));
        let peer = PeerListener::start(
            runtime.handle(),
            settings.peer_listen,
            Arc::clone(&control),
            Arc::clone(&holders),
        )
        .map_err(|err| named(settings.peer_listen, &err))?;
        let workers = settings.caller_workers as usize + REFUSING_WORKERS;
        let limits = HttpLimits {
            connections: MAX_CONNECTIONS,
            queue: workers * QUEUE_PER_WORKER,
            slow_client: SLOW_CLIENT,
            workers,
        };
        let api = CallerApi::new(Arc::clone(&entry), Arc::clone(&control));
        let caller = HttpServer::start(runtime.handle(), settings.caller_listen, &limits, api)
            .map_err(|err| named(settings.caller_listen, &err))?;
        let addresses = BoundAddresses { caller: caller.address(), peer: peer.address() };
        control.set_addresses(addresses.caller, addresses.peer);
        let (stop, stopped) = bounded(0);
        let rounds = {
            let control = Arc::clone(&control);
            let name = "control".to_owned();
            thread::Builder::new()
                .name(name)
                .spawn(move || run_rounds(&control, &views, &holders, &stopped))?
        };
        Ok(Self {
            addresses,
            caller,
            control,
            entry,
            instance,
            peer,
            rounds: Some(rounds),
            runtime,
            stop: Some(stop),
        })
    }

    /// The bound addresses.
    pub fn addresses(&self) -> BoundAddresses {
        self.addresses
    }

    /// This start of the host.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// What runs the queries of callers.
    pub fn entry(&self) -> &Arc<Entry<Control<S>, Control<S>>> {
        &self.entry
    }

    /// Stops without cutting off a request.
    pub fn stop(mut self) {
        drop(self.stop.take());
        if let Some(rounds) = self.rounds.take() {
            let _ = rounds.join();
        }
        self.control.end();
        self.caller.stop(STOP_PATIENCE);
        self.peer.stop(STOP_PATIENCE);
        self.runtime.shutdown_background();
    }
}

fn run_rounds<S: ObjectStore>(
    control: &Control<S>,
    views: &Views,
    holders: &Holders<Control<S>>,
    stopped: &Receiver<()>,
) {
    loop {
        let begun = clock::now();
        if let Err(err) = control.round() {
            log::warn!("{err}");
        }
        holders.adopt(&views.load(), |_| Start::Cold);
        let pause = clock::until(begun + ROUND).to_duration();
        if stopped.recv_timeout(pause) != Err(RecvTimeoutError::Timeout) {
            return;
        }
    }
}

fn new_boot() -> BootId {
    let text = format!("{}-{:08x}", clock::unix_now(), rand::rng().random::<u32>());
    text.parse().expect("digits and a dash make a valid id")
}

fn named(address: SocketAddr, err: &IoError) -> IoError {
    IoError::new(err.kind(), format!("{address}: {err}"))
}
