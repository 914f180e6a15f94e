//! Hosts, a network between them and one leaf that names a limit, under simulated time.

use {
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap},
        net::Ipv4Addr,
    },
    wigeonramp_routing::{
        leaf::LeafInstance,
        limits::{
            LeafLimits, LimitHosts,
            messages::{LimitMessage, Outgoing},
            statement::NamedLimit,
        },
    },
    wigeonramp_units::{Instant, RequestRate, Span},
};

/// Length of the windows in which the leaf counts requests.
pub const WINDOW: Span = Span::secs(4);
/// Time that a host has to act on a limit.
pub const REACTION_TIME: Span = Span::millis(500);
/// Requests allowed in a window beyond one and a half times the limit.
const SLACK: f64 = 5.0;
/// Time that the leaf takes for a request.
const WORK: Span = Span::millis(20);
/// Time after which a host that is not reached counts as lost.
const LOST_AFTER: Span = Span::secs(4);
/// Longest time after which a host that starts is known to another one.
const DISCOVERY_TIME: Span = Span::millis(1_500);
/// Number of hosts that may be allocators, from the first on.
const CANDIDATES: usize = 18;
/// Shortest and longest time of a message, in microseconds.
const TRANSIT_US: std::ops::Range<u64> = 200..3_000;
/// Time for which a request waits for a permit.
const PATIENCE: Span = Span::millis(20);
/// Share of messages that are lost.
const LOSS: f64 = 0.005;

/// Time for which what hosts know of each other is not looked up again.
const VIEW_INTERVAL: Span = Span::millis(100);

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250) as u8)
}

fn host_number(ip: Ipv4Addr) -> usize {
    let [_, _, high, low] = ip.octets();
    usize::from(high) * 250 + usize::from(low)
}

/// How hosts divide the limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Sharing {
    /// By permits of an allocator.
    Permits,
    /// Each host has the same part.
    FixedShare,
    /// Each host has a part in proportion to its own demand of the last seconds, which all hosts
    /// know exactly.
    DemandShare,
}

struct Host {
    ip: Ipv4Addr,
    limits: LeafLimits,
    /// Requests per second that want the leaf.
    demand: f64,
    is_up: bool,
    is_frozen: bool,
    is_stopping: bool,
    /// Side of the network on which the host is.
    side: u8,
    /// Time of the last change of `is_up` or `is_frozen`.
    changed_at: Instant,
    tokens: f64,
    tokens_at: Instant,
    /// Distinguishes the processes of the host.
    process: u64,
    /// Numbers of requests that wait for a permit.
    waiting: Vec<u64>,
    /// Messages that arrived while the host was suspended, with their senders.
    buffered: Vec<(usize, LimitMessage)>,
}

enum Event {
    Request { host: usize, process: u64 },
    Response { host: usize, process: u64, asked: Instant, named: NamedLimit },
    Message { from: usize, to: usize, message: LimitMessage },
    Poll { host: usize, process: u64 },
    GiveUp { host: usize, process: u64, number: u64 },
}

/// Hosts that send to one limited leaf.
pub struct Fleet {
    pub now: Instant,
    pub sharing: Sharing,
    /// Requests that the leaf got, with the host.
    pub arrivals: Vec<(Instant, usize)>,
    /// Requests that found no permit.
    pub denied: u64,
    /// Messages between hosts.
    pub messages: u64,
    hosts: Vec<Host>,
    leaf: LeafInstance,
    limit: Option<f64>,
    partitioned_at: Option<Instant>,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    next_event: u64,
    rng: SmallRng,
    /// What the hosts of each side know of the others, and when that was found out.
    views: BTreeMap<u8, (Instant, LimitHosts)>,
}

pub fn leaf() -> LeafInstance {
    LeafInstance { id: "i-1".parse().expect("a leaf id"), born: Some(1) }
}

fn rate(per_second: f64) -> RequestRate {
    RequestRate::new(per_second).expect("a rate")
}

impl Fleet {
    /// Starts a host for each number of requests per second.
    pub fn new(demands: &[f64], sharing: Sharing, seed: u64) -> Self {
        let now = Instant(1_000_000_000);
        let mut fleet = Self {
            now,
            sharing,
            arrivals: Vec::new(),
            denied: 0,
            messages: 0,
            hosts: Vec::new(),
            leaf: leaf(),
            limit: None,
            partitioned_at: None,
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_event: 0,
            views: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
        };
        for (n, demand) in demands.iter().enumerate() {
            let ip = address(n);
            fleet.hosts.push(Host {
                ip,
                limits: LeafLimits::new(ip, now.0),
                demand: *demand,
                is_up: true,
                is_frozen: false,
                is_stopping: false,
                side: 0,
                changed_at: Instant(0),
                tokens: 0.0,
                tokens_at: now,
                process: 0,
                buffered: Vec::new(),
                waiting: Vec::new(),
            });
            fleet.schedule_request(n);
        }
        fleet
    }

    /// Sets the limit that the leaf names from now on.
    pub fn name_limit(&mut self, limit: Option<f64>) {
        self.limit = limit;
    }

    /// Sets the requests per second that want the leaf at a host.
    pub fn set_demand(&mut self, host: usize, demand: f64) {
        let had_none = self.hosts[host].demand == 0.0;
        self.hosts[host].demand = demand;
        if had_none {
            self.schedule_request(host);
        }
    }

    /// Kills a host.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].is_up = false;
        self.hosts[host].process += 1;
        self.hosts[host].changed_at = self.now;
    }

    /// Starts a host that was killed or stopped.
    pub fn start(&mut self, host: usize) {
        let now = self.now;
        let known = &mut self.hosts[host];
        known.is_up = true;
        known.is_stopping = false;
        known.changed_at = now;
        known.process += 1;
        known.limits = LeafLimits::new(known.ip, now.0);
        known.waiting.clear();
        self.schedule_request(host);
        // Hosts that hear of a new host tell it of the limits that they know.
        let mut news = Vec::new();
        for from in (0..self.hosts.len()).filter(|from| *from != host).take(3) {
            for known in self.hosts[from].limits.news(now) {
                news.push((from, LimitMessage::News(known)));
            }
        }
        for (from, message) in news {
            self.send(from, host, message);
        }
    }

    /// Tells a host to stop; its callers leave, and it ends when `kill` is called.
    pub fn stop(&mut self, host: usize) {
        self.hosts[host].is_stopping = true;
        self.hosts[host].limits.stop_allocating();
    }

    /// Suspends or resumes a host.
    pub fn set_frozen(&mut self, host: usize, is_frozen: bool) {
        self.hosts[host].is_frozen = is_frozen;
        self.hosts[host].changed_at = self.now;
        if !is_frozen {
            for (from, message) in std::mem::take(&mut self.hosts[host].buffered) {
                self.deliver(from, host, message);
            }
            self.schedule_request(host);
            self.schedule_poll(host);
        }
    }

    /// Cuts the network into sides; hosts of different sides do not reach each other.
    pub fn partition(&mut self, side: impl Fn(usize) -> u8) {
        for (n, host) in self.hosts.iter_mut().enumerate() {
            host.side = side(n);
        }
        self.partitioned_at = Some(self.now);
        self.views.clear();
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event)));
    }

    fn schedule_request(&mut self, host: usize) {
        let demand = self.hosts[host].demand;
        if demand <= 0.0 {
            return;
        }
        // Arrivals of a Poisson process.
        let pause = -(1.0 - self.rng.random::<f64>()).ln() / demand;
        let process = self.hosts[host].process;
        self.push(self.now + Span((pause * 1e6) as u64), Event::Request { host, process });
    }

    fn schedule_poll(&mut self, host: usize) {
        if self.sharing != Sharing::Permits {
            return;
        }
        if let Some(at) = self.hosts[host].limits.next_at(self.now) {
            let process = self.hosts[host].process;
            self.push(at.max(self.now), Event::Poll { host, process });
        }
    }

    fn send(&mut self, from: usize, to: usize, message: LimitMessage) {
        self.messages += 1;
        if self.rng.random::<f64>() < LOSS || self.hosts[from].side != self.hosts[to].side {
            return;
        }
        let transit = Span(self.rng.random_range(TRANSIT_US));
        self.push(self.now + transit, Event::Message { from, to, message });
    }

    fn is_running(&self, host: usize, process: u64) -> bool {
        let host = &self.hosts[host];
        host.is_up && !host.is_frozen && host.process == process
    }

    /// Returns what a host knows of the others, which lags behind the truth.
    fn view(&mut self, own: usize) -> LimitHosts {
        let side = self.hosts[own].side;
        let is_recent = |at: Instant| self.now.since(at) < VIEW_INTERVAL;
        if !self.views.get(&side).is_some_and(|(at, _)| is_recent(*at)) {
            let view = self.view_of_side(side);
            self.views.insert(side, (self.now, view));
        }
        let mut view = self.views[&side].1.clone();
        let ip = self.hosts[own].ip;
        if self.hosts[own].is_stopping {
            view.candidates.retain(|candidate| *candidate != ip);
        } else if own < CANDIDATES && !view.candidates.contains(&ip) {
            view.candidates.push(ip);
        }
        view
    }

    fn view_of_side(&self, side: u8) -> LimitHosts {
        let is_alive = |n: usize| {
            let other = &self.hosts[n];
            let age = self.now.since(other.changed_at);
            let is_working = other.is_up && !other.is_frozen;
            let is_known = if is_working { age >= DISCOVERY_TIME } else { age < LOST_AFTER };
            let is_reached = other.side == side
                || self.partitioned_at.is_some_and(|at| self.now.since(at) < LOST_AFTER);
            is_known && is_reached && !other.is_stopping
        };
        let ip = |n: usize| self.hosts[n].ip;
        let all = 0..self.hosts.len();
        LimitHosts {
            candidates: all.clone().take(CANDIDATES).filter(|n| is_alive(*n)).map(ip).collect(),
            alive: all.clone().filter(|n| is_alive(*n)).map(ip).collect(),
            stopping: all.filter(|n| self.hosts[*n].is_stopping).map(ip).collect(),
            known: self.hosts.len() as u32,
        }
    }

    /// Runs until `end`.
    pub fn run_until(&mut self, end: Instant) {
        while let Some(Reverse((at, id))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&id) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    /// Runs for `time`.
    pub fn run_for(&mut self, time: Span) {
        self.run_until(self.now + time);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { host, process } if self.is_running(host, process) => {
                if !self.hosts[host].is_stopping {
                    self.request(host);
                }
                self.schedule_request(host);
            }
            Event::Response { host, process, asked, named } if self.is_running(host, process) => {
                let (leaf, now) = (self.leaf.clone(), self.now);
                self.hosts[host].limits.on_response(&leaf, named, asked, now);
                self.schedule_poll(host);
            }
            Event::Message { from, to, message } if self.hosts[to].is_up => {
                match self.hosts[to].is_frozen {
                    true => self.hosts[to].buffered.push((from, message)),
                    false => self.deliver(from, to, message),
                }
            }
            Event::Poll { host, process } if self.is_running(host, process) => {
                let due = self.hosts[host].limits.next_at(self.now);
                if due.is_none_or(|at| at > self.now) {
                    return;
                }
                let (view, now) = (self.view(host), self.now);
                let messages = self.hosts[host].limits.poll(&view, now);
                self.resume_waiting(host);
                for Outgoing { to, message } in messages {
                    self.send(host, host_number(to), message);
                }
                self.schedule_poll(host);
            }
            Event::GiveUp { host, process, number } if self.is_running(host, process) => {
                let waiting = &mut self.hosts[host].waiting;
                if let Some(at) = waiting.iter().position(|known| *known == number) {
                    waiting.remove(at);
                    self.denied += 1;
                }
            }
            _ => {}
        }
    }

    fn deliver(&mut self, from: usize, to: usize, message: LimitMessage) {
        let (known, ip, now) = (self.hosts.len() as u32, self.hosts[from].ip, self.now);
        self.hosts[to].limits.on_message(ip, message, known, now);
        self.resume_waiting(to);
        self.schedule_poll(to);
    }

    fn resume_waiting(&mut self, host: usize) {
        for number in std::mem::take(&mut self.hosts[host].waiting) {
            let (leaf, now) = (self.leaf.clone(), self.now);
            if !self.hosts[host].limits.may_send(&leaf, 0, now) {
                self.hosts[host].waiting.push(number);
                continue;
            }
            self.hosts[host].limits.on_sent(&leaf, 0, false, now);
            self.arrive(host);
        }
    }

    fn request(&mut self, host: usize) {
        if !self.may_send(host) {
            let expected = self.sharing == Sharing::Permits
                && self.hosts[host].limits.is_permit_expected(&self.leaf, self.now);
            if expected {
                self.next_event += 1;
                let (number, process) = (self.next_event, self.hosts[host].process);
                self.hosts[host].waiting.push(number);
                self.push(self.now + PATIENCE, Event::GiveUp { host, process, number });
            } else {
                self.denied += 1;
            }
            self.schedule_poll(host);
            return;
        }
        self.arrive(host);
    }

    fn arrive(&mut self, host: usize) {
        let (asked, process) = (self.now, self.hosts[host].process);
        self.arrivals.push((asked, host));
        let named = match self.limit {
            Some(limit) => NamedLimit::Rate(rate(limit)),
            None => NamedLimit::None,
        };
        self.push(self.now + WORK, Event::Response { host, process, asked, named });
    }

    fn may_send(&mut self, host: usize) -> bool {
        let now = self.now;
        if self.sharing == Sharing::Permits {
            let (leaf, limits) = (&self.leaf, &mut self.hosts[host].limits);
            if !limits.may_send(leaf, 0, now) {
                limits.on_denied(leaf, 0, now);
                return false;
            }
            limits.on_sent(leaf, 0, false, now);
            return true;
        }
        let total: f64 = self.hosts.iter().map(|host| host.demand).sum();
        let share = match self.sharing {
            Sharing::DemandShare => self.hosts[host].demand / total,
            _ => 1.0 / self.hosts.len() as f64,
        };
        let limits = &self.hosts[host].limits;
        let Some(limit) = limits.rate(&self.leaf, now) else { return true };
        let known = &mut self.hosts[host];
        let earned = now.since(known.tokens_at).0 as f64 / 1e6 * limit.per_second() * share;
        known.tokens = (known.tokens + earned).min(1.0);
        known.tokens_at = now;
        if known.tokens < 1.0 {
            return false;
        }
        known.tokens -= 1.0;
        true
    }

    /// Returns the highest number of requests in a window that starts at or after `from`, and the
    /// number allowed under `limit`.
    pub fn busiest_window(&self, from: Instant, limit: f64) -> (usize, f64) {
        let mut busiest = 0;
        let mut first = 0;
        for (last, (at, _)) in self.arrivals.iter().enumerate() {
            while at.since(self.arrivals[first].0) >= WINDOW || self.arrivals[first].0 < from {
                if first == last {
                    break;
                }
                first += 1;
            }
            if *at >= from {
                busiest = busiest.max(last - first + 1);
            }
        }
        (busiest, 1.5 * limit * WINDOW.0 as f64 / 1e6 + SLACK)
    }

    /// Returns the host that allocates permits for most others.
    pub fn allocator(&self) -> usize {
        let delegators = |host: &Host| host.limits.delegator_count(&self.leaf, self.now);
        let all = 0..self.hosts.len();
        all.max_by_key(|n| delegators(&self.hosts[*n])).unwrap_or(0)
    }

    /// Returns the requests per second that the leaf got since `from`.
    pub fn rate_since(&self, from: Instant) -> f64 {
        let count = self.arrivals.iter().filter(|(at, _)| *at >= from).count();
        count as f64 / (self.now.since(from).0 as f64 / 1e6)
    }

    /// Returns the requests per second that the leaf got from each host since `from`.
    pub fn host_rates(&self, from: Instant) -> Vec<f64> {
        let seconds = self.now.since(from).0 as f64 / 1e6;
        let mut rates = vec![0.0; self.hosts.len()];
        for (_, host) in self.arrivals.iter().filter(|(at, _)| *at >= from) {
            rates[*host] += 1.0 / seconds;
        }
        rates
    }

    /// Returns the number of hosts that know of a limit.
    pub fn limited_hosts(&self) -> usize {
        self.hosts.iter().filter(|host| host.limits.rate(&self.leaf, self.now).is_some()).count()
    }
}
