//! Faults of the platform.

use {
    serde::{Deserialize, Serialize},
    wigeonramp_units::Span,
};

/// A fault to set or clear, as `POST /faults` takes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum PlatformFault {
    /// Clears all faults.
    Clear {},
    /// No call succeeds until `clear`.
    Outage {
        /// What callers see.
        mode: OutageMode,
    },
    /// Every answer comes later.
    Slow {
        /// Added time; `0us` switches the fault off.
        by: Span,
    },
    /// Writes take effect and their connection closes without an answer.
    LostAnswers {
        /// The next writes that are hit.
        writes: u32,
    },
    /// Reads of objects see the content of the moment at which this was switched on.
    StaleReads {
        /// Whether the fault is on.
        on: bool,
    },
    /// Watches get no answer, not even an empty one.
    SilentWatch {
        /// Whether the fault is on.
        on: bool,
    },
    /// Connections that are open now are never answered again; new ones work.
    SilentConnections {},
}

/// What callers see of an outage.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Connections are refused and open ones are reset.
    Refuse,
    /// Connections are accepted, requests get no answer and have no effect.
    Hang,
    /// Requests get status 503 and have no effect.
    Unavailable,
}

/// The faults in force.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Faults {
    pub(crate) outage: Option<OutageMode>,
    pub(crate) slow: Span,
    pub(crate) lost_answers: u32,
    pub(crate) silent_watch: bool,
}
