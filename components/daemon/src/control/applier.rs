//! Builds the data path's view and applies the assignment to the held leaves.

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

/// Time after which the view is built again without a change, for hosts that have gone silent.
const REFRESH: Span = Span::millis(500);
/// Time after which a leaf with a changed declaration and work in flight is tried again.
const RETRY: Span = Span::millis(20);

/// The parts that a new view is applied to.
pub struct Applier {
    /// What serves callers and holds leaves.
    pub data: Arc<DataPath<HostControl>>,
    /// Knowledge and rights.
    pub shared: Arc<SharedState>,
}

impl Applier {
    /// Applies changes until the host stops.
    pub fn run(&self) {
        while !self.shared.is_stopped() {
            let pause = if self.apply() { REFRESH } else { RETRY };
            self.shared.wakers().apply.wait(pause);
        }
    }

    /// Whether all leaves are held as the assignment says.
    fn apply(&self) -> bool {
        let now = clock::now();
        let known = {
            let mut state = self.shared.lock();
            prune(&mut state);
            Known::of(&state, now)
        };
        let (me, assignment, view) = (known.me.clone(), known.assignment.clone(), known.view());
        let quarantine = view.document.limits.quarantine;
        if self.data.entry().view().document.limits.quarantine != quarantine {
            self.data.suspects().set_quarantine_time(quarantine, now);
        }
        self.data.set_instance(me);
        self.data.adopt(view, |leaf| self.start(assignment.as_deref(), leaf))
    }

    fn start(&self, assignment: Option<&Assignment>, leaf: &LeafId) -> HoldingStart {
        let holding = assignment.and_then(|assignment| assignment.holdings.get(leaf));
        let Some(holding) = holding else { return HoldingStart::Cold };
        let how = if holding.taken_over { "taken_over" } else { "cold" };
        let entry = NewEvent::now(EventKind::LeafAcquired).leaf(leaf).epoch(holding.epoch);
        self.shared.record(entry.field("start", how));
        if holding.taken_over {
            return HoldingStart::AfterTakeover(
                self.shared.lock().session_time.upper_bound(clock::now()),
            );
        }
        HoldingStart::Cold
    }
}

/// What a view is built of. Taken in one piece, so that the build does not hold up senders.
struct Known {
    addresses: HashMap<InstanceId, SocketAddr>,
    assignment: Option<Arc<Assignment>>,
    document: Arc<Document>,
    hosts: Vec<HostView>,
    me: InstanceId,
}

impl Known {
    fn of(state: &HostState, now: Instant) -> Self {
        let own = (state.identity.instance.clone(), state.identity.peer_address);
        let others = state.hosts.all().map(|host| (host.instance.clone(), host.peer_address));
        Self {
            addresses: others.chain([own]).collect(),
            assignment: state.assignment.clone(),
            document: Arc::clone(&state.document),
            hosts: state.host_views(now),
            me: state.identity.instance.clone(),
        }
    }

    fn view(self) -> ClusterView {
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

/// Forgets instances that are long silent and hold nothing.
fn prune(state: &mut HostState) {
    let Some(assignment) = state.assignment.clone() else { return };
    let involved = |id: &InstanceId| {
        let of = |h: &Holding| h.instance == *id || h.from.as_ref() == Some(id);
        assignment.is_assigner(id) || assignment.holdings.values().any(of)
    };
    state.hosts.prune(clock::now(), involved);
}
