//! Connections to a leaf: bounded in number, opened one at a time, with one job on each.

use {
    super::types::{CONNECT_BACKOFF, ConnectionId, JobId, MAX_CONNECT_BACKOFF},
    indexmap::IndexMap,
    wigeonramp_units::{Connections as Count, Instant},
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionUse {
    Idle,
    Busy(JobId),
}

#[derive(Debug)]
pub(super) struct Connections {
    limit: Count,
    next_id: u64,
    open: IndexMap<ConnectionId, ConnectionUse>,
    opening: Option<ConnectionId>,
    failures: u32,
    retry_at: Instant,
}

impl Connections {
    pub(super) fn new(limit: Count) -> Self {
        Self {
            limit,
            next_id: 0,
            open: IndexMap::new(),
            opening: None,
            failures: 0,
            retry_at: Instant(0),
        }
    }

    pub(super) fn count(&self) -> usize {
        self.open.len() + usize::from(self.opening.is_some())
    }

    pub(super) fn is_opening(&self) -> bool {
        self.opening.is_some()
    }

    pub(super) fn can_open(&self) -> bool {
        self.opening.is_none() && self.count() < self.limit.get().max(1) as usize
    }

    /// Returns the end of the backoff after failed connects; until then none may start.
    pub(super) fn retry_at(&self) -> Instant {
        self.retry_at
    }

    /// Returns the idle connection that was used last.
    pub(super) fn idle(&self) -> Option<ConnectionId> {
        self.open.iter().rev().find(|(_, used)| **used == ConnectionUse::Idle).map(|(id, _)| *id)
    }

    pub(super) fn open(&mut self) -> ConnectionId {
        self.next_id += 1;
        let id = ConnectionId(self.next_id);
        self.opening = Some(id);
        id
    }

    /// Marks the connection as open. Returns false if it is not the one being opened.
    pub(super) fn mark_open(&mut self, id: ConnectionId) -> bool {
        if self.opening != Some(id) {
            return false;
        }
        self.opening = None;
        self.failures = 0;
        self.open.insert(id, ConnectionUse::Idle);
        true
    }

    /// Records a failed connect. Returns false if it is not the connection being opened.
    pub(super) fn mark_failed(&mut self, id: ConnectionId, now: Instant) -> bool {
        if self.opening != Some(id) {
            return false;
        }
        self.opening = None;
        let backoff = CONNECT_BACKOFF * (1 << self.failures.min(5));
        self.failures += 1;
        self.retry_at = now + backoff.min(MAX_CONNECT_BACKOFF);
        true
    }

    pub(super) fn occupy(&mut self, id: ConnectionId, job: JobId) {
        self.open.insert(id, ConnectionUse::Busy(job));
    }

    pub(super) fn release(&mut self, id: ConnectionId) {
        if self.open.shift_remove(&id).is_some() {
            self.open.insert(id, ConnectionUse::Idle);
        }
    }

    /// Removes the connection. Returns false if it was not open.
    pub(super) fn close(&mut self, id: ConnectionId) -> bool {
        self.open.shift_remove(&id).is_some()
    }

    /// Removes all idle connections other than `keep` and returns them.
    pub(super) fn close_idle(&mut self, keep: Option<ConnectionId>) -> Vec<ConnectionId> {
        let idle = |(id, used): (&ConnectionId, &ConnectionUse)| {
            (*used == ConnectionUse::Idle && Some(*id) != keep).then_some(*id)
        };
        let ids: Vec<_> = self.open.iter().filter_map(idle).collect();
        self.open.retain(|id, _| !ids.contains(id));
        ids
    }
}
