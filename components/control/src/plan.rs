//! Plans: changes of the configuration that an operator reviews and then confirms.

pub use crate::confirm::{ConfirmOutcome, ConfirmRefusal, ConfirmStep, Confirmation};

use {
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{
        collections::BTreeSet,
        fmt::{Display, Formatter, Result as FmtResult},
    },
    thiserror::Error,
    wigeonramp_config::{AdminState, Document},
    wigeonramp_units::{
        CollectionId, ConfigVersion, Digest, LeafId, MapVersion, OpId, ShardId, Slots, ZoneId,
    },
};

/// Smallest number of replicas in service with which a hedge or retry can go to another replica.
const MIN_REPLICAS: usize = 2;

/// Returns the digest of a document, by which a plan identifies its base and hosts detect
/// conflicting bodies at adoption.
pub fn document_digest(document: &Document) -> Digest {
    // A document has only text keys and plain values, so it always serializes.
    Digest::of(&serde_json::to_vec(document).unwrap_or_default())
}

/// One shard of one partition map.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ShardRef {
    /// The collection.
    pub collection: CollectionId,
    /// Version of the partition map.
    pub map: MapVersion,
    /// The shard.
    pub shard: ShardId,
}

impl Display for ShardRef {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        write!(f, "{}/{} (map {})", self.collection, self.shard, self.map)
    }
}

/// Capacity and coverage under one document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Capacity {
    /// Total slots of all leaves in service.
    pub slots: Slots,
    /// Shards with exactly one replica in service.
    pub single: BTreeSet<ShardRef>,
    /// Shards with no replica in service.
    pub uncovered: BTreeSet<ShardRef>,
}

impl Capacity {
    /// Computes the capacity and coverage under `document`.
    pub fn of(document: &Document) -> Self {
        let slots = |leaf: &LeafId| {
            let collection = &document.leaves[leaf].collection;
            document.collections.get(collection).map_or(0, |c| c.leaf_limits.slots.get())
        };
        let in_service = document.leaves.keys().filter(|leaf| document.in_service(leaf));
        let slots = Slots(in_service.map(slots).sum());
        let with = |test: fn(usize) -> bool| shards_with_replicas(document, test);
        Self { slots, single: with(|n| n > 0 && n < MIN_REPLICAS), uncovered: with(|n| n == 0) }
    }
}

// Returns the shards whose number of replicas in service passes the test.
fn shards_with_replicas(document: &Document, test: fn(usize) -> bool) -> BTreeSet<ShardRef> {
    let mut found = BTreeSet::new();
    for (collection, declared) in &document.collections {
        for map in &declared.maps {
            for (shard, replicas) in &map.shards {
                if test(replicas.iter().filter(|leaf| document.in_service(leaf)).count()) {
                    let (collection, shard) = (collection.clone(), shard.clone());
                    found.insert(ShardRef { collection, map: map.version, shard });
                }
            }
        }
    }
    found
}

/// Cost of a plan.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Cost {
    /// Number of leaves that get another holder, their first holder or no holder any more.
    pub leaves_moved: usize,
    /// Capacity and coverage before the change.
    pub before: Capacity,
    /// Capacity and coverage after the change.
    pub after: Capacity,
}

/// One changed value of the document.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Path of the value, for example `/zones/north/state`.
    pub path: String,
    /// The value before the change, as JSON; `None` if it is added.
    pub before: Option<String>,
    /// The value after the change, as JSON; `None` if it is removed.
    pub after: Option<String>,
}

/// Why a plan cannot be confirmed.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
pub enum PlanError {
    /// The configuration changed since the plan was made.
    #[error("the plan is based on configuration {planned}, but {current} is in force; plan again")]
    OtherVersion {
        /// Base version of the plan.
        planned: ConfigVersion,
        /// Version in force.
        current: ConfigVersion,
    },
    /// The configuration in force has the base version, but another body.
    #[error("configuration {version} has digest {current}, but the plan expected {planned}")]
    OtherBody {
        /// The version.
        version: ConfigVersion,
        /// Digest of the plan's base.
        planned: Digest,
        /// Digest in force.
        current: Digest,
    },
    /// The target's version does not follow the base, or its operation id is not the plan's id.
    #[error("the plan's target is configuration {target}, expected {expected}")]
    BadTarget {
        /// Version of the target.
        target: ConfigVersion,
        /// Version after the base.
        expected: ConfigVersion,
    },
    /// Shards would lose their last replica in service, and the plan does not allow that.
    #[error("shards would have no replica in service: {}; allow the coverage loss explicitly", join(.shards))]
    CoverageLoss {
        /// The shards without a replica in service.
        shards: Vec<ShardRef>,
    },
}

fn join(shards: &[ShardRef]) -> String {
    shards.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}

/// A planned change of the configuration.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Plan {
    /// Id of the plan, and operation id of the write that confirms it.
    pub id: OpId,
    /// Version that the plan changes.
    pub base: ConfigVersion,
    /// Digest of that version's document.
    pub base_digest: Digest,
    /// The document that is in force once the plan is confirmed.
    pub target: Document,
    /// Differences between the base and the target.
    pub changes: Vec<Change>,
    /// Cost of the change.
    pub cost: Cost,
    /// Whether shards may be left without a replica in service.
    pub allow_coverage_loss: bool,
}

impl Plan {
    /// Plans the change from `base` to `target`, which gets the next version and `id` as its
    /// operation id. `holders` are the zones of the current holders of all leaves.
    pub fn new(
        id: OpId,
        base: &Document,
        mut target: Document,
        holders: &IndexMap<LeafId, ZoneId>,
        allow_coverage_loss: bool,
    ) -> Self {
        let changes = changes(base, &target);
        target.version = base.version.next();
        target.op = id.clone();
        let cost = Cost {
            leaves_moved: leaves_moved(base, &target, holders),
            before: Capacity::of(base),
            after: Capacity::of(&target),
        };
        let (base, base_digest) = (base.version, document_digest(base));
        Self { id, base, base_digest, target, changes, cost, allow_coverage_loss }
    }

    /// Checks whether the plan can be confirmed while `base` is in force. The error is the first
    /// reason against it.
    pub fn check(&self, base: &Document) -> Result<(), PlanError> {
        let (planned, current) = (self.base, base.version);
        if planned != current {
            return Err(PlanError::OtherVersion { planned, current });
        }
        let (planned, current) = (self.base_digest, document_digest(base));
        if planned != current {
            return Err(PlanError::OtherBody { version: base.version, planned, current });
        }
        let (target, expected) = (self.target.version, base.version.next());
        if target != expected || self.target.op != self.id {
            return Err(PlanError::BadTarget { target, expected });
        }
        self.check_coverage(base)
    }

    // Computed from the documents, because the cost in the plan passed through the operator.
    fn check_coverage(&self, base: &Document) -> Result<(), PlanError> {
        let before = Capacity::of(base).uncovered;
        let after = Capacity::of(&self.target).uncovered;
        let shards: Vec<_> = after.difference(&before).cloned().collect();
        if shards.is_empty() || self.allow_coverage_loss {
            return Ok(());
        }
        Err(PlanError::CoverageLoss { shards })
    }
}

fn leaves_moved(base: &Document, target: &Document, holders: &IndexMap<LeafId, ZoneId>) -> usize {
    let in_service = |document: &Document, zone: &ZoneId| {
        document.zones.get(zone).is_some_and(|zone| zone.state == AdminState::In)
    };
    let moves = |leaf: &&LeafId| {
        let Some(zone) = holders.get(*leaf) else { return true };
        !base.leaves.contains_key(*leaf) || in_service(base, zone) && !in_service(target, zone)
    };
    let removed = base.leaves.keys().filter(|leaf| !target.leaves.contains_key(*leaf));
    target.leaves.keys().filter(moves).count() + removed.count()
}

fn changes(base: &Document, target: &Document) -> Vec<Change> {
    let value = |document: &Document| {
        let mut value = serde_json::to_value(document).unwrap_or_default();
        if let Some(fields) = value.as_object_mut() {
            fields.remove("version");
            fields.remove("op");
        }
        value
    };
    let mut found = Vec::new();
    compare(String::new(), Some(&value(base)), Some(&value(target)), &mut found);
    found
}

fn compare(path: String, before: Option<&Value>, after: Option<&Value>, found: &mut Vec<Change>) {
    if before == after {
        return;
    }
    let (Some(Value::Object(old)), Some(Value::Object(new))) = (before, after) else {
        let text = |value: Option<&Value>| value.map(Value::to_string);
        found.push(Change { path, before: text(before), after: text(after) });
        return;
    };
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    for key in keys {
        compare(format!("{path}/{key}"), old.get(key), new.get(key), found);
    }
}
