//! Messages between hosts about the quotas of accounts.
//!
//! Counts are totals since the start of a session, so that a message may be lost, doubled or late.

use {super::AccountId, crate::accounts::Quota, std::net::Ipv4Addr, wigeonramp_units::Span};

/// One account in a report.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Usage {
    /// The account.
    pub account: AccountId,
    /// Its quota, as the host knows it.
    pub quota: Quota,
    /// Permits that the host has got in this session, with those that it had at the start of it.
    pub granted: u64,
    /// Permits that it has used or returned.
    pub spent: u64,
    /// Those of them that it has returned.
    pub returned: u64,
    /// Requests that wait for a permit.
    pub waiting: u32,
    /// Permits that the host wants to hold.
    pub target: u32,
}

/// Message of a host to the allocator.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// Number of the session of the host with the allocator.
    pub session: u64,
    /// Number of the message; rises.
    pub serial: u64,
    /// Number of the last message that the allocator has responded to; zero for none.
    pub acknowledged: u64,
    /// Time for which the host leaves its share to the allocator, counted from that response; zero
    /// if it has none.
    pub delegation: Span,
    /// Number of hosts that have a share, as the host knows them.
    pub owners: u32,
    /// Accounts whose counts have changed, or of which the host wants permits.
    pub usage: Vec<Usage>,
}

/// Permits of one account.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Grant {
    /// The account.
    pub account: AccountId,
    /// Permits that the host has got in this session.
    pub granted: u64,
    /// Expected time until the next permit if there are too few.
    pub wait: Option<Span>,
}

/// Response of an allocator to a report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Grants {
    /// Session of the report.
    pub session: u64,
    /// Number of the report.
    pub serial: u64,
    /// Whether the allocator does not know the session, as it has restarted. The host starts
    /// another one, in which it reports all permits that it holds.
    pub is_unknown: bool,
    /// Permits of the accounts in the report.
    pub grants: Vec<Grant>,
}

/// A message about quotas.
#[derive(Clone, Debug, PartialEq)]
pub enum QuotaMessage {
    /// To an allocator.
    Report(Report),
    /// From an allocator.
    Grants(Grants),
}

/// A message to another host.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    /// Host that gets the message.
    pub to: Ipv4Addr,
    /// The message.
    pub message: QuotaMessage,
}
