//! Hosts, a network between them and callers of one account, under simulated time.

use {
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BinaryHeap, VecDeque},
        net::Ipv4Addr,
        sync::Arc,
    },
    wigeonramp_routing::{
        accounts::{Account, AccountBounds, Quota},
        quotas::{
            AccountId, Admission, QuotaHosts, Quotas,
            messages::{Outgoing, QuotaMessage},
        },
    },
    wigeonramp_units::{Instant, RequestRate, Span},
};

/// Number of hosts that callers use, which are also candidates and owners.
pub const USED: usize = 18;
/// Time after which a host that is not reached counts as lost.
const LOST_AFTER: Span = Span::secs(4);
/// Time of a message on the network, and until a small host reacts to it, in microseconds.
const TRANSIT_US: std::ops::Range<u64> = 900..4_900;
/// Share of messages that are lost.
const LOSS: f64 = 0.005;
/// Time for which a request waits for a permit.
const MAX_WAIT: Span = Span::millis(20);
/// Longest time until a leaf runs an admitted request, in microseconds.
const RUN_US: u64 = 60_000;
/// Bytes of a datagram without its accounts, of an account in a report and of one in a response.
const BYTES: [u64; 3] = [85, 32, 12];
/// Time for which what hosts know of each other is not looked up again.
const VIEW_INTERVAL: Span = Span::millis(50);

pub fn account(name: &str, rate: f64, burst: f64) -> Arc<Account> {
    let rate = RequestRate::new(rate).expect("a rate");
    let quota = (rate.per_second() > 0.0).then_some(Quota { rate, burst });
    Arc::new(Account { name: name.to_owned(), priority: None, quota, keys: Vec::new() })
}

struct Host {
    ip: Ipv4Addr,
    quotas: Quotas,
    demand: f64,
    is_up: bool,
    is_frozen: bool,
    /// Side of the network; messages between sides are lost.
    side: usize,
    changed_at: Instant,
    /// Time for which the host's clock has stood still.
    frozen: Span,
    process: u64,
    next_poll: Instant,
    /// Numbers of waiting requests, the times of their arrival, and whether one bucket would admit
    /// them.
    waiting: VecDeque<(u64, Instant, bool)>,
    buffered: Vec<(usize, QuotaMessage)>,
    bytes: u64,
    view: (Instant, QuotaHosts),
}

enum Event {
    Request { host: usize },
    Message { from: usize, to: usize, message: QuotaMessage },
    Poll { host: usize, process: u64 },
    GiveUp { host: usize, process: u64, number: u64 },
}

/// What happened to the requests of the account.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub sent: u64,
    pub refused: u64,
    /// Refused requests that one bucket for all hosts would have admitted.
    pub refused_within_quota: u64,
    pub waited: u64,
    /// Sum of the waits in microseconds.
    pub wait_us: u64,
}

/// Hosts that get requests of an account.
pub struct Fleet {
    pub now: Instant,
    pub outcome: Outcome,
    /// Times at which leaves ran requests.
    pub runs: Vec<Instant>,
    accounts: Vec<Arc<Account>>,
    hosts: Vec<Host>,
    events: BTreeMap<u64, Event>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    next_event: u64,
    rng: SmallRng,
    started: Instant,
    /// Permits of one bucket for all hosts, and the time at which they were counted.
    ideal: (f64, Instant),
}

fn address(number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (number / 250) as u8, (number % 250) as u8)
}

impl Fleet {
    /// Starts `count` hosts; `demands` are requests per second at the first of them.
    pub fn new(count: usize, demands: &[f64], accounts: Vec<Arc<Account>>, seed: u64) -> Self {
        let now = Instant(1_000_000_000);
        let burst = accounts[0].quota.map_or(0.0, |quota| quota.burst);
        let mut fleet = Self {
            now,
            outcome: Outcome::default(),
            runs: Vec::new(),
            accounts,
            hosts: Vec::new(),
            events: BTreeMap::new(),
            queue: BinaryHeap::new(),
            next_event: 0,
            rng: SmallRng::seed_from_u64(seed),
            started: now,
            ideal: (burst, now),
        };
        for n in 0..count {
            let (ip, bounds) = (address(n), AccountBounds::default());
            fleet.hosts.push(Host {
                ip,
                quotas: Quotas::new(ip, now.0, bounds, now),
                demand: demands.get(n).copied().unwrap_or(0.0),
                is_up: false,
                is_frozen: false,
                side: 0,
                changed_at: now,
                frozen: Span::ZERO,
                process: 0,
                next_poll: now,
                waiting: VecDeque::new(),
                buffered: Vec::new(),
                bytes: 0,
                view: (Instant::default(), QuotaHosts::default()),
            });
        }
        for n in 0..count {
            fleet.start(n);
            fleet.schedule_request(n);
        }
        fleet
    }

    pub fn quota(&self) -> Quota {
        self.accounts[0].quota.expect("a quota")
    }

    /// Returns the number of hosts.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    fn id(&self) -> AccountId {
        AccountId::new(&self.accounts[0].name)
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((at, self.next_event)));
    }

    fn schedule_request(&mut self, host: usize) {
        let demand = self.hosts[host].demand;
        if demand > 0.0 {
            let gap = -(1.0 - self.rng.random::<f64>()).ln() / demand;
            self.schedule(self.now + Span((gap * 1e6) as u64), Event::Request { host });
        }
    }

    fn local(&self, host: usize) -> Instant {
        self.now - self.hosts[host].frozen
    }

    /// Starts or restarts the process of a host.
    pub fn start(&mut self, host: usize) {
        let local = self.local(host);
        let accounts = self.accounts.clone();
        let h = &mut self.hosts[host];
        h.quotas = Quotas::new(h.ip, local.0 * 1_000, AccountBounds::default(), local);
        h.quotas.set_accounts(&accounts, local);
        h.process += 1;
        (h.is_up, h.is_frozen, h.changed_at) = (true, false, self.now);
        h.view.0 = Instant::default();
        h.next_poll = self.now;
        let process = h.process;
        self.schedule(self.now, Event::Poll { host, process });
    }

    pub fn kill(&mut self, host: usize) {
        let h = &mut self.hosts[host];
        h.process += 1;
        (h.is_up, h.changed_at) = (false, self.now);
        h.waiting.clear();
        h.buffered.clear();
    }

    /// Suspends a host with its clock.
    pub fn freeze(&mut self, host: usize) {
        (self.hosts[host].is_frozen, self.hosts[host].changed_at) = (true, self.now);
    }

    pub fn thaw(&mut self, host: usize) {
        let now = self.now;
        let h = &mut self.hosts[host];
        h.frozen = h.frozen + now.since(h.changed_at);
        (h.is_frozen, h.changed_at) = (false, now);
        h.next_poll = now;
        let process = h.process;
        for (from, message) in std::mem::take(&mut h.buffered) {
            self.schedule(now, Event::Message { from, to: host, message });
        }
        self.schedule(now, Event::Poll { host, process });
    }

    /// Moves a host to a side of the network. The first one is side zero.
    pub fn move_to_side(&mut self, host: usize, side: usize) {
        (self.hosts[host].side, self.hosts[host].changed_at) = (side, self.now);
    }

    /// Sets the accounts of the configuration, which each host adopts at once.
    pub fn set_accounts(&mut self, accounts: Vec<Arc<Account>>) {
        self.accounts = accounts.clone();
        for n in 0..self.hosts.len() {
            let local = self.local(n);
            self.hosts[n].quotas.set_accounts(&accounts, local);
        }
    }

    pub fn set_demands(&mut self, demands: &[f64]) {
        for (n, demand) in demands.iter().enumerate() {
            let was_idle = self.hosts[n].demand == 0.0;
            self.hosts[n].demand = *demand;
            if was_idle {
                self.schedule_request(n);
            }
        }
    }

    /// Returns the host that most others choose as the allocator.
    pub fn allocator(&self) -> usize {
        let shares = |n: &usize| self.hosts[*n].quotas.delegated_share(self.local(*n));
        (0..self.hosts.len()).max_by(|a, b| shares(a).total_cmp(&shares(b))).expect("a host")
    }

    fn view(&mut self, host: usize) -> QuotaHosts {
        let (now, me) = (self.now, &self.hosts[host]);
        if now.since(me.view.0) >= VIEW_INTERVAL {
            let recently = |h: &Host| now.since(h.changed_at) < LOST_AFTER;
            let is_known = |h: &&Host| {
                let is_reached = h.is_up && !h.is_frozen && h.side == me.side;
                h.ip == me.ip || is_reached || recently(h) || recently(me)
            };
            let candidates = self.hosts.iter().filter(is_known).take(USED).map(|h| h.ip).collect();
            let owners = self.hosts.iter().take(USED).map(|h| h.ip).collect();
            let view = QuotaHosts { candidates, owners, stopping: Vec::new() };
            self.hosts[host].view = (now, view);
        }
        self.hosts[host].view.1.clone()
    }

    /// Runs until `time` has passed.
    pub fn run(&mut self, time: Span) {
        let end = self.now + time;
        while let Some(Reverse((at, _))) = self.queue.peek().copied()
            && at <= end
        {
            let Some(Reverse((_, key))) = self.queue.pop() else { return };
            self.now = at;
            if let Some(event) = self.events.remove(&key) {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { host } => {
                self.schedule_request(host);
                if self.hosts[host].is_up && !self.hosts[host].is_frozen {
                    self.on_request(host);
                }
            }
            Event::Message { from, to, message } => {
                let h = &mut self.hosts[to];
                if h.is_frozen {
                    h.buffered.push((from, message));
                } else if h.is_up {
                    let (from, local) = (address(from), self.local(to));
                    self.hosts[to].quotas.on_message(from, &message, local);
                    self.resume(to);
                    self.poll(to);
                }
            }
            Event::Poll { host, process } if self.hosts[host].process == process => {
                if !self.hosts[host].is_frozen && self.hosts[host].next_poll <= self.now {
                    self.hosts[host].next_poll = self.now + Span::secs(1_000);
                    self.poll(host);
                }
            }
            Event::Poll { .. } => {}
            Event::GiveUp { host, process, number } => {
                let (id, local) = (self.id(), self.local(host));
                let h = &mut self.hosts[host];
                if h.process == process
                    && let Some(at) = h.waiting.iter().position(|(n, ..)| *n == number)
                {
                    let is_within = h.waiting.remove(at).is_some_and(|(.., is_within)| is_within);
                    h.quotas.give_up(id, local);
                    self.count_refused(is_within);
                }
            }
        }
    }

    fn poll(&mut self, host: usize) {
        let (view, local) = (self.view(host), self.local(host));
        let out = self.hosts[host].quotas.poll(&view, local);
        self.resume(host);
        for Outgoing { to, message } in out {
            let [_, _, high, low] = to.octets();
            let to = usize::from(high) * 250 + usize::from(low);
            self.hosts[host].bytes += match &message {
                QuotaMessage::Report(report) => BYTES[0] + BYTES[1] * report.usage.len() as u64,
                QuotaMessage::Grants(grants) => BYTES[0] + BYTES[2] * grants.grants.len() as u64,
            };
            let is_lost = self.hosts[host].side != self.hosts[to].side;
            if !is_lost && self.rng.random::<f64>() >= LOSS {
                let at = self.now + Span(self.rng.random_range(TRANSIT_US));
                self.schedule(at, Event::Message { from: host, to, message });
            }
        }
        self.arm(host);
    }

    /// Schedules the next poll of a host.
    fn arm(&mut self, host: usize) {
        let local = self.local(host);
        let h = &self.hosts[host];
        let next = h.quotas.next_at(local).unwrap_or(local + Span::millis(400));
        let at = self.now + next.since(local).max(Span::millis(1));
        if at < h.next_poll {
            let process = h.process;
            self.hosts[host].next_poll = at;
            self.schedule(at, Event::Poll { host, process });
        }
    }

    fn on_request(&mut self, host: usize) {
        let (id, local) = (self.id(), self.local(host));
        let is_within = self.take_ideal();
        self.outcome.sent += 1;
        match self.hosts[host].quotas.admit(id, false, local) {
            Admission::Admitted => self.record_run(),
            Admission::Refused { .. } => {
                self.count_refused(is_within);
            }
            Admission::Wait => {
                self.next_event += 1;
                let (number, process) = (self.next_event, self.hosts[host].process);
                self.hosts[host].waiting.push_back((number, self.now, is_within));
                self.schedule(self.now + MAX_WAIT, Event::GiveUp { host, process, number });
                self.outcome.waited += 1;
                self.poll(host);
            }
        }
    }

    /// Lets one bucket for all hosts decide on a request.
    fn take_ideal(&mut self) -> bool {
        let Some(quota) = self.accounts[0].quota else { return true };
        let earned = self.now.since(self.ideal.1).0 as f64 / 1e6 * quota.rate.per_second();
        self.ideal = ((self.ideal.0 + earned).min(quota.burst.max(1.0)), self.now);
        let is_within = self.ideal.0 >= 1.0;
        self.ideal.0 -= f64::from(u8::from(is_within));
        is_within
    }

    fn count_refused(&mut self, is_within: bool) {
        self.outcome.refused_within_quota += u64::from(is_within);
        self.outcome.refused += 1;
    }

    fn record_run(&mut self) {
        let at = self.now + Span(self.rng.random_range(1_000..RUN_US));
        self.runs.push(at);
    }

    /// Decides again on the waiting requests of a host.
    fn resume(&mut self, host: usize) {
        let (id, local) = (self.id(), self.local(host));
        let waiting = std::mem::take(&mut self.hosts[host].waiting);
        for (number, since, is_within) in waiting {
            match self.hosts[host].quotas.admit(id, true, local) {
                Admission::Admitted => {
                    self.outcome.wait_us += self.now.since(since).0;
                    self.record_run();
                }
                Admission::Refused { .. } => self.count_refused(is_within),
                Admission::Wait => self.hosts[host].waiting.push_back((number, since, is_within)),
            }
        }
    }

    /// Forgets what has been counted.
    pub fn reset(&mut self) {
        self.outcome = Outcome::default();
        self.started = self.now;
        self.hosts.iter_mut().for_each(|host| host.bytes = 0);
    }

    /// Returns the bytes per second that hosts sent: the average and the most.
    pub fn bytes_per_second(&self) -> (f64, f64) {
        let seconds = self.now.since(self.started).0 as f64 / 1e6;
        let total: u64 = self.hosts.iter().map(|host| host.bytes).sum();
        let most = self.hosts.iter().map(|host| host.bytes).max().unwrap_or(0);
        (total as f64 / seconds / self.hosts.len() as f64, most as f64 / seconds)
    }

    /// Returns the share of the quota that was served since the last reset.
    pub fn served_share(&self) -> f64 {
        let seconds = self.now.since(self.started).0 as f64 / 1e6;
        let served = self.runs.iter().filter(|at| **at >= self.started).count() as f64;
        served / (self.quota().rate.per_second() * seconds)
    }

    /// Returns the greatest number of runs in a window as a share of the bound for `quota`, from
    /// `from` on.
    pub fn worst_window(&mut self, quota: Quota, from: Instant) -> f64 {
        let bounds = AccountBounds::default();
        self.runs.sort_unstable();
        let runs: Vec<Instant> = self.runs.iter().copied().filter(|at| *at >= from).collect();
        let (mut first, mut most) = (0, 0);
        for (last, at) in runs.iter().enumerate() {
            while at.since(runs[first]) > bounds.window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        let window = bounds.window.0 as f64 / 1e6;
        let allowed = (quota.rate.per_second() * window + quota.burst) * (1.0 + bounds.overshoot);
        most as f64 / (allowed + bounds.slack)
    }
}
