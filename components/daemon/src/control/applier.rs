//! Builds the cluster view of the data path and applies the assignment to the held leaves.

use {
    crate::{
        clock,
        control::{
            host_control::HostControl,
            shared_state::{HostState, SharedState},
        },
        data_path::DataPath,
        holder::leaf::HoldingStart,
        view::{ClusterView, Holder, HostView},
    },
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
    wigeonramp_config::Document,
    wigeonramp_control::assignment::{Assignment, Holding},
    wigeonramp_telemetry::timeline::{EventKind, NewEvent},
    wigeonramp_units::{InstanceId, Instant, LeafId, Span},
};

/// Time after which the view is rebuilt without a change, to drop hosts that have become silent.
const REFRESH_INTERVAL: Span = Span::millis(500);
/// Pause before a leaf whose declaration changed is tried again while it has requests in flight.
const RETRY_PAUSE: Span = Span::millis(20);

/// Applies changes of the shared state to the data path.
pub struct Applier {
    /// Data path of this host.
    pub data: Arc<DataPath<HostControl>>,
    /// State shared with the control threads.
    pub shared: Arc<SharedState>,
}

impl Applier {
    /// Applies changes until the host stops.
    pub fn run(&self) {
        while !self.shared.is_stopped() {
            let pause = if self.apply() { REFRESH_INTERVAL } else { RETRY_PAUSE };
            self.shared.wakers().apply.wait(pause);
        }
    }

    /// Applies the current state. Returns whether all leaves are held as assigned.
    fn apply(&self) -> bool {
        let now = clock::now();
        let inputs = {
            let mut state = self.shared.lock();
            prune(&mut state);
            ViewInputs::new(&state, now)
        };
        let (instance, assignment) = (inputs.instance.clone(), inputs.assignment.clone());
        let view = inputs.into_view();
        let quarantine = view.document.limits.quarantine;
        if self.data.entry().view().document.limits.quarantine != quarantine {
            self.data.suspects().set_quarantine_time(quarantine, now);
        }
        self.data.set_instance(instance);
        self.data.apply_view(view, |leaf| self.start(assignment.as_deref(), leaf))
    }

    /// Returns how the holding of `leaf` starts, and records it.
    fn start(&self, assignment: Option<&Assignment>, leaf: &LeafId) -> HoldingStart {
        let holding = assignment.and_then(|assignment| assignment.holdings.get(leaf));
        let Some(holding) = holding else { return HoldingStart::Cold };
        let start = if holding.taken_over { "taken_over" } else { "cold" };
        let event = NewEvent::now(EventKind::LeafAcquired).leaf(leaf).epoch(holding.epoch);
        self.shared.record(event.field("start", start));
        if holding.taken_over {
            return HoldingStart::AfterTakeover(
                self.shared.lock().session_time.upper_bound(clock::now()),
            );
        }
        HoldingStart::Cold
    }
}

/// Copy of the state that a view is built from, so that the lock, which is also taken for each
/// attempt at a leaf, is not held meanwhile.
struct ViewInputs {
    addresses: HashMap<InstanceId, SocketAddr>,
    assignment: Option<Arc<Assignment>>,
    document: Arc<Document>,
    hosts: Vec<HostView>,
    instance: InstanceId,
}

impl ViewInputs {
    fn new(state: &HostState, now: Instant) -> Self {
        let this_host = (state.identity.instance.clone(), state.identity.peer_address);
        let others = state.hosts.all().map(|host| (host.instance.clone(), host.peer_address));
        Self {
            addresses: others.chain([this_host]).collect(),
            assignment: state.assignment.clone(),
            document: Arc::clone(&state.document),
            hosts: state.host_views(now),
            instance: state.identity.instance.clone(),
        }
    }

    fn into_view(self) -> ClusterView {
        let Self { addresses, assignment, document, hosts, .. } = self;
        let holder = |(leaf, holding): (&LeafId, &Holding)| {
            let holder = Holder {
                address: *addresses.get(&holding.instance)?,
                epoch: holding.epoch,
                instance: holding.instance.clone(),
                releasing: holding.from.clone(),
            };
            Some((leaf.clone(), holder))
        };
        let holdings = assignment.iter().flat_map(|assignment| &assignment.holdings);
        let holders = holdings.filter_map(holder).collect();
        ClusterView { document, holders, hosts }
    }
}

/// Removes instances that have long been silent, hold no leaf and are no assigner.
fn prune(state: &mut HostState) {
    let Some(assignment) = state.assignment.clone() else { return };
    let is_involved = |id: &InstanceId| {
        let involves = |h: &Holding| h.instance == *id || h.from.as_ref() == Some(id);
        assignment.is_assigner(id) || assignment.holdings.values().any(involves)
    };
    state.hosts.prune(clock::now(), is_involved);
}
