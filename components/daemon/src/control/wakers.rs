//! Wakers of the control threads.

use {
    crossbeam::channel::{Receiver, Sender, bounded},
    wigeonramp_units::Span,
};

/// Wakes a waiting thread. A wake-up before the wait is kept; several are merged into one.
#[derive(Clone, Debug)]
pub struct Waker {
    rx: Receiver<()>,
    tx: Sender<()>,
}

impl Waker {
    /// Creates a waker without a pending wake-up.
    pub fn new() -> Self {
        let (tx, rx) = bounded(1);
        Self { rx, tx }
    }

    /// Wakes the waiting thread, or makes its next wait return immediately.
    pub fn wake(&self) {
        // A full channel already holds a wake-up.
        let _ = self.tx.try_send(());
    }

    /// Waits for a wake-up, at most for `limit`.
    pub fn wait(&self, limit: Span) {
        let _ = self.rx.recv_timeout(limit.to_duration());
    }
}

impl Default for Waker {
    fn default() -> Self {
        Self::new()
    }
}

/// Wakers of all control threads.
#[derive(Clone, Debug, Default)]
pub struct Wakers {
    /// Applies the cluster view to the data path.
    pub apply: Waker,
    /// Writes the assignment.
    pub assign: Waker,
    /// Requests promises.
    pub promises: Waker,
    /// Sends heartbeats.
    pub gossip: Waker,
    /// Requests releases from old holders.
    pub release: Waker,
    /// Renews the session.
    pub renew: Waker,
    /// Advances the graceful stop.
    pub stop: Waker,
}

impl Wakers {
    /// Wakes all threads.
    pub fn wake_all(&self) {
        let Self { apply, assign, promises, gossip, release, renew, stop } = self;
        [apply, assign, promises, gossip, release, renew, stop].iter().for_each(|w| w.wake());
    }
}
