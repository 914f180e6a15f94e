//! Moving a leaf between two live holders.

use {
    std::collections::BTreeMap,
    wigeonramp_units::{Epoch, InstanceId, LeafId},
};

/// A question of a new holder to the old one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PendingRelease {
    /// The leaf.
    pub leaf: LeafId,
    /// Epoch of the new holding.
    pub epoch: Epoch,
    /// The old holder.
    pub from: InstanceId,
}

/// Hand-overs to this instance.
#[derive(Clone, Debug, Default)]
pub struct IncomingHandovers {
    done: BTreeMap<LeafId, Epoch>,
}

impl IncomingHandovers {
    /// The old holder reported that it released `leaf` for `epoch`.
    pub fn on_released(&mut self, leaf: &LeafId, epoch: Epoch) {
        let done = self.done.entry(leaf.clone()).or_default();
        *done = epoch.max(*done);
    }

    /// Whether the old holder released `leaf` for `epoch`.
    pub fn is_released(&self, leaf: &LeafId, epoch: Epoch) -> bool {
        self.done.get(leaf) == Some(&epoch)
    }
}

/// Answer of an old holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReleaseAnswer {
    /// Nothing is in flight, and nothing will be sent below the new epoch.
    Released,
    /// Sending has stopped; work is still in flight.
    InFlight,
    /// The asker's epoch is not above the own holding; it knows an older assignment.
    OlderEpoch,
}

/// Hand-overs from this instance.
#[derive(Clone, Debug, Default)]
pub struct OutgoingHandovers {
    stopped: BTreeMap<LeafId, Epoch>,
}

impl OutgoingHandovers {
    /// A new holder asks for `leaf` at `epoch`. Sending below `epoch` stops for good, also when this
    /// host has not yet seen the assignment that moves the leaf.
    pub fn release(
        &mut self,
        leaf: &LeafId,
        epoch: Epoch,
        own: Option<Epoch>,
        in_flight: u32,
    ) -> ReleaseAnswer {
        if own.is_some_and(|own| epoch <= own) {
            return ReleaseAnswer::OlderEpoch;
        }
        let stopped = self.stopped.entry(leaf.clone()).or_default();
        *stopped = epoch.max(*stopped);
        if in_flight > 0 { ReleaseAnswer::InFlight } else { ReleaseAnswer::Released }
    }

    /// Whether sending at `epoch` has stopped.
    pub fn is_stopped(&self, leaf: &LeafId, epoch: Epoch) -> bool {
        self.stopped.get(leaf).is_some_and(|stopped| epoch < *stopped)
    }
}
