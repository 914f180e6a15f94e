//! The declaration of a deployment, which operators write in TOML.
//!
//! A declared collection consists of its number of services, its number of replicas and the address
//! of its first leaf, and expands to shards, leaves and partition maps. Ids and addresses of shards
//! and leaves are derived only from their position, so that they stay the same when services are
//! added to the collection.

use {
    crate::{
        document::{
            AdminState, Caller, Collection, Document, Leaf, LeafLimits, Limits, Member,
            PartitionMap, Prefer, Zone, declared_op,
        },
        error::ConfigError,
        file,
    },
    indexmap::IndexMap,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, path::Path},
    wigeonramp_units::{
        CallerId, CollectionId, ConfigVersion, LeafId, MapVersion, MemberId, ShardId, SnapshotId,
        Span, ZoneId,
    },
};

/// A deployment as operators declare it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Availability zones.
    pub zones: IndexMap<ZoneId, DeclaredZone>,
    /// Members (tenants); no member can see the rows of another.
    pub members: IndexMap<MemberId, Member>,
    /// Callers that are authorized to send queries.
    pub callers: IndexMap<CallerId, Caller>,
    /// Collections of services.
    pub collections: IndexMap<CollectionId, DeclaredCollection>,
    /// Leaves that are out of service.
    #[serde(default)]
    pub leaves_out: Vec<LeafId>,
    /// Limits that apply to all collections.
    #[serde(default)]
    pub limits: Limits,
}

/// An availability zone as declared.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredZone {
    /// Region that the zone belongs to.
    pub region: String,
    /// Whether the zone is in service.
    #[serde(default)]
    pub state: AdminState,
}

/// A collection as declared.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredCollection {
    /// Whether responses favor coverage or latency when shards are late.
    pub prefer: Prefer,
    /// Time after which a collection that prefers latency responds with the shards received so far;
    /// `max_deadline` if absent.
    #[serde(default)]
    pub soft_deadline: Option<Span>,
    /// Maximum deadline of a request.
    pub max_deadline: Span,
    /// Whether slow attempts are hedged at the other replica.
    #[serde(default = "enabled_by_default")]
    pub hedge: bool,
    /// Whether a request with a new fingerprint is first sent to a single shard.
    #[serde(default = "enabled_by_default")]
    pub canary: bool,
    /// Number of shards of the only map; absent if `maps` is given.
    #[serde(default)]
    pub services: Option<u32>,
    /// Number of leaves of each shard.
    pub replicas: u32,
    /// Zones that replicas are spread over, in this order.
    pub zones: Vec<ZoneId>,
    /// Address of the first leaf; each following leaf has the next port.
    pub first_leaf: SocketAddr,
    /// Limits of each leaf of the collection.
    pub leaf_limits: LeafLimits,
    /// Partition maps, in ascending order of version; absent if `services` is given.
    #[serde(default)]
    pub maps: Vec<DeclaredMap>,
}

/// A partition map as declared.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredMap {
    /// Version of the map; higher is newer.
    pub version: MapVersion,
    /// First snapshot that is partitioned by this map.
    pub from_snapshot: SnapshotId,
    /// Number of shards.
    pub services: u32,
}

impl Deployment {
    /// Reads and validates the declaration in `path`. Fails at the first error, with file and key.
    pub fn load(path: &Path) -> Result<Deployment, ConfigError> {
        Self::parse(path, &file::read(path)?)
    }

    /// Parses and validates the declaration in `text`, which was read from `path`. Fails at the
    /// first error.
    pub fn parse(path: &Path, text: &str) -> Result<Deployment, ConfigError> {
        let deployment: Deployment = file::parse(path, text)?;
        deployment.check().map_err(|err| err.in_file(path))?;
        deployment.expand().check().map_err(|err| err.in_file(path))?;
        Ok(deployment)
    }

    /// Returns the document that this declaration describes, with version 0 and operation
    /// `declared`.
    pub fn expand(&self) -> Document {
        let leaves = self.collections.iter().flat_map(|(id, c)| self.leaves_of(id, c)).collect();
        let collections =
            self.collections.iter().map(|(id, c)| (id.clone(), c.expand(id))).collect();
        Document {
            version: ConfigVersion(0),
            op: declared_op(),
            zones: self.zones.iter().map(|(id, zone)| (id.clone(), zone.expand())).collect(),
            members: self.members.clone(),
            callers: self.callers.clone(),
            collections,
            leaves,
            limits: self.limits.clone(),
        }
    }

    fn leaves_of<'a>(
        &'a self,
        id: &'a CollectionId,
        declared: &'a DeclaredCollection,
    ) -> impl Iterator<Item = (LeafId, Leaf)> + 'a {
        declared.leaf_positions().map(move |position| {
            let leaf_id = position.leaf_id(id);
            let out = self.leaves_out.contains(&leaf_id);
            let leaf = Leaf {
                address: declared.address(position),
                zone: declared.zone(position).clone(),
                collection: id.clone(),
                state: if out { AdminState::Out } else { AdminState::In },
            };
            (leaf_id, leaf)
        })
    }
}

impl DeclaredZone {
    fn expand(&self) -> Zone {
        Zone { region: self.region.clone(), state: self.state }
    }
}

impl DeclaredCollection {
    /// Returns all partition maps; a single one for all snapshots if only `services` is given.
    pub fn maps(&self) -> Vec<DeclaredMap> {
        let Some(services) = self.services else { return self.maps.clone() };
        vec![DeclaredMap { version: MapVersion(1), from_snapshot: SnapshotId(0), services }]
    }

    /// Returns the number of leaves of all maps together.
    pub fn leaf_count(&self) -> u64 {
        u64::from(self.max_services()) * u64::from(self.replicas)
    }

    /// Number of services of the largest map.
    fn max_services(&self) -> u32 {
        self.maps().iter().map(|map| map.services).max().unwrap_or_default()
    }

    fn leaf_positions(&self) -> impl Iterator<Item = LeafPosition> + '_ {
        (0..self.max_services()).flat_map(|shard| {
            (0..self.replicas).map(move |replica| LeafPosition { shard, replica })
        })
    }

    /// Zone of a leaf. Adjacent shards start in different zones, so that each zone gets the same
    /// share of leaves.
    fn zone(&self, position: LeafPosition) -> &ZoneId {
        let index = position.shard as usize + position.replica as usize;
        &self.zones[index % self.zones.len()]
    }

    fn address(&self, position: LeafPosition) -> SocketAddr {
        let offset = position.shard * self.replicas + position.replica;
        let port = u32::from(self.first_leaf.port()) + offset;
        let port = u16::try_from(port).expect("check() keeps ports below 65536");
        SocketAddr::new(self.first_leaf.ip(), port)
    }

    fn expand(&self, id: &CollectionId) -> Collection {
        Collection {
            prefer: self.prefer,
            soft_deadline: self.soft_deadline.unwrap_or(self.max_deadline),
            max_deadline: self.max_deadline,
            hedge: self.hedge,
            canary: self.canary,
            leaf_limits: self.leaf_limits.clone(),
            maps: self.maps().iter().map(|map| self.expand_map(id, map)).collect(),
        }
    }

    fn expand_map(&self, id: &CollectionId, map: &DeclaredMap) -> PartitionMap {
        let replicas = |shard| {
            (0..self.replicas)
                .map(move |replica| LeafPosition { shard, replica }.leaf_id(id))
                .collect()
        };
        let shards = (0..map.services).map(|shard| (shard_id(id, shard), replicas(shard)));
        PartitionMap {
            version: map.version,
            from_snapshot: map.from_snapshot,
            shards: shards.collect(),
        }
    }
}

/// Position of a leaf in its collection, as zero-based numbers of its shard and replica.
#[derive(Clone, Copy)]
struct LeafPosition {
    shard: u32,
    replica: u32,
}

impl LeafPosition {
    fn leaf_id(self, collection: &CollectionId) -> LeafId {
        let shard = shard_id(collection, self.shard);
        let replica = char::from_u32('a' as u32 + self.replica).unwrap_or('?');
        let id = format!("{shard}/{replica}").parse();
        id.expect("check() rejects long ids and replicas beyond z")
    }
}

fn shard_id(collection: &CollectionId, shard: u32) -> ShardId {
    let id = format!("{collection}/{shard:02}").parse();
    id.expect("check() rejects long collection ids")
}

fn enabled_by_default() -> bool {
    true
}
