//! Request and response bodies of the operator API.
//!
//! | method and path | request | response |
//! |---|---|---|
//! | `POST /v1/plan` | `PlanRequest` | `PlanResponse` |
//! | `POST /v1/confirm` | `ConfirmRequest` | `ConfirmResponse` |
//! | `GET /v1/status` | | `StatusResponse` |
//! | `GET /v1/config` | | `ConfigResponse` |
//! | `GET /v1/timeline` | query parameters | `telemetry::timeline::TimelineResponse` |
//!
//! A response with any other status than 200 has an `ErrorResponse` as its body, and nothing was
//! changed. The host that makes a plan does not store it: the confirm request contains the whole
//! plan, so it can be sent to any host.

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

/// Path to create a plan.
pub const PLAN_PATH: &str = "/v1/plan";
/// Path to confirm a plan.
pub const CONFIRM_PATH: &str = "/v1/confirm";
/// Path of the host's status.
pub const STATUS_PATH: &str = "/v1/status";
/// Path of the host's configuration.
pub const CONFIG_PATH: &str = "/v1/config";
/// Path of the host's timeline.
pub const TIMELINE_PATH: &str = "/v1/timeline";
/// Path of the host's metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Request for a plan; changes nothing.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanRequest {
    /// The requested change.
    pub intent: Intent,
    /// Whether the change may leave shards without a replica in service.
    #[serde(default)]
    pub allow_coverage_loss: bool,
}

/// A change that an operator requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum Intent {
    /// Replace the whole configuration by a declared deployment.
    Declare {
        /// The expanded declaration; version and operation are ignored.
        document: Box<Document>,
    },
    /// Take a zone out of service.
    ZoneOut {
        /// The zone.
        zone: ZoneId,
    },
    /// Put a zone back into service.
    ZoneIn {
        /// The zone.
        zone: ZoneId,
    },
    /// Take a leaf out of service.
    LeafOut {
        /// The leaf.
        leaf: LeafId,
    },
    /// Put a leaf back into service.
    LeafIn {
        /// The leaf.
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

/// A plan, the response to `PlanRequest` and the content of plan files.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanResponse {
    /// Id of the plan and of the operation that confirms it.
    pub id: OpId,
    /// Version of the base document, which the plan changes.
    pub base_version: ConfigVersion,
    /// Digest of the base document's content.
    pub base_digest: Digest,
    /// The document that confirming the plan writes. Its version is the one after `base_version`,
    /// its operation is `id`.
    pub target: Document,
    /// Differences between base and target; empty if nothing changes.
    pub changes: Vec<ConfigChange>,
    /// Effects of the change on leaves and capacity.
    pub cost: PlanCost,
    /// Whether the change may leave shards without a replica in service.
    #[serde(default)]
    pub allow_coverage_loss: bool,
}

/// Effects of a change on leaves and capacity.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlanCost {
    /// Number of leaves that get another holder or go out of service.
    pub leaves_moved: u32,
    /// Number of leaves that start cold.
    pub leaves_cold: u32,
    /// Slots of all leaves in service before the change.
    pub capacity_before: Slots,
    /// Slots of all leaves in service after the change, once they are warm.
    pub capacity_after: Slots,
    /// Collections that have shards with fewer than two replicas in service after the change.
    pub at_risk: Vec<CoverageRisk>,
}

/// Number of shards of a collection that a change leaves without redundant replicas.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CoverageRisk {
    /// The collection.
    pub collection: CollectionId,
    /// Shards of its newest partition map.
    pub total: u32,
    /// Shards with exactly one replica in service.
    pub single: u32,
    /// Shards without a replica in service; they are missing from responses.
    pub uncovered: u32,
}

/// Request to confirm a plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfirmRequest {
    /// The plan, unchanged from the `PlanResponse`.
    pub plan: PlanResponse,
}

/// Outcome of a confirm request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ConfirmResponse {
    /// The target document was written and is in force.
    InForce {
        /// Its version.
        version: ConfigVersion,
        /// Hosts that have adopted it.
        hosts: Vec<HostId>,
        /// Live hosts that are not yet known to have adopted it.
        pending: Vec<HostId>,
    },
    /// The plan was refused and nothing changed.
    Refused {
        /// Reason of the refusal.
        reason: String,
        /// The version in force.
        current: Option<ConfigVersion>,
    },
    /// The outcome is not known yet: the write may have taken effect.
    NotKnownYet {
        /// Reason why the outcome is unknown.
        reason: String,
        /// Command that determines the outcome, such as `wigeonramp status --plan plan-<id>.json`.
        command: String,
    },
}

/// Configuration of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigResponse {
    /// The document that the host has adopted.
    pub document: Document,
    /// Digest of its content.
    pub digest: Digest,
}

/// Status of a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StatusResponse {
    /// The host.
    pub host: HostId,
    /// Current boot id of the host.
    pub boot: BootId,
    /// Zone of the host.
    pub zone: ZoneId,
    /// Lifecycle state of the host: `serving`, `unlisted`, `handing_over`, `finishing` or `stopped`.
    pub state: String,
    /// Version of the adopted configuration; absent before the first one is adopted.
    pub config_version: Option<ConfigVersion>,
    /// Operation that wrote the adopted configuration.
    pub config_op: Option<OpId>,
    /// Digest of the adopted configuration's content.
    pub config_digest: Option<Digest>,
    /// Version of the known assignment.
    pub assignment_version: Option<u64>,
    /// Time until the session expires, in milliseconds; absent if it has expired.
    pub session_ms: Option<u64>,
    /// Time since the last response of the platform, in milliseconds; absent before the first one.
    pub store_contact_ms: Option<u64>,
    /// Hosts that this host knows, including itself.
    pub hosts: Vec<HostStatus>,
    /// Leaves that this host holds.
    pub leaves: Vec<LeafStatus>,
}

/// State of a host, as seen by the host that reports it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HostStatus {
    /// Current instance of the host.
    pub instance: InstanceId,
    /// Zone of the host.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Whether the host is listed as an entry host for callers.
    pub listed: bool,
    /// Whether the host is stopping.
    pub leaving: bool,
    /// Version of the configuration that the host had adopted by its last report.
    pub config_version: Option<ConfigVersion>,
}

/// State of a leaf, as seen by its holder.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeafStatus {
    /// The leaf.
    pub leaf: LeafId,
    /// `cold`, `ramping`, `warm`, `suspect`, `leaving` or `gone`.
    pub state: String,
    /// Ownership epoch of the leaf: the number of times its holder has changed.
    pub epoch: Epoch,
    /// Number of requests that the leaf is running.
    pub in_flight: u32,
    /// Number of requests that wait for the leaf.
    pub queued: u32,
    /// Number of requests that the leaf may currently run concurrently.
    pub allowance: u32,
}
