//! Guards against declared deployments that drift from the sizes of the design page, and against
//! expansions that put two replicas of a shard into one zone.

use {
    std::{
        collections::{HashMap, HashSet},
        path::PathBuf,
    },
    wigeonramp_config::{Deployment, Document},
};

fn declared(name: &str) -> Document {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deployments").join(name);
    Deployment::load(&path).unwrap().expand()
}

/// Collection, services, leaves, slots, connections and connect cost.
type Row = (&'static str, usize, usize, u32, u32, &'static str);

const GULF: [Row; 4] = [
    ("quote-desk", 20, 40, 2, 60, "6ms"),
    ("rush-board", 30, 60, 2, 60, "6ms"),
    ("mandrel-lookup", 10, 20, 2, 250, "1ms"),
    ("invoice-feed", 5, 10, 2, 250, "1ms"),
];
const NORDESTE: [Row; 4] = [
    ("yard-desk", 20, 40, 2, 55, "6ms"),
    ("route-planning", 30, 60, 2, 55, "6ms"),
    ("compliance-documents", 5, 10, 3, 80, "1ms"),
    ("billing-link", 2, 4, 3, 80, "1ms"),
];

#[test]
fn the_declared_deployments_have_the_sizes_of_the_design_page() {
    for (file, rows) in [("gulf.toml", GULF), ("nordeste.toml", NORDESTE)] {
        let document = declared(file);
        assert_eq!(document.zones.len(), 3, "{file}");
        assert_eq!(document.collections.len(), rows.len(), "{file}");
        for (id, services, leaves, slots, connections, connect_cost) in rows {
            let id = id.parse().unwrap();
            let collection = &document.collections[&id];
            let limits = &collection.leaf_limits;
            let count = document.leaves.values().filter(|leaf| leaf.collection == id).count();
            assert_eq!(collection.maps[0].shards.len(), services, "{id}");
            assert_eq!(count, leaves, "{id}");
            assert_eq!((limits.slots.get(), limits.connections.get()), (slots, connections));
            assert_eq!(limits.connect_cost.to_string(), connect_cost, "{id}");
        }
    }
}

#[test]
fn replicas_of_a_shard_stand_in_different_zones_and_zones_share_evenly() {
    for file in ["gulf.toml", "nordeste.toml"] {
        let document = declared(file);
        let mut per_zone = HashMap::new();
        for leaf in document.leaves.values() {
            *per_zone.entry(leaf.zone.clone()).or_insert(0_usize) += 1;
        }
        let (least, most) = (per_zone.values().min(), per_zone.values().max());
        assert!(most.unwrap() - least.unwrap() <= 2 * document.collections.len(), "{per_zone:?}");
        let maps = document.collections.values().flat_map(|collection| &collection.maps);
        for (shard, leaves) in maps.flat_map(|map| &map.shards) {
            let zones: HashSet<_> = leaves.iter().map(|leaf| &document.leaves[leaf].zone).collect();
            assert_eq!(zones.len(), leaves.len(), "{shard}");
        }
    }
}
