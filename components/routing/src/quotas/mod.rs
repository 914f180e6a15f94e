//! Quotas of client accounts, kept by all hosts together.
//!
//! Accounts send 5 to 9 times their usual load for seconds, over about 18 of 132 hosts, and
//! requests are due within 40 ms. A request is admitted with a permit that this host holds; with
//! one of the few requests that the host may admit on its own; or with a permit that it asks the
//! allocator for, for which the request waits some milliseconds. Otherwise it is refused.
//!
//! A few hosts, the owners, have an equal share of all quotas each. They delegate it for a short
//! time to one allocator, as for the request limits of leaves (`limits`). The state machine gets
//! the time as an argument and returns the messages to other hosts.

mod account;
pub mod messages;
mod pool;

use {
    crate::accounts::{Account, AccountBounds, Quota},
    account::LocalAccount,
    indexmap::{IndexMap, IndexSet},
    messages::{Grants, Outgoing, QuotaMessage, Report},
    pool::Pool,
    serde::Serialize,
    std::{net::Ipv4Addr, sync::Arc},
    wigeonramp_units::{Instant, Span},
    xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed},
};

/// Interval of reports that renew the delegation of this host's share.
const RENEWAL_INTERVAL: Span = Span::millis(400);
/// Time for which a share is delegated. It is what a lost allocator costs: until then no other one
/// may grant permits of the share.
const DELEGATION_TIME: Span = Span::millis(1_200);
/// Interval of reports of used permits while none is wanted at once.
const REPORT_INTERVAL: Span = Span::millis(250);
/// Shortest time after which a report is repeated while requests wait.
const MIN_REPEAT_AFTER: Span = Span::millis(6);
/// Time after which it is repeated, in percent of the usual time of a response. With repeats after
/// 6 ms only, an allocator 5 ms away sent 18.9 KB/s while an account sent nine times its quota.
const REPEAT_PERCENT: u64 = 125;
/// Time after which a report is repeated while none waits.
const RENEWAL_REPEAT_AFTER: Span = Span::millis(100);
/// Time without a response after which another allocator is asked.
const SILENT_AFTER: Span = Span::millis(250);
/// Number of reports without a response after which another allocator is asked.
const SILENT_REPORTS: u32 = 3;
/// Time for which a host that did not respond is not asked.
const SILENT_TIME: Span = Span::secs(3);
/// Time after the start in which a host has no share, as it does not know all other hosts yet. With
/// 4 s, 114 of 340 requests within a quota were refused in three restarts of all hosts.
const DISCOVERY_TIME: Span = Span::millis(1_500);
/// Time from the admission of a request until a leaf runs it, for nearly all requests.
const RUN_DELAY: Span = Span::millis(500);
/// Maximum number of accounts in a message, which keeps it below the usual packet size.
const ACCOUNTS_PER_MESSAGE: usize = 24;

/// An account in messages: a hash of its name.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct AccountId(pub u32);

impl AccountId {
    /// Returns the id of the account with this name.
    pub fn new(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// Whether a request of an account may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may run.
    Admitted,
    /// A permit may arrive within moments.
    Wait,
    /// It is beyond the quota.
    Refused {
        /// Time after which it may be admitted.
        retry_after: Span,
    },
}

/// Other hosts, as far as quotas depend on them.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct QuotaHosts {
    /// Hosts that may be allocators.
    pub candidates: Vec<Ipv4Addr>,
    /// Hosts that have a share, including lost ones, in an order that is the same on all hosts.
    pub owners: Vec<Ipv4Addr>,
    /// Hosts that are stopping.
    pub stopping: Vec<Ipv4Addr>,
}

/// A report that has no response yet.
#[derive(Clone, Copy, Debug)]
struct Asked {
    serial: u64,
    at: Instant,
}

/// This host's share at an allocator.
#[derive(Clone, Copy, Debug)]
struct Delegation {
    allocator: Ipv4Addr,
    until: Instant,
}

/// Quotas of all accounts, as this host keeps them.
#[derive(Clone, Debug)]
pub struct Quotas {
    own: Ipv4Addr,
    started: Instant,
    bounds: AccountBounds,
    accounts: IndexMap<AccountId, LocalAccount>,
    hosts: QuotaHosts,
    serial: u64,
    session: u64,
    allocator: Option<Ipv4Addr>,
    acknowledged: u64,
    delegation: Option<Delegation>,
    asked: Option<Asked>,
    /// Usual time of a response.
    response_time: Span,
    /// Time of the first report since the last response.
    silent_since: Option<Instant>,
    /// Number of reports since the last response.
    unanswered: u32,
    /// Time at which the last response arrived.
    acknowledged_at: Instant,
    /// Time at which the delegation is to be renewed.
    renew_at: Instant,
    silent: IndexMap<Ipv4Addr, Instant>,
    last_report: Instant,
    polled_at: Instant,
    pool: Pool,
    outbox: Vec<Outgoing>,
    stopping: bool,
}

impl Quotas {
    /// Creates the state of the host `own`. `first_serial` must be higher than any serial number of
    /// an earlier process of the host.
    pub fn new(own: Ipv4Addr, first_serial: u64, bounds: AccountBounds, now: Instant) -> Self {
        Self {
            own,
            started: now,
            bounds,
            accounts: IndexMap::new(),
            hosts: QuotaHosts::default(),
            serial: first_serial,
            session: first_serial,
            allocator: None,
            acknowledged: 0,
            delegation: None,
            asked: None,
            response_time: Span::ZERO,
            silent_since: None,
            unanswered: 0,
            acknowledged_at: now,
            renew_at: now,
            silent: IndexMap::new(),
            last_report: now,
            polled_at: Instant::default(),
            pool: Pool::default(),
            outbox: Vec::new(),
            stopping: false,
        }
    }

    /// Sets the bounds.
    pub fn set_bounds(&mut self, bounds: AccountBounds) {
        self.bounds = bounds;
    }

    /// Sets the accounts of the configuration in force. What is known of one whose quota has
    /// changed is forgotten, but for the requests that this host admitted on its own.
    pub fn set_accounts(&mut self, accounts: &[Arc<Account>], now: Instant) {
        let started = self.started;
        let mut before = std::mem::take(&mut self.accounts);
        let limited = accounts.iter().filter_map(|account| Some((account, account.quota?)));
        self.accounts = limited
            .map(|(account, quota)| {
                let id = AccountId::new(&account.name);
                let known = before.swap_remove(&id);
                let mut local = known.unwrap_or_else(|| LocalAccount::new(quota, started, now));
                local.set_quota(quota);
                (id, local)
            })
            .collect();
    }

    /// Whether no account has a quota.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Whether a request of the account may run now; it is counted if so. A request that waits is
    /// asked about again with `is_repeated` set.
    pub fn admit(&mut self, account: AccountId, is_repeated: bool, now: Instant) -> Admission {
        let period = self.own_period(now);
        let Some(local) = self.accounts.get_mut(&account) else { return Admission::Admitted };
        let period = period.filter(|_| pool::has_own(&local.quota(), &self.bounds));
        local.admit(is_repeated, period, now)
    }

    /// Records that a waiting request no longer waits; returns the time after which the caller may
    /// come back.
    pub fn give_up(&mut self, account: AccountId, now: Instant) -> Span {
        let known = self.accounts.get_mut(&account);
        known.map_or(Span::ZERO, |local| local.give_up(now))
    }

    /// Takes back the permit of a request that no leaf has run.
    pub fn give_back(&mut self, account: AccountId) {
        if let Some(local) = self.accounts.get_mut(&account) {
            local.give_back();
        }
    }

    /// Returns the time that one request that this host admits on its own takes from its allowance;
    /// none if it has no allowance.
    fn own_period(&self, now: Instant) -> Option<Span> {
        let allowed = (self.bounds.slack * pool::OWN_PART) as usize;
        let is_owner = self.hosts.owners.iter().take(allowed).any(|ip| *ip == self.own);
        (is_owner && self.has_share(now)).then_some(self.bounds.window + RUN_DELAY)
    }

    /// Whether this host has a share of the quotas.
    fn has_share(&self, now: Instant) -> bool {
        let alone = self.hosts.owners.len() == 1;
        let is_known = alone || now.since(self.started) >= DISCOVERY_TIME;
        !self.stopping && is_known && self.hosts.owners.contains(&self.own)
    }

    /// Stops granting permits, and delegating this host's share.
    pub fn stop_allocating(&mut self) {
        self.stopping = true;
        self.pool.release();
    }

    /// Returns the time at which `poll` is to be called next; none without quotas.
    pub fn next_at(&self, now: Instant) -> Option<Instant> {
        if !self.outbox.is_empty() {
            return Some(now);
        }
        // Which hosts have a share may change without a report.
        let look = (!self.is_empty()).then_some(self.polled_at + RENEWAL_INTERVAL);
        look.into_iter().chain(self.next_report(now)).min()
    }

    /// Returns the time of the next report; none if there is nothing to report.
    fn next_report(&self, now: Instant) -> Option<Instant> {
        let repeat_after = self.response_time.percent(REPEAT_PERCENT).max(MIN_REPEAT_AFTER);
        let report = |local: &LocalAccount| match local.is_waiting() {
            true => Some(self.asked.map_or(now, |asked| asked.at + repeat_after)),
            false => local.is_due(now).then_some(self.last_report + REPORT_INTERVAL),
        };
        let repeat = self.asked.map(|asked| asked.at + RENEWAL_REPEAT_AFTER);
        let renewal = repeat.unwrap_or(self.renew_at);
        let renewal = (!self.is_empty() && self.has_share(now)).then_some(renewal);
        self.accounts.values().filter_map(report).chain(renewal).min()
    }

    /// Sends the reports that are due, and returns all messages to other hosts.
    pub fn poll(&mut self, hosts: &QuotaHosts, now: Instant) -> Vec<Outgoing> {
        self.hosts.clone_from(hosts);
        self.polled_at = now;
        if self.next_report(now).is_some_and(|at| at <= now) {
            self.report(now);
        }
        std::mem::take(&mut self.outbox)
    }

    /// Passes over an allocator that has not responded to its last reports.
    fn update_silent(&mut self, now: Instant) {
        self.silent.retain(|_, until| now < *until);
        if let Some(silent) = self.allocator
            && self.unanswered >= SILENT_REPORTS
            && self.silent_since.is_some_and(|since| now.since(since) >= SILENT_AFTER)
        {
            self.silent.insert(silent, now + SILENT_TIME);
        }
    }

    fn report(&mut self, now: Instant) {
        self.update_silent(now);
        self.choose_allocator();
        let Some(allocator) = self.allocator else { return };
        let delegation = self.delegate(allocator, now);
        let due = self.accounts.iter_mut().filter(|(_, local)| local.is_due(now));
        let usage: Vec<_> = due.map(|(id, local)| local.usage(*id, now)).collect();
        (self.last_report, self.renew_at) = (now, now + RENEWAL_INTERVAL);
        self.unanswered += 1;
        let messages = usage.chunks(ACCOUNTS_PER_MESSAGE);
        let mut messages: Vec<_> = messages.map(<[_]>::to_vec).collect();
        if messages.is_empty() {
            messages.push(Vec::new());
        }
        for usage in messages {
            self.serial += 1;
            let report = Report {
                session: self.session,
                serial: self.serial,
                acknowledged: self.acknowledged,
                delegation,
                owners: self.hosts.owners.len() as u32,
                usage,
            };
            self.asked = Some(Asked { serial: self.serial, at: now });
            self.silent_since.get_or_insert(now);
            self.send(allocator, QuotaMessage::Report(report), now);
        }
    }

    fn send(&mut self, to: Ipv4Addr, message: QuotaMessage, now: Instant) {
        if to == self.own {
            return self.on_message(to, &message, now);
        }
        self.outbox.push(Outgoing { to, message });
    }

    /// Chooses the allocator by a hash that is the same on all hosts. A host that reaches no other
    /// one divides its own share.
    fn choose_allocator(&mut self) {
        let rank = |ip: &Ipv4Addr| xxh3_64_with_seed(b"quotas", ip.to_bits().into());
        let usable =
            |ip: &Ipv4Addr| !self.silent.contains_key(ip) && !self.hosts.stopping.contains(ip);
        let usable = self.hosts.candidates.iter().copied().filter(usable);
        let chosen = usable.max_by_key(rank).unwrap_or(self.own);
        if self.allocator != Some(chosen) {
            self.allocator = Some(chosen);
            self.start_session();
        }
    }

    /// Starts a session with the allocator, in which all permits that are held are reported.
    fn start_session(&mut self) {
        self.serial += 1;
        self.session = self.serial;
        (self.acknowledged, self.asked, self.silent_since) = (0, None, None);
        self.unanswered = 0;
        for local in self.accounts.values_mut() {
            local.start_session();
        }
    }

    /// Delegates this host's share to the allocator if no other one has it; returns the time for
    /// which it has it from the last response on. Before the first response it has nothing.
    fn delegate(&mut self, allocator: Ipv4Addr, now: Instant) -> Span {
        let stopping = &self.hosts.stopping;
        self.delegation.take_if(|delegation| stopping.contains(&delegation.allocator));
        let is_elsewhere = |other: Delegation| other.allocator != allocator && now < other.until;
        if !self.has_share(now) || self.delegation.is_some_and(is_elsewhere) {
            return Span::ZERO;
        }
        if self.acknowledged > 0 {
            let until = self.acknowledged_at + DELEGATION_TIME;
            self.delegation = Some(Delegation { allocator, until });
        }
        DELEGATION_TIME
    }

    /// Handles a message of another host.
    pub fn on_message(&mut self, from: Ipv4Addr, message: &QuotaMessage, now: Instant) {
        match message {
            QuotaMessage::Report(report) if !self.stopping || from == self.own => {
                let owners = self.hosts.owners.len() as u32;
                let accounts = &self.accounts;
                let quota =
                    |id: AccountId| -> Option<Quota> { accounts.get(&id).map(LocalAccount::quota) };
                let pool = &mut self.pool;
                if let Some(grants) = pool.on_report(from, report, owners, &self.bounds, quota, now)
                {
                    self.send(from, QuotaMessage::Grants(grants), now);
                }
            }
            QuotaMessage::Report(_) => {}
            QuotaMessage::Grants(grants) => self.on_grants(from, grants, now),
        }
    }

    fn on_grants(&mut self, from: Ipv4Addr, grants: &Grants, now: Instant) {
        if self.allocator != Some(from) || grants.session != self.session {
            return;
        }
        if grants.is_unknown {
            self.start_session();
            self.renew_at = now;
            return;
        }
        let is_first = self.acknowledged == 0;
        (self.silent_since, self.unanswered) = (None, 0);
        if grants.serial > self.acknowledged {
            self.acknowledged_at = now;
        }
        if is_first {
            let elsewhere = self.delegation.filter(|other| other.allocator != from);
            self.renew_at = elsewhere.map_or(now, |other| other.until.max(now));
        }
        self.acknowledged = self.acknowledged.max(grants.serial);
        if let Some(asked) = self.asked.filter(|asked| asked.serial == grants.serial) {
            self.response_time = (self.response_time * 3 + now.since(asked.at)) / 4;
        }
        self.asked.take_if(|asked| asked.serial <= grants.serial);
        for grant in &grants.grants {
            if let Some(local) = self.accounts.get_mut(&grant.account) {
                local.on_grant(grant, now);
            }
        }
    }

    /// Returns the part of all quotas that is delegated to this host.
    pub fn delegated_share(&self, now: Instant) -> f64 {
        self.pool.share(self.hosts.owners.len() as u32, now)
    }

    /// Returns the ids of accounts that are at their quotas.
    pub fn exhausted(&self, now: Instant) -> IndexSet<AccountId> {
        let exhausted = self.accounts.iter().filter(|(_, local)| local.is_exhausted(now));
        exhausted.map(|(id, _)| *id).collect()
    }
}
