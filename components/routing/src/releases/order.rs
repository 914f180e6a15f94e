//! Orders of releases, as operators write them, and their statuses.

use {
    crate::position::Position,
    serde::{Deserialize, Serialize},
    std::{
        fmt::{Display, Formatter, Result as FmtResult},
        sync::Arc,
    },
    wigeonramp_units::{ServiceId, Span},
};

/// Maximum length of a version in bytes; messages between hosts contain it.
const MAX_VERSION_LEN: usize = 128;

/// Version of the program that a leaf runs.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(try_from = "String", into = "String")]
pub struct Version(Arc<str>);

impl Version {
    /// Returns the version as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl Display for Version {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for Version {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let is_valid =
            (1..=MAX_VERSION_LEN).contains(&text.len()) && !text.chars().any(|c| c.is_control());
        if is_valid {
            Ok(Self(text.into()))
        } else {
            Err(format!(
                "version: expected 1 to {MAX_VERSION_LEN} bytes without control characters"
            ))
        }
    }
}

impl From<Version> for String {
    fn from(version: Version) -> String {
        version.0.as_ref().to_owned()
    }
}

/// Bounds on releases from the settings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReleaseBounds {
    /// Maximum share of a service's requests that a bad version may get.
    pub exposure_share: f64,
    /// Number of requests that it may get besides.
    pub exposure_slack: f64,
    /// Time within which a bad version gets no more requests after its 50th bad response.
    pub rollback: Span,
}

/// State of an order as its status in the store says.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderState {
    /// The release is under way.
    Running,
    /// All requests go to the new version.
    Completed,
    /// No request goes to the new version.
    RolledBack,
}

impl OrderState {
    /// Whether the state does not change any more.
    pub fn is_final(self) -> bool {
        self != OrderState::Running
    }

    /// Returns the name on the wire.
    pub const fn name(self) -> &'static str {
        match self {
            OrderState::Running => "running",
            OrderState::Completed => "completed",
            OrderState::RolledBack => "rolled_back",
        }
    }
}

/// Identifies an order.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct OrderKey {
    /// Service whose requests are to move.
    pub service: ServiceId,
    /// Version that they are to move to: the candidate.
    pub target: Version,
}

/// An order in the store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredOrder {
    /// Service and candidate version.
    pub key: OrderKey,
    /// Time within which the requests are to move.
    pub duration: Span,
    /// Position of the object, on whose revision the next write of the status is conditional.
    pub written: Position,
    /// State that the status gives for this candidate; none without a status of it.
    pub state: Option<OrderState>,
}

/// Phase of a release on a host. Phases only advance, so that hosts that hear of them in any order
/// agree.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The candidate gets the canary share.
    Canary,
    /// The candidate gets a quarter of the first attempts.
    Quarter,
    /// The candidate gets half of the first attempts.
    Half,
    /// The candidate gets all requests; those at baseline leaves end.
    Draining,
    /// The candidate gets no request.
    RolledBack,
}

impl Phase {
    /// All phases in order.
    pub const ALL: [Phase; 5] =
        [Phase::Canary, Phase::Quarter, Phase::Half, Phase::Draining, Phase::RolledBack];

    /// Returns the number on the wire.
    pub const fn number(self) -> u32 {
        self as u32
    }

    /// Returns the phase with this number on the wire.
    pub fn from_number(number: u32) -> Option<Self> {
        Self::ALL.get(number as usize).copied()
    }

    /// Returns the name in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Phase::Canary => "canary",
            Phase::Quarter => "quarter",
            Phase::Half => "half",
            Phase::Draining => "draining",
            Phase::RolledBack => "rolled_back",
        }
    }

    /// Returns the phase after this one of a good version; none after the last.
    pub fn next(self) -> Option<Self> {
        match self {
            Phase::Canary => Some(Phase::Quarter),
            Phase::Quarter => Some(Phase::Half),
            Phase::Half => Some(Phase::Draining),
            Phase::Draining | Phase::RolledBack => None,
        }
    }

    /// Returns the share of the first attempts that the candidate gets; none in the canary phase,
    /// whose share follows from the bounds.
    pub const fn share(self) -> Option<f64> {
        match self {
            Phase::Canary => None,
            Phase::Quarter => Some(0.25),
            Phase::Half => Some(0.5),
            Phase::Draining => Some(1.0),
            Phase::RolledBack => Some(0.0),
        }
    }
}
