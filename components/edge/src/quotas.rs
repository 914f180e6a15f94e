//! Quotas of accounts: requests that wait for a permit, the messages between hosts, log lines and
//! metrics.

mod messages;

pub(crate) use messages::QuotasMessage;

use {
    crate::{
        callers::{CallerConn, Phase},
        node::Node,
        requests::{AcceptedRequest, Request},
    },
    indexmap::{IndexMap, IndexSet},
    serde_json::json,
    std::net::Ipv4Addr,
    wigeonramp_routing::{
        accounts::Account,
        catalog::Catalog,
        quotas::{AccountId, Admission, QuotaHosts, Quotas},
        reply::{Cause, Reply},
    },
    wigeonramp_units::{Instant, Span},
};

/// Longest wait for a permit. Hosts respond to each other within 2 to 11 ms on the network, and
/// small ones react some milliseconds late.
const MAX_WAIT: Span = Span::millis(40);
/// Part of the target latency and of the time until the deadline that a request waits at most, in
/// percent.
const MAX_WAIT_PERCENT: u64 = 50;
/// Time for which the hosts that quotas depend on are not looked up again.
const HOSTS_INTERVAL: Span = Span::millis(100);
/// Number of accounts with metrics of their own: those with the largest quotas.
const MAX_LABELED: usize = 20;

/// A request that waits for a permit.
#[derive(Debug)]
struct Waiting {
    request: AcceptedRequest,
    account: AccountId,
    until: Instant,
}

/// Quotas of accounts on this host.
#[derive(Debug)]
pub(crate) struct QuotaState {
    pub quotas: Quotas,
    waiting: Vec<Waiting>,
    hosts: QuotaHosts,
    hosts_at: Option<Instant>,
    /// Accounts that were at their quotas at the last sweep.
    exhausted: IndexSet<AccountId>,
    /// Requests that were refused since then, by account.
    refused: IndexMap<AccountId, u64>,
}

impl QuotaState {
    pub fn new(quotas: Quotas) -> Self {
        Self {
            quotas,
            waiting: Vec::new(),
            hosts: QuotaHosts::default(),
            hosts_at: None,
            exhausted: IndexSet::new(),
            refused: IndexMap::new(),
        }
    }
}

impl Node {
    /// Adopts the accounts of a configuration.
    pub(crate) fn adopt_accounts(&mut self, catalog: &Catalog) {
        let accounts = catalog.accounts.as_deref().unwrap_or_default();
        self.quota_state.quotas.set_accounts(accounts, self.now);
        let mut largest: Vec<&Account> = accounts.iter().map(AsRef::as_ref).collect();
        largest.sort_by_key(|account| std::cmp::Reverse(account.quota.map(|quota| quota.rate)));
        let names = largest.into_iter().take(MAX_LABELED).map(|account| account.name.clone());
        self.metrics.label_accounts(names);
    }

    /// Starts a request if its account is within its quota; otherwise the request waits for a
    /// permit, or is refused.
    pub(crate) fn admit_to_quota(&mut self, request: AcceptedRequest) {
        let account = request.account.as_ref().filter(|account| account.quota.is_some());
        let Some(id) = account.map(|account| AccountId::new(&account.name)) else {
            return self.start_request(request);
        };
        match self.quota_state.quotas.admit(id, false, self.now) {
            Admission::Admitted => self.start_request(request),
            Admission::Refused { retry_after } => self.refuse_over_quota(&request, id, retry_after),
            Admission::Wait => {
                let route = &request.route;
                let time = request.head.time_left.unwrap_or(route.timeout);
                let time = time.min(route.target_latency).percent(MAX_WAIT_PERCENT).min(MAX_WAIT);
                if let Some(conn) = self.callers.get_mut(request.caller) {
                    let bytes = request.head.held_bytes() + request.body.capacity();
                    conn.phase = Phase::AwaitingQuota(bytes);
                }
                self.charge_caller(request.caller);
                let until = self.now + time;
                self.quota_state.waiting.push(Waiting { request, account: id, until });
            }
        }
    }

    /// Decides again on the requests that wait.
    fn resume_awaiting_quota(&mut self) {
        let now = self.now;
        for waiting in std::mem::take(&mut self.quota_state.waiting) {
            let (id, caller) = (waiting.account, waiting.request.caller);
            let is_current = |conn: &CallerConn| {
                conn.serial == waiting.request.caller_serial
                    && matches!(conn.phase, Phase::AwaitingQuota(_))
            };
            if !self.callers.get(caller).is_some_and(is_current) {
                self.quota_state.quotas.give_up(id, now);
                continue;
            }
            match self.quota_state.quotas.admit(id, true, now) {
                Admission::Wait if now < waiting.until => {
                    self.quota_state.waiting.push(waiting);
                    continue;
                }
                Admission::Wait => {
                    let retry_after = self.quota_state.quotas.give_up(id, now);
                    self.refuse_over_quota(&waiting.request, id, retry_after);
                }
                Admission::Admitted => self.start_request(waiting.request),
                Admission::Refused { retry_after } => {
                    self.refuse_over_quota(&waiting.request, id, retry_after);
                }
            }
            self.charge_caller(caller);
            self.resume_caller(caller);
        }
    }

    fn refuse_over_quota(&mut self, request: &AcceptedRequest, id: AccountId, retry_after: Span) {
        *self.quota_state.refused.entry(id).or_default() += 1;
        if let Some(account) = &request.account {
            self.metrics.count_account(&account.name, "over_quota");
        }
        let reply = Reply::Refused { cause: Cause::OverQuota, retry_after };
        let AcceptedRequest { caller, head, arrived, route, account, .. } = request;
        let (route, account) = (Some(route.name.as_str()), account.as_deref());
        self.refuse_request(*caller, head, &reply, route, account, *arrived);
    }

    /// Counts the reply to a request, and takes back its permit if no leaf has run it.
    pub(crate) fn settle_quota(&mut self, key: usize, reply: &Reply) {
        let Some(Request { account: Some(account), .. }) = self.requests.get(key) else { return };
        let is_refused = matches!(reply, Reply::Refused { .. });
        self.metrics.count_account(&account.name, if is_refused { "refused" } else { "sent" });
        if is_refused && account.quota.is_some() {
            self.quota_state.quotas.give_back(AccountId::new(&account.name));
        }
    }

    /// Handles the messages about quotas in a datagram of the host `from`.
    pub(crate) fn on_quota_messages(&mut self, from: Ipv4Addr, messages: &QuotasMessage) {
        for message in messages.messages() {
            self.quota_state.quotas.on_message(from, &message, self.now);
        }
        self.resume_awaiting_quota();
    }

    /// Returns the time at which messages about quotas are due, or a request waits no longer.
    pub(crate) fn next_quota_message(&self) -> Option<Instant> {
        let waits = self.quota_state.waiting.iter().map(|waiting| waiting.until);
        waits.chain(self.quota_state.quotas.next_at(self.now)).min()
    }

    /// Sends the messages about quotas that are due, and ends the waits that are over.
    pub(crate) fn send_quota_messages(&mut self) {
        if self.next_quota_message().is_none_or(|at| at > self.now) {
            return;
        }
        let is_recent = |at: Instant| self.now.since(at) < HOSTS_INTERVAL;
        if !self.quota_state.hosts_at.is_some_and(is_recent) {
            self.quota_state.hosts = self.members.quota_hosts(self.now);
            self.quota_state.hosts_at = Some(self.now);
        }
        let QuotaState { quotas, hosts, .. } = &mut self.quota_state;
        for out in quotas.poll(hosts, self.now) {
            self.send_quotas(out.to, QuotasMessage::from(&out.message));
        }
        self.resume_awaiting_quota();
        self.process_ended_attempts();
    }

    /// Logs the accounts that have reached their quotas, and those that are within them again.
    pub(crate) fn report_quotas(&mut self) {
        let exhausted = self.quota_state.quotas.exhausted(self.now);
        let before = std::mem::replace(&mut self.quota_state.exhausted, exhausted.clone());
        if before == exhausted {
            return;
        }
        let catalog = self.active_catalog.current().cloned();
        let accounts = catalog.as_ref().and_then(|catalog| catalog.accounts.as_deref());
        for account in accounts.unwrap_or_default() {
            let id = AccountId::new(&account.name);
            let state = match (before.contains(&id), exhausted.contains(&id)) {
                (false, true) => "exceeded",
                (true, false) => "within",
                _ => continue,
            };
            let quota = account.quota.map(|quota| (quota.rate, quota.burst)).unzip();
            let refused = self.quota_state.refused.swap_remove(&id);
            let fields = json!({
                "account": account.name, "state": state, "rate": quota.0, "burst": quota.1,
                "refused": refused,
            });
            self.journal.record("quota", fields, self.now);
        }
        self.quota_state.refused.retain(|id, _| exhausted.contains(id));
    }
}
