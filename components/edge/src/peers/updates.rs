//! Updates of the replicated state: composing them for followers, and applying those of a followed
//! host.

use {
    super::{ConfigUpdate, KnownPositions, ReplicationUpdate},
    crate::{node::Node, replicated::ReplicatedState},
    wigeonramp_routing::{
        changes::{Change, ChangeLog, Update},
        position::Position,
    },
    wigeonramp_units::{LeafId, ServiceId, Span, ZoneId},
};

impl Node {
    pub(super) fn update_since(&self, known: &KnownPositions) -> ReplicationUpdate {
        let catalog = self.active_catalog.current().filter(|c| Some(c.version) > known.config);
        let config = catalog.map(|catalog| ConfigUpdate {
            upto: self.replicated.config_upto,
            changed: self.replicated.config_upto,
            catalog: catalog.as_ref().clone(),
        });
        let leaves = match self.replicated.leaves.since(known.leaves, self.now) {
            Some(update) => Some(update),
            None if self.replicated.leaves.upto() > known.leaves => Some(self.full_leaf_update()),
            None => None,
        };
        let evacuations = match self.replicated.evacuations.since(known.evacuations, self.now) {
            Some(update) => Some(update),
            None if self.replicated.evacuations.upto() > known.evacuations => {
                Some(self.full_evacuation_update())
            }
            None => None,
        };
        let log = &self.replicated.orders;
        let orders = match log.since(known.orders, self.now) {
            None if log.upto() > known.orders => Some(Update {
                whole: true,
                upto: log.upto(),
                changed: log.changed(),
                changes: self.orders().cloned().map(Change::Order).collect(),
            }),
            update => update,
        };
        let newer = |update: &Update, known: Position| update.upto > known;
        ReplicationUpdate {
            age: None,
            config,
            leaves: leaves.filter(|update| newer(update, known.leaves)),
            evacuations: evacuations.filter(|update| newer(update, known.evacuations)),
            orders: orders.filter(|update| newer(update, known.orders)),
        }
    }

    fn full_leaf_update(&self) -> Update {
        let log = &self.replicated.leaves;
        // Put-off changes come first: what this host knows takes precedence over them.
        let deferred = self.reconciler.deferred(self.now).filter(|c| c.leaf().is_some());
        let changes = deferred.chain(self.routing.leaves.registrations(self.now)).collect();
        Update { whole: true, upto: log.upto(), changed: log.changed(), changes }
    }

    fn full_evacuation_update(&self) -> Update {
        let log = &self.replicated.evacuations;
        let evacuation = |zone: &ZoneId| Change::Evacuation {
            zone: zone.clone(),
            out: true,
            written: self.reconciler.evacuated_at(zone),
            grace: Span::ZERO,
        };
        let deferred = self.reconciler.deferred(self.now).filter(|c| c.leaf().is_none());
        let changes = self.routing.leaves.evacuated().map(evacuation).chain(deferred).collect();
        Update { whole: true, upto: log.upto(), changed: log.changed(), changes }
    }

    pub(super) fn apply_replication_update(&mut self, update: ReplicationUpdate) {
        if let Some(config) = update.config {
            self.replicated.config_upto = self.replicated.config_upto.max(config.upto);
            self.adopt(config.catalog, "host");
            self.replicated.unsent_changes = true;
        }
        if let Some(leaves) = update.leaves {
            self.apply_leaf_update(leaves);
        }
        if let Some(evacuations) = update.evacuations {
            self.apply_evacuation_update(evacuations);
        }
        if let Some(orders) = update.orders.filter(|_| self.routing.releases.is_enabled()) {
            self.apply_order_update(&orders);
        }
    }

    fn apply_order_update(&mut self, update: &Update) {
        self.reconciler.enter_era(update.upto.era(), self.now);
        let is_listed = |service: &ServiceId| {
            let is_order = |c: &Change| matches!(c, Change::Order(o) if o.key.service == *service);
            update.changes.iter().any(is_order)
        };
        let gone = self.order_removals(is_listed);
        self.apply_update(update, gone, |state| &mut state.orders);
    }

    fn apply_leaf_update(&mut self, update: Update) {
        self.reconciler.enter_era(update.upto.era(), self.now);
        let is_included = |id: &LeafId| {
            update.changes.iter().any(|c| matches!(c, Change::Leaf(leaf) if leaf.id == *id))
        };
        let gone = self.routing.leaves.ids().filter(|id| !is_included(id)).cloned();
        let grace = self.reconciler.grace(self.now);
        let gone = gone.map(|id| Change::LeafGone { id, grace }).collect();
        self.apply_update(&update, gone, |state| &mut state.leaves);
    }

    fn apply_evacuation_update(&mut self, update: Update) {
        self.reconciler.enter_era(update.upto.era(), self.now);
        let is_included = |zone: &ZoneId| {
            let is_zone = |c: &Change| matches!(c, Change::Evacuation { zone: z, .. } if z == zone);
            update.changes.iter().any(is_zone)
        };
        let ended = self.routing.leaves.evacuated().filter(|zone| !is_included(zone)).cloned();
        let grace = self.reconciler.grace(self.now);
        let ended = ended.map(|zone| Change::end_of_evacuation(zone, grace)).collect();
        self.apply_update(&update, ended, |state| &mut state.evacuations);
    }

    /// Applies an update of one kind of object from another host. If the update is a full one,
    /// `removals` removes the objects that it does not contain.
    fn apply_update(
        &mut self,
        update: &Update,
        removals: Vec<Change>,
        log: fn(&mut ReplicatedState) -> &mut ChangeLog,
    ) {
        let known = log(&mut self.replicated).upto();
        if update.upto <= known || !(update.whole || update.upto.continues(known)) {
            return;
        }
        for change in removals.iter().filter(|_| update.whole).chain(&update.changes) {
            self.apply(change);
        }
        let now = self.now;
        let log = log(&mut self.replicated);
        if update.whole {
            log.restart(update.upto, update.changed);
        } else {
            log.extend(update.upto, &update.changes, now);
        }
        self.replicated.unsent_changes = true;
    }
}
