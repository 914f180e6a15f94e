//! Positions in the history of the platform's store.
//!
//! The store may come back from an earlier copy. Its revisions then go back and are given out again
//! to other changes, so a revision says something only together with the era in which it was given
//! out. Positions are the only values that are compared to tell what is newer.

use {
    serde::{Deserialize, Serialize},
    std::fmt::{Display, Formatter, Result as FmtResult},
    wigeonramp_units::{Revision, StoreEra},
};

/// Era of a store that has never come back from a copy, or that does not tell.
pub const FIRST_ERA: StoreEra = StoreEra(1);

/// A revision in one era of the store. Positions of a later era come after all of earlier ones; the
/// default comes before all others.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(from = "WirePosition", into = "WirePosition")]
pub struct Position {
    era: StoreEra,
    revision: Revision,
}

/// A position in messages between hosts: a number in the first era, as hosts sent it before there
/// were eras.
#[derive(Deserialize, Serialize)]
#[serde(untagged)]
enum WirePosition {
    FirstEra(Revision),
    Other(StoreEra, Revision),
}

impl Position {
    /// Creates a position.
    pub const fn new(era: StoreEra, revision: Revision) -> Self {
        Self { era, revision }
    }

    /// Returns the era.
    pub const fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the revision, for calls to a store of the same era.
    pub const fn revision(self) -> Revision {
        self.revision
    }

    /// Returns the position with this revision in the same era.
    pub const fn with_revision(self, revision: Revision) -> Self {
        Self { era: self.era, revision }
    }

    /// Whether anything is known of the store.
    pub fn is_known(self) -> bool {
        self != Self::default()
    }

    /// Whether changes after the other position lead to this one: they do only within an era.
    pub fn continues(self, other: Self) -> bool {
        self.era == other.era && self.revision >= other.revision
    }
}

impl Display for Position {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

impl From<WirePosition> for Position {
    fn from(wire: WirePosition) -> Self {
        match wire {
            WirePosition::FirstEra(Revision(0)) => Self::default(),
            WirePosition::FirstEra(revision) => Self::new(FIRST_ERA, revision),
            WirePosition::Other(era, revision) => Self::new(era, revision),
        }
    }
}

impl From<Position> for WirePosition {
    fn from(position: Position) -> Self {
        match position.era {
            StoreEra(0) | FIRST_ERA => WirePosition::FirstEra(position.revision),
            era => WirePosition::Other(era, position.revision),
        }
    }
}
