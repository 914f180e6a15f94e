//! Tests of placement: loads are even and stable, replicas of a shard are on different hosts, the
//! number of concurrent handovers is bounded, and the assignment fits into one value of the store.

mod common;

use {
    common::{SESSION, document, id, record, take_out},
    std::collections::{BTreeMap, BTreeSet},
    wigeonramp_config::Document,
    wigeonramp_control::{
        assignment::{AssignInput, AssignStep, Assigner, AssignerSettings, Assignment},
        membership::{Membership, SessionObject},
        promise::{PromiseAnswer, PromiseIssuer, PromiseRefusal, RequestedPromise},
    },
    wigeonramp_units::{InstanceId, Instant, LeafId, Revision, Span},
};

const MAX_HANDOVERS: usize = 8;
const STORE_VALUE_LIMIT: usize = 1_000_000;

/// A fleet with one assigner, whose clock advances by one second per step.
struct Fleet {
    document: Document,
    // All instances with a session, and whether they are leaving.
    live: BTreeMap<InstanceId, bool>,
    silent: BTreeSet<InstanceId>,
    membership: Membership,
    assigner: Assigner,
    issuer: PromiseIssuer,
    current: Option<Assignment>,
    now: Instant,
    counter: u64,
    max_open: usize,
}

impl Fleet {
    fn new(hosts: usize, shards: usize) -> Self {
        let settings = AssignerSettings {
            session_time: SESSION,
            max_handovers: MAX_HANDOVERS,
            promise_horizon: SESSION * 10,
        };
        let assigner: InstanceId = id("h0@1");
        let now = Instant(1_000_000_000);
        Self {
            document: document(shards),
            live: (0..hosts).map(|n| (id(&format!("h{n}@1")), false)).collect(),
            silent: BTreeSet::new(),
            membership: Membership::new(SESSION, now),
            assigner: Assigner::new(assigner.clone(), settings),
            issuer: PromiseIssuer::new(assigner, SESSION, settings.promise_horizon),
            current: None,
            now,
            counter: 1,
            max_open: 0,
        }
    }

    fn sessions(&self) -> Vec<SessionObject> {
        let session = |(id, leaving): (&InstanceId, &bool)| {
            let n: usize = id.host().as_str()[1..].parse().unwrap();
            let counter = if self.silent.contains(id) { 1 } else { self.counter };
            let mut record = record(id, ["a", "b", "c"][n % 3], counter);
            record.leaving = *leaving;
            record.settled = self.current.as_ref().map(|c| c.version).unwrap_or_default();
            SessionObject { record, revision: Revision(counter) }
        };
        self.live.iter().map(session).collect()
    }

    /// Runs one step per second; all handovers finish before the next step.
    fn run(&mut self, seconds: usize) {
        for _ in 0..seconds {
            self.now = self.now + Span::secs(1);
            self.counter += 1;
            self.membership.on_session_list(self.now, self.sessions(), self.now);
            let view = &self.membership.view(self.now);
            let current = self.current.as_ref();
            let op = id(&format!("op-{}", self.counter));
            let input = AssignInput { current, view, document: &self.document, op, now: self.now };
            match self.assigner.step(&input, &mut self.issuer) {
                AssignStep::Nothing => {}
                AssignStep::Fence(fences) => {
                    self.live.retain(|id, _| fences.iter().all(|fence| fence.instance != *id));
                }
                AssignStep::Write(next) | AssignStep::TakeRole(next) => {
                    let open = next.holdings.values().filter(|h| h.from.is_some()).count();
                    self.max_open = self.max_open.max(open);
                    self.current = Some(next);
                }
            }
        }
    }

    fn current(&self) -> &Assignment {
        self.current.as_ref().unwrap()
    }

    /// Returns the smallest and the largest number of leaves of an instance.
    fn loads(&self) -> (usize, usize) {
        let loads = self.live.keys().map(|id| self.current().leaf_count(id));
        (loads.clone().min().unwrap(), loads.max().unwrap())
    }

    /// Returns the number of shards with both replicas on one host, and in one zone.
    fn colocated(&self) -> (usize, usize) {
        let zone = |id: &InstanceId| id.host().as_str()[1..].parse::<usize>().unwrap() % 3;
        let maps = &self.document.collections[0].maps;
        let holder = |leaf: &LeafId| &self.current().holdings[leaf].instance;
        let pairs = maps[0].shards.values().map(|pair| (holder(&pair[0]), holder(&pair[1])));
        let hosts = pairs.clone().filter(|(a, b)| a == b).count();
        (hosts, pairs.filter(|(a, b)| zone(a) == zone(b)).count())
    }

    /// Returns the old holder of each leaf that moved since `old`.
    fn moved_since<'a>(&self, old: &'a Assignment) -> Vec<&'a InstanceId> {
        let moved = old
            .holdings
            .iter()
            .filter(|(leaf, holding)| self.current().holdings[*leaf].instance != holding.instance);
        moved.map(|(_, holding)| &holding.instance).collect()
    }
}

#[test]
fn first_placement_is_even_and_separates_replicas() {
    let mut fleet = Fleet::new(18, 125);
    fleet.run(20);
    let (least, most) = fleet.loads();
    assert!(least >= 10 && most <= 18, "250 leaves on 18 hosts: {least} to {most}");
    assert_eq!(fleet.colocated(), (0, 0));
    let zones: BTreeSet<_> = fleet
        .current()
        .assigner_ids()
        .map(|id| id.host().as_str()[1..].parse::<usize>().unwrap() % 3)
        .collect();
    assert_eq!((fleet.current().assigners.len(), zones.len()), (5, 3));
}

#[test]
fn a_lost_host_moves_only_its_leaves_and_a_second_step_changes_nothing() {
    let mut fleet = Fleet::new(18, 125);
    fleet.run(60);
    let old = fleet.current().clone();
    let lost: InstanceId = id("h7@1");
    fleet.silent.insert(lost.clone());
    fleet.run(5);
    assert_eq!(fleet.moved_since(&old).len(), 0, "moved before the takeover time");
    fleet.run(4);
    let moved = fleet.moved_since(&old);
    assert_eq!(moved.len(), old.leaf_count(&lost));
    assert!(moved.iter().all(|from| **from == lost));
    let taken = fleet.current().holdings.values().filter(|h| h.taken_over).count();
    assert_eq!(taken, old.leaf_count(&lost));
    let version = fleet.current().version;
    fleet.run(30);
    assert_eq!(fleet.current().version, version, "the assignment keeps changing");
}

#[test]
fn a_new_host_gets_its_share_by_a_bounded_number_of_hand_overs() {
    let mut fleet = Fleet::new(18, 125);
    fleet.run(60);
    let old = fleet.current().clone();
    fleet.live.insert(id("h18@1"), false);
    fleet.run(60);
    assert!(fleet.moved_since(&old).len() <= 14);
    assert_eq!(fleet.current().leaf_count(&id("h18@1")), 13);
    assert!(fleet.max_open <= MAX_HANDOVERS, "{} handovers at once", fleet.max_open);
    assert!(fleet.current().holdings.values().all(|h| !h.taken_over && h.from.is_none()));
}

#[test]
fn leaving_hosts_and_zones_taken_out_are_emptied_by_hand_over() {
    let mut fleet = Fleet::new(18, 125);
    fleet.run(60);
    fleet.live.insert(id("h4@1"), true);
    take_out(&mut fleet.document, "b");
    fleet.run(120);
    let in_b = |id: &&InstanceId| id.host().as_str()[1..].parse::<usize>().unwrap() % 3 == 1;
    let left: usize = fleet.live.keys().filter(in_b).map(|id| fleet.current().leaf_count(id)).sum();
    assert_eq!(left, 0);
    assert!(fleet.max_open <= MAX_HANDOVERS);
    assert_eq!(fleet.colocated().0, 0, "replicas share a host");
    assert!(fleet.current().holdings.values().all(|holding| !holding.taken_over));
    assert!(!fleet.current().is_assigner(&id("h4@1")));
}

#[test]
fn the_assignment_of_570_hosts_and_3000_leaves_fits_into_one_value() {
    let mut fleet = Fleet::new(570, 1_500);
    fleet.run(6);
    assert_eq!(fleet.current().holdings.len(), 3_000);
    let size = serde_json::to_string(fleet.current()).unwrap().len();
    assert!(size < STORE_VALUE_LIMIT / 2, "{size} bytes with short ids");
    assert!(fleet.loads().1 <= 7, "{:?}", fleet.loads());
    assert_eq!(fleet.colocated(), (0, 0));
}

#[test]
fn an_open_promise_delays_the_takeover() {
    let mut fleet = Fleet::new(6, 4);
    fleet.run(20);
    let holder: InstanceId = id("h3@1");
    fleet.silent.insert(holder.clone());
    fleet.run(4);
    let known_version = fleet.current().version;
    let request = RequestedPromise {
        holder: holder.clone(),
        assigner: id("h0@1"),
        known_version,
        term: SESSION,
    };
    assert_eq!(fleet.issuer.answer(&request, Some(fleet.now), fleet.now), PromiseAnswer::Granted);
    fleet.run(4);
    assert!(fleet.live.contains_key(&holder), "fenced despite an open promise");
    let repeated = fleet.issuer.answer(&request, Some(fleet.now), fleet.now);
    assert_eq!(repeated, PromiseAnswer::Refused(PromiseRefusal::TakeoverPrepared));
    fleet.run(4);
    assert_eq!(fleet.current().leaf_count(&holder), 0);
}
