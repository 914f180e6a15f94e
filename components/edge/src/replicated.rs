//! Replicated state (configuration, leaves and evacuations), and applying its changes on this host.

use {
    crate::node::Node,
    serde_json::json,
    wigeonramp_routing::{
        catalog::{Catalog, OfferOutcome},
        changes::{Change, ChangeLog},
        leaf::LeafRegistration,
        leaves::LeafChange,
        position::Position,
    },
    wigeonramp_units::{Instant, LeafId, Span, StoreEra},
};

/// Positions and recent changes of the replicated state, from which other hosts are updated.
#[derive(Debug, Default)]
pub(crate) struct ReplicatedState {
    pub leaves: ChangeLog,
    pub evacuations: ChangeLog,
    /// Orders of releases; nothing where these are not in use.
    pub orders: ChangeLog,
    /// Whether the host does not serve before it knows the orders.
    pub waits_for_orders: bool,
    /// Position up to which this host knows the configuration.
    pub config_upto: Position,
    /// Time at which the active configuration was adopted.
    pub config_adopted_at: Option<Instant>,
    /// Whether there are changes that have not been sent to other hosts.
    pub unsent_changes: bool,
}

impl ReplicatedState {
    /// Creates the state of a host that knows nothing.
    pub fn new(waits_for_orders: bool) -> Self {
        Self { waits_for_orders, ..Self::default() }
    }

    /// Returns the latest era of the store from which the state is.
    pub fn era(&self) -> StoreEra {
        let logs = [&self.leaves, &self.evacuations, &self.orders].map(ChangeLog::upto);
        let positions = [logs[0], logs[1], logs[2], self.config_upto];
        positions.map(Position::era).into_iter().max().unwrap_or_default()
    }

    /// Whether complete lists of leaves, evacuations and orders have been received.
    pub fn is_complete(&self) -> bool {
        self.leaves.upto().is_known()
            && self.evacuations.upto().is_known()
            && (self.orders.upto().is_known() || !self.waits_for_orders)
    }
}

/// Returns a change that was put off as it is applied when it is due.
fn without_grace(change: Change) -> Change {
    match change {
        Change::Evacuation { zone, out: false, .. } => Change::end_of_evacuation(zone, Span::ZERO),
        change => change,
    }
}

impl Node {
    /// Adopts a configuration if it is newer than the active one; `from` is its source for the log.
    pub(crate) fn adopt(&mut self, catalog: Catalog, from: &str) {
        let version = catalog.version;
        match self.active_catalog.offer(catalog) {
            OfferOutcome::Newer => {}
            OfferOutcome::Same => return,
            OfferOutcome::Older => {
                let in_force = self.active_catalog.version();
                let fields = json!({ "version": version, "from": from, "in_force": in_force });
                return self.journal.record("config_ignored", fields, self.now);
            }
        }
        let Some(catalog) = self.active_catalog.current().cloned() else { return };
        self.replicated.config_adopted_at = Some(self.now);
        self.adopt_accounts(&catalog);
        self.routing.cold_rates =
            catalog.services.iter().map(|(id, spec)| (id.clone(), spec.cold_per_second)).collect();
        self.routing.retain_configured(
            |service| catalog.services.contains_key(service),
            |name| catalog.routes.iter().any(|route| route.name == name),
        );
        let fields = json!({
            "version": version.0, "from": from, "routes": catalog.routes.len(),
            "services": catalog.services.len(),
        });
        self.journal.record("config_adopted", fields, self.now);
    }

    /// Applies a change on this host, unless it is put off because the store has come back from a
    /// copy.
    pub(crate) fn apply(&mut self, change: &Change) {
        if !self.reconciler.admits(change, &self.routing.leaves, self.now) {
            let fields = json!({ "change": change, "era": self.store.era() });
            return self.journal.record("change_deferred", fields, self.now);
        }
        match change {
            Change::Leaf(registration) => self.apply_leaf(registration.clone()),
            Change::LeafGone { id, grace } if *grace == Span::ZERO => {
                self.remove_leaf(id, "unregistered");
            }
            Change::LeafGone { id, grace } => {
                self.routing.leaves.mark_lapsed(id, self.now + *grace);
            }
            Change::Evacuation { zone, out, .. } => {
                self.routing.leaves.set_evacuated(zone.clone(), *out);
                let fields = json!({ "zone": zone, "out": out });
                self.journal.record("evacuation", fields, self.now);
            }
            Change::Order(_) | Change::OrderGone { .. } => self.apply_order(change),
        }
    }

    fn apply_leaf(&mut self, registration: LeafRegistration) {
        let (id, draining, cold_left) =
            (registration.id.clone(), registration.draining, registration.cold_left);
        let (service, version) = (registration.service.clone(), registration.version.clone());
        let is_first_list = !self.replicated.leaves.upto().is_known();
        let change = self.routing.leaves.register(registration, self.now);
        if change != LeafChange::Kept && self.routing.releases.is_enabled() {
            self.routing.releases.on_leaf(&service, &version, is_first_list, self.now);
            self.routing.sync_releases(self.now);
        }
        let state = match change {
            LeafChange::Updated(_) if draining => "draining",
            // Not logged: a leaf that warms up updates its registration with every heartbeat.
            LeafChange::Kept | LeafChange::Removed(_) | LeafChange::Updated(_) => return,
            LeafChange::Added(_) => "added",
            LeafChange::Restarted(key) => {
                self.close_idle_conns(key);
                self.routing.limits.forget(&id);
                "restarted"
            }
        };
        // The leaves of the first complete list are not logged one by one.
        if state == "added" && !self.replicated.is_complete() {
            return;
        }
        let fields = json!({ "leaf": id, "state": state, "cold_left_us": cold_left.0 });
        self.journal.record("leaf", fields, self.now);
    }

    fn remove_leaf(&mut self, id: &LeafId, reason: &str) {
        if let LeafChange::Removed(key) = self.routing.leaves.remove(id, self.now) {
            self.close_idle_conns(key);
            self.journal.record("leaf", json!({ "leaf": id, "state": reason }), self.now);
        }
    }

    pub(crate) fn sweep_leaves(&mut self) {
        for change in self.reconciler.take_due(self.now) {
            self.apply(&without_grace(change));
        }
        for (registration, key) in self.routing.leaves.remove_lapsed(self.now) {
            self.reconciler.on_removed(&registration, self.now);
            let id = registration.id;
            self.close_idle_conns(key);
            self.journal.record("leaf", json!({ "leaf": id, "state": "lapsed" }), self.now);
        }
    }
}
