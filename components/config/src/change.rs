//! Differences between two configuration documents.

use {
    crate::document::{AdminState, Collection, Document, Leaf, PartitionMap},
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    serde_json::{Map, Value},
    std::{
        fmt::{Display, Formatter, Result as FmtResult},
        hash::Hash,
        net::SocketAddr,
    },
    wigeonramp_units::{CallerId, CollectionId, LeafId, MapVersion, MemberId, ZoneId},
};

/// A changed setting, with its value before and after.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SettingChange {
    /// Name of the setting.
    pub key: String,
    /// Value before.
    pub from: Value,
    /// Value after.
    pub to: Value,
}

impl Display for SettingChange {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        write!(f, "{} {} -> {}", self.key, display_value(&self.from), display_value(&self.to))
    }
}

/// A difference between two documents.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum ConfigChange {
    /// A zone was added.
    ZoneAdded {
        /// The zone.
        zone: ZoneId,
        /// Its region.
        region: String,
        /// Its administrative state.
        state: AdminState,
    },
    /// A zone was removed.
    ZoneRemoved {
        /// The zone.
        zone: ZoneId,
    },
    /// A zone was moved to another region.
    ZoneMoved {
        /// The zone.
        zone: ZoneId,
        /// Region before.
        from: String,
        /// Region after.
        to: String,
    },
    /// A zone was taken out of service.
    ZoneOut {
        /// The zone.
        zone: ZoneId,
    },
    /// A zone was put back into service.
    ZoneIn {
        /// The zone.
        zone: ZoneId,
    },
    /// A member was added.
    MemberAdded {
        /// The member.
        member: MemberId,
    },
    /// A member was removed.
    MemberRemoved {
        /// The member.
        member: MemberId,
    },
    /// A caller was added.
    CallerAdded {
        /// The caller.
        caller: CallerId,
        /// Its member.
        member: MemberId,
    },
    /// A caller was removed.
    CallerRemoved {
        /// The caller.
        caller: CallerId,
    },
    /// Settings of a caller were changed.
    CallerChanged {
        /// The caller.
        caller: CallerId,
        /// Settings that differ.
        settings: Vec<SettingChange>,
    },
    /// A collection was added together with its leaves.
    CollectionAdded {
        /// The collection.
        collection: CollectionId,
        /// Number of shards of its newest map.
        shards: u32,
        /// Number of its leaves.
        leaves: u32,
    },
    /// A collection was removed together with its leaves.
    CollectionRemoved {
        /// The collection.
        collection: CollectionId,
        /// Number of leaves that it had.
        leaves: u32,
    },
    /// Settings of a collection were changed.
    CollectionChanged {
        /// The collection.
        collection: CollectionId,
        /// Settings that differ.
        settings: Vec<SettingChange>,
    },
    /// A partition map was added.
    MapAdded {
        /// The collection.
        collection: CollectionId,
        /// The map.
        map: MapVersion,
        /// Number of its shards.
        shards: u32,
    },
    /// A partition map was removed.
    MapRemoved {
        /// The collection.
        collection: CollectionId,
        /// The map.
        map: MapVersion,
    },
    /// The shards, their leaves or the first snapshot of a partition map were changed.
    MapChanged {
        /// The collection.
        collection: CollectionId,
        /// The map.
        map: MapVersion,
        /// Number of shards before.
        shards_before: u32,
        /// Number of shards after.
        shards_after: u32,
    },
    /// A leaf was added.
    LeafAdded {
        /// The leaf.
        leaf: LeafId,
        /// Address that it listens on.
        address: SocketAddr,
        /// Its zone.
        zone: ZoneId,
        /// Its administrative state.
        state: AdminState,
    },
    /// A leaf was removed.
    LeafRemoved {
        /// The leaf.
        leaf: LeafId,
    },
    /// The address, zone or collection of a leaf was changed.
    LeafChanged {
        /// The leaf.
        leaf: LeafId,
        /// Settings that differ.
        settings: Vec<SettingChange>,
    },
    /// A leaf was taken out of service.
    LeafOut {
        /// The leaf.
        leaf: LeafId,
    },
    /// A leaf was put back into service; it receives new work if its zone is in service, too.
    LeafIn {
        /// The leaf.
        leaf: LeafId,
    },
    /// A limit was changed.
    LimitChanged {
        /// The limit, with its value before and after.
        limit: SettingChange,
    },
}

impl Display for ConfigChange {
    fn fmt(&self, f: &mut Formatter<'_>) -> FmtResult {
        match self {
            Self::ZoneAdded { zone, region, state } => {
                write!(f, "zone {zone} added in region {region}, {}", state_name(*state))
            }
            Self::ZoneRemoved { zone } => write!(f, "zone {zone} removed"),
            Self::ZoneMoved { zone, from, to } => write!(f, "zone {zone} region {from} -> {to}"),
            Self::ZoneOut { zone } => write!(f, "zone {zone} out"),
            Self::ZoneIn { zone } => write!(f, "zone {zone} in"),
            Self::MemberAdded { member } => write!(f, "member {member} added"),
            Self::MemberRemoved { member } => write!(f, "member {member} removed"),
            Self::CallerAdded { caller, member } => {
                write!(f, "caller {caller} added for member {member}")
            }
            Self::CallerRemoved { caller } => write!(f, "caller {caller} removed"),
            Self::CallerChanged { caller, settings } => {
                write!(f, "caller {caller} changed: {}", joined(settings))
            }
            Self::CollectionAdded { collection, shards, leaves } => {
                write!(f, "collection {collection} added with {shards} shards, {leaves} leaves")
            }
            Self::CollectionRemoved { collection, leaves } => {
                write!(f, "collection {collection} removed with {leaves} leaves")
            }
            Self::CollectionChanged { collection, settings } => {
                write!(f, "collection {collection} changed: {}", joined(settings))
            }
            Self::MapAdded { collection, map, shards } => {
                write!(f, "collection {collection} map {map} added with {shards} shards")
            }
            Self::MapRemoved { collection, map } => {
                write!(f, "collection {collection} map {map} removed")
            }
            Self::MapChanged { collection, map, shards_before, shards_after } => {
                write!(f, "collection {collection} map {map} changed: ")?;
                write!(f, "shards {shards_before} -> {shards_after}")
            }
            Self::LeafAdded { leaf, address, zone, state } => {
                write!(f, "upstream {leaf} added at {address} in {zone}, {}", state_name(*state))
            }
            Self::LeafRemoved { leaf } => write!(f, "upstream {leaf} removed"),
            Self::LeafChanged { leaf, settings } => {
                write!(f, "upstream {leaf} changed: {}", joined(settings))
            }
            Self::LeafOut { leaf } => write!(f, "upstream {leaf} out"),
            Self::LeafIn { leaf } => write!(f, "upstream {leaf} in"),
            Self::LimitChanged { limit } => write!(f, "limit {limit}"),
        }
    }
}

/// Returns the differences from `base` to `target`, apart from version and operation.
///
/// The list is empty exactly if both documents have the same content.
pub fn diff(base: &Document, target: &Document) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    diff_zones(base, target, &mut changes);
    diff_members(base, target, &mut changes);
    diff_callers(base, target, &mut changes);
    diff_collections(base, target, &mut changes);
    diff_leaves(base, target, &mut changes);
    let limits = changed_settings(&base.limits, &target.limits, &[]);
    changes.extend(limits.into_iter().map(|limit| ConfigChange::LimitChanged { limit }));
    changes
}

fn diff_zones(base: &Document, target: &Document, changes: &mut Vec<ConfigChange>) {
    for zone in missing_keys(&base.zones, &target.zones) {
        changes.push(ConfigChange::ZoneRemoved { zone: zone.clone() });
    }
    for (id, after) in &target.zones {
        let zone = id.clone();
        let Some(before) = base.zones.get(id) else {
            let region = after.region.clone();
            changes.push(ConfigChange::ZoneAdded { zone, region, state: after.state });
            continue;
        };
        if before.region != after.region {
            let (from, to) = (before.region.clone(), after.region.clone());
            changes.push(ConfigChange::ZoneMoved { zone: zone.clone(), from, to });
        }
        match (before.state, after.state) {
            (AdminState::In, AdminState::Out) => changes.push(ConfigChange::ZoneOut { zone }),
            (AdminState::Out, AdminState::In) => changes.push(ConfigChange::ZoneIn { zone }),
            (AdminState::In, AdminState::In) | (AdminState::Out, AdminState::Out) => {}
        }
    }
}

fn diff_members(base: &Document, target: &Document, changes: &mut Vec<ConfigChange>) {
    for member in missing_keys(&base.members, &target.members) {
        changes.push(ConfigChange::MemberRemoved { member: member.clone() });
    }
    for member in missing_keys(&target.members, &base.members) {
        changes.push(ConfigChange::MemberAdded { member: member.clone() });
    }
}

fn diff_callers(base: &Document, target: &Document, changes: &mut Vec<ConfigChange>) {
    for caller in missing_keys(&base.callers, &target.callers) {
        changes.push(ConfigChange::CallerRemoved { caller: caller.clone() });
    }
    for (id, after) in &target.callers {
        let caller = id.clone();
        let Some(before) = base.callers.get(id) else {
            changes.push(ConfigChange::CallerAdded { caller, member: after.member.clone() });
            continue;
        };
        if before != after {
            let settings = changed_settings(before, after, &[]);
            changes.push(ConfigChange::CallerChanged { caller, settings });
        }
    }
}

fn diff_collections(base: &Document, target: &Document, changes: &mut Vec<ConfigChange>) {
    for id in missing_keys(&base.collections, &target.collections) {
        let leaves = leaf_count(base, id);
        changes.push(ConfigChange::CollectionRemoved { collection: id.clone(), leaves });
    }
    for (id, after) in &target.collections {
        let collection = id.clone();
        let Some(before) = base.collections.get(id) else {
            let shards = after.maps.last().map_or(0, shard_count);
            let leaves = leaf_count(target, id);
            changes.push(ConfigChange::CollectionAdded { collection, shards, leaves });
            continue;
        };
        let settings = changed_settings(before, after, &["maps"]);
        if !settings.is_empty() {
            changes.push(ConfigChange::CollectionChanged { collection, settings });
        }
        diff_maps(id, before, after, changes);
    }
}

fn diff_maps(
    id: &CollectionId,
    before: &Collection,
    after: &Collection,
    changes: &mut Vec<ConfigChange>,
) {
    let find = |maps: &[PartitionMap], version| {
        maps.iter().find(|map: &&PartitionMap| map.version == version).cloned()
    };
    for old in before.maps.iter().filter(|old| find(&after.maps, old.version).is_none()) {
        changes.push(ConfigChange::MapRemoved { collection: id.clone(), map: old.version });
    }
    for new in &after.maps {
        let (collection, map) = (id.clone(), new.version);
        let shards = shard_count(new);
        match find(&before.maps, map) {
            None => changes.push(ConfigChange::MapAdded { collection, map, shards }),
            Some(old) if old != *new => changes.push(ConfigChange::MapChanged {
                collection,
                map,
                shards_before: shard_count(&old),
                shards_after: shards,
            }),
            Some(_) => {}
        }
    }
}

fn diff_leaves(base: &Document, target: &Document, changes: &mut Vec<ConfigChange>) {
    // Leaves of an added or removed collection are not listed one by one: the change of the
    // collection contains their number.
    let listed = |leaf: &Leaf| {
        let id = &leaf.collection;
        base.collections.contains_key(id) && target.collections.contains_key(id)
    };
    for (id, _) in base.leaves.iter().filter(|(_, leaf)| listed(leaf)) {
        if !target.leaves.contains_key(id) {
            changes.push(ConfigChange::LeafRemoved { leaf: id.clone() });
        }
    }
    for (id, after) in &target.leaves {
        match base.leaves.get(id) {
            None if listed(after) => changes.push(ConfigChange::LeafAdded {
                leaf: id.clone(),
                address: after.address,
                zone: after.zone.clone(),
                state: after.state,
            }),
            None => {}
            Some(before) => diff_leaf(id, before, after, changes),
        }
    }
}

fn diff_leaf(id: &LeafId, before: &Leaf, after: &Leaf, changes: &mut Vec<ConfigChange>) {
    let leaf = id.clone();
    let settings = changed_settings(before, after, &["state"]);
    if !settings.is_empty() {
        changes.push(ConfigChange::LeafChanged { leaf: leaf.clone(), settings });
    }
    match (before.state, after.state) {
        (AdminState::In, AdminState::Out) => changes.push(ConfigChange::LeafOut { leaf }),
        (AdminState::Out, AdminState::In) => changes.push(ConfigChange::LeafIn { leaf }),
        (AdminState::In, AdminState::In) | (AdminState::Out, AdminState::Out) => {}
    }
}

/// Returns the keys of `base` that `target` does not contain.
fn missing_keys<'a, K: Eq + Hash, A, B>(
    base: &'a IndexMap<K, A>,
    target: &'a IndexMap<K, B>,
) -> impl Iterator<Item = &'a K> {
    base.keys().filter(|key| !target.contains_key(*key))
}

fn leaf_count(document: &Document, id: &CollectionId) -> u32 {
    let count = document.leaves.values().filter(|leaf| leaf.collection == *id).count();
    u32::try_from(count).unwrap_or(u32::MAX)
}

fn shard_count(map: &PartitionMap) -> u32 {
    u32::try_from(map.shards.len()).unwrap_or(u32::MAX)
}

/// Returns the fields whose values differ between `before` and `after`, except those in `skip`.
fn changed_settings<T: Serialize>(before: &T, after: &T, skip: &[&str]) -> Vec<SettingChange> {
    let (before, after) = (fields(before), fields(after));
    let differs = |(key, to): (String, Value)| {
        let from = before.get(&key).cloned().unwrap_or(Value::Null);
        (from != to && !skip.contains(&key.as_str())).then_some(SettingChange { key, from, to })
    };
    after.into_iter().filter_map(differs).collect()
}

/// Returns the serialized fields of a struct; the keys of nested structs are joined by dots.
fn fields<T: Serialize>(value: &T) -> Map<String, Value> {
    let mut flat = Map::new();
    let value = serde_json::to_value(value).expect("documents serialize to JSON");
    flatten("", value, &mut flat);
    flat
}

fn flatten(prefix: &str, value: Value, flat: &mut Map<String, Value>) {
    match value {
        Value::Object(map) => {
            for (key, value) in map {
                let key = if prefix.is_empty() { key } else { format!("{prefix}.{key}") };
                flatten(&key, value, flat);
            }
        }
        other => {
            flat.insert(prefix.to_owned(), other);
        }
    }
}

fn state_name(state: AdminState) -> &'static str {
    match state {
        AdminState::In => "in",
        AdminState::Out => "out",
    }
}

fn display_value(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn joined(settings: &[SettingChange]) -> String {
    settings.iter().map(SettingChange::to_string).collect::<Vec<_>>().join(", ")
}
