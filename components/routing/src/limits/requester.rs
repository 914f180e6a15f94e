//! Requests of a host to the allocators of limited leaves.

use {
    super::{
        LeafLimits, LimitHosts, LimitedLeaf, QUIET_AFTER,
        messages::{LimitMessage, LimitNews, Outgoing, PermitGrant, PermitRequest},
        permits::Need,
    },
    crate::leaf::LeafInstance,
    std::net::Ipv4Addr,
    wigeonramp_units::{Instant, LeafId, Span},
    xxhash_rust::xxh3::xxh3_64_with_seed,
};

/// Time without a response after which another host is asked.
const SILENT_AFTER: Span = Span::millis(500);
/// Time within which a request for permits is usually responded to.
const RESPONSE_TIME: Span = Span::millis(50);
/// Time for which a host that did not respond is not asked.
const SILENT_TIME: Span = Span::secs(3);
/// Time for which a share is delegated beyond two intervals of requests.
const DELEGATION_SLACK: Span = Span::millis(1_500);

/// A request without a response.
#[derive(Clone, Copy, Debug)]
pub(super) struct Asked {
    serial: u64,
    allocator: Ipv4Addr,
    /// Time at which it was sent.
    pub at: Instant,
    /// Number of permits wanted.
    pub wanted: u32,
    /// Number of the last request that the allocator had responded to; zero for none.
    pub acknowledged: u64,
}

/// This host's share of a limit at an allocator.
#[derive(Clone, Copy, Debug)]
struct Delegation {
    allocator: Ipv4Addr,
    until: Instant,
}

/// State of the requests for one leaf's permits.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Requester {
    /// Whether the allocator is to hear of a change at once.
    pub has_news: bool,
    allocator: Option<Ipv4Addr>,
    delegation: Option<Delegation>,
    asked: Option<Asked>,
    /// Number of the last request that the allocator has responded to; zero for none.
    acknowledged: u64,
    /// Time of the first request since the last response.
    waiting_since: Option<Instant>,
}

impl Requester {
    /// Handles a grant; returns its request, or `None` if it was handled before.
    pub fn on_grant(&mut self, from: Ipv4Addr, grant: &PermitGrant) -> Option<Asked> {
        let is_response = |asked: &mut Asked| asked.serial == grant.serial;
        let asked = self.asked.take_if(is_response).filter(|asked| asked.allocator == from)?;
        self.waiting_since = None;
        self.acknowledged = asked.serial;
        if !grant.delegated {
            self.delegation.take_if(|delegation| delegation.allocator == from);
        }
        Some(asked)
    }

    /// Whether the response to a request that was just sent is awaited.
    pub fn is_waiting(&self, now: Instant) -> bool {
        self.asked.is_some_and(|asked| now.since(asked.at) < RESPONSE_TIME)
    }

    /// Delegates this host's share to the allocator if no other one has it; returns the time for
    /// which it has it.
    fn delegate(&mut self, allocator: Ipv4Addr, interval: Span, now: Instant) -> Span {
        let is_elsewhere = |other: Delegation| other.allocator != allocator && now < other.until;
        if self.delegation.is_some_and(is_elsewhere) {
            return Span::ZERO;
        }
        let time = interval * 2 + DELEGATION_SLACK;
        self.delegation = Some(Delegation { allocator, until: now + time });
        time
    }
}

impl LimitedLeaf {
    /// Whether requests for permits are sent: while requests to the leaf are limited and some host
    /// wants it, and once more after the end of the limit.
    pub(super) fn requests_are_due(&self, now: Instant) -> bool {
        let is_wanted = self.permits.is_denied() || now.since(self.said.heard) < QUIET_AFTER;
        (self.rate(now).is_some() && is_wanted) || self.requester.has_news
    }
}

impl LimitHosts {
    /// Returns the host that allocates the permits of a leaf, other than those passed over.
    fn allocator(
        &self,
        leaf: &LeafId,
        is_passed_over: impl Fn(Ipv4Addr) -> bool,
    ) -> Option<Ipv4Addr> {
        let rank = |ip: &Ipv4Addr| xxh3_64_with_seed(leaf.as_str().as_bytes(), ip.to_bits().into());
        self.candidates.iter().copied().filter(|ip| !is_passed_over(*ip)).max_by_key(rank)
    }
}

impl LeafLimits {
    /// Sends a request for permits to the leaf's allocator. A host that knows no other allocator
    /// divides the permits of its own share.
    pub(super) fn request_permits(
        &mut self,
        leaf: &LeafInstance,
        hosts: &LimitHosts,
        now: Instant,
    ) {
        let Some(known) = self.leaves.get_mut(leaf) else { return };
        let is_limited = known.rate(now).is_some();
        let requester = &mut known.requester;
        if let Some(asked) = requester.asked
            && requester.waiting_since.is_some_and(|since| now.since(since) >= SILENT_AFTER)
        {
            self.silent.insert(asked.allocator, now + SILENT_TIME);
            requester.waiting_since = None;
        }
        requester.delegation.take_if(|delegation| hosts.stopping.contains(&delegation.allocator));
        let silent = &self.silent;
        let allocator = hosts.allocator(&leaf.id, |ip| silent.contains_key(&ip));
        let allocator = allocator.unwrap_or(self.own);
        if requester.allocator != Some(allocator) {
            requester.allocator = Some(allocator);
            requester.acknowledged = 0;
            known.permits.forget_unused();
        }
        let Need { wanted, unused } = known.permits.start_request(now);
        let interval = known.permits.interval(now);
        let delegation = match is_limited {
            true => requester.delegate(allocator, interval, now),
            false => Span::ZERO,
        };
        self.serial += 1;
        requester.has_news = false;
        let acknowledged = requester.acknowledged;
        let asked = Asked { serial: self.serial, allocator, at: now, wanted, acknowledged };
        requester.asked = Some(asked);
        requester.waiting_since.get_or_insert(now);
        let req = PermitRequest {
            news: LimitNews::new(leaf.clone(), &known.said, now),
            serial: self.serial,
            wanted,
            unused,
            acknowledged,
            delegation,
            known_hosts: hosts.known,
        };
        if allocator != self.own {
            self.outbox.push(Outgoing { to: allocator, message: LimitMessage::Request(req) });
            return;
        }
        if let Some(grant) = self.on_request(allocator, &req, hosts.known, now) {
            self.on_grant(allocator, &grant, now);
        }
    }
}
