//! The assignment: the stored object that lists the holder of each leaf.

pub use crate::assigner::{AssignInput, AssignStep, Assigner, AssignerSettings, Fence};

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{Display, Formatter, Result as FmtResult},
        num::ParseIntError,
        str::FromStr,
    },
    wigeonramp_units::{Epoch, InstanceId, LeafId, OpId},
};

/// Store key of the assignment object.
pub const ASSIGNMENT_KEY: &str = "control/assignment";
/// Largest number of assigners; a holder whose session expired requests a promise from each.
pub const MAX_ASSIGNERS: usize = 5;

/// Version of the assignment; never decreases.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct AssignmentVersion(pub u64);

impl AssignmentVersion {
    /// The version after this one.
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Display for AssignmentVersion {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        self.0.fmt(f)
    }
}

impl FromStr for AssignmentVersion {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, ParseIntError> {
        text.parse().map(Self)
    }
}

/// Body of the object `control/assignment`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Assignment {
    /// Incremented with each write.
    pub version: AssignmentVersion,
    /// The write that created this version.
    pub op: OpId,
    /// Instances that may write the next version.
    pub assigners: Vec<NamedAssigner>,
    /// Former assigners that were replaced by a standby instance and may still give promises.
    pub disputed: Vec<InstanceId>,
    /// The holder of each leaf.
    pub holdings: IndexMap<LeafId, Holding>,
}

impl Assignment {
    /// The instances of all assigners, in the order of the list.
    pub fn assigner_ids(&self) -> impl Iterator<Item = &InstanceId> {
        self.assigners.iter().map(|named| &named.instance)
    }

    /// Whether `instance` is an assigner.
    pub fn is_assigner(&self, instance: &InstanceId) -> bool {
        self.assigner_ids().any(|id| id == instance)
    }

    /// The number of leaves that `instance` holds.
    pub fn leaf_count(&self, instance: &InstanceId) -> usize {
        self.holdings.values().filter(|holding| holding.instance == *instance).count()
    }
}

/// One assigner in the list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NamedAssigner {
    /// The assigner.
    pub instance: InstanceId,
    /// The version that made it an assigner; a new value makes it observe sessions from scratch.
    pub since: AssignmentVersion,
}

/// Ownership of a leaf.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Holding {
    /// The holder.
    pub instance: InstanceId,
    /// Incremented with each change of the holder.
    pub epoch: Epoch,
    /// The old holder that has to release the leaf first; `None` if there is none.
    pub from: Option<InstanceId>,
    /// Whether the leaf was taken over because the old holder was considered dead.
    pub taken_over: bool,
    /// The version that gave the leaf to this holder.
    pub since_version: AssignmentVersion,
}
