//! Hosts and leaves whose only shared resource is the connections that a leaf accepts.

use {
    super::common::SEED,
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BinaryHeap, VecDeque},
        fmt::{Display, Formatter, Result},
    },
    wigeonramp_routing::connections::{Admission, ConnectionRoom, ConnectionShare, HostCounts},
    wigeonramp_units::{Instant, Span},
};

const REPLICAS: usize = 3;
const SLOTS: usize = 2;
/// One way between host and leaf, and the time of one request at a leaf.
const WAY: Span = Span::millis(3);
const WORK: Span = Span::millis(15);
/// Leaves pause for a while at these intervals.
const PAUSE: Span = Span::millis(100);
const PAUSE_INTERVAL: Span = Span::millis(2_400);
/// Queue length from which a leaf accepts fewer connections, and the share that it still accepts.
const LONG_QUEUE: usize = 8;
const SHARE_IN_LONG_QUEUE: f64 = 0.6;
const IDLE_TIMEOUT: Span = Span::secs(20);
/// Time for which a host avoids a leaf after a lost request; doubles with each further one.
const BACKOFF: Span = Span::millis(400);
const MAX_BACKOFF: Span = Span::secs(4);
const QUEUE_TIMEOUT: Span = Span::millis(200);
const SWEEP: Span = Span::millis(200);
/// Until then all hosts are used alike.
const START: Span = Span::secs(2);
/// Requests arrive at this many times the usual rate in the start and in a later burst.
const BURST_FACTOR: u64 = 4;
const BURST: [Span; 2] = [Span::secs(10), Span::secs(12)];
/// Interval at which the traffic of a third of the active hosts moves to other hosts.
const MOVE_INTERVAL: Span = Span::secs(5);
/// Hosts know four others at first, and all after this time.
const GOSSIP_TIME: Span = Span::secs(1);
const SETTLED: Span = Span::secs(4);
const PHASES: [Span; 2] = [Span::secs(5), Span::secs(20)];

#[derive(Clone, Copy)]
pub struct Deployment {
    pub hosts: usize,
    pub active: usize,
    pub shards: usize,
    pub limit: u32,
    pub gathers_per_s: u64,
    pub singles_per_s: u64,
}

/// How hosts limit their connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Rule {
    /// An equal share of 0.8 of the limit, two at least.
    Fixed,
    /// The rule of the product.
    Learning,
}

#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    opened: usize,
    over: usize,
    peak: usize,
    singles: usize,
    singles_lost: usize,
    singles_refused: usize,
    parts: usize,
    parts_lost: usize,
    parts_refused: usize,
}

impl Counts {
    pub const HEADER: &str = "opened   over  peak  singles lost refused  parts  lost refused";
}

impl Display for Counts {
    fn fmt(&self, f: &mut Formatter<'_>) -> Result {
        write!(f, "{:6} {:6} {:5} ", self.opened, self.over, self.peak)?;
        write!(f, "{:8} {:4} {:7} ", self.singles, self.singles_lost, self.singles_refused)?;
        write!(f, "{:6} {:5} {:7}", self.parts, self.parts_lost, self.parts_refused)
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Sweep,
    Gather,
    Single,
    Connected { host: usize, leaf: usize, job: Job },
    Reset { host: usize, leaf: usize, job: Job },
    Done { leaf: usize },
    Answered { host: usize, leaf: usize, is_first: bool },
}

/// One part of a request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Job {
    shard: usize,
    is_single: bool,
    /// Number of leaves tried.
    tried: usize,
}

/// Connections of one host to one leaf.
#[derive(Clone, Default)]
struct Link {
    room: ConnectionRoom,
    open: usize,
    /// Since when connections are idle, the most recently used last.
    idle: Vec<Instant>,
    queue: VecDeque<(Instant, Job)>,
    backoff_until: Instant,
    /// Backoffs since the last response.
    backoffs: u32,
}

impl Link {
    fn wait(&self, now: Instant) -> Span {
        self.room.wait(now).max(self.backoff_until.since(now))
    }

    fn back_off(&mut self, now: Instant) {
        if now >= self.backoff_until {
            self.backoff_until = now + (BACKOFF * (1 << self.backoffs.min(4))).min(MAX_BACKOFF);
            self.backoffs += 1;
        }
    }
}

#[derive(Clone, Default)]
struct Leaf {
    accepted: usize,
    queued: usize,
    free_at: [Instant; SLOTS],
}

struct Fleet {
    deployment: Deployment,
    rule: Rule,
    links: Vec<Vec<Link>>,
    leaves: Vec<Leaf>,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    serial: u64,
    now: Instant,
    /// Draws the arrivals, which are the same with each rule.
    arrivals: SmallRng,
    rng: SmallRng,
    counts: Counts,
}

/// Returns the counts of each phase.
pub fn simulate(deployment: Deployment, rule: Rule) -> [Counts; 2] {
    let leaves = deployment.shards * REPLICAS;
    let mut fleet = Fleet {
        deployment,
        rule,
        links: vec![vec![Link::default(); leaves]; deployment.hosts],
        leaves: vec![Leaf::default(); leaves],
        events: BinaryHeap::new(),
        serial: 0,
        now: Instant(0),
        arrivals: SmallRng::seed_from_u64(SEED),
        rng: SmallRng::seed_from_u64(SEED + 1),
        counts: Counts::default(),
    };
    for event in [Event::Sweep, Event::Gather, Event::Single] {
        fleet.add(Span::ZERO, event);
    }
    PHASES.map(|end| {
        fleet.run(Instant(0) + end);
        std::mem::take(&mut fleet.counts)
    })
}

impl Fleet {
    fn add(&mut self, delay: Span, event: Event) {
        self.serial += 1;
        self.events.push(Reverse((self.now + delay, self.serial, event)));
    }

    fn run(&mut self, end: Instant) {
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at < end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { return };
            self.now = at;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Sweep => self.sweep(),
            Event::Gather => {
                let host = self.host();
                (0..self.deployment.shards).for_each(|shard| self.start(host, shard, false));
                self.add_arrival(self.deployment.gathers_per_s, event);
            }
            Event::Single => {
                let (host, shard) =
                    (self.host(), self.arrivals.random_range(0..self.deployment.shards));
                self.start(host, shard, true);
                self.add_arrival(self.deployment.singles_per_s, event);
            }
            Event::Connected { host, leaf, job } => self.on_connected(host, leaf, job),
            Event::Reset { host, leaf, job } => self.on_reset(host, leaf, job),
            Event::Done { leaf } => self.leaves[leaf].queued -= 1,
            Event::Answered { host, leaf, is_first } => self.on_answered(host, leaf, is_first),
        }
    }

    fn is_start(&self) -> bool {
        self.now < Instant(0) + START
    }

    fn is_burst(&self) -> bool {
        let [from, until] = BURST.map(|time| Instant(0) + time);
        self.is_start() || (from..until).contains(&self.now)
    }

    /// Returns the first of the active hosts, which are consecutive.
    fn first_active(&self) -> usize {
        (self.now.0 / MOVE_INTERVAL.0) as usize * self.deployment.active / 3
    }

    fn is_active(&self, host: usize) -> bool {
        let hosts = self.deployment.hosts;
        (host + hosts - self.first_active() % hosts) % hosts < self.deployment.active
    }

    fn add_arrival(&mut self, per_second: u64, event: Event) {
        let rate = per_second * if self.is_burst() { BURST_FACTOR } else { 1 };
        let gap = self.arrivals.random_range(0..2_000_000 / rate);
        self.add(Span(gap), event);
    }

    fn host(&mut self) -> usize {
        let Deployment { hosts, active, .. } = self.deployment;
        if self.is_start() || self.arrivals.random_bool(0.05) {
            return self.arrivals.random_range(0..hosts);
        }
        (self.first_active() + self.arrivals.random_range(0..active)) % hosts
    }

    fn start(&mut self, host: usize, shard: usize, is_single: bool) {
        self.counts.singles += usize::from(is_single);
        self.counts.parts += usize::from(!is_single);
        self.send(host, Job { shard, is_single, tried: 0 });
    }

    /// Sends a job to a random leaf of its shard that was not tried, those without room last.
    fn send(&mut self, host: usize, job: Job) {
        if job.tried >= REPLICAS {
            self.counts.singles_refused += usize::from(job.is_single);
            self.counts.parts_refused += usize::from(!job.is_single);
            return;
        }
        let first = self.rng.random_range(0..REPLICAS);
        let of_shard = (0..REPLICAS).map(|n| job.shard * REPLICAS + (first + n) % REPLICAS);
        let leaf = of_shard.min_by_key(|leaf| self.links[host][*leaf].wait(self.now));
        let leaf = leaf.expect("a shard has leaves");
        if self.links[host][leaf].idle.pop().is_some() {
            return self.work(host, leaf, false);
        }
        match self.admit(host, leaf) {
            Admission::Open => self.open(host, leaf, job),
            Admission::Wait => self.links[host][leaf].queue.push_back((self.now, job)),
            Admission::Elsewhere => self.send(host, Job { tried: job.tried + 1, ..job }),
        }
    }

    fn hosts(&self, host: usize) -> HostCounts {
        let Deployment { hosts, active, .. } = self.deployment;
        let met = self.now.0 as usize * hosts / GOSSIP_TIME.0 as usize;
        let known = (5 + met).min(hosts);
        let is_settled = self.now >= Instant(0) + SETTLED;
        let (active, is_active) =
            if is_settled { (active, self.is_active(host)) } else { (known, true) };
        HostCounts { known, active, is_active, is_settled }
    }

    fn admit(&self, host: usize, leaf: usize) -> Admission {
        let (hosts, link) = (self.hosts(host), &self.links[host][leaf]);
        if self.rule == Rule::Learning {
            return link.room.admit(ConnectionShare::new(self.deployment.limit, hosts), self.now);
        }
        let limit = (f64::from(self.deployment.limit) * 0.8 / hosts.active as f64) as usize;
        if link.open < limit.max(2) { Admission::Open } else { Admission::Wait }
    }

    fn open(&mut self, host: usize, leaf: usize, job: Job) {
        let link = &mut self.links[host][leaf];
        link.open += 1;
        link.room.on_opened();
        self.counts.opened += 1;
        self.add(WAY * 2, Event::Connected { host, leaf, job });
    }

    fn on_connected(&mut self, host: usize, leaf: usize, job: Job) {
        let mut limit = f64::from(self.deployment.limit);
        if self.leaves[leaf].queued > LONG_QUEUE {
            limit *= SHARE_IN_LONG_QUEUE;
        }
        if self.leaves[leaf].accepted >= limit as usize {
            self.counts.over += 1;
            return self.add(WAY, Event::Reset { host, leaf, job });
        }
        self.leaves[leaf].accepted += 1;
        self.counts.peak = self.counts.peak.max(self.leaves[leaf].accepted);
        self.work(host, leaf, true);
    }

    /// The request was written as soon as the connection was established, so it is lost.
    fn on_reset(&mut self, host: usize, leaf: usize, job: Job) {
        let is_short = ConnectionShare::new(self.deployment.limit, self.hosts(host)).is_short();
        let link = &mut self.links[host][leaf];
        link.open -= 1;
        link.room.on_closed();
        link.back_off(self.now);
        if is_short && self.rule == Rule::Learning {
            link.room.on_reset(self.now, &mut self.rng);
        }
        self.counts.singles_lost += usize::from(job.is_single);
        self.counts.parts_lost += usize::from(!job.is_single);
        self.send_queued(host, leaf);
    }

    fn work(&mut self, host: usize, leaf: usize, is_first: bool) {
        let now = self.now;
        let state = &mut self.leaves[leaf];
        state.queued += 1;
        let slot = usize::from(state.free_at[1] < state.free_at[0]);
        let start = state.free_at[slot].max(now);
        let phase = Span((start.0 + leaf as u64 * 77_777) % PAUSE_INTERVAL.0);
        let end = start + (PAUSE - phase) + WORK;
        state.free_at[slot] = end;
        self.add(end.since(now), Event::Done { leaf });
        self.add(end.since(now) + WAY, Event::Answered { host, leaf, is_first });
    }

    fn on_answered(&mut self, host: usize, leaf: usize, is_first: bool) {
        let link = &mut self.links[host][leaf];
        link.room.on_answered(is_first);
        link.backoffs = 0;
        link.idle.push(self.now);
        self.send_queued(host, leaf);
    }

    fn send_queued(&mut self, host: usize, leaf: usize) {
        while let Some((since, job)) = self.links[host][leaf].queue.front().copied() {
            let link = &mut self.links[host][leaf];
            if self.now.since(since) >= QUEUE_TIMEOUT {
                link.queue.pop_front();
                self.send(host, Job { tried: job.tried + 1, ..job });
            } else if link.idle.pop().is_some() {
                link.queue.pop_front();
                self.work(host, leaf, false);
            } else {
                match self.admit(host, leaf) {
                    Admission::Wait => return,
                    Admission::Open => {
                        self.links[host][leaf].queue.pop_front();
                        self.open(host, leaf, job);
                    }
                    Admission::Elsewhere => {
                        self.links[host][leaf].queue.pop_front();
                        self.send(host, Job { tried: job.tried + 1, ..job });
                    }
                }
            }
        }
    }

    fn sweep(&mut self) {
        for host in 0..self.links.len() {
            let share = ConnectionShare::new(self.deployment.limit, self.hosts(host));
            for leaf in 0..self.leaves.len() {
                self.close_idle(host, leaf, share);
                self.send_queued(host, leaf);
            }
        }
        self.add(SWEEP, Event::Sweep);
    }

    fn close_idle(&mut self, host: usize, leaf: usize, share: ConnectionShare) {
        let (now, link) = (self.now, &mut self.links[host][leaf]);
        let is_learning = self.rule == Rule::Learning;
        let limit = share.max_idle().filter(|_| is_learning).unwrap_or(IDLE_TIMEOUT);
        let closed = link.idle.extract_if(.., |since| now.since(*since) >= limit);
        let closed = closed.count();
        link.open -= closed;
        (0..closed).for_each(|_| link.room.on_closed());
        self.leaves[leaf].accepted -= closed;
    }
}
