//! Applying what the store returns: pages of lists, and changes.

use {
    super::Call,
    crate::node::Node,
    serde_json::json,
    wigeonramp_platform::{
        objects::{self, CONFIG_OBJECT, ObjectChanges, ObjectKind, StoredObject},
        rollouts,
    },
    wigeonramp_routing::{changes::Change, lapse::Vanished, position::Position},
    wigeonramp_units::{Instant, LeafId, Revision, ServiceId, Span, ZoneId},
};

impl Node {
    /// Applies a page of a list. After the last page, also removes leaves and evacuations that the
    /// list no longer has.
    pub(super) fn on_page(&mut self, index: usize, call: Call, body: &[u8]) {
        let page = match objects::parse_page(body) {
            Ok(page) => page,
            Err(err) => return self.call_failed(index, call, &err),
        };
        let kind = self.store.conns[index].kind;
        self.log_unreadable(kind, page.unreadable);
        let page_last_change = page.items.iter().map(|object| object.revision).max();
        for object in &page.items {
            if let Some(change) = self.read_object(kind, object) {
                self.apply(&change);
            }
        }
        let names = page.items.iter().map(|object| object.name.clone());
        let known_until = self.origin_selector.current_until();
        let conn = &mut self.store.conns[index];
        let position = Position::new(self.store.era, page.revision);
        let all_names = conn.list_watch.on_page(names, page.has_more, position, self.now);
        self.on_store_answered();
        let conn = &mut self.store.conns[index];
        let page_last_change = page_last_change.unwrap_or_default();
        let page_last_change = Position::new(self.store.era, page_last_change);
        conn.last_change = conn.last_change.max(page_last_change);
        let (Some(all_names), last_change) = (all_names, conn.last_change) else { return };
        // A list without objects may be at revision zero, which must not count as nothing known.
        let upto = conn.list_watch.position().unwrap_or_default();
        let upto = Position::new(upto.era(), upto.revision().max(Revision(1)));
        let fields = json!({
            "kind": kind.name(), "revision": upto.revision(), "era": upto.era(),
            "objects": all_names.len(), "last_change": last_change.revision(),
        });
        self.journal.record("store_listed", fields, self.now);
        match kind {
            ObjectKind::Leaves => {
                let missing = |id: &&LeafId| !all_names.contains(id.as_str());
                let missing: Vec<_> = self.routing.leaves.ids().filter(missing).cloned().collect();
                let settling = self.reconciler.grace(self.now);
                for change in self.leaf_removals(index, missing, known_until, settling) {
                    self.apply(&change);
                }
                self.replicated.leaves.restart(upto, last_change);
            }
            ObjectKind::Evacuations => {
                let ended = |zone: &&ZoneId| !all_names.contains(zone.as_str());
                let ended: Vec<_> =
                    self.routing.leaves.evacuated().filter(ended).cloned().collect();
                let grace = self.reconciler.grace(self.now);
                for zone in ended {
                    self.apply(&Change::end_of_evacuation(zone, grace));
                }
                self.replicated.evacuations.restart(upto, last_change);
            }
            ObjectKind::Config => {
                self.replicated.config_upto = self.replicated.config_upto.max(upto);
            }
            ObjectKind::Rollouts => {
                let removals = self.order_removals(|service| all_names.contains(service.as_str()));
                for change in removals {
                    self.apply(&change);
                }
                self.replicated.orders.restart(upto, last_change);
            }
            ObjectKind::Members => {}
        }
        self.replicated.unsent_changes = true;
    }

    /// Applies the changes that a watch or poll returned.
    pub(super) fn on_changes(&mut self, index: usize, call: Call, body: &[u8]) {
        let batch = match objects::parse_changes(body) {
            Ok(batch) => batch,
            Err(err) => return self.call_failed(index, call, &err),
        };
        let known_until = self.origin_selector.current_until();
        let position = Position::new(self.store.era, batch.revision);
        let changed = !batch.changes.is_empty();
        let continues = self.store.conns[index].list_watch.on_changes(changed, position, self.now);
        self.on_store_answered();
        if continues {
            self.apply_batch(index, &batch, position, known_until);
        }
    }

    /// Applies the changes of the kind that connection `index` watches, complete up to `position`,
    /// which the store has made since `known_until`.
    pub(super) fn apply_batch(
        &mut self,
        index: usize,
        batch: &ObjectChanges,
        position: Position,
        known_until: Option<Instant>,
    ) {
        let kind = self.store.conns[index].kind;
        self.log_unreadable(kind, batch.unreadable);
        let mut changes = Vec::new();
        let mut removed_leaves: Vec<LeafId> = Vec::new();
        for change in &batch.changes {
            let name = &change.object.name;
            if !change.deleted {
                removed_leaves.retain(|id| id.as_str() != name);
                changes.extend(self.read_object(kind, &change.object));
                continue;
            }
            match (kind, name.parse::<LeafId>(), name.parse::<ZoneId>()) {
                (ObjectKind::Leaves, Ok(id), _) => {
                    // The deletion overrides earlier registrations in the same batch.
                    changes.retain(|change| !matches!(change, Change::Leaf(leaf) if leaf.id == id));
                    removed_leaves.push(id);
                }
                (ObjectKind::Evacuations, _, Ok(zone)) => {
                    changes.push(Change::end_of_evacuation(zone, Span::ZERO));
                }
                (ObjectKind::Rollouts, ..) => {
                    let service = name.parse::<ServiceId>().ok();
                    changes.extend(service.map(|service| Change::OrderGone { service }));
                }
                _ => {}
            }
        }
        let mut all_changes = self.leaf_removals(index, removed_leaves, known_until, Span::ZERO);
        all_changes.extend(changes);
        // Another host may already have sent the same changes.
        let is_new = match kind {
            ObjectKind::Leaves => self.replicated.leaves.extend(position, &all_changes, self.now),
            ObjectKind::Evacuations => {
                self.replicated.evacuations.extend(position, &all_changes, self.now)
            }
            ObjectKind::Config => {
                self.replicated.config_upto = self.replicated.config_upto.max(position);
                true
            }
            ObjectKind::Rollouts => self.replicated.orders.extend(position, &all_changes, self.now),
            ObjectKind::Members => false,
        };
        if is_new {
            for change in &all_changes {
                self.apply(change);
            }
        }
        self.replicated.unsent_changes |= !batch.changes.is_empty();
    }

    /// Returns the change that an object describes, or `None` if the object is ignored.
    /// Configurations and members are applied here and also yield `None`.
    fn read_object(&mut self, kind: ObjectKind, object: &StoredObject) -> Option<Change> {
        match kind {
            ObjectKind::Config if object.name == CONFIG_OBJECT => {
                match objects::parse_catalog(object) {
                    Ok(catalog) => {
                        if Some(catalog.version) > self.active_catalog.version() {
                            self.log_ignored_accounts(object);
                        }
                        self.adopt(catalog, "store");
                    }
                    Err(err) => self.log_ignored(kind, object, &err),
                }
            }
            ObjectKind::Config => {}
            ObjectKind::Leaves => return self.read_leaf(object),
            ObjectKind::Evacuations => match object.name.parse() {
                Ok(zone) => {
                    let written = Position::new(self.store.era(), object.revision);
                    return Some(Change::Evacuation {
                        zone,
                        out: true,
                        written,
                        grace: Span::ZERO,
                    });
                }
                Err(_) => self.log_ignored(kind, object, "not the name of a zone"),
            },
            ObjectKind::Rollouts => match rollouts::parse_order(object, self.store.era()) {
                Ok(order) => return Some(Change::Order(order)),
                Err(err) => self.log_ignored(kind, object, &err),
            },
            ObjectKind::Members => match objects::parse_member(object) {
                Ok((ip, zone)) => self.members.add_by_address(ip, zone),
                Err(err) => self.log_ignored(kind, object, &err),
            },
        }
        None
    }

    /// Logs the number of objects without a readable name.
    fn log_unreadable(&mut self, kind: ObjectKind, count: usize) {
        if self.store.ignored.is_new_count(kind, count) && count > 0 {
            let fields =
                json!({ "kind": kind.name(), "count": count, "reason": "no readable name" });
            self.journal.record("object_ignored", fields, self.now);
        }
    }

    /// Logs an object that cannot be read, unless it is the same as before.
    fn log_ignored(&mut self, kind: ObjectKind, object: &StoredObject, reason: &str) {
        if !self.store.ignored.is_new(kind, &object.name, object.revision) {
            return;
        }
        let fields = json!({
            "kind": kind.name(), "name": object.name, "revision": object.revision.0,
            "reason": reason,
        });
        self.journal.record("object_ignored", fields, self.now);
    }

    /// Returns the change for a leaf's registration. An invalid registration removes the leaf.
    fn read_leaf(&mut self, object: &StoredObject) -> Option<Change> {
        match objects::parse_leaf(object) {
            Ok(mut registration) => {
                if !self.routing.releases.is_enabled() {
                    registration.version = None;
                }
                Some(Change::Leaf(registration))
            }
            Err(err) => {
                self.log_ignored(ObjectKind::Leaves, object, &err);
                let id = object.name.parse().ok()?;
                Some(Change::LeafGone { id, grace: Span::ZERO })
            }
        }
    }

    /// Returns the removals of leaves whose registrations vanished since `known_until`, which take
    /// effect after `min_grace` at the earliest.
    fn leaf_removals(
        &self,
        index: usize,
        ids: Vec<LeafId>,
        known_until: Option<Instant>,
        min_grace: Span,
    ) -> Vec<Change> {
        let vanished = Vanished {
            count: ids.len(),
            leaves: self.routing.leaves.len(),
            renewed_until: self.store.conns[index].list_watch.renewal_deadline(self.now),
            known_until,
        };
        let used_until = vanished.used_until(self.settings.drain_time, self.now);
        let grace = used_until.since(self.now).max(min_grace);
        ids.into_iter().map(|id| Change::LeafGone { id, grace }).collect()
    }
}
