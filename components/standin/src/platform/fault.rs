//! Faults that can be injected into the platform.

use {
    serde::{Deserialize, Serialize},
    wigeonramp_units::Span,
};

/// A fault to set or clear; body of `POST /faults`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum PlatformFault {
    /// Clears all faults.
    Clear {},
    /// All calls fail until `clear`.
    Outage {
        /// How calls fail.
        mode: OutageMode,
    },
    /// All responses are delayed.
    Slow {
        /// Added delay; `0us` switches the fault off.
        by: Span,
    },
    /// Writes take effect but their connection closes without a response.
    LostAnswers {
        /// Number of the next successful writes and deletes that are affected.
        writes: u32,
    },
    /// Reads of objects return the content as of the moment at which the fault was switched on.
    StaleReads {
        /// Whether the fault is on.
        on: bool,
    },
    /// Watches get no response, not even an empty one.
    SilentWatch {
        /// Whether the fault is on.
        on: bool,
    },
    /// All open connections stay open but get no more responses; new ones work.
    SilentConnections {},
}

/// How calls fail during an outage.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OutageMode {
    /// Connections are refused and open ones are reset.
    Refuse,
    /// Connections are accepted, but requests get no response and have no effect.
    Hang,
    /// Requests get status 503 and have no effect.
    Unavailable,
}

/// Currently active faults.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ActiveFaults {
    pub(crate) outage: Option<OutageMode>,
    pub(crate) slow: Span,
    pub(crate) lost_answers: u32,
    pub(crate) silent_watch: bool,
}
