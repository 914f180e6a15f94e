//! A host: its control plane, its data path and its operator API, started and stopped together.

use {
    crate::{
        clock,
        control::{
            applier::Applier,
            assigner::SharedAssigner,
            claims::ClaimService,
            data_path_gossip::DataPathGossip,
            drain,
            fetcher::Fetcher,
            gossip::Gossip,
            host_control::HostControl,
            peer_requests::PeerRequests,
            platform::Platform,
            session_renewal::new_boot_id,
            shared_state::{HostIdentity, SharedState},
            threads::{ControlParts, ControlThreads},
        },
        data_path::DataPath,
        http_server::{HttpLimits, HttpServer},
        observe::Observer,
        operator::OperatorApi,
        view::SharedView,
    },
    serde::Serialize,
    std::{
        io::{Error as IoError, Result as IoResult},
        net::SocketAddr,
        sync::Arc,
        time::Duration,
    },
    wigeonramp_config::HostSettings,
    wigeonramp_control::drain::DrainState,
    wigeonramp_store::ObjectStore,
    wigeonramp_telemetry::{
        metrics::Metrics,
        timeline::{EventKind, NewEvent, Timeline},
    },
    wigeonramp_units::{InstanceId, Span},
};

/// Maximum number of connections from operators.
const OPERATOR_CONNECTIONS: usize = 64;
/// Number of threads for requests of operators; a confirmation occupies one for some seconds.
const OPERATOR_WORKERS: usize = 8;
/// Maximum number of operators' requests that wait for a worker.
const OPERATOR_QUEUE: usize = 32;
/// Time limit for an operator to send the head or the body of a request, or to receive a response.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of events in the timeline.
const TIMELINE_CAPACITY: usize = 65_536;
/// Maximum wait for running requests at the end of a stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum wait at the end of a stop for the outcomes of claims to be written.
const CLAIM_FLUSH_TIMEOUT: Span = Span::secs(5);

/// Addresses bound by a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
pub struct HostAddresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for operators.
    pub operator: SocketAddr,
    /// Address for peers.
    pub peer: SocketAddr,
}

/// A running host.
pub struct Host<S: ObjectStore> {
    addresses: HostAddresses,
    claims: Arc<ClaimService>,
    control: ControlThreads,
    data: Arc<DataPath<HostControl>>,
    instance: InstanceId,
    operator: HttpServer<OperatorApi<S>>,
    shared: Arc<SharedState>,
}

impl<S: ObjectStore> Host<S> {
    /// Binds all addresses and starts all parts. Fails if an address cannot be bound or a thread
    /// cannot be started.
    pub fn start(settings: &HostSettings, store: S) -> IoResult<Self> {
        let identity = host_identity(settings);
        let (boot, instance) = (identity.boot.clone(), identity.instance.clone());
        let (host, zone) = (identity.host.clone(), identity.zone.clone());
        let timeline = Timeline::new(host, zone, boot.clone(), TIMELINE_CAPACITY);
        let observer = Arc::new(Observer::new(Arc::new(timeline), Arc::new(Metrics::new())));
        let shared = Arc::new(SharedState::new(identity, Arc::clone(&observer)));
        let claims = Arc::new(ClaimService::new(Arc::clone(&shared)));
        let control = Arc::new(HostControl::new(Arc::clone(&shared), Arc::clone(&claims)));
        let shared_view = Arc::new(SharedView::new());
        let data = DataPath::start(settings, &boot, Arc::clone(&control), shared_view, observer);
        let data = Arc::new(data?);
        let platform = Arc::new(Platform::new(store, Arc::clone(&shared)));
        let operator = serve_operators(settings, &data, &shared, &platform)?;
        let addresses = HostAddresses {
            caller: data.addresses().caller,
            operator: operator.address(),
            peer: data.addresses().peer,
        };
        shared.set_addresses(addresses.caller, addresses.peer, addresses.operator);
        shared.record(NewEvent::now(EventKind::HostStarted).field("instance", &instance));
        let parts = control_parts(settings, &data, &shared, &claims, &platform);
        control.serve_peers(PeerRequests::new(
            Arc::clone(&shared),
            Arc::clone(&parts.assigner),
            Arc::clone(&parts.gossip),
            Arc::clone(data.held_leaves()),
        ));
        let entry = Arc::clone(data.entry());
        let control = ControlThreads::start(parts, move || entry.load())?;
        Ok(Self { addresses, claims, control, data, instance, operator, shared })
    }

    /// Returns the bound addresses.
    pub fn addresses(&self) -> HostAddresses {
        self.addresses
    }

    /// Returns the instance that this host started as. After its session has expired, the host
    /// continues as another instance.
    pub fn instance(&self) -> &InstanceId {
        &self.instance
    }

    /// Returns the state that all parts of the host share.
    pub fn shared_state(&self) -> &Arc<SharedState> {
        &self.shared
    }

    /// Returns the data path, which serves callers and holds leaves.
    pub fn data(&self) -> &DataPath<HostControl> {
        &self.data
    }

    /// Stops the host without cutting off requests: removes it from the list of entry hosts, hands
    /// over its leaves, finishes its requests and finally deletes its session.
    pub fn stop(self) {
        let Self { claims, control, data, shared, operator, .. } = self;
        drain::run(
            &shared,
            || in_flight(&data),
            |state| {
                if state == DrainState::Finishing {
                    data.disable_keep_alive();
                }
            },
        );
        if !data.finish(STOP_TIMEOUT) {
            log::error!("requests were still running after {STOP_TIMEOUT:?}; they are cut off");
        }
        if !claims.flush(CLAIM_FLUSH_TIMEOUT) {
            log::warn!(
                "outcomes of claims were not written; resubmissions get the outcome unknown"
            );
        }
        operator.stop(STOP_TIMEOUT);
        shared.record(NewEvent::now(EventKind::HostStopped));
        control.stop();
        match Arc::into_inner(data) {
            Some(data) => drop(data.stop(STOP_TIMEOUT)),
            None => log::error!("a control thread still uses the data path"),
        }
    }
}

/// Returns the number of callers' requests and of attempts at held leaves.
fn in_flight(data: &DataPath<HostControl>) -> usize {
    let reports = data.held_leaves().reports();
    let at_leaves: usize =
        reports.iter().map(|report| (report.in_flight + report.queued) as usize).sum();
    data.in_flight() + at_leaves
}

fn host_identity(settings: &HostSettings) -> HostIdentity {
    let boot = new_boot_id();
    HostIdentity {
        instance: InstanceId::new(&settings.host, &boot),
        boot,
        caller_address: settings.caller_listen,
        host: settings.host.clone(),
        operator_address: settings.operator_listen,
        peer_address: settings.peer_listen,
        zone: settings.zone.clone(),
    }
}

fn control_parts<S: ObjectStore>(
    settings: &HostSettings,
    data: &Arc<DataPath<HostControl>>,
    shared: &Arc<SharedState>,
    claims: &Arc<ClaimService>,
    platform: &Arc<Platform<S>>,
) -> ControlParts<DataPathGossip, S> {
    let fetcher = Fetcher::new();
    let data_path_gossip = DataPathGossip {
        leaf_tracker: Arc::clone(data.entry().leaf_tracker()),
        held_leaves: Arc::clone(data.held_leaves()),
        suspects: Arc::clone(data.suspects()),
        entry: Arc::clone(data.entry()),
    };
    let session_time = shared.lock().session_time.upper_bound(clock::now());
    ControlParts {
        applier: Applier { data: Arc::clone(data), shared: Arc::clone(shared) },
        claims: Arc::clone(claims),
        assigner: Arc::new(SharedAssigner::new(shared.instance(), session_time)),
        gossip: Arc::new(Gossip::new(
            Arc::clone(shared),
            Arc::new(data_path_gossip),
            fetcher.clone(),
        )),
        fetcher,
        shared: Arc::clone(shared),
        peers: Arc::clone(data.peers()),
        platform: Arc::clone(platform),
        seeds: settings.seeds.clone(),
    }
}

fn serve_operators<S: ObjectStore>(
    settings: &HostSettings,
    data: &DataPath<HostControl>,
    shared: &Arc<SharedState>,
    platform: &Arc<Platform<S>>,
) -> IoResult<HttpServer<OperatorApi<S>>> {
    let limits = HttpLimits {
        client_timeout: CLIENT_TIMEOUT,
        connections: OPERATOR_CONNECTIONS,
        queue: OPERATOR_QUEUE,
        workers: OPERATOR_WORKERS,
    };
    let held_leaves = Arc::clone(data.held_leaves());
    let api = OperatorApi::new(Arc::clone(shared), held_leaves, Arc::clone(platform));
    let address = settings.operator_listen;
    HttpServer::start(data.runtime().handle(), address, &limits, api)
        .map_err(|err| IoError::new(err.kind(), format!("{address}: {err}")))
}
