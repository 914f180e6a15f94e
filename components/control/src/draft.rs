//! Draft of the next assignment version: the changes that one step makes to the holdings.

use {
    crate::{
        assigner::AssignInput,
        assignment::{Assignment, AssignmentVersion, Holding},
        membership::MembershipView,
        placement::{Colocation, Placement},
    },
    indexmap::IndexMap,
    std::collections::BTreeSet,
    wigeonramp_config::Document,
    wigeonramp_units::{Epoch, InstanceId, LeafId},
};

/// Holdings of the next version, while a step changes them.
pub(crate) struct Draft {
    pub(crate) holdings: IndexMap<LeafId, Holding>,
    placement: Placement,
    // Instances that are the new holder of an unfinished handover when this step begins.
    receiving: BTreeSet<InstanceId>,
    version: AssignmentVersion,
    pub(crate) changed: bool,
}

impl Draft {
    pub(crate) fn new(
        current: &Assignment,
        input: &AssignInput<'_>,
        version: AssignmentVersion,
    ) -> Self {
        let holdings = current.holdings.clone();
        let placement = Placement::new(input.view, input.document, &holdings);
        let handed_over = holdings.values().filter(|h| h.from.is_some() && !h.taken_over);
        let receiving = handed_over.map(|holding| holding.instance.clone()).collect();
        Self { holdings, placement, receiving, version, changed: false }
    }

    /// Clears `from` where the old holder is gone or the new one reports that the handover is
    /// finished.
    pub(crate) fn finish_handovers(&mut self, view: &MembershipView, gone: &BTreeSet<InstanceId>) {
        let settled = |holding: &Holding| {
            let holder = view.instances.get(&holding.instance);
            holder.is_some_and(|holder| holder.session.record.settled >= holding.since_version)
        };
        for holding in self.holdings.values_mut() {
            let Some(from) = &holding.from else { continue };
            let lost = gone.contains(from);
            if lost || settled(holding) {
                holding.taken_over |= lost;
                holding.from = None;
                self.changed = true;
            }
        }
    }

    /// Takes over the leaves of instances that are gone; drops those that are no longer declared.
    pub(crate) fn replace_gone(&mut self, document: &Document, gone: &BTreeSet<InstanceId>) {
        let lost = |(_, holding): &(&LeafId, &Holding)| gone.contains(&holding.instance);
        let leaves: Vec<_> =
            self.holdings.iter().filter(lost).map(|(leaf, _)| leaf.clone()).collect();
        for leaf in leaves {
            if document.leaves.contains_key(&leaf) {
                self.take_over(leaf);
            } else if self.holdings[&leaf].from.is_none() {
                self.holdings.shift_remove(&leaf);
                self.changed = true;
            }
        }
    }

    fn take_over(&mut self, leaf: LeafId) {
        let Some(instance) = self.placement.best_holder(&leaf) else { return };
        let old = &self.holdings[&leaf];
        let from = old.from.clone().filter(|from| *from != instance);
        let epoch = old.epoch.next();
        self.set(
            leaf,
            Holding { instance, epoch, from, taken_over: true, since_version: self.version },
        );
    }

    /// Gives each declared leaf without a holder its first one.
    pub(crate) fn place_new(&mut self, document: &Document) {
        for leaf in document.leaves.keys() {
            if self.holdings.contains_key(leaf) {
                continue;
            }
            let Some(instance) = self.placement.best_holder(leaf) else { return };
            let (epoch, since_version) = (Epoch(1), self.version);
            let holding = Holding { instance, epoch, from: None, taken_over: false, since_version };
            self.set(leaf.clone(), holding);
        }
    }

    fn set(&mut self, leaf: LeafId, holding: Holding) {
        self.placement.record_move(&leaf, &holding.instance);
        self.holdings.insert(leaf, holding);
        self.changed = true;
    }

    /// Starts handovers until `max_handovers` are in progress: away from hosts that have to be
    /// emptied, away from hosts that hold two replicas of a shard, and towards underloaded hosts.
    pub(crate) fn hand_over(&mut self, input: &AssignInput<'_>, max_handovers: usize) {
        let open = self.holdings.values().filter(|holding| holding.from.is_some()).count();
        let mut remaining = max_handovers.saturating_sub(open);
        let is_renewing = |id: &InstanceId| {
            let view = input.view.instances.get(id);
            // An instance that was not seen to renew yet may be dead, so its leaves are not handed
            // over.
            view.is_some_and(|v| v.renewal_seen && v.is_renewing())
        };
        for leaf in self.misplaced(&is_renewing) {
            if remaining == 0 {
                return;
            }
            remaining -= usize::from(self.move_away(leaf));
        }
        while remaining > 0
            && let Some(to) = self.placement.underloaded(&self.receiving)
        {
            let moved = self.fill(&to, input.document, remaining);
            if moved == 0 {
                return;
            }
            remaining -= moved;
        }
    }

    // Returns the leaves of hosts that have to be emptied, then those that share a host with
    // another replica of their shard.
    fn misplaced(&self, is_renewing: &impl Fn(&InstanceId) -> bool) -> Vec<LeafId> {
        let movable =
            self.holdings.iter().filter(|(_, h)| h.from.is_none() && is_renewing(&h.instance));
        let must_leave = |holding: &Holding| !self.placement.is_eligible(&holding.instance);
        let colocated = |leaf, holding: &Holding| {
            self.placement.colocation(leaf, &holding.instance) == Colocation::SameHost
        };
        let (first, others): (Vec<_>, Vec<_>) =
            movable.partition(|(_, holding)| must_leave(holding));
        let others = others.into_iter().filter(|(leaf, holding)| colocated(leaf, holding));
        first.into_iter().chain(others).map(|(leaf, _)| leaf.clone()).collect()
    }

    fn move_away(&mut self, leaf: LeafId) -> bool {
        let Some(to) = self.placement.best_holder(&leaf) else { return false };
        let holder = &self.holdings[&leaf].instance;
        let still_colocated = self.placement.colocation(&leaf, &to) == Colocation::SameHost;
        if self.placement.is_eligible(holder) && still_colocated {
            return false;
        }
        // An earlier move of this step may already have separated the replicas.
        let separated = self.placement.colocation(&leaf, holder) != Colocation::SameHost;
        if self.placement.is_eligible(holder) && separated {
            return false;
        }
        self.hand_to(leaf, to);
        true
    }

    // Moves up to `max_leaves` leaves to `to` while it is below the mean. Returns the number of
    // leaves moved.
    fn fill(&mut self, to: &InstanceId, document: &Document, max_leaves: usize) -> usize {
        let mut moved = 0;
        while moved < max_leaves && self.placement.is_below_mean(to) && self.move_one(to, document)
        {
            moved += 1;
        }
        moved
    }

    fn move_one(&mut self, to: &InstanceId, document: &Document) -> bool {
        let movable = |(leaf, holding): &(&LeafId, &Holding)| {
            holding.from.is_none() && document.leaves.contains_key(*leaf)
        };
        let leaves = self.holdings.iter().filter(movable).map(|(leaf, _)| leaf);
        let Some(leaf) = self.placement.leaf_to_move(to, leaves).cloned() else { return false };
        self.hand_to(leaf, to.clone());
        true
    }

    fn hand_to(&mut self, leaf: LeafId, instance: InstanceId) {
        let old = &self.holdings[&leaf];
        let (from, epoch) = (Some(old.instance.clone()), old.epoch.next());
        let since_version = self.version;
        self.set(leaf, Holding { instance, epoch, from, taken_over: false, since_version });
    }
}
