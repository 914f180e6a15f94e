//! Changing the holdings in one step.

use {
    crate::{
        assigner::AssignInput,
        assignment::{Assignment, AssignmentVersion, Holding},
        membership::MembershipView,
        placement::{Fit, Placement},
    },
    indexmap::IndexMap,
    std::collections::BTreeSet,
    wigeonramp_config::Document,
    wigeonramp_units::{Epoch, InstanceId, LeafId},
};

/// The holdings of the next version while a step changes them.
pub(crate) struct Draft {
    pub(crate) holdings: IndexMap<LeafId, Holding>,
    placement: Placement,
    // Holders that were getting leaves by hand-over before this step.
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
        let handed = holdings.values().filter(|h| h.from.is_some() && !h.taken_over);
        let receiving = handed.map(|holding| holding.instance.clone()).collect();
        Self { holdings, placement, receiving, version, changed: false }
    }

    /// Clears `from` where the old holder is gone or the new one reports the hand-over finished.
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
        let Some(instance) = self.placement.best(&leaf) else { return };
        let old = &self.holdings[&leaf];
        let from = old.from.clone().filter(|from| *from != instance);
        let epoch = old.epoch.next();
        self.set(
            leaf,
            Holding { instance, epoch, from, taken_over: true, since_version: self.version },
        );
    }

    pub(crate) fn place_new(&mut self, document: &Document) {
        for leaf in document.leaves.keys() {
            if self.holdings.contains_key(leaf) {
                continue;
            }
            let Some(instance) = self.placement.best(leaf) else { return };
            let (epoch, since_version) = (Epoch(1), self.version);
            let holding = Holding { instance, epoch, from: None, taken_over: false, since_version };
            self.set(leaf.clone(), holding);
        }
    }

    fn set(&mut self, leaf: LeafId, holding: Holding) {
        self.placement.moved(&leaf, &holding.instance);
        self.holdings.insert(leaf, holding);
        self.changed = true;
    }

    pub(crate) fn hand_over(&mut self, input: &AssignInput<'_>, max_moves: usize) {
        let open = self.holdings.values().filter(|holding| holding.from.is_some()).count();
        let mut left = max_moves.saturating_sub(open);
        let answers = |id: &InstanceId| {
            let view = input.view.instances.get(id);
            // One that was not seen to renew yet may be dead, and is not emptied as if it had left.
            view.is_some_and(|v| v.renewal_seen && v.is_renewing())
        };
        for leaf in self.misplaced(&answers) {
            if left == 0 {
                return;
            }
            left -= usize::from(self.move_away(leaf));
        }
        while left > 0
            && let Some(to) = self.placement.underloaded(&self.receiving)
        {
            let moved = self.fill(&to, input.document, left);
            if moved == 0 {
                return;
            }
            left -= moved;
        }
    }

    // Leaves of hosts that have to be emptied, then leaves that share a host with another replica.
    fn misplaced(&self, answers: &impl Fn(&InstanceId) -> bool) -> Vec<LeafId> {
        let movable =
            self.holdings.iter().filter(|(_, h)| h.from.is_none() && answers(&h.instance));
        let emptied = |holding: &Holding| !self.placement.is_eligible(&holding.instance);
        let doubled =
            |leaf, holding: &Holding| self.placement.fit(leaf, &holding.instance) == Fit::SameHost;
        let (first, rest): (Vec<_>, Vec<_>) = movable.partition(|(_, holding)| emptied(holding));
        let rest = rest.into_iter().filter(|(leaf, holding)| doubled(leaf, holding));
        first.into_iter().chain(rest).map(|(leaf, _)| leaf.clone()).collect()
    }

    fn move_away(&mut self, leaf: LeafId) -> bool {
        let Some(to) = self.placement.best(&leaf) else { return false };
        let holder = &self.holdings[&leaf].instance;
        let worse = self.placement.fit(&leaf, &to) == Fit::SameHost;
        if self.placement.is_eligible(holder) && worse {
            return false;
        }
        // An earlier move of this step may have separated the replicas already.
        let apart = self.placement.fit(&leaf, holder) != Fit::SameHost;
        if self.placement.is_eligible(holder) && apart {
            return false;
        }
        self.hand_to(leaf, to);
        true
    }

    // Moves up to `most` leaves to `to`, until it has its share.
    fn fill(&mut self, to: &InstanceId, document: &Document, most: usize) -> usize {
        let mut moved = 0;
        while moved < most && self.placement.is_below_mean(to) && self.move_one(to, document) {
            moved += 1;
        }
        moved
    }

    fn move_one(&mut self, to: &InstanceId, document: &Document) -> bool {
        let movable = |(leaf, holding): &(&LeafId, &Holding)| {
            holding.from.is_none() && document.leaves.contains_key(*leaf)
        };
        let leaves = self.holdings.iter().filter(movable).map(|(leaf, _)| leaf);
        let Some(leaf) = self.placement.leaf_for(to, leaves).cloned() else { return false };
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
