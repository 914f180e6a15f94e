//! Guards against declared deployments whose sizes differ from those in the design documentation,
//! and against expansions that place two replicas of a shard in the same zone.

use {
    std::{
        collections::{HashMap, HashSet},
        fs,
        path::{Path, PathBuf},
    },
    wigeonramp_config::{Deployment, Document, token_sha256},
};

fn declared(name: &str) -> Document {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deployments").join(name);
    Deployment::load(&path).unwrap().expand()
}

/// Collection id, number of services, number of leaves, slots, connections and connect cost.
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
fn the_tokens_in_the_comments_are_accepted() {
    for file in ["gulf.toml", "nordeste.toml"] {
        let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../deployments").join(file);
        let text = fs::read_to_string(path).unwrap();
        let tokens = text.lines().filter_map(|line| line.strip_prefix("# token: "));
        let callers = declared(file).callers;
        assert_eq!(tokens.clone().count(), callers.len(), "{file}");
        for token in tokens {
            let accepting: Vec<_> = callers.values().filter(|c| c.accepts_token(token)).collect();
            assert_eq!(accepting.len(), 1, "{token}");
        }
    }
}

/// Guards against rejecting a document of the size expected in two years: 3,000 leaves in 5 zones,
/// with 180 shards in each of the collections and one repartitioning.
#[test]
fn a_document_of_the_size_in_two_years_is_accepted() {
    let mut text = "[members.m]\n[callers.c]\nmember = \"m\"\npriority = \"urgent\"\n".to_owned();
    text.push_str(&format!("token_sha256 = \"{}\"\n", token_sha256("demo")));
    for zone in ["a", "b", "c", "d", "e"] {
        text.push_str(&format!("[zones.{zone}]\nregion = \"r\"\n"));
    }
    for n in 0..8 {
        let port = 20_000 + n * 400;
        text.push_str(&format!(
            "[collections.collection-{n}]\nprefer = \"latency\"\nmax_deadline = \"160ms\"\n\
             replicas = 2\nzones = [\"a\", \"b\", \"c\", \"d\", \"e\"]\n\
             first_leaf = \"10.100.200.100:{port}\"\n\
             maps = [{{ version = 1, from_snapshot = 0, services = 180 }}, \
             {{ version = 2, from_snapshot = 1000, services = 188 }}]\n\
             [collections.collection-{n}.leaf_limits]\nslots = 2\nconnections = 60\n\
             connect_cost = \"6ms\"\ncold_in_flight = 1\ncold_per_second = 20\n"
        ));
    }
    let deployment = Deployment::parse(Path::new("large.toml"), &text).unwrap();
    assert_eq!(deployment.expand().leaves.len(), 3_008);
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
