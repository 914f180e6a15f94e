//! The lagging host list.

use {
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    wigeonramp_store::PlatformHost,
};

/// Versions of the host list with the time at which each was set.
#[derive(Debug)]
pub(crate) struct Hosts {
    lag: Duration,
    versions: VecDeque<Version>,
}

#[derive(Debug)]
struct Version {
    set: Instant,
    hosts: Vec<PlatformHost>,
}

impl Hosts {
    pub(crate) fn new(lag: Duration) -> Self {
        Self { lag, versions: VecDeque::new() }
    }

    pub(crate) fn set(&mut self, hosts: Vec<PlatformHost>, now: Instant) {
        self.versions.push_back(Version { set: now, hosts });
    }

    /// The newest list that is older than the lag; drops the lists that it replaces.
    pub(crate) fn visible(&mut self, now: Instant) -> Vec<PlatformHost> {
        let seen = |version: &Version| now.saturating_duration_since(version.set) >= self.lag;
        while self.versions.get(1).is_some_and(seen) {
            self.versions.pop_front();
        }
        let visible = self.versions.front().filter(|version| seen(version));
        visible.map_or_else(Vec::new, |version| version.hosts.clone())
    }
}
