//! Several instances that share one store in memory. Calls take time, get lost or apply late.

use {
    super::node::{Node, Op, Reply},
    crate::common::document,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
    wigeonramp_config::Document,
    wigeonramp_control::{
        assignment::Assignment, membership::SessionObject, rights::Rights, session::SessionRecord,
    },
    wigeonramp_units::{InstanceId, LeafId, Revision, Span},
};

pub const HOSTS: usize = 6;
pub const TICK: u64 = 100_000;
const LONGEST_CALL: u64 = 400_000;
const LATE: u64 = 9_000_000;

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Pause {
        node: usize,
        ms: u64,
    },
    CutStore {
        node: usize,
        ms: u64,
    },
    CutAll {
        ms: u64,
    },
    /// Hosts in `side` reach neither the store nor the other hosts, but each other.
    Partition {
        side: u32,
        ms: u64,
    },
    CutPeers {
        node: usize,
        ms: u64,
    },
    Restart {
        node: usize,
    },
    Leave {
        node: usize,
    },
    Lossy {
        ms: u64,
    },
}

#[derive(Default)]
pub struct Store {
    pub revision: u64,
    pub sessions: BTreeMap<InstanceId, (SessionRecord, Revision)>,
    pub assignment: Option<(Assignment, Revision)>,
}

impl Store {
    pub fn next(&mut self) -> Revision {
        self.revision += 1;
        Revision(self.revision)
    }

    pub fn list(&self) -> Vec<SessionObject> {
        let seen = |(record, revision): &(SessionRecord, Revision)| SessionObject {
            record: record.clone(),
            revision: *revision,
        };
        self.sessions.values().map(seen).collect()
    }
}

enum Event {
    Apply { node: usize, me: InstanceId, op: Op, answer: bool },
    Answer { node: usize, me: InstanceId, op: Op, reply: Reply },
}

pub struct World {
    pub now: u64,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub document: Document,
    pub full: u64,
    events: BTreeMap<(u64, u64), Event>,
    serial: u64,
    all_cut: u64,
    partition: (u32, u64),
    lossy: u64,
    rng: ChaCha8Rng,
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = (0..HOSTS).map(|n| Node::new(n, &mut rng)).collect();
        let (store, events) = Default::default();
        let document = document(4);
        Self {
            now: 0,
            store,
            nodes,
            document,
            full: 0,
            events,
            serial: 0,
            all_cut: 0,
            partition: (0, 0),
            lossy: 0,
            rng,
        }
    }

    pub fn fault(&mut self, fault: Fault) {
        let until = |ms: u64| self.now + ms * 1_000;
        match fault {
            Fault::Pause { node, ms } => self.nodes[node].paused = until(ms),
            Fault::CutStore { node, ms } => self.nodes[node].store_cut = until(ms),
            Fault::CutAll { ms } => self.all_cut = until(ms),
            Fault::Partition { side, ms } => self.partition = (side, until(ms)),
            Fault::CutPeers { node, ms } => self.nodes[node].peers_cut = until(ms),
            Fault::Restart { node } => self.nodes[node].restart(self.now),
            Fault::Leave { node } => self.nodes[node].leaving = true,
            Fault::Lossy { ms } => self.lossy = until(ms),
        }
    }

    pub fn run(&mut self, span: Span) -> Result<(), String> {
        let end = self.now + span.0;
        while self.now < end {
            self.now += TICK;
            self.deliver()?;
            for n in 0..HOSTS {
                if self.nodes[n].paused <= self.now {
                    let ops = self.nodes[n].act(self.now, &self.document);
                    ops.into_iter().for_each(|op| self.send(n, op));
                }
            }
            self.check()?;
        }
        Ok(())
    }

    fn send(&mut self, node: usize, op: Op) {
        let apply = self.now + self.rng.random_range(0..LONGEST_CALL);
        let me = self.nodes[node].me.clone();
        let loss = if self.lossy > self.now { self.rng.random_range(0..4) } else { 0 };
        let cut = if op.is_peer() {
            let peer = op.peer(&self.nodes);
            self.cut_off(node)
                || peer.is_none_or(|peer| self.cut_off(peer) || self.side(node) != self.side(peer))
        } else {
            self.all_cut > self.now || self.nodes[node].store_cut > self.now || self.side(node)
        };
        let failed = |reply| Event::Answer { node, me: me.clone(), op: op.clone(), reply };
        match loss {
            _ if cut => self.push(apply, failed(Reply::NoEffect)),
            // The answer is lost; the call applies at once, late or never.
            1 => self.push(apply, failed(Reply::Unknown)),
            2 | 3 => {
                let at = if loss == 2 { apply } else { apply + self.rng.random_range(0..LATE) };
                self.push(apply + 1, failed(Reply::Unknown));
                self.push(at, Event::Apply { node, me, op, answer: false });
            }
            _ => self.push(apply, Event::Apply { node, me, op, answer: true }),
        }
    }

    fn side(&self, node: usize) -> bool {
        let (side, until) = self.partition;
        until > self.now && side >> node & 1 == 1
    }

    fn cut_off(&self, node: usize) -> bool {
        self.nodes[node].peers_cut > self.now
    }

    fn push(&mut self, at: u64, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    fn deliver(&mut self) -> Result<(), String> {
        while let Some(entry) = self.events.first_entry() {
            let (at, serial) = *entry.key();
            if at > self.now {
                break;
            }
            match entry.remove() {
                Event::Apply { node, me, op, answer } => self.apply(node, me, op, answer),
                Event::Answer { node, me, op, reply } => {
                    self.answer(serial, node, me, op, reply);
                    self.check()?;
                }
            }
        }
        Ok(())
    }

    fn apply(&mut self, node: usize, me: InstanceId, op: Op, answer: bool) {
        let reply = match op.peer(&self.nodes) {
            Some(peer) if self.nodes[peer].paused > self.now => {
                let resumes = self.nodes[peer].paused;
                return self.push(resumes, Event::Apply { node, me, op, answer });
            }
            Some(peer) => self.nodes[peer].serve(&op, self.now),
            None if op.is_peer() => Reply::NoEffect,
            None => op.apply(&mut self.store),
        };
        if answer {
            let at = self.now + self.rng.random_range(0..LONGEST_CALL);
            self.push(at, Event::Answer { node, me, op, reply });
        }
    }

    fn answer(&mut self, serial: u64, node: usize, me: InstanceId, op: Op, reply: Reply) {
        let target = &mut self.nodes[node];
        if target.me != me {
            return;
        }
        if target.paused > self.now {
            let at = target.paused;
            self.events.insert((at, serial), Event::Answer { node, me, op, reply });
            return;
        }
        let ops = target.answered(op, reply, self.now);
        ops.into_iter().for_each(|op| self.send(node, op));
    }

    /// Names of instances with full rights on `leaf`, paused ones included: they may run again at
    /// any moment.
    pub fn full_holders(&self, leaf: &LeafId) -> Vec<&InstanceId> {
        let full = |node: &&Node| node.rights(leaf, &self.document, self.now) == Rights::Full;
        self.nodes.iter().filter(full).map(|node| &node.me).collect()
    }

    fn check(&mut self) -> Result<(), String> {
        let mut full = 0;
        for leaf in self.document.leaves.keys() {
            let holders = self.full_holders(leaf);
            full += holders.len() as u64;
            if holders.len() > 1 {
                return Err(format!(
                    "{leaf} has the holders {holders:?} at {} ms",
                    self.now / 1_000
                ));
            }
        }
        self.full += full;
        Ok(())
    }
}
