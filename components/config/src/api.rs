//! Bodies of the operator API.
//!
//! | method and path | request | answer |
//! |---|---|---|
//! | `POST /v1/plan` | `PlanRequest` | `PlanResponse` |
//! | `POST /v1/confirm` | `ConfirmRequest` | `ConfirmResponse` |
//! | `GET /v1/status` | | `StatusResponse` |
//! | `GET /v1/config` | | `ConfigResponse` |
//! | `GET /v1/timeline` | query parameters | `telemetry::timeline::TimelineResponse` |
//!
//! Any other status than 200 carries an `ErrorResponse`, and nothing changed. A plan is not kept by
//! the host that made it: `confirm` carries everything, so it may go to any host.

use {
    crate::{change::ConfigChange, document::Document},
    serde::{Deserialize, Serialize},
    std::{
        fmt::{Display, Formatter, Result as FmtResult},
        net::SocketAddr,
    },
    wigeonramp_units::{
        BootId, CollectionId, ConfigVersion, Digest, Epoch, HostId, InstanceId, LeafId, OpId,
        Slots, ZoneId,
    },
};

pub use crate::caller_api::ErrorResponse;

/// Path that makes a plan.
pub const PLAN_PATH: &str = "/v1/plan";
/// Path that confirms a plan.
pub const CONFIRM_PATH: &str = "/v1/confirm";
/// Path of the host's status.
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the host's configuration.
pub const CONFIG_PATH: &str = "/v1/config";
/// Path of the host's timeline.
pub const TIMELINE_PATH: &str = "/v1/timeline";
/// Path of the host's metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Asks for a plan; changes nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// What operators want.
    pub intent: Intent,
    /// Whether shards may be left without a replica that takes work.
    #[serde(default)]
    pub allow_coverage_loss: bool,
}

/// What operators want.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Intent {
    /// The whole deployment as declared.
    Declare {
        /// The expanded declaration; version and operation are ignored.
        document: Box<Document>,
    },
    /// A zone gets no new work.
    ZoneOut {
        /// The zone.
        zone: ZoneId,
    },
    /// A zone takes part again.
    ZoneIn {
        /// The zone.
        zone: ZoneId,
    },
    /// An upstream gets no new work.
    LeafOut {
        /// The upstream.
        leaf: LeafId,
    },
    /// An upstream takes new work again.
    LeafIn {
        /// The upstream.
        leaf: LeafId,
    },
}

impl Display for Intent {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        match self {
            Self::Declare { .. } => f.write_str("declared deployment"),
            Self::ZoneOut { zone } => write!(f, "zone {zone} out"),
            Self::ZoneIn { zone } => write!(f, "zone {zone} in"),
            Self::LeafOut { leaf } => write!(f, "upstream {leaf} out"),
            Self::LeafIn { leaf } => write!(f, "upstream {leaf} in"),
        }
    }
}

/// A plan; also the content of plan files.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanResponse {
    /// Id of the plan and of the operation that confirms it.
    pub id: OpId,
    /// Version that the plan was made for.
    pub base_version: ConfigVersion,
    /// Digest of that version's content.
    pub base_digest: Digest,
    /// The document that `confirm` writes; its version follows the base, its operation is `id`.
    pub target: Document,
    /// What differs between base and target; empty if nothing changes.
    pub changes: Vec<ConfigChange>,
    /// What the change costs.
    pub cost: PlanCost,
    /// Whether shards may be left without a replica that takes work.
    #[serde(default)]
    pub allow_coverage_loss: bool,
}

/// What a change costs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanCost {
    /// Leaves that get another holder or stop getting work.
    pub leaves_moved: u32,
    /// Leaves that start cold.
    pub leaves_cold: u32,
    /// Slots of all leaves that take work before the change.
    pub capacity_before: Slots,
    /// Slots of all leaves that take work after the change, when they are warm.
    pub capacity_after: Slots,
    /// Collections with shards that have fewer than two replicas taking work afterwards.
    pub at_risk: Vec<CoverageRisk>,
}

/// Shards of one collection that a change leaves without spare replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CoverageRisk {
    /// The collection.
    pub collection: CollectionId,
    /// Shards of its newest map.
    pub total: u32,
    /// Shards with exactly one replica that takes work.
    pub single: u32,
    /// Shards without a replica that takes work; queries miss them.
    pub uncovered: u32,
}

/// Confirms a plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmRequest {
    /// The plan as it was answered.
    pub plan: PlanResponse,
}

/// What became of a confirmation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ConfirmResponse {
    /// The document is written.
    InForce {
        /// Its version.
        version: ConfigVersion,
        /// Hosts that have adopted it.
        hosts: Vec<HostId>,
        /// Live hosts that have not yet shown that they adopted it.
        pending: Vec<HostId>,
    },
    /// Nothing changed.
    Refused {
        /// Why the plan cannot be confirmed.
        reason: String,
        /// The version in force.
        current: Option<ConfigVersion>,
    },
    /// The write may or may not have taken effect.
    NotKnownYet {
        /// Why it is not known.
        reason: String,
        /// The command that finds out, such as `wigeonramp status --plan plan-<id>.json`.
        command: String,
    },
}

/// A host's configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigResponse {
    /// The document in force on the host.
    pub document: Document,
    /// Digest of its content.
    pub digest: Digest,
}

/// A host's status.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StatusResponse {
    /// The host.
    pub host: HostId,
    /// Its present start.
    pub boot: BootId,
    /// Its zone.
    pub zone: ZoneId,
    /// State of the stop: `serving`, `unlisted`, `handing_over`, `finishing` or `stopped`.
    pub state: String,
    /// Version of the adopted configuration; absent before the first.
    pub config_version: Option<ConfigVersion>,
    /// Operation that wrote that version.
    pub config_op: Option<OpId>,
    /// Digest of that version's content.
    pub config_digest: Option<Digest>,
    /// Version of the known assignment.
    pub assignment_version: Option<u64>,
    /// Session time left in milliseconds; absent if expired.
    pub session_ms: Option<u64>,
    /// Time since the last answer of the platform in milliseconds; absent before the first.
    pub store_contact_ms: Option<u64>,
    /// Hosts that this host knows, itself included.
    pub hosts: Vec<HostStatus>,
    /// Leaves that this host holds.
    pub leaves: Vec<LeafStatus>,
}

/// A host as another host sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostStatus {
    /// The host's present start.
    pub instance: InstanceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Where callers reach it.
    pub caller_address: SocketAddr,
    /// Where operators reach it.
    pub operator_address: SocketAddr,
    /// Whether callers are sent to it.
    pub listed: bool,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Version of the configuration that it adopted, as last heard.
    pub config_version: Option<ConfigVersion>,
}

/// A leaf as its holder sees it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeafStatus {
    /// The leaf.
    pub leaf: LeafId,
    /// `cold`, `ramping`, `warm`, `suspect`, `leaving` or `gone`.
    pub state: String,
    /// How often the leaf changed its holder.
    pub epoch: Epoch,
    /// Requests that it runs now.
    pub in_flight: u32,
    /// Requests that wait for it.
    pub queued: u32,
    /// Requests that it may run at the same time now.
    pub allowance: u32,
}
