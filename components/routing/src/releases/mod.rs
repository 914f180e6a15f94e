//! Releases: orders of operators to move a service's requests to leaves of another version.
//!
//! Load: orders of about 12 s for services with a few to some hundred requests per second, sent by
//! many hosts. Some versions are bad. All hosts together send a candidate version a bounded share
//! of the requests, compare it with the baseline versions, and move all requests to it or none.
//!
//! The state machine gets the time as an argument and returns the messages to other hosts.

pub mod counting;
pub mod counts;
pub mod decider;
pub mod evidence;
pub mod exposure;
pub mod hold;
pub mod messages;
pub mod order;
pub mod release;
pub mod status;

use {
    crate::{
        leaves::{Focus, Leaves},
        limits::LimitHosts,
    },
    counting::EndedSend,
    evidence::{LeafHash, RouteHash, Side},
    hold::VersionHolds,
    indexmap::{IndexMap, IndexSet},
    messages::{Outgoing, ReleaseMessage},
    order::{OrderKey, OrderState, ReleaseBounds, StoredOrder, Version},
    rand::Rng,
    release::{Release, ReleaseChange},
    status::{StatusResult, StatusWrite},
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, LeafId, ServiceId},
    xxhash_rust::xxh3::xxh3_64,
};

/// Returns the number of a route in totals.
pub fn route_hash(name: &str) -> RouteHash {
    xxh3_64(name.as_bytes()) as u32
}

/// Returns the number of a leaf in totals.
pub fn leaf_hash(leaf: &LeafId) -> LeafHash {
    xxh3_64(leaf.as_str().as_bytes()) as u32
}

/// Releases on one host.
#[derive(Clone, Debug)]
pub struct Releases {
    own: Ipv4Addr,
    bounds: Option<ReleaseBounds>,
    serial: u64,
    releases: IndexMap<ServiceId, Release>,
    /// Versions whose orders were rolled back and deleted, or deleted or replaced while they were
    /// open. They get no requests until their leaves are gone or another order names them.
    revoked: IndexMap<ServiceId, IndexSet<Version>>,
    holds: VersionHolds,
    changes: Vec<ReleaseChange>,
}

impl Releases {
    /// Creates the state of the host `own`; without bounds, all versions are treated alike.
    /// `first_serial` must be higher than any serial number of an earlier process of the host.
    pub fn new(own: Ipv4Addr, bounds: Option<ReleaseBounds>, first_serial: u64) -> Self {
        Self {
            own,
            bounds,
            serial: first_serial,
            releases: IndexMap::new(),
            revoked: IndexMap::new(),
            holds: VersionHolds::default(),
            changes: Vec::new(),
        }
    }

    /// Whether releases are in use.
    pub fn is_enabled(&self) -> bool {
        self.bounds.is_some()
    }

    /// Returns the orders known.
    pub fn orders(&self) -> impl Iterator<Item = &StoredOrder> {
        self.releases.values().map(Release::order)
    }

    /// Returns the release of a service.
    pub fn get(&self, service: &ServiceId) -> Option<&Release> {
        self.releases.get(service)
    }

    /// Returns the number of orders that are neither completed nor rolled back.
    pub fn open_count(&self) -> usize {
        self.releases.values().filter(|release| release.is_open()).count()
    }

    /// Applies an order from the store. `is_first_list` is set if the host has just started and
    /// cannot tell how old the order is.
    pub fn on_order(&mut self, order: StoredOrder, is_first_list: bool, now: Instant) {
        let Some(bounds) = self.bounds else { return };
        let service = order.key.service.clone();
        if let Some(known) = self.releases.get_mut(&service)
            && known.order().key == order.key
        {
            return known.on_stored(order, now);
        }
        self.withdraw(&service, now);
        let revoked = self.revoked.get_mut(&service);
        let reopened = revoked.is_some_and(|versions| versions.swap_remove(&order.key.target));
        let release = Release::new(self.own, bounds, order, !is_first_list, reopened, now);
        self.releases.insert(service, release);
    }

    /// Handles that the order of a service was deleted or replaced. Its candidate gets no more
    /// requests unless the release was completed.
    pub fn withdraw(&mut self, service: &ServiceId, now: Instant) {
        let Some(mut release) = self.releases.shift_remove(service) else { return };
        release.on_withdrawn(now);
        self.changes.extend(release.take_changes());
        if release.settled() != Some(OrderState::Completed) {
            let version = release.order().key.target.clone();
            self.revoked.entry(service.clone()).or_default().insert(version);
        }
    }

    /// Records a registered leaf.
    pub fn on_leaf(
        &mut self,
        service: &ServiceId,
        version: &Option<Version>,
        is_first_list: bool,
        now: Instant,
    ) {
        if self.is_enabled() {
            self.holds.on_leaf(service, version, is_first_list, now);
        }
    }

    /// Returns the services whose barred versions may change.
    pub fn services(&self, now: Instant) -> IndexSet<ServiceId> {
        let services = self.releases.keys().chain(self.revoked.keys());
        services.chain(self.holds.services(now)).cloned().collect()
    }

    /// Returns the versions of a service that ordinary requests do not go to, with `present` as the
    /// versions of its leaves.
    pub fn barred(
        &mut self,
        service: &ServiceId,
        present: &IndexSet<Option<Version>>,
        now: Instant,
    ) -> IndexSet<Option<Version>> {
        self.holds.retain(service, present);
        if let Some(revoked) = self.revoked.get_mut(service) {
            revoked.retain(|version| present.contains(&Some(version.clone())));
            if revoked.is_empty() {
                self.revoked.shift_remove(service);
            }
        }
        let mut barred: IndexSet<_> = self.holds.held(service, now).cloned().collect();
        let revoked = self.revoked.get(service).into_iter().flatten();
        barred.extend(revoked.cloned().map(Some));
        let Some(release) = self.releases.get(service) else { return barred };
        let target = Some(release.order().key.target.clone());
        barred.swap_remove(&target);
        let others: Vec<_> = present.iter().filter(|version| **version != target).collect();
        if release.is_rolled_back() {
            barred.insert(target);
        } else if !release.is_shared() {
            if present.contains(&target) {
                barred.extend(others.into_iter().cloned());
            }
        } else if others.iter().any(|version| !barred.contains(*version)) {
            barred.insert(target);
        }
        barred
    }

    /// Counts a first attempt for a service. Returns the candidate if it goes there, and the
    /// leaves of it that are used.
    pub fn on_first_attempt(
        &mut self,
        service: &ServiceId,
        traffic_share: f64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Option<(Version, Option<Focus>)> {
        let release = self.releases.get_mut(service)?;
        if !release.is_open() {
            return None;
        }
        release.counting_mut().requests += 1;
        let is_taken = release.take_canary(traffic_share, now, rng);
        let focus = release.focus(now);
        is_taken.then(|| (release.order().key.target.clone(), focus))
    }

    /// Returns the credit of a first attempt that found no leaf of the candidate.
    pub fn give_back(&mut self, service: &ServiceId) {
        if let Some(release) = self.releases.get_mut(service) {
            release.give_back();
        }
    }

    /// Records that an attempt is sent to a leaf.
    pub fn on_sent(&mut self, service: &ServiceId, version: &Option<Version>) {
        let Some(release) = self.releases.get_mut(service) else { return };
        if version.as_ref() == Some(&release.order().key.target) {
            release.counting_mut().sent += 1;
        }
    }

    /// Whether the ends of attempts at a service are counted.
    pub fn is_counting(&self, service: &ServiceId) -> bool {
        self.releases.get(service).is_some_and(Release::is_open)
    }

    /// Returns the side of a leaf of this version.
    pub fn side(&self, service: &ServiceId, version: &Option<Version>, leaf: &LeafId) -> Side {
        let target = self.releases.get(service).map(|release| &release.order().key.target);
        match (target, version) {
            (Some(target), Some(version)) if target == version => Side::Candidate(leaf_hash(leaf)),
            _ => Side::Baseline,
        }
    }

    /// Records the end of an attempt. Returns whether the candidate was rolled back for it.
    pub fn on_ended(&mut self, service: &ServiceId, ended: &EndedSend, now: Instant) -> bool {
        let Some(release) = self.releases.get_mut(service) else { return false };
        if !release.is_open() || !release.counting_mut().on_ended(ended, now) {
            return false;
        }
        release.on_bad_response(now);
        release.is_rolled_back()
    }

    /// Returns the time at which `poll` is to be called next; none without open orders.
    pub fn next_at(&self) -> Option<Instant> {
        self.releases.values().filter_map(Release::next_at).min()
    }

    /// Sends the totals and decides, as far as that is due; returns the messages to other hosts.
    pub fn poll(&mut self, leaves: &Leaves, hosts: &LimitHosts, now: Instant) -> Vec<Outgoing> {
        let mut out = Vec::new();
        for (service, release) in &mut self.releases {
            if release.next_at().is_none_or(|at| now < at) {
                continue;
            }
            let facts = leaves.release_facts(service, &release.order().key.target, now);
            out.extend(release.poll(facts, hosts, &mut self.serial, now));
        }
        out
    }

    /// Handles a message of another host; returns the reply. Messages about orders that this host
    /// does not know are ignored, as the order reaches it by the store.
    pub fn on_message(
        &mut self,
        from: Ipv4Addr,
        message: ReleaseMessage,
        now: Instant,
    ) -> Option<Outgoing> {
        let key = match &message {
            ReleaseMessage::Totals(totals) => &totals.key,
            ReleaseMessage::Verdict(verdict) => &verdict.key,
        };
        let release = self.release_of(key)?;
        release.on_message(from, message, now)
    }

    /// Returns the write of a status that is due.
    pub fn due_write(&mut self, hosts: &LimitHosts, now: Instant) -> Option<StatusWrite> {
        self.releases.values_mut().find_map(|release| release.due_write(hosts, now))
    }

    /// Handles the result of a write.
    pub fn on_written(&mut self, write: &StatusWrite, result: StatusResult, now: Instant) {
        if let Some(release) = self.release_of(&write.key) {
            release.on_written(write.state, result, now);
        }
    }

    fn release_of(&mut self, key: &OrderKey) -> Option<&mut Release> {
        self.releases.get_mut(&key.service).filter(|release| release.order().key == *key)
    }

    /// Returns the changes since the last call, for the log.
    pub fn take_changes(&mut self) -> Vec<ReleaseChange> {
        let mut changes = std::mem::take(&mut self.changes);
        changes.extend(self.releases.values_mut().flat_map(Release::take_changes));
        changes
    }
}
