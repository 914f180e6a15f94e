//! Handover of a leaf from one live holder to another.

use {
    std::collections::BTreeMap,
    wigeonramp_units::{Epoch, InstanceId, LeafId},
};

/// A release that a new holder still has to request from the old one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingRelease {
    /// The leaf.
    pub leaf: LeafId,
    /// Ownership epoch of the new holder.
    pub epoch: Epoch,
    /// The old holder.
    pub from: InstanceId,
}

/// Handovers to this instance.
#[derive(Clone, Debug, Default)]
pub struct IncomingHandovers {
    released: BTreeMap<LeafId, Epoch>,
}

impl IncomingHandovers {
    /// Records that the old holder released `leaf` for `epoch`.
    pub fn on_released(&mut self, leaf: &LeafId, epoch: Epoch) {
        let released = self.released.entry(leaf.clone()).or_default();
        *released = epoch.max(*released);
    }

    /// Whether the old holder released `leaf` for `epoch`.
    pub fn is_released(&self, leaf: &LeafId, epoch: Epoch) -> bool {
        self.released.get(leaf) == Some(&epoch)
    }
}

/// Answer of the old holder to a release request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReleaseAnswer {
    /// Nothing is in flight, and the old holder sends nothing more at a lower epoch.
    Released,
    /// The old holder sends nothing more, but attempts are still in flight.
    InFlight,
    /// The requested epoch is not higher than the one this instance holds the leaf at, so the
    /// requester has an older assignment.
    OlderEpoch,
}

/// Handovers from this instance.
#[derive(Clone, Debug, Default)]
pub struct OutgoingHandovers {
    stopped: BTreeMap<LeafId, Epoch>,
}

impl OutgoingHandovers {
    /// Answers a new holder that requests `leaf` for `epoch`. This instance sends nothing more at a
    /// lower epoch, even if it has not yet seen the assignment that moves the leaf. `held_epoch` is
    /// the epoch at which it holds the leaf, and `in_flight` the number of its running attempts.
    pub fn release(
        &mut self,
        leaf: &LeafId,
        epoch: Epoch,
        held_epoch: Option<Epoch>,
        in_flight: u32,
    ) -> ReleaseAnswer {
        if held_epoch.is_some_and(|held| epoch <= held) {
            return ReleaseAnswer::OlderEpoch;
        }
        let stopped = self.stopped.entry(leaf.clone()).or_default();
        *stopped = epoch.max(*stopped);
        if in_flight > 0 { ReleaseAnswer::InFlight } else { ReleaseAnswer::Released }
    }

    /// Whether this instance must not send to `leaf` at `epoch` any more.
    pub fn is_stopped(&self, leaf: &LeafId, epoch: Epoch) -> bool {
        self.stopped.get(leaf).is_some_and(|stopped| epoch < *stopped)
    }
}
