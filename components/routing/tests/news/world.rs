//! Hosts that learn changes from a store and from each other, without a network: messages and answers
//! take a fixed time, and the store treats each host as a test says.

use {
    rand::{RngExt, SeedableRng, rngs::SmallRng},
    std::net::Ipv4Addr,
    wigeonramp_routing::{
        follow::{KEEP_ALIVE, Origin, OriginSelector},
        list_watch::{ListWatch, ListWatchCall},
        members::{MemberInfo, Membership, OwnState},
        position::{FIRST_ERA, Position},
        store_health::StoreHealth,
    },
    wigeonramp_units::{Instant, Revision, Span},
};

/// Length of a step.
const STEP: Span = Span::millis(10);
/// Time that a message between hosts takes.
const MESSAGE_TIME: Span = Span::millis(5);
/// Time that a new connection between hosts takes until the first frame arrives.
const CONNECT_TIME: Span = Span::millis(20);
/// Time after which a call fails that gets no answer, other than a watch.
const CALL_TIMEOUT: Span = Span::millis(700);
/// Time for which the store holds a watch open.
const WATCH_WAIT: Span = Span::secs(25);
/// Interval of sweeps, and of those of a host that seeks an origin.
const SWEEP_INTERVALS: [Span; 2] = [Span::millis(200), Span::millis(50)];
/// Interval of heartbeats, and the longest random part of it.
const HEARTBEAT_INTERVAL: Span = Span::millis(700);
const HEARTBEAT_JITTER_MS: u64 = 175;
/// Number of kinds of objects that are watched.
const KINDS: usize = 3;

/// How the store treats the calls of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Access {
    /// All calls are answered.
    Served,
    /// Calls are refused at once, and watches that wait are cut off.
    Refused,
    /// Calls are refused at once; watches that wait are not, but show no change.
    RefusedMute,
    /// Calls get no answer.
    Silent,
    /// Polls are answered; watches are accepted and show no change.
    Mute,
    /// Watches end at once without a change; polls are answered.
    EndsWatches,
}

/// A call that has not ended.
#[derive(Clone, Copy, Debug)]
struct Call {
    waits: bool,
    started: Instant,
    /// Whether it is beyond the calls that the store answers.
    is_excess: bool,
}

#[derive(Debug)]
struct Frame {
    at: Instant,
    to: usize,
    from: usize,
    known: u64,
    age: Option<Span>,
}

#[derive(Debug)]
struct Datagram {
    at: Instant,
    to: usize,
    from: usize,
    known: u64,
    age: Option<Span>,
    members: Vec<MemberInfo>,
}

pub struct Host {
    pub access: Access,
    members: Membership,
    pub selector: OriginSelector,
    health: StoreHealth,
    kinds: [ListWatch; KINDS],
    calls: [Option<Call>; KINDS],
    /// The pending probe and the kind that it polls.
    probe: Option<(usize, Call)>,
    prober: ListWatch,
    /// Revision up to which this host knows all changes.
    pub known: u64,
    /// Time of the stream to the host that is followed, and that host.
    stream: Option<(usize, Instant)>,
    last_frame: Instant,
    next_sweep: Instant,
    next_heartbeat: Instant,
}

pub struct World {
    pub now: Instant,
    pub hosts: Vec<Host>,
    /// Time that the store takes to answer.
    pub answer_time: Span,
    /// Share of datagrams that are lost, in percent.
    pub loss_percent: u32,
    /// Calls per second that the store answers; it refuses further ones.
    pub calls_per_second: usize,
    pub revision: u64,
    /// Number of calls to the store.
    pub calls: usize,
    /// Highest number of calls in one second, and the calls of the current one.
    pub busiest_second: usize,
    second: (u64, usize),
    frames: Vec<Frame>,
    datagrams: Vec<Datagram>,
    rng: SmallRng,
}

pub fn ip(host: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, (host / 250) as u8, (host % 250) as u8)
}

fn info(host: usize) -> MemberInfo {
    MemberInfo {
        ip: ip(host),
        zone: ["a", "b", "c"][host % 3].parse().expect("a zone"),
        incarnation: 1,
        heartbeat: 1,
        ready: true,
        leaving: false,
        rate: 10.0,
        load: 0.01,
        capacity: 0.2,
        store_failing: false,
        links_lost: false,
        age: Span::ZERO,
    }
}

fn position(revision: u64) -> Position {
    Position::new(FIRST_ERA, Revision(revision))
}

impl World {
    /// Starts `count` hosts that know each other.
    pub fn new(count: usize, seed: u64) -> Self {
        let now = Instant(1_000_000_000);
        let mut rng = SmallRng::seed_from_u64(seed);
        let host = |own: usize| {
            let mut members = Membership::new(info(own), now);
            for other in (0..count).filter(|other| *other != own) {
                members.merge(info(other), now);
            }
            Host {
                access: Access::Served,
                members,
                selector: OriginSelector::new(now),
                health: StoreHealth::new(now),
                kinds: [(); KINDS].map(|()| ListWatch::new(now)),
                calls: [None; KINDS],
                probe: None,
                prober: ListWatch::new(now),
                known: 0,
                stream: None,
                last_frame: now,
                next_sweep: now + Span::millis(rng.random_range(0..200)),
                next_heartbeat: now + Span::millis(rng.random_range(0..700)),
            }
        };
        let hosts = (0..count).map(host).collect();
        Self {
            now,
            hosts,
            answer_time: Span::millis(5),
            loss_percent: 2,
            calls_per_second: usize::MAX,
            revision: 1,
            calls: 0,
            busiest_second: 0,
            second: (0, 0),
            frames: Vec::new(),
            datagrams: Vec::new(),
            rng,
        }
    }

    /// Returns the hosts that watch the store.
    pub fn watchers(&self) -> Vec<usize> {
        let watches = |host: &usize| self.hosts[*host].selector.origin() == Origin::Store;
        (0..self.hosts.len()).filter(watches).collect()
    }

    pub fn run_for(&mut self, time: Span) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            self.deliver();
            for host in 0..self.hosts.len() {
                self.answer_calls(host);
                self.run_host(host);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for frame in self.frames.extract_if(.., |frame| frame.at <= now).collect::<Vec<_>>() {
            self.on_frame(&frame);
        }
        let due: Vec<_> = self.datagrams.extract_if(.., |datagram| datagram.at <= now).collect();
        for datagram in due {
            self.on_datagram(datagram);
        }
    }

    fn on_frame(&mut self, frame: &Frame) {
        let now = self.now;
        let host = &mut self.hosts[frame.to];
        if host.stream.is_none_or(|(from, _)| from != frame.from) {
            return;
        }
        host.selector.on_data(ip(frame.from), now);
        let is_new = frame.known > host.known;
        host.known = host.known.max(frame.known);
        if let Some(age) = frame.age {
            self.on_news_current(frame.to, now - age);
        }
        if is_new {
            self.send_frames(frame.to);
        }
    }

    fn on_datagram(&mut self, datagram: Datagram) {
        let now = self.now;
        let host = &mut self.hosts[datagram.to];
        let from = ip(datagram.from);
        let was_failing = host.members.is_store_failing(from);
        for info in datagram.members {
            host.members.merge(info, now);
        }
        if let Some(age) = datagram.age {
            host.selector.on_news_age(from, age, now);
        }
        if host.members.is_store_failing(from) != was_failing || host.selector.is_outdated() {
            host.next_sweep = now;
        }
        if datagram.known > host.known {
            host.selector.on_lag(from, now);
        }
    }

    fn on_news_current(&mut self, host: usize, until: Instant) {
        let now = self.now;
        let this = &mut self.hosts[host];
        let recovered = this.selector.on_current(until, now);
        if recovered && this.selector.origin() == Origin::Store {
            self.announce(host);
        }
        if now.since(self.hosts[host].last_frame) >= Span::millis(100) {
            self.send_frames(host);
        }
    }

    fn send_frames(&mut self, from: usize) {
        let (known, age) = (self.hosts[from].known, self.hosts[from].selector.news_age(self.now));
        self.hosts[from].last_frame = self.now;
        let at = self.now + MESSAGE_TIME;
        for to in 0..self.hosts.len() {
            let stream = self.hosts[to].stream;
            if stream.is_some_and(|(host, since)| host == from && since <= self.now) {
                self.frames.push(Frame { at, to, from, known, age });
            }
        }
    }

    fn datagram(&mut self, from: usize, to: usize, members: Vec<MemberInfo>) {
        if self.rng.random_ratio(self.loss_percent, 100) {
            return;
        }
        let host = &self.hosts[from];
        let (known, age) = (host.known, host.selector.news_age(self.now));
        let mut all = vec![host.members.own().clone()];
        all.extend(members);
        let at = self.now + MESSAGE_TIME;
        self.datagrams.push(Datagram { at, to, from, known, age, members: all });
    }

    fn announce(&mut self, from: usize) {
        self.hosts[from].members.increment_heartbeat();
        for to in (0..self.hosts.len()).filter(|to| *to != from) {
            self.datagram(from, to, Vec::new());
        }
    }

    fn send_heartbeat(&mut self, from: usize) {
        let now = self.now;
        let host = &mut self.hosts[from];
        let jitter = Span::millis(self.rng.random_range(0..HEARTBEAT_JITTER_MS));
        host.next_heartbeat = now + HEARTBEAT_INTERVAL + jitter;
        host.members.increment_heartbeat();
        let members = host.members.select_for_gossip(6, now);
        let partners = host.members.gossip_partners(2, 1, now, &mut self.rng);
        for partner in partners {
            let [_, _, high, low] = partner.octets();
            let to = usize::from(high) * 250 + usize::from(low);
            self.datagram(from, to, members.clone());
        }
    }

    /// Counts a call that starts now.
    fn new_call(&mut self, waits: bool) -> Call {
        self.calls += 1;
        let second = self.now.0 / 1_000_000;
        if self.second.0 != second {
            self.second = (second, 0);
        }
        self.second.1 += 1;
        self.busiest_second = self.busiest_second.max(self.second.1);
        Call { waits, started: self.now, is_excess: self.second.1 > self.calls_per_second }
    }

    /// Ends the calls of a host that are answered, refused, cut off or out of time.
    fn answer_calls(&mut self, host: usize) {
        let (now, access) = (self.now, self.hosts[host].access);
        for kind in 0..KINDS {
            let Some(call) = self.hosts[host].calls[kind] else { continue };
            let age = now.since(call.started);
            let has_news = self.revision > self.hosts[host].known;
            let answered = age >= self.answer_time;
            let ended = match (access, call.waits) {
                _ if call.is_excess => answered.then_some(false),
                (Access::Refused, _) if answered => Some(false),
                (Access::RefusedMute, false) if answered => Some(false),
                (Access::EndsWatches, true) if answered => Some(true),
                (Access::Served, true) if answered && (has_news || age >= WATCH_WAIT) => Some(true),
                (Access::Served | Access::Mute | Access::EndsWatches, false) if answered => {
                    Some(true)
                }
                (_, false) if age >= CALL_TIMEOUT => Some(false),
                (_, true) if age >= WATCH_WAIT + CALL_TIMEOUT => Some(false),
                _ => None,
            };
            let Some(success) = ended else { continue };
            self.hosts[host].calls[kind] = None;
            if success {
                let shows_news = has_news && !(call.waits && access == Access::EndsWatches);
                self.on_answer(host, kind, shows_news);
            } else {
                self.hosts[host].kinds[kind].on_error(now, &mut self.rng);
            }
        }
        self.answer_probe(host);
    }

    fn on_answer(&mut self, host: usize, kind: usize, shows_news: bool) {
        let now = self.now;
        let this = &mut self.hosts[host];
        let revision = if shows_news { self.revision } else { this.known };
        if this.kinds[kind].position().is_none() {
            this.kinds[kind].on_page(std::iter::empty(), false, position(self.revision), now);
            this.known = this.known.max(self.revision);
        } else {
            this.kinds[kind].on_changes(shows_news, position(revision), now);
        }
        self.on_store_answered(host);
        if shows_news {
            self.learn(host);
        }
    }

    fn answer_probe(&mut self, host: usize) {
        let now = self.now;
        let Some((kind, call)) = self.hosts[host].probe else { return };
        let age = now.since(call.started);
        let success = match self.hosts[host].access {
            _ if call.is_excess => false,
            Access::Served | Access::Mute | Access::EndsWatches => age >= self.answer_time,
            Access::Refused | Access::RefusedMute | Access::Silent => false,
        };
        let is_refused = call.is_excess
            || matches!(self.hosts[host].access, Access::Refused | Access::RefusedMute);
        if !success && age < CALL_TIMEOUT && !(is_refused && age >= self.answer_time) {
            return;
        }
        self.hosts[host].probe = None;
        if !success {
            return self.hosts[host].prober.on_error(now, &mut self.rng);
        }
        let this = &mut self.hosts[host];
        this.prober.on_answered(now);
        let is_behind = self.revision > this.known;
        let revision = position(self.revision.max(this.known));
        if this.kinds[kind].on_probe(is_behind, revision, call.started) {
            this.calls[kind] = None;
            this.kinds[kind].repeat(now);
        }
        self.on_store_answered(host);
        if is_behind {
            self.learn(host);
        }
    }

    /// Has a host learn all changes from the store and pass them on.
    fn learn(&mut self, host: usize) {
        self.hosts[host].known = self.revision;
        self.send_frames(host);
        if self.hosts[host].selector.origin() == Origin::Store {
            self.announce(host);
        }
    }

    fn on_store_answered(&mut self, host: usize) {
        let this = &mut self.hosts[host];
        if this.prober.is_lost() || this.kinds.iter().any(ListWatch::is_lost) {
            return;
        }
        let kinds: Vec<&ListWatch> = this.kinds.iter().collect();
        let until = this.health.current_until(&kinds);
        if let Some(until) = until {
            self.on_news_current(host, until);
        }
        if self.hosts[host].health.on_proof() {
            self.announce_health(host);
        }
    }

    fn announce_health(&mut self, host: usize) {
        let this = &mut self.hosts[host];
        let store_failing = this.health.is_failing();
        let state = OwnState {
            ready: true,
            leaving: false,
            rate: 10.0,
            load: 0.01,
            store_failing,
            links_lost: false,
        };
        this.members.set_own(state);
        if this.selector.origin() == Origin::Store {
            self.announce(host);
        }
    }

    fn run_host(&mut self, host: usize) {
        let now = self.now;
        if now >= self.hosts[host].next_heartbeat {
            self.send_heartbeat(host);
        }
        if now >= self.hosts[host].next_sweep {
            self.sweep(host);
        }
        self.start_calls(host);
    }

    fn sweep(&mut self, host: usize) {
        let now = self.now;
        let this = &mut self.hosts[host];
        let calls = this.kinds.iter().chain([&this.prober]);
        if this.health.check(calls, now) {
            self.announce_health(host);
        }
        let this = &mut self.hosts[host];
        let fetch_from = this.selector.select(&this.members, now);
        let followed = match this.selector.origin() {
            Origin::Host(ip) => Some(ip),
            Origin::Nobody | Origin::Store => fetch_from,
        };
        let number = |ip: Ipv4Addr| {
            let [_, _, high, low] = ip.octets();
            usize::from(high) * 250 + usize::from(low)
        };
        let followed = followed.map(number);
        if this.stream.map(|(from, _)| from) != followed {
            this.stream = followed.map(|from| (from, now + CONNECT_TIME));
            if let Some(from) = followed {
                let source = &self.hosts[from];
                let (known, age) = (source.known, source.selector.news_age(now));
                let at = now + CONNECT_TIME;
                self.frames.push(Frame { at, to: host, from, known, age });
            }
        }
        let this = &mut self.hosts[host];
        let seeks = this.selector.origin() == Origin::Nobody || this.selector.is_outdated();
        this.next_sweep = now + SWEEP_INTERVALS[usize::from(seeks)];
        if now.since(this.last_frame) >= KEEP_ALIVE {
            self.send_frames(host);
        }
    }

    fn start_calls(&mut self, host: usize) {
        let now = self.now;
        let this = &mut self.hosts[host];
        let watches = this.selector.origin() == Origin::Store;
        if this.health.set_watches(watches, now) && !watches {
            this.calls = [None; KINDS];
            this.kinds.iter_mut().for_each(|kind| kind.release(now));
        }
        if this.known > 0 {
            let known = position(this.known);
            let idle = this.kinds.iter_mut().zip(&this.calls).filter(|(_, call)| call.is_none());
            idle.for_each(|(kind, _)| kind.advance_to(known, now));
        }
        for kind in 0..KINDS {
            let this = &mut self.hosts[host];
            if !watches || this.calls[kind].is_some() {
                continue;
            }
            if let Some(call) = this.kinds[kind].start_due_call(now) {
                let waits = matches!(call, ListWatchCall::Watch { .. });
                self.hosts[host].calls[kind] = Some(self.new_call(waits));
            }
        }
        let this = &mut self.hosts[host];
        if this.probe.is_some() || this.prober.next_at().is_none_or(|at| at > now) {
            return;
        }
        let kinds: Vec<&ListWatch> = this.kinds.iter().collect();
        if let Some(kind) = this.health.start_due_probe(&kinds, now) {
            this.prober.begin_call(now);
            self.hosts[host].probe = Some((kind, self.new_call(false)));
        }
    }
}
