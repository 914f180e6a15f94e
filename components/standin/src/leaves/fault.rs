//! Faults of leaves.

use {
    serde::{Deserialize, Serialize},
    wigeonramp_units::{LeafId, MapVersion, Percent, ShardId, SnapshotId, Span, ZoneId},
};

/// The leaves that an order is for: those that match a prefix and a zone. An empty list matches
/// all.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LeafSelector {
    /// Prefixes of leaf ids.
    pub leaves: Vec<String>,
    /// Zones.
    pub zones: Vec<ZoneId>,
}

impl LeafSelector {
    /// All leaves whose id starts with `prefix`.
    pub fn prefix(prefix: &str) -> Self {
        Self { leaves: vec![prefix.to_owned()], zones: Vec::new() }
    }

    /// Whether the leaf is meant.
    pub fn matches(&self, leaf: &LeafId, zone: &ZoneId) -> bool {
        let leaf_in = |prefix: &String| leaf.as_str().starts_with(prefix.as_str());
        (self.leaves.is_empty() || self.leaves.iter().any(leaf_in))
            && (self.zones.is_empty() || self.zones.contains(zone))
    }
}

/// A fault for some leaves, as `POST /faults` takes it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRequest {
    /// The leaves.
    #[serde(default)]
    pub on: LeafSelector,
    /// The fault to set or clear.
    pub fault: LeafFault,
}

/// A fault to set or clear.
///
/// Faults with a `percent` hit that share of the answers, drawn from the leaf's seeded generator;
/// 0 switches them off.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum LeafFault {
    /// Clears all faults and opens the listener; boot id, warmth and snapshots stay.
    Clear {},
    /// Crashes each time that a request whose body contains `text` starts to run.
    CrashOn {
        /// Text in the body; an empty one switches the fault off.
        text: String,
        /// Time until the leaf listens again, cold and with a new boot id.
        down: Span,
    },
    /// Crashes now.
    Crash {
        /// Time until the leaf listens again, cold and with a new boot id.
        down: Span,
    },
    /// Connections that are open now are never answered again; new ones work.
    Silent {},
    /// Bodies break off half way.
    TruncatedBody {
        /// Share of the answers.
        percent: Percent,
    },
    /// `x-digest` does not match the body.
    WrongDigest {
        /// Share of the answers.
        percent: Percent,
    },
    /// `x-attempt`, `x-shard` and `x-member` occur twice, the second time with another value.
    DoubledHeaders {
        /// Share of the answers.
        percent: Percent,
    },
    /// `x-attempt`, `x-shard`, `x-member`, `x-snapshot` and `x-map-version` are those of the
    /// leaf's previous answer.
    CrossedHeaders {
        /// Share of the answers.
        percent: Percent,
    },
    /// Body and headers are the whole previous answer of the leaf.
    CrossedAnswer {
        /// Share of the answers.
        percent: Percent,
    },
    /// Answers are held back after their slot is free.
    Late {
        /// Share of the answers.
        percent: Percent,
        /// Time for which they are held back.
        by: Span,
    },
    /// Requests take longer in their slot.
    Straggle {
        /// Share of the requests.
        percent: Percent,
        /// How many times longer.
        factor: u32,
    },
    /// Requests get status 503 without running.
    Shed {
        /// Share of the requests.
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
    /// The leaf gets a snapshot that is laid out by a partition map; with another map version than
    /// before this is a repartition.
    AddSnapshot {
        /// The snapshot.
        snapshot: SnapshotId,
        /// The partition map that the snapshot is laid out by.
        map_version: MapVersion,
        /// The shards that the leaf holds in it; without them those that the deployment lists for
        /// the map version, or any shard if it does not list the version.
        #[serde(default)]
        shards: Option<Vec<ShardId>>,
    },
    /// The leaf turns cold with a new boot id.
    TurnCold {
        /// Whether its connections are reset.
        break_connections: bool,
    },
    /// The listener closes or opens; open connections stay.
    Listener {
        /// Whether it is open.
        open: bool,
    },
}

/// The lasting faults in force.
#[derive(Clone, Debug, Default)]
pub(crate) struct Faults {
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

impl Faults {
    /// Takes over a lasting fault; other faults change nothing here.
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
