//! Guards against plans that omit a change, digests that depend on order or version, and target
//! documents with broken references.

use {
    insta::assert_snapshot,
    std::path::Path,
    wigeonramp_config::{
        Deployment, Document,
        api::{Intent, PlanResponse},
        diff,
    },
    wigeonramp_units::{
        CallerId, CollectionId, ConfigVersion, LeafId, MapVersion, MemberId, OpId, Slots,
        SnapshotId, Span, ZoneId,
    },
};

const GULF: &str = include_str!("../../../deployments/gulf.toml");

fn gulf_with(from: &str, to: &str) -> Document {
    assert!(GULF.contains(from));
    let text = GULF.replacen(from, to, 1);
    Deployment::parse(Path::new("gulf.toml"), &text).unwrap().expand()
}

fn gulf() -> Document {
    gulf_with("", "")
}

fn op() -> OpId {
    "op-1".parse().unwrap()
}

fn lines(base: &Document, target: &Document) -> String {
    diff(base, target).iter().map(|change| format!("{change}\n")).collect()
}

#[test]
fn a_diff_names_every_change() {
    let repartitioned = gulf_with(
        "services = 5\n",
        "maps = [{ version = 1, from_snapshot = 0, services = 5 }, { version = 2, \
         from_snapshot = 90, services = 6 }]\n",
    );
    let mut target = repartitioned;
    target.zones.get_mut(&"gulf-b".parse::<ZoneId>().unwrap()).unwrap().region =
        "oklahoma".to_owned();
    target.callers.shift_remove(&"pecos-reports".parse::<CallerId>().unwrap());
    target.members.insert("red-river".parse().unwrap(), Default::default());
    target
        .collections
        .get_mut(&"rush-board".parse::<CollectionId>().unwrap())
        .unwrap()
        .max_deadline = Span::millis(800);
    target.limits.max_body.0 = 1000;
    let leaf = target.leaves.get_mut(&"quote-desk/03/b".parse::<LeafId>().unwrap()).unwrap();
    leaf.address = "127.0.0.1:29999".parse().unwrap();
    assert_snapshot!(lines(&gulf(), &target));
    assert_snapshot!("reversed", lines(&target, &gulf()));
}

#[test]
fn digest_and_diff_agree_on_equality() {
    let base = gulf();
    let mut same = base.clone();
    same.version = ConfigVersion(9);
    same.op = op();
    same.leaves.reverse();
    same.collections.values_mut().for_each(|collection| collection.maps[0].shards.reverse());
    assert_eq!((same.digest(), diff(&base, &same)), (base.digest(), vec![]));

    let mut other = base.clone();
    other.limits.hedge_budget.0 += 1;
    assert_ne!(other.digest(), base.digest());
    assert_eq!(lines(&base, &other), "limit hedge_budget 5 -> 6\n");
}

#[test]
fn a_zone_taken_out_and_in_again_gives_the_same_content() {
    let base = gulf();
    let zone: ZoneId = "gulf-a".parse().unwrap();
    let out = base.apply(&Intent::ZoneOut { zone: zone.clone() }, op()).unwrap();
    assert_eq!((out.version, out.op.clone()), (ConfigVersion(1), op()));
    assert_eq!(lines(&base, &out), "zone gulf-a out\n");
    assert_eq!((base.capacity(), out.capacity()), (Slots(260), Slots(174)));
    let risks = out.coverage_risks();
    let risks = risks.iter().map(|r| format!("{} {} {}", r.collection, r.single, r.uncovered));
    assert_eq!(
        risks.collect::<Vec<_>>(),
        ["invoice-feed 3 0", "mandrel-lookup 7 0", "quote-desk 13 0", "rush-board 20 0"]
    );

    let back = out.apply(&Intent::ZoneIn { zone }, op()).unwrap();
    assert_eq!((back.version, back.digest()), (ConfigVersion(2), base.digest()));
}

#[test]
fn intents_for_unknown_things_are_refused() {
    let zone = Intent::ZoneOut { zone: "gulf-x".parse().unwrap() };
    let leaf = Intent::LeafOut { leaf: "quote-desk/99/a".parse().unwrap() };
    assert_snapshot!(format!(
        "{}\n{}",
        gulf().apply(&zone, op()).unwrap_err(),
        gulf().apply(&leaf, op()).unwrap_err()
    ));
}

#[test]
fn documents_with_broken_references_do_not_pass() {
    type Mutation = fn(&mut Document);
    let cases: [(&str, Mutation); 8] = [
        ("more than the platform stores", |d| {
            let collection = &mut d.collections[0];
            for version in 2..10_000 {
                let mut map = collection.maps[0].clone();
                (map.version, map.from_snapshot) = (MapVersion(version), SnapshotId(version));
                collection.maps.push(map);
            }
        }),
        ("leaf in unknown zone", |d| {
            d.zones.shift_remove(&"gulf-c".parse::<ZoneId>().unwrap());
        }),
        ("leaf of unknown collection", |d| {
            d.collections.shift_remove(&"rush-board".parse::<CollectionId>().unwrap());
        }),
        ("caller of unknown member", |d| {
            d.members.shift_remove(&"sabine-tool".parse::<MemberId>().unwrap());
        }),
        ("shard with unknown leaf", |d| {
            d.leaves.shift_remove(&"quote-desk/00/a".parse::<LeafId>().unwrap());
        }),
        ("replicas in one zone", |d| {
            d.leaves.values_mut().for_each(|leaf| leaf.zone = "gulf-a".parse().unwrap());
        }),
        ("maps out of order", |d| {
            let maps = &mut d.collections[0].maps;
            let mut older = maps[0].clone();
            (older.version, older.from_snapshot) = (MapVersion(1), SnapshotId(5));
            maps.push(older);
        }),
        ("no map", |d| d.collections[0].maps.clear()),
    ];
    let mut table = String::new();
    for (case, mutate) in cases {
        let mut document = gulf();
        mutate(&mut document);
        let err = document.check().err().map_or("ACCEPTED".to_owned(), |err| err.to_string());
        table.push_str(&format!("{case}\n  {err}\n"));
    }
    assert!(!table.contains("ACCEPTED"), "{table}");
    assert_snapshot!(table);
}

#[test]
fn growing_a_collection_keeps_ids_and_addresses() {
    let grown = gulf_with("services = 20\n", "services = 22\n");
    for (id, leaf) in gulf().leaves {
        assert_eq!(grown.leaves.get(&id), Some(&leaf), "{id}");
    }
    assert_eq!(grown.leaves.len(), gulf().leaves.len() + 4);
}

#[test]
fn the_first_declaration_is_a_change_of_the_empty_document() {
    Document::empty().check().unwrap();
    let intent = Intent::Declare { document: Box::new(gulf()) };
    let target = Document::empty().apply(&intent, op()).unwrap();
    assert_snapshot!(lines(&Document::empty(), &target));
}

#[test]
fn a_plan_round_trips_through_its_file() {
    let base = gulf();
    let target = gulf_with("services = 20\n", "services = 21\n");
    let target = base.apply(&Intent::Declare { document: Box::new(target) }, op()).unwrap();
    let plan = PlanResponse {
        id: op(),
        base_version: base.version,
        base_digest: base.digest(),
        changes: diff(&base, &target),
        target,
        cost: Default::default(),
        allow_coverage_loss: false,
    };
    let text = serde_json::to_string(&plan).unwrap();
    let read: PlanResponse = serde_json::from_str(&text).unwrap();
    assert_eq!((read.target.digest(), &read), (plan.target.digest(), &plan));
}
