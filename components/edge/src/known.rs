//! What this host knows of configuration, leaves and evacuations, and how changes take effect.

use {
    crate::node::Node,
    serde_json::json,
    wigeonramp_routing::{
        catalog::{Catalog, OfferOutcome},
        changes::{Change, ChangeLog},
        leaf::LeafRegistration,
        leaves::LeafChange,
    },
    wigeonramp_units::{Instant, LeafId, Revision, Span},
};

/// Revisions and changes, to bring other hosts up to date.
#[derive(Debug, Default)]
pub(crate) struct Known {
    pub leaves: ChangeLog,
    pub evacuations: ChangeLog,
    /// Revision up to which the configuration is known.
    pub config_upto: Revision,
    /// Revision at which it changed last.
    pub config_changed: Revision,
    /// When the configuration in force was adopted.
    pub config_adopted_at: Option<Instant>,
    /// Something changed that other hosts have not been told.
    pub to_tell: bool,
}

impl Known {
    /// Whether leaves and evacuations were learned as a whole.
    pub fn is_complete(&self) -> bool {
        self.leaves.upto() > Revision(0) && self.evacuations.upto() > Revision(0)
    }
}

impl Node {
    /// Takes a configuration that is newer than the one in force.
    pub(crate) fn adopt(&mut self, catalog: Catalog, from: &str) {
        let version = catalog.version;
        if self.adoption.offer(catalog) != OfferOutcome::Newer {
            return;
        }
        let Some(catalog) = self.adoption.current().cloned() else { return };
        self.known.config_adopted_at = Some(self.now);
        self.traffic.cold_rates =
            catalog.services.iter().map(|(id, spec)| (id.clone(), spec.cold_per_second)).collect();
        self.traffic.keep(
            |service| catalog.services.contains_key(service),
            |name| catalog.routes.iter().any(|route| route.name == name),
        );
        let fields = json!({
            "version": version.0, "from": from, "routes": catalog.routes.len(),
            "services": catalog.services.len(),
        });
        self.journal.line("config_adopted", fields, self.now);
    }

    /// Carries a change out on this host.
    pub(crate) fn apply(&mut self, change: &Change) {
        match change {
            Change::Leaf(entry) => self.take_leaf(entry.clone()),
            Change::LeafGone { id, grace } if *grace == Span::ZERO => {
                self.remove_leaf(id, "unregistered");
            }
            Change::LeafGone { id, grace } => {
                self.traffic.leaves.lapse(id, self.now + *grace);
            }
            Change::Evacuation { zone, out } => {
                self.traffic.leaves.evacuate(zone.clone(), *out);
                let fields = json!({ "zone": zone, "out": out });
                self.journal.line("evacuation", fields, self.now);
            }
        }
    }

    fn take_leaf(&mut self, entry: LeafRegistration) {
        let (id, draining, cold_left) = (entry.id.clone(), entry.draining, entry.cold_left);
        let what = match self.traffic.leaves.register(entry, self.now) {
            LeafChange::Updated(_) if draining => "draining",
            // A leaf that warms up changes its entry with every beat; that decides nothing new.
            LeafChange::Kept | LeafChange::Removed(_) | LeafChange::Updated(_) => return,
            LeafChange::Added(_) => "added",
            LeafChange::Restarted(key) => {
                self.close_idle_to(key);
                "restarted"
            }
        };
        if what == "added" && !self.known.is_complete() {
            return;
        }
        let fields = json!({ "leaf": id, "state": what, "cold_left_us": cold_left.0 });
        self.journal.line("leaf", fields, self.now);
    }

    fn remove_leaf(&mut self, id: &LeafId, reason: &str) {
        if let LeafChange::Removed(key) = self.traffic.leaves.remove(id) {
            self.close_idle_to(key);
            self.journal.line("leaf", json!({ "leaf": id, "state": reason }), self.now);
        }
    }

    pub(crate) fn sweep_leaves(&mut self) {
        for (id, key) in self.traffic.leaves.drop_lapsed(self.now) {
            self.close_idle_to(key);
            self.journal.line("leaf", json!({ "leaf": id, "state": "lapsed" }), self.now);
        }
    }
}
