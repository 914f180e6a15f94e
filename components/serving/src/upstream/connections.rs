//! Connections of a leaf: opened one at a time, one job each, bounded in number.

use {
    super::limits::{CONNECT_PAUSE, CONNECT_PAUSE_MAX, ConnectionId, JobId},
    indexmap::IndexMap,
    wigeonramp_units::{Connections as Count, Instant},
};

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Use {
    Idle,
    Busy(JobId),
}

#[derive(Debug)]
pub(super) struct Connections {
    cap: Count,
    next_id: u64,
    open: IndexMap<ConnectionId, Use>,
    opening: Option<ConnectionId>,
    failures: u32,
    retry_at: Instant,
}

impl Connections {
    pub(super) fn new(cap: Count) -> Self {
        Self {
            cap,
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
        self.opening.is_none() && self.count() < self.cap.get().max(1) as usize
    }

    /// When the next connect may start after failed ones.
    pub(super) fn retry_at(&self) -> Instant {
        self.retry_at
    }

    /// The idle connection that was used last.
    pub(super) fn idle(&self) -> Option<ConnectionId> {
        self.open.iter().rev().find(|(_, used)| **used == Use::Idle).map(|(id, _)| *id)
    }

    pub(super) fn open(&mut self) -> ConnectionId {
        self.next_id += 1;
        let id = ConnectionId(self.next_id);
        self.opening = Some(id);
        id
    }

    /// Returns false if the connection is not the one being opened.
    pub(super) fn opened(&mut self, id: ConnectionId) -> bool {
        if self.opening != Some(id) {
            return false;
        }
        self.opening = None;
        self.failures = 0;
        self.open.insert(id, Use::Idle);
        true
    }

    /// Returns false if the connection is not the one being opened.
    pub(super) fn failed(&mut self, id: ConnectionId, now: Instant) -> bool {
        if self.opening != Some(id) {
            return false;
        }
        self.opening = None;
        let pause = CONNECT_PAUSE * (1 << self.failures.min(5));
        self.failures += 1;
        self.retry_at = now + pause.min(CONNECT_PAUSE_MAX);
        true
    }

    pub(super) fn occupy(&mut self, id: ConnectionId, job: JobId) {
        self.open.insert(id, Use::Busy(job));
    }

    pub(super) fn release(&mut self, id: ConnectionId) {
        if self.open.shift_remove(&id).is_some() {
            self.open.insert(id, Use::Idle);
        }
    }

    /// Returns false if the connection was not open.
    pub(super) fn close(&mut self, id: ConnectionId) -> bool {
        self.open.shift_remove(&id).is_some()
    }

    /// Removes the idle connections other than `keep`.
    pub(super) fn close_idle(&mut self, keep: Option<ConnectionId>) -> Vec<ConnectionId> {
        let idle = |(id, used): (&ConnectionId, &Use)| {
            (*used == Use::Idle && Some(*id) != keep).then_some(*id)
        };
        let ids: Vec<_> = self.open.iter().filter_map(idle).collect();
        self.open.retain(|id, _| !ids.contains(id));
        ids
    }
}
