//! Simulation of several instances that share a store in memory. Calls take time, are lost or are
//! applied late. All times are in microseconds of simulated time, those of faults in milliseconds.

use {
    super::node::{Node, Op, Reply},
    crate::common::document,
    rand::{RngExt, SeedableRng},
    rand_chacha::ChaCha8Rng,
    std::collections::BTreeMap,
    wigeonramp_config::Document,
    wigeonramp_control::{
        assignment::Assignment, membership::SessionObject, rights::RightsDecision,
        session::SessionRecord,
    },
    wigeonramp_units::{InstanceId, LeafId, Revision, Span},
};

pub const HOSTS: usize = 6;
pub const TICK: u64 = 100_000;
const MAX_CALL_DELAY: u64 = 400_000;
const MAX_LATE_DELAY: u64 = 9_000_000;

#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Pause {
        node: usize,
        ms: u64,
    },
    StoreUnreachable {
        node: usize,
        ms: u64,
    },
    StoreOutage {
        ms: u64,
    },
    /// The hosts in the bit set `isolated` reach each other, but neither the store nor the other
    /// hosts.
    Partition {
        isolated: u32,
        ms: u64,
    },
    PeersUnreachable {
        node: usize,
        ms: u64,
    },
    Restart {
        node: usize,
    },
    Leave {
        node: usize,
    },
    MessageLoss {
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
    // A call takes effect; its reply is lost unless `deliver_reply` is set.
    Apply { node: usize, instance: InstanceId, op: Op, deliver_reply: bool },
    // A reply, or the failure of a call, reaches the calling node.
    Reply { node: usize, instance: InstanceId, op: Op, reply: Reply },
}

pub struct World {
    pub now: u64,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub document: Document,
    // How often some instance was seen with full rights on a leaf.
    pub full_rights_seen: u64,
    // Events by their time and a sequence number.
    events: BTreeMap<(u64, u64), Event>,
    seq: u64,
    store_outage_until: u64,
    // The isolated hosts, and when the partition ends.
    partition: (u32, u64),
    message_loss_until: u64,
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
            full_rights_seen: 0,
            events,
            seq: 0,
            store_outage_until: 0,
            partition: (0, 0),
            message_loss_until: 0,
            rng,
        }
    }

    pub fn fault(&mut self, fault: Fault) {
        let until = |ms: u64| self.now + ms * 1_000;
        match fault {
            Fault::Pause { node, ms } => self.nodes[node].paused_until = until(ms),
            Fault::StoreUnreachable { node, ms } => {
                self.nodes[node].store_unreachable_until = until(ms)
            }
            Fault::StoreOutage { ms } => self.store_outage_until = until(ms),
            Fault::Partition { isolated, ms } => self.partition = (isolated, until(ms)),
            Fault::PeersUnreachable { node, ms } => {
                self.nodes[node].peers_unreachable_until = until(ms)
            }
            Fault::Restart { node } => self.nodes[node].restart(self.now),
            Fault::Leave { node } => self.nodes[node].leaving = true,
            Fault::MessageLoss { ms } => self.message_loss_until = until(ms),
        }
    }

    pub fn run(&mut self, span: Span) -> Result<(), String> {
        let end = self.now + span.0;
        while self.now < end {
            self.now += TICK;
            self.deliver()?;
            for n in 0..HOSTS {
                if self.nodes[n].paused_until <= self.now {
                    let ops = self.nodes[n].act(self.now, &self.document);
                    ops.into_iter().for_each(|op| self.send(n, op));
                }
            }
            self.check()?;
        }
        Ok(())
    }

    fn send(&mut self, node: usize, op: Op) {
        let apply = self.now + self.rng.random_range(0..MAX_CALL_DELAY);
        let instance = self.nodes[node].instance.clone();
        let fault =
            if self.message_loss_until > self.now { self.rng.random_range(0..4) } else { 0 };
        let unreachable = if op.is_peer() {
            let peer = op.peer(&self.nodes);
            self.peers_unreachable(node)
                || peer.is_none_or(|peer| {
                    self.peers_unreachable(peer) || self.is_isolated(node) != self.is_isolated(peer)
                })
        } else {
            self.store_outage_until > self.now
                || self.nodes[node].store_unreachable_until > self.now
                || self.is_isolated(node)
        };
        let failure =
            |reply| Event::Reply { node, instance: instance.clone(), op: op.clone(), reply };
        match fault {
            _ if unreachable => self.push(apply, failure(Reply::NoEffect)),
            // The reply is lost, and the call is never applied (1), applied in time (2) or applied
            // late (3).
            1 => self.push(apply, failure(Reply::Unknown)),
            2 | 3 => {
                let at = if fault == 2 {
                    apply
                } else {
                    apply + self.rng.random_range(0..MAX_LATE_DELAY)
                };
                self.push(apply + 1, failure(Reply::Unknown));
                self.push(at, Event::Apply { node, instance, op, deliver_reply: false });
            }
            _ => self.push(apply, Event::Apply { node, instance, op, deliver_reply: true }),
        }
    }

    fn is_isolated(&self, node: usize) -> bool {
        let (isolated, until) = self.partition;
        until > self.now && isolated >> node & 1 == 1
    }

    fn peers_unreachable(&self, node: usize) -> bool {
        self.nodes[node].peers_unreachable_until > self.now
    }

    fn push(&mut self, at: u64, event: Event) {
        self.seq += 1;
        self.events.insert((at, self.seq), event);
    }

    fn deliver(&mut self) -> Result<(), String> {
        while let Some(entry) = self.events.first_entry() {
            let (at, seq) = *entry.key();
            if at > self.now {
                break;
            }
            match entry.remove() {
                Event::Apply { node, instance, op, deliver_reply } => {
                    self.apply(node, instance, op, deliver_reply)
                }
                Event::Reply { node, instance, op, reply } => {
                    self.deliver_reply(seq, node, instance, op, reply);
                    self.check()?;
                }
            }
        }
        Ok(())
    }

    fn apply(&mut self, node: usize, instance: InstanceId, op: Op, deliver_reply: bool) {
        let reply = match op.peer(&self.nodes) {
            Some(peer) if self.nodes[peer].paused_until > self.now => {
                let resumes = self.nodes[peer].paused_until;
                return self.push(resumes, Event::Apply { node, instance, op, deliver_reply });
            }
            Some(peer) => self.nodes[peer].serve(&op, self.now),
            None if op.is_peer() => Reply::NoEffect,
            None => op.apply(&mut self.store),
        };
        if deliver_reply {
            let at = self.now + self.rng.random_range(0..MAX_CALL_DELAY);
            self.push(at, Event::Reply { node, instance, op, reply });
        }
    }

    fn deliver_reply(&mut self, seq: u64, node: usize, instance: InstanceId, op: Op, reply: Reply) {
        let target = &mut self.nodes[node];
        if target.instance != instance {
            return;
        }
        if target.paused_until > self.now {
            let at = target.paused_until;
            self.events.insert((at, seq), Event::Reply { node, instance, op, reply });
            return;
        }
        let ops = target.on_reply(op, reply, self.now);
        ops.into_iter().for_each(|op| self.send(node, op));
    }

    /// Returns the instances with full rights on `leaf`, including paused ones: they may resume at
    /// any time.
    pub fn full_holders(&self, leaf: &LeafId) -> Vec<&InstanceId> {
        let full =
            |node: &&Node| node.rights(leaf, &self.document, self.now) == RightsDecision::Full;
        self.nodes.iter().filter(full).map(|node| &node.instance).collect()
    }

    fn check(&mut self) -> Result<(), String> {
        let mut full = 0;
        for leaf in self.document.leaves.keys() {
            let holders = self.full_holders(leaf);
            full += holders.len() as u64;
            if holders.len() > 1 {
                return Err(format!(
                    "{leaf} has several full holders {holders:?} at {} ms",
                    self.now / 1_000
                ));
            }
        }
        self.full_rights_seen += full;
        Ok(())
    }
}
