//! Selection of leaves by the version of their program, for releases.
//!
//! Load: a service with leaves of two versions, of which one gets a small share of the requests.

use {
    super::{LeafCriteria, LeafKey, Leaves, may_send},
    crate::{
        leaf::Leaf,
        releases::{order::Version, release::LeafFacts},
    },
    indexmap::IndexSet,
    wigeonramp_units::{Instant, LeafId, ServiceId, Span},
};

/// Concentration of few requests on few leaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Focus {
    /// Number of a turn; all hosts choose the same leaves in it.
    pub turn: u64,
    /// Share of the service's requests that the version gets; it uses the same share of its leaves,
    /// so that these see a normal load.
    pub share: f64,
}

/// Constraint on the version of a leaf.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum VersionConstraint<'a> {
    /// All versions but those that are barred for the service.
    Unbarred,
    /// Only this version, also if it is barred; no cold leaves.
    Only {
        /// The version.
        version: &'a Version,
        /// Leaves of the version that are used; all without it.
        focus: Option<Focus>,
    },
}

impl Leaves {
    pub(super) fn is_barred(&self, leaf: &Leaf) -> bool {
        let barred = self.barred.get(&leaf.registration.service);
        barred.is_some_and(|versions| versions.contains(&leaf.registration.version))
    }

    /// Sets the versions of a service that requests do not go to. Returns whether they have
    /// changed.
    pub fn set_barred(&mut self, service: &ServiceId, versions: IndexSet<Option<Version>>) -> bool {
        if versions.is_empty() {
            return self.barred.swap_remove(service).is_some();
        }
        let before = self.barred.insert(service.clone(), versions);
        before.as_ref() != self.barred.get(service)
    }

    /// Returns the services with barred versions.
    pub fn barred_services(&self) -> impl Iterator<Item = &ServiceId> {
        self.barred.keys()
    }

    /// Returns the versions of the leaves of a service.
    pub fn versions(&self, service: &ServiceId) -> IndexSet<Option<Version>> {
        self.of_service(service).map(|(_, leaf)| leaf.registration.version.clone()).collect()
    }

    /// Returns the facts about the leaves of a service on which a release to `target` depends.
    pub fn release_facts(&self, service: &ServiceId, target: &Version, now: Instant) -> LeafFacts {
        let mut facts = LeafFacts::default();
        for (_, leaf) in self.of_service(service) {
            if leaf.registration.version.as_ref() == Some(target) {
                facts.has_candidate |= self.is_usable(leaf) && !leaf.is_cold(now);
            } else {
                facts.baseline_in_flight |= leaf.pending() > 0;
            }
        }
        facts
    }

    /// Whether the leaf is available and its version meets the constraint.
    pub(super) fn admits(&self, criteria: &LeafCriteria<'_>, leaf: &Leaf, now: Instant) -> bool {
        match criteria.version {
            VersionConstraint::Unbarred => self.is_available(leaf, now),
            VersionConstraint::Only { version, .. } => {
                leaf.registration.version.as_ref() == Some(version)
                    && self.is_usable(leaf)
                    && !leaf.is_cold(now)
                    && leaf.notice.wait(leaf.pending(), now) == Some(Span::ZERO)
            }
        }
    }

    /// Returns the leaves that all hosts choose for the few requests to a version; none without
    /// such a constraint, or if none of them can be sent a request.
    pub(super) fn focused_leaves(
        &self,
        criteria: &LeafCriteria<'_>,
        now: Instant,
    ) -> Option<Vec<LeafKey>> {
        let VersionConstraint::Only { focus: Some(focus), .. } = criteria.version else {
            return None;
        };
        let is_possible = |leaf: &Leaf| {
            self.admits(criteria, leaf, now)
                && now >= leaf.backoff_until()
                && !leaf.is_overdue(now)
                && may_send(leaf, criteria.limits, criteria.priority, now)
                && self.is_in_regions(&leaf.registration.zone, criteria.homes)
        };
        let possible = self.of_service(criteria.service).filter(|(_, leaf)| is_possible(leaf));
        let mut possible: Vec<(LeafKey, &LeafId)> =
            possible.map(|(key, leaf)| (key, &leaf.registration.id)).collect();
        possible.sort_by_key(|(_, id)| *id);
        let count = (focus.share * possible.len() as f64).ceil() as usize;
        let first = focus.turn as usize % possible.len().max(1);
        let turned = possible.iter().cycle().skip(first).take(count);
        Some(turned.map(|(key, _)| *key).collect::<Vec<_>>()).filter(|keys| !keys.is_empty())
    }
}
