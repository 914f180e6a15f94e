//! Faults that can be injected into leaves.

use {
    serde::{Deserialize, Serialize},
    wigeonramp_units::{LeafId, MapVersion, Percent, ShardId, SnapshotId, Span, ZoneId},
};

/// Selects the leaves that match one of the prefixes and one of the zones. An empty list matches
/// all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeafSelector {
    /// Prefixes of leaf ids.
    pub leaves: Vec<String>,
    /// Zones of the leaves.
    pub zones: Vec<ZoneId>,
}

impl LeafSelector {
    /// Selects the leaves whose id starts with `prefix`.
    pub fn prefix(prefix: &str) -> Self {
        Self { leaves: vec![prefix.to_owned()], zones: Vec::new() }
    }

    /// Returns whether the leaf is selected.
    pub fn matches(&self, leaf: &LeafId, zone: &ZoneId) -> bool {
        let has_prefix = |prefix: &String| leaf.as_str().starts_with(prefix.as_str());
        (self.leaves.is_empty() || self.leaves.iter().any(has_prefix))
            && (self.zones.is_empty() || self.zones.contains(zone))
    }
}

/// Body of `POST /faults`: a fault for the selected leaves.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// The selected leaves; all by default.
    #[serde(default)]
    pub on: LeafSelector,
    /// The fault to set or clear.
    pub fault: LeafFault,
}

/// A fault to set or clear.
///
/// Faults with a `percent` affect that percentage of responses or requests, chosen by the seeded
/// random generator of the leaf; 0 switches them off.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum LeafFault {
    /// Clears all faults and opens the listener; boot id, cold state and snapshots stay.
    Clear {},
    /// The leaf crashes whenever a request whose body contains `text` starts to run.
    CrashOn {
        /// Text to find in the body; empty switches the fault off.
        text: String,
        /// Time until the leaf restarts, cold and with a new boot id.
        down: Span,
    },
    /// The leaf crashes immediately.
    Crash {
        /// Time until the leaf restarts, cold and with a new boot id.
        down: Span,
    },
    /// All open connections stay open but get no more responses; new ones work.
    Silent {},
    /// Response bodies are truncated to half of their announced length.
    TruncatedBody {
        /// Percentage of responses affected.
        percent: Percent,
    },
    /// `x-digest` does not match the body.
    WrongDigest {
        /// Percentage of responses affected.
        percent: Percent,
    },
    /// `x-attempt`, `x-shard` and `x-member` occur twice, the second time with another value.
    DoubledHeaders {
        /// Percentage of responses affected.
        percent: Percent,
    },
    /// `x-attempt`, `x-shard`, `x-member`, `x-snapshot` and `x-map-version` are those of the
    /// leaf's previous response.
    CrossedHeaders {
        /// Percentage of responses affected.
        percent: Percent,
    },
    /// Body and headers are those of the leaf's previous response.
    CrossedAnswer {
        /// Percentage of responses affected.
        percent: Percent,
    },
    /// Responses are delayed after their slot is released.
    Late {
        /// Percentage of responses affected.
        percent: Percent,
        /// The delay.
        by: Span,
    },
    /// Requests occupy their slot for longer.
    Straggle {
        /// Percentage of requests affected.
        percent: Percent,
        /// Factor of the service time.
        factor: u32,
    },
    /// Requests get status 503 without running.
    Shed {
        /// Percentage of requests affected.
        percent: Percent,
    },
    /// All requests get status 410 without running.
    Leaving {
        /// Whether the fault is on.
        on: bool,
    },
    /// The leaf loses a snapshot.
    DropSnapshot {
        /// The snapshot.
        snapshot: SnapshotId,
    },
    /// The leaf gets a snapshot partitioned by a partition map; if it already holds the snapshot
    /// with another map version, this is a repartition.
    AddSnapshot {
        /// The snapshot.
        snapshot: SnapshotId,
        /// Version of the partition map.
        map_version: MapVersion,
        /// Shards of the snapshot that the leaf holds; by default those that the deployment
        /// declares for the map version, or all shards if it does not declare the version.
        #[serde(default)]
        shards: Option<Vec<ShardId>>,
    },
    /// The leaf turns cold with a new boot id.
    TurnCold {
        /// Whether the leaf's connections are reset.
        break_connections: bool,
    },
    /// The listener closes or opens; open connections stay open.
    Listener {
        /// Whether the listener is open.
        open: bool,
    },
}

/// Currently active persistent faults.
#[derive(Clone, Debug, Default)]
pub(crate) struct ActiveFaults {
    pub(crate) crash_on: Option<CrashRule>,
    pub(crate) truncated_body: Percent,
    pub(crate) wrong_digest: Percent,
    pub(crate) doubled_headers: Percent,
    pub(crate) crossed_headers: Percent,
    pub(crate) crossed_answer: Percent,
    pub(crate) late: Percent,
    pub(crate) late_by: Span,
    pub(crate) straggle: Percent,
    pub(crate) straggle_factor: u32,
    pub(crate) shed: Percent,
    pub(crate) leaving: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct CrashRule {
    pub(crate) text: String,
    pub(crate) down: Span,
}

impl ActiveFaults {
    /// Sets or clears a persistent fault; ignores one-time faults.
    pub(crate) fn set(&mut self, fault: &LeafFault) {
        match fault.clone() {
            LeafFault::Clear {} => *self = Self::default(),
            LeafFault::CrashOn { text, down } => {
                self.crash_on = Some(CrashRule { text, down }).filter(|rule| !rule.text.is_empty());
            }
            LeafFault::TruncatedBody { percent } => self.truncated_body = percent,
            LeafFault::WrongDigest { percent } => self.wrong_digest = percent,
            LeafFault::DoubledHeaders { percent } => self.doubled_headers = percent,
            LeafFault::CrossedHeaders { percent } => self.crossed_headers = percent,
            LeafFault::CrossedAnswer { percent } => self.crossed_answer = percent,
            LeafFault::Late { percent, by } => (self.late, self.late_by) = (percent, by),
            LeafFault::Straggle { percent, factor } => {
                (self.straggle, self.straggle_factor) = (percent, factor);
            }
            LeafFault::Shed { percent } => self.shed = percent,
            LeafFault::Leaving { on } => self.leaving = on,
            LeafFault::Crash { .. }
            | LeafFault::Silent {}
            | LeafFault::DropSnapshot { .. }
            | LeafFault::AddSnapshot { .. }
            | LeafFault::TurnCold { .. }
            | LeafFault::Listener { .. } => {}
        }
    }
}
