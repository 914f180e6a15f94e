//! Wakes a thread that waits for something to do.

use {
    crossbeam::channel::{Receiver, Sender, bounded},
    wigeonramp_units::Span,
};

/// A wake-up call that is kept until it is heard; several before that count as one.
#[derive(Clone, Debug)]
pub struct Waker {
    rx: Receiver<()>,
    tx: Sender<()>,
}

impl Waker {
    /// Nobody has called yet.
    pub fn new() -> Self {
        let (tx, rx) = bounded(1);
        Self { rx, tx }
    }

    /// Wakes the waiting thread, or lets its next wait end at once.
    pub fn wake(&self) {
        // A full channel means that a call is kept already.
        let _ = self.tx.try_send(());
    }

    /// Waits for a call, at most for `limit`.
    pub fn wait(&self, limit: Span) {
        let _ = self.rx.recv_timeout(limit.to_duration());
    }
}

impl Default for Waker {
    fn default() -> Self {
        Self::new()
    }
}

/// Wake-up calls of all control threads.
#[derive(Clone, Debug, Default)]
pub struct Wakers {
    /// Applies the view to the data path.
    pub apply: Waker,
    /// Writes the assignment.
    pub assign: Waker,
    /// Asks for promises.
    pub promises: Waker,
    /// Sends heartbeats.
    pub gossip: Waker,
    /// Asks old holders for releases.
    pub release: Waker,
    /// Renews the session.
    pub renew: Waker,
    /// Waits for the stop to go on.
    pub stop: Waker,
}

impl Wakers {
    /// Wakes all threads.
    pub fn wake_all(&self) {
        let Self { apply, assign, promises, gossip, release, renew, stop } = self;
        [apply, assign, promises, gossip, release, renew, stop].iter().for_each(|w| w.wake());
    }
}
