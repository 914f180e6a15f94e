//! Leaves of a version that appears beside others are held back for a moment.
//!
//! Load: an operator starts leaves of a new version and writes the order for it at about the same
//! time. The store delivers both over different watches, so the leaves may become known first.

use {
    super::order::Version,
    indexmap::{IndexMap, IndexSet},
    wigeonramp_units::{Instant, ServiceId, Span},
};

/// Time for which a new version is held back. An order reaches all hosts within a second in quiet
/// times and within 2.4 s of a watch that was lost.
const HOLD_TIME: Span = Span::secs(3);

/// Versions of the leaves of each service, with the end of their hold. The version is absent for
/// leaves that name none.
#[derive(Clone, Debug, Default)]
pub struct VersionHolds {
    services: IndexMap<ServiceId, IndexMap<Option<Version>, Instant>>,
}

impl VersionHolds {
    /// Records a registered leaf. Versions that a host finds in its first list are not held back,
    /// as it cannot tell how old they are.
    pub fn on_leaf(
        &mut self,
        service: &ServiceId,
        version: &Option<Version>,
        is_first_list: bool,
        now: Instant,
    ) {
        let versions = self.services.entry(service.clone()).or_default();
        if versions.contains_key(version) {
            return;
        }
        let is_held = !is_first_list && !versions.is_empty();
        let until = if is_held { now + HOLD_TIME } else { now };
        versions.insert(version.clone(), until);
    }

    /// Drops the versions of which a service has no leaf.
    pub fn retain(&mut self, service: &ServiceId, present: &IndexSet<Option<Version>>) {
        if let Some(versions) = self.services.get_mut(service) {
            versions.retain(|version, _| present.contains(version));
        }
    }

    /// Returns the versions of a service that are held back.
    pub fn held(
        &self,
        service: &ServiceId,
        now: Instant,
    ) -> impl Iterator<Item = &Option<Version>> {
        let versions = self.services.get(service).into_iter().flatten();
        versions.filter(move |(_, until)| now < **until).map(|(version, _)| version)
    }

    /// Returns the services with a version that is held back.
    pub fn services(&self, now: Instant) -> impl Iterator<Item = &ServiceId> {
        let is_held = move |versions: &IndexMap<Option<Version>, Instant>| {
            versions.values().any(|at| now < *at)
        };
        self.services.iter().filter(move |(_, versions)| is_held(versions)).map(|(id, _)| id)
    }
}
