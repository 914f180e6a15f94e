//! Request limits that leaves name, kept by all hosts together.
//!
//! A leaf that cannot take its load names in its responses how many requests per second it takes
//! from all hosts together. Hosts send to such a leaf only with permits. For each limited leaf, one
//! host divides the permits: the allocator, which all hosts choose by the same hash. A host
//! requests permits in advance by its measured demand, and at once when a request was denied.
//! Without a permit, a request goes to another leaf.
//!
//! The state machine gets the time as an argument and returns the messages to other hosts.

pub mod allocator;
pub mod messages;
pub mod permits;
pub mod priority;
mod requester;
pub mod statement;

use {
    crate::leaf::LeafInstance,
    allocator::{Allocator, MIN_RATE, Wanted},
    indexmap::IndexMap,
    messages::{LimitMessage, LimitNews, Outgoing, PermitGrant, PermitRequest},
    permits::Permits,
    priority::Precedence,
    requester::Requester,
    statement::{LimitChange, LimitStatement, NamedLimit},
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, LeafId, RequestRate, Span},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Maximum number of leaves whose limits are kept. Datagrams of any sender name leaves; a large
/// deployment has some 600.
const MAX_LIMITED_LEAVES: usize = 4_096;
/// Time for which the rate rises from a limit that has ended, so that a leaf that has just
/// recovered does not get the load of all hosts at once.
const RAMP_TIME: Span = Span::secs(4);
/// Factor by which the rate rises in a second of that time.
const RAMP_PER_SECOND: f64 = 2.0;
/// Time for which the end of a limit is remembered, so that older news does not revive it.
const ENDED_RETENTION: Span = Span::secs(10);
/// Time since the last response of a leaf after which hosts that do not want it send no more
/// requests for permits.
const QUIET_AFTER: Span = Span::secs(60);
/// Time after which a limit that no response has confirmed is forgotten. It is long, as hosts that
/// had been told would send at once when they want the leaf again.
const UNCONFIRMED_RETENTION: Span = Span::secs(600);
/// Time over which hosts spread their first requests after news of a limit.
const NEWS_SPREAD: Span = Span::millis(150);
/// Time by which requests for permits are sent early to share a datagram with one that is due.
const COALESCE_TIME: Span = Span::millis(100);
/// Expected time until a permit if none was granted yet.
const DEFAULT_PERMIT_INTERVAL: Span = Span::millis(500);

/// Requests that this host sent to a limited leaf.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LimitedSends {
    /// First attempts.
    pub first: u64,
    /// Hedges and retries.
    pub extra: u64,
    /// Requests that were sent to another leaf or to none because there was no permit.
    pub denied: u64,
}

/// Requests that were meant for a limited leaf.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeafUsage {
    /// The leaf.
    pub leaf: LeafInstance,
    /// Rate that is kept for it.
    pub rate: RequestRate,
    /// Number of requests.
    pub sends: LimitedSends,
}

/// Other hosts, as far as limits depend on them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LimitHosts {
    /// Hosts that may be allocators.
    pub candidates: Vec<Ipv4Addr>,
    /// All other hosts that are neither lost nor stopping.
    pub alive: Vec<Ipv4Addr>,
    /// Hosts that are stopping.
    pub stopping: Vec<Ipv4Addr>,
    /// Number of hosts that may send to leaves, including this one and lost ones.
    pub known: u32,
}

/// Limits of all leaves on one host.
#[derive(Clone, Debug)]
pub struct LeafLimits {
    own: Ipv4Addr,
    serial: u64,
    leaves: IndexMap<LeafInstance, LimitedLeaf>,
    /// Allocators that did not respond, each with the time until which they are passed over.
    silent: IndexMap<Ipv4Addr, Instant>,
    outbox: Vec<Outgoing>,
    changes: Vec<(LeafInstance, LimitChange)>,
    stopping: bool,
}

/// End of a limit.
#[derive(Clone, Copy, Debug)]
struct EndedLimit {
    at: Instant,
    rate: RequestRate,
}

#[derive(Clone, Debug)]
struct LimitedLeaf {
    said: LimitStatement,
    /// The last limit, since the leaf was first heard to name none any more.
    ended: Option<EndedLimit>,
    sends: LimitedSends,
    permits: Permits,
    precedence: Precedence,
    requester: Requester,
    /// State of this host as the leaf's allocator.
    allocator: Option<Allocator>,
    /// Whether all hosts are to be told of the limit.
    announce: bool,
}

impl LimitedLeaf {
    fn new(said: LimitStatement, first_request: Instant, now: Instant) -> Self {
        Self {
            said,
            ended: None,
            sends: LimitedSends::default(),
            permits: Permits::new(first_request, now),
            precedence: Precedence::default(),
            requester: Requester::default(),
            allocator: None,
            announce: false,
        }
    }

    /// Returns the rate that is kept: the leaf's limit, or a rising one after the limit has ended.
    fn rate(&self, now: Instant) -> Option<RequestRate> {
        if self.said.rate.is_some() {
            return self.said.rate;
        }
        let ended = self.ended.filter(|ended| now.since(ended.at) < RAMP_TIME)?;
        let factor = RAMP_PER_SECOND.powf(now.since(ended.at).0 as f64 / 1e6);
        RequestRate::new(ended.rate.per_second().max(MIN_RATE) * factor)
    }

    fn is_outdated(&self, now: Instant) -> bool {
        match self.ended {
            Some(ended) => now.since(ended.at) >= ENDED_RETENTION,
            None => now.since(self.said.heard) >= UNCONFIRMED_RETENTION,
        }
    }
}

impl LeafLimits {
    /// Creates the limits of the host `own`. `first_serial` must be higher than any serial number
    /// of an earlier process of the host.
    pub fn new(own: Ipv4Addr, first_serial: u64) -> Self {
        Self {
            own,
            serial: first_serial,
            leaves: IndexMap::new(),
            silent: IndexMap::new(),
            outbox: Vec::new(),
            changes: Vec::new(),
            stopping: false,
        }
    }

    /// Records the limit that a leaf named in a response, or that it named none. The request was
    /// sent at `asked`.
    pub fn on_response(
        &mut self,
        leaf: &LeafInstance,
        named: NamedLimit,
        asked: Instant,
        now: Instant,
    ) {
        let rate = match named {
            NamedLimit::None => None,
            NamedLimit::Rate(rate) => Some(rate),
            NamedLimit::Unreadable => return,
        };
        if rate.is_none() && !self.leaves.contains_key(leaf) {
            return;
        }
        let said = LimitStatement { rate, asked, heard: now };
        if self.merge(leaf, said, now, now).is_some() {
            let Some(known) = self.leaves.get_mut(leaf) else { return };
            // The allocator is to hear of the change at once, also of the end of the limit.
            known.permits.request_now(now);
            known.requester.has_news = true;
        }
    }

    /// Adopts a statement if it is newer than the known one. The first request for permits of a
    /// leaf that was not limited before is due at `first_request`.
    fn merge(
        &mut self,
        leaf: &LeafInstance,
        said: LimitStatement,
        first_request: Instant,
        now: Instant,
    ) -> Option<LimitChange> {
        let Some(known) = self.leaves.get_mut(leaf) else {
            let rate = said.rate?;
            if self.leaves.len() >= MAX_LIMITED_LEAVES {
                return None;
            }
            self.leaves.insert(leaf.clone(), LimitedLeaf::new(said, first_request, now));
            let change = LimitChange::Named(rate);
            self.changes.push((leaf.clone(), change));
            return Some(change);
        };
        if !said.replaces(&known.said) {
            return None;
        }
        let was_limited = known.rate(now).is_some();
        let before = std::mem::replace(&mut known.said, said);
        let change = LimitChange::between(before.rate, said.rate)?;
        if !was_limited {
            known.permits = Permits::new(first_request, now);
        }
        let ended = before.rate.filter(|_| said.rate.is_none());
        known.ended = ended.map(|rate| EndedLimit { at: now, rate });
        let delegators = known.allocator.iter().flat_map(|allocator| allocator.delegators(now));
        let news = LimitMessage::News(LimitNews::new(leaf.clone(), &said, now));
        let own = self.own;
        let told = delegators.filter(|host| *host != own);
        self.outbox.extend(told.map(|to| Outgoing { to, message: news.clone() }));
        self.changes.push((leaf.clone(), change));
        Some(change)
    }

    /// Forgets a leaf that has restarted. One that is no longer registered is not forgotten, as its
    /// registration may only have lapsed.
    pub fn forget(&mut self, id: &LeafId) {
        self.leaves.retain(|leaf, _| leaf.id != *id);
    }

    /// Returns the changes of limits since the last call.
    pub fn take_changes(&mut self) -> Vec<(LeafInstance, LimitChange)> {
        std::mem::take(&mut self.changes)
    }

    fn limited(&self, leaf: &LeafInstance, now: Instant) -> Option<&LimitedLeaf> {
        self.leaves.get(leaf).filter(|known| known.rate(now).is_some())
    }

    fn limited_mut(&mut self, leaf: &LeafInstance, now: Instant) -> Option<&mut LimitedLeaf> {
        self.leaves.get_mut(leaf).filter(|known| known.rate(now).is_some())
    }

    /// Returns the rate that is kept for a leaf: its limit, or a rising one after the limit has
    /// ended; none if requests to it are not limited.
    pub fn rate(&self, leaf: &LeafInstance, now: Instant) -> Option<RequestRate> {
        self.limited(leaf, now)?.rate(now)
    }

    /// Whether a request of this priority may be sent to the leaf now; zero is the most urgent.
    pub fn may_send(&self, leaf: &LeafInstance, priority: u32, now: Instant) -> bool {
        let Some(known) = self.limited(leaf, now) else { return true };
        known.permits.available(now) > 0 && known.precedence.admits(priority, now)
    }

    /// Records that a request would have been sent to the leaf with a permit.
    pub fn on_denied(&mut self, leaf: &LeafInstance, priority: u32, now: Instant) {
        let Some(known) = self.limited_mut(leaf, now) else { return };
        if known.permits.available(now) == 0 {
            known.precedence.on_denied(priority, now);
        }
        known.permits.on_denied(now);
        known.sends.denied += 1;
    }

    /// Whether a permit may arrive within moments: a request for permits is due, or has just been
    /// sent.
    pub fn is_permit_expected(&self, leaf: &LeafInstance, now: Instant) -> bool {
        let is_expected = |known: &LimitedLeaf| {
            known.permits.next_request() <= now || known.requester.is_waiting(now)
        };
        self.limited(leaf, now).is_some_and(is_expected)
    }

    /// Records that a request is sent to the leaf, which uses a permit.
    pub fn on_sent(&mut self, leaf: &LeafInstance, priority: u32, is_extra: bool, now: Instant) {
        let Some(known) = self.limited_mut(leaf, now) else { return };
        known.permits.spend(now);
        known.precedence.on_used(priority, now);
        known.sends.first += u64::from(!is_extra);
        known.sends.extra += u64::from(is_extra);
    }

    /// Returns the expected time until the leaf can be sent a request.
    pub fn expected_wait(&self, leaf: &LeafInstance, now: Instant) -> Span {
        let known = self.limited(leaf, now);
        let interval = |known: &LimitedLeaf| known.permits.permit_interval();
        known.map_or(Span::ZERO, |known| interval(known).unwrap_or(DEFAULT_PERMIT_INTERVAL))
    }

    /// Returns the limited leaves that requests were meant for since the last call.
    pub fn take_usage(&mut self, now: Instant) -> Vec<LeafUsage> {
        let taken = self.leaves.iter_mut().filter_map(|(leaf, known)| {
            let sends = std::mem::take(&mut known.sends);
            let rate = known.rate(now).filter(|_| sends != LimitedSends::default())?;
            Some(LeafUsage { leaf: leaf.clone(), rate, sends })
        });
        taken.collect()
    }

    /// Returns the number of leaves that name a limit.
    pub fn count(&self) -> usize {
        self.leaves.values().filter(|known| known.said.rate.is_some()).count()
    }

    /// Returns the number of hosts that delegate their shares of a leaf's limit to this one.
    pub fn delegator_count(&self, leaf: &LeafInstance, now: Instant) -> usize {
        let allocator = self.leaves.get(leaf).and_then(|known| known.allocator.as_ref());
        allocator.map_or(0, |allocator| allocator.delegators(now).count())
    }

    /// Whether nothing is known of any leaf's limit, not even that it has ended.
    pub fn is_empty(&self) -> bool {
        self.leaves.is_empty()
    }

    /// Stops granting permits to other hosts.
    pub fn stop_allocating(&mut self) {
        self.stopping = true;
        for allocator in self.leaves.values_mut().filter_map(|known| known.allocator.as_mut()) {
            allocator.release();
        }
    }

    /// Returns the time at which `poll` is to be called next; `None` while nothing is known of
    /// any limit.
    pub fn next_at(&self, now: Instant) -> Option<Instant> {
        if !self.outbox.is_empty() {
            return Some(now);
        }
        let next_at = |known: &LimitedLeaf| match known.ended {
            _ if known.requests_are_due(now) => known.permits.next_request(),
            Some(ended) => ended.at + ENDED_RETENTION,
            None => known.said.heard + UNCONFIRMED_RETENTION,
        };
        self.leaves.values().map(next_at).min()
    }

    /// Returns news of all limits for a host that has just started.
    pub fn news(&self, now: Instant) -> Vec<LimitNews> {
        let limited = self.leaves.iter().filter(|(_, known)| known.said.rate.is_some());
        limited.map(|(leaf, known)| LimitNews::new(leaf.clone(), &known.said, now)).collect()
    }

    /// Sends the requests for permits that are due; returns all messages to other hosts.
    pub fn poll(&mut self, hosts: &LimitHosts, now: Instant) -> Vec<Outgoing> {
        self.silent.retain(|_, until| now < *until);
        self.drop_outdated(now);
        let is_due_by = |known: &LimitedLeaf, at: Instant| {
            known.requests_are_due(now) && known.permits.next_request() <= at
        };
        let is_any_due = self.leaves.values().any(|known| is_due_by(known, now));
        let horizon = if is_any_due { now + COALESCE_TIME } else { now };
        let leaves = self.leaves.iter().filter(|(_, known)| is_due_by(known, horizon));
        let leaves: Vec<LeafInstance> = leaves.map(|(leaf, _)| leaf.clone()).collect();
        for leaf in leaves {
            self.request_permits(&leaf, hosts, now);
        }
        self.announce(hosts, now);
        std::mem::take(&mut self.outbox)
    }

    fn drop_outdated(&mut self, now: Instant) {
        for known in self.leaves.values_mut() {
            known.allocator.take_if(|allocator| allocator.is_unused(now));
        }
        let changes = &mut self.changes;
        self.leaves.retain(|leaf, known| {
            let is_outdated = known.is_outdated(now);
            if let Some(rate) = known.said.rate.filter(|_| is_outdated) {
                changes.push((leaf.clone(), LimitChange::Ended(rate)));
            }
            !is_outdated
        });
    }

    /// Tells all hosts of the limits that other hosts have begun to request permits for.
    fn announce(&mut self, hosts: &LimitHosts, now: Instant) {
        for (leaf, known) in &mut self.leaves {
            if !std::mem::take(&mut known.announce) {
                continue;
            }
            let message = LimitMessage::News(LimitNews::new(leaf.clone(), &known.said, now));
            let to = hosts.alive.iter().filter(|to| **to != self.own);
            self.outbox.extend(to.map(|to| Outgoing { to: *to, message: message.clone() }));
        }
    }

    /// Handles a message of the host `from`; `known_hosts` is the number of hosts that may send to
    /// leaves.
    pub fn on_message(
        &mut self,
        from: Ipv4Addr,
        message: LimitMessage,
        known_hosts: u32,
        now: Instant,
    ) {
        match message {
            LimitMessage::Request(req) => {
                if let Some(grant) = self.on_request(from, &req, known_hosts, now) {
                    let message = LimitMessage::Grant(grant);
                    self.outbox.push(Outgoing { to: from, message });
                }
            }
            LimitMessage::Grant(grant) => self.on_grant(from, &grant, now),
            LimitMessage::News(news) => self.on_news(&news, now),
        }
    }

    fn on_news(&mut self, news: &LimitNews, now: Instant) {
        let hash = xxh3_64_with_seed(news.leaf.id.as_str().as_bytes(), self.own.to_bits().into());
        let first_request = now + Span(hash % NEWS_SPREAD.0);
        self.merge(&news.leaf, news.statement(now), first_request, now);
    }

    /// Handles a request for permits; returns `None` for one that was overtaken by a later one.
    fn on_request(
        &mut self,
        from: Ipv4Addr,
        req: &PermitRequest,
        known_hosts: u32,
        now: Instant,
    ) -> Option<PermitGrant> {
        self.on_news(&req.news, now);
        let leaf = &req.news.leaf;
        let grant = |said: &LimitStatement, permits: u32, delegated: bool| PermitGrant {
            news: LimitNews::new(leaf.clone(), said, now),
            serial: req.serial,
            permits,
            delegated,
        };
        let Some(known) = self.leaves.get_mut(leaf) else {
            return Some(grant(&req.news.statement(now), req.wanted, false));
        };
        let Some(rate) = known.rate(now) else {
            return Some(grant(&known.said, req.wanted, false));
        };
        if self.stopping && from != self.own {
            return Some(grant(&known.said, 0, false));
        }
        if known.allocator.is_none() {
            known.allocator = Some(Allocator::new(now));
            known.announce = true;
        }
        let allocator = known.allocator.as_mut()?;
        let wanted = Wanted {
            serial: req.serial,
            permits: req.wanted,
            unused: req.unused,
            acknowledged: req.acknowledged,
            delegation: req.delegation,
            known_hosts: req.known_hosts,
        };
        let permits = allocator.grant(from, wanted, rate, known_hosts, now)?;
        Some(grant(&known.said, permits, req.delegation > Span::ZERO))
    }

    fn on_grant(&mut self, from: Ipv4Addr, grant: &PermitGrant, now: Instant) {
        self.silent.swap_remove(&from);
        self.merge(&grant.news.leaf, grant.news.statement(now), now, now);
        let Some(known) = self.leaves.get_mut(&grant.news.leaf) else { return };
        let Some(asked) = known.requester.on_grant(from, grant) else { return };
        known.permits.on_grant(grant.permits, asked.wanted, asked.at, now);
        if asked.acknowledged == 0 {
            // The delegation counts only once the allocator's first response is acknowledged.
            known.permits.request_now(now);
        }
    }
}
