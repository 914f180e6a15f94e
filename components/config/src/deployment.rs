//! The operators' declaration of a deployment, in TOML.
//!
//! The declaration is compact: a collection names its number of services and replicas and the
//! address of its first leaf, and expands to shards, leaves and partition maps. Shard and leaf ids
//! and addresses follow from the position alone, so that a collection that grows keeps those it
//! has.

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
    /// Members; no member sees another's rows.
    pub members: IndexMap<MemberId, Member>,
    /// Callers that may send queries.
    pub callers: IndexMap<CallerId, Caller>,
    /// Collections of services.
    pub collections: IndexMap<CollectionId, DeclaredCollection>,
    /// Leaves that get no new work.
    #[serde(default)]
    pub leaves_out: Vec<LeafId>,
    /// Limits that hold for all collections.
    #[serde(default)]
    pub limits: Limits,
}

/// An availability zone as declared.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredZone {
    /// The region the zone lies in.
    pub region: String,
    /// Whether the zone takes part.
    #[serde(default)]
    pub state: AdminState,
}

/// A collection as declared.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredCollection {
    /// What an answer gives up first when shards are late.
    pub prefer: Prefer,
    /// When a collection that prefers latency answers; `max_deadline` if absent.
    #[serde(default)]
    pub soft_deadline: Option<Span>,
    /// Longest deadline a caller may ask for.
    pub max_deadline: Span,
    /// Whether slow attempts are repeated at the other replica.
    #[serde(default = "yes")]
    pub hedge: bool,
    /// Whether an unseen request first runs on one shard alone.
    #[serde(default = "yes")]
    pub canary: bool,
    /// Number of shards of the only map; absent if `maps` is given.
    #[serde(default)]
    pub services: Option<u32>,
    /// Leaves of each shard.
    pub replicas: u32,
    /// Zones that replicas are spread over, in this order.
    pub zones: Vec<ZoneId>,
    /// Address of the first leaf; the following leaves count the port up.
    pub first_leaf: SocketAddr,
    /// What one leaf of the collection bears.
    pub leaf_limits: LeafLimits,
    /// Partition maps, by ascending version; absent if `services` is given.
    #[serde(default)]
    pub maps: Vec<DeclaredMap>,
}

/// One version of a collection's partition.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeclaredMap {
    /// Higher is newer.
    pub version: MapVersion,
    /// The first snapshot that is laid out by this map.
    pub from_snapshot: SnapshotId,
    /// Number of shards.
    pub services: u32,
}

impl Deployment {
    /// Reads and checks the declaration in `path`. Fails on the first problem, with file and key.
    pub fn load(path: &Path) -> Result<Deployment, ConfigError> {
        Self::parse(path, &file::read(path)?)
    }

    /// Checks the declaration in `text`, which was read from `path`. Fails on the first problem.
    pub fn parse(path: &Path, text: &str) -> Result<Deployment, ConfigError> {
        let deployment: Deployment = file::parse(path, text)?;
        deployment.check().map_err(|problem| problem.in_file(path))?;
        deployment.expand().check().map_err(|problem| problem.in_file(path))?;
        Ok(deployment)
    }

    /// The document that this declaration describes, with version 0 and operation `declared`.
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
        declared.places().map(move |place| {
            let leaf_id = place.leaf_id(id);
            let out = self.leaves_out.contains(&leaf_id);
            let leaf = Leaf {
                address: declared.address(place),
                zone: declared.zone(place).clone(),
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
    /// The maps in full; a single one for all snapshots if only `services` is given.
    pub fn maps(&self) -> Vec<DeclaredMap> {
        let Some(services) = self.services else { return self.maps.clone() };
        vec![DeclaredMap { version: MapVersion(1), from_snapshot: SnapshotId(0), services }]
    }

    /// Number of leaves of all maps together.
    pub fn leaf_count(&self) -> u64 {
        u64::from(self.most_services()) * u64::from(self.replicas)
    }

    fn most_services(&self) -> u32 {
        self.maps().iter().map(|map| map.services).max().unwrap_or_default()
    }

    fn places(&self) -> impl Iterator<Item = Place> + '_ {
        (0..self.most_services())
            .flat_map(|shard| (0..self.replicas).map(move |replica| Place { shard, replica }))
    }

    /// Neighbouring shards start in different zones, so that each zone gets the same share.
    fn zone(&self, place: Place) -> &ZoneId {
        let index = place.shard as usize + place.replica as usize;
        &self.zones[index % self.zones.len()]
    }

    fn address(&self, place: Place) -> SocketAddr {
        let offset = place.shard * self.replicas + place.replica;
        let port = u32::from(self.first_leaf.port()) + offset;
        let port = u16::try_from(port).expect("the check keeps ports below 65536");
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
            (0..self.replicas).map(move |replica| Place { shard, replica }.leaf_id(id)).collect()
        };
        let shards = (0..map.services).map(|shard| (shard_id(id, shard), replicas(shard)));
        PartitionMap {
            version: map.version,
            from_snapshot: map.from_snapshot,
            shards: shards.collect(),
        }
    }
}

/// Position of a leaf in its collection.
#[derive(Clone, Copy)]
struct Place {
    shard: u32,
    replica: u32,
}

impl Place {
    fn leaf_id(self, collection: &CollectionId) -> LeafId {
        let shard = shard_id(collection, self.shard);
        let replica = char::from_u32('a' as u32 + self.replica).unwrap_or('?');
        let id = format!("{shard}/{replica}").parse();
        id.expect("the check keeps ids short and replicas within a to z")
    }
}

fn shard_id(collection: &CollectionId, shard: u32) -> ShardId {
    let id = format!("{collection}/{shard:02}").parse();
    id.expect("the check keeps collection ids short")
}

fn yes() -> bool {
    true
}
