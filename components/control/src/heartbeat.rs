//! Whom to send heartbeats to, and what the versions in them mean.

use {
    crate::assignment::AssignmentVersion,
    rand::{Rng, RngExt},
    wigeonramp_units::{ConfigVersion, InstanceId},
};

/// Peers that get a heartbeat each second.
pub const PEERS_PER_ROUND: usize = 3;

/// Chooses up to 3 different peers at random.
pub fn next_peers(peers: &[InstanceId], rng: &mut impl Rng) -> Vec<InstanceId> {
    let mut left: Vec<_> = peers.iter().collect();
    let count = PEERS_PER_ROUND.min(left.len());
    (0..count).map(|_| left.swap_remove(rng.random_range(0..left.len())).clone()).collect()
}

/// Versions that a host knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Versions {
    /// Configuration.
    pub config: ConfigVersion,
    /// Assignment.
    pub assignment: AssignmentVersion,
}

/// Documents to fetch from the sender of a heartbeat.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Fetch {
    /// The sender knows a higher configuration.
    pub config: bool,
    /// The sender knows a higher assignment.
    pub assignment: bool,
}

impl Versions {
    /// What to fetch from a peer that knows `theirs`.
    pub fn behind(self, theirs: Versions) -> Fetch {
        Fetch {
            config: theirs.config > self.config,
            assignment: theirs.assignment > self.assignment,
        }
    }

    /// The higher of both in each part.
    pub fn merged(self, theirs: Versions) -> Versions {
        Versions {
            config: self.config.max(theirs.config),
            assignment: self.assignment.max(theirs.assignment),
        }
    }
}
