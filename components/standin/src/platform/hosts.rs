//! Host list whose changes become visible after a delay.

use {
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
    wigeonramp_store::PlatformHost,
};

/// Recent versions of the host list.
#[derive(Debug)]
pub(crate) struct DelayedHostList {
    /// Age at which a version becomes visible.
    lag: Duration,
    versions: VecDeque<ListVersion>,
}

#[derive(Debug)]
struct ListVersion {
    set_at: Instant,
    hosts: Vec<PlatformHost>,
}

impl DelayedHostList {
    pub(crate) fn new(lag: Duration) -> Self {
        Self { lag, versions: VecDeque::new() }
    }

    pub(crate) fn set(&mut self, hosts: Vec<PlatformHost>, now: Instant) {
        self.versions.push_back(ListVersion { set_at: now, hosts });
    }

    /// Returns the newest version that is at least as old as the lag, or an empty list. Drops older
    /// versions.
    pub(crate) fn visible(&mut self, now: Instant) -> Vec<PlatformHost> {
        let is_visible =
            |version: &ListVersion| now.saturating_duration_since(version.set_at) >= self.lag;
        while self.versions.get(1).is_some_and(is_visible) {
            self.versions.pop_front();
        }
        let visible = self.versions.front().filter(|version| is_visible(version));
        visible.map_or_else(Vec::new, |version| version.hosts.clone())
    }
}
