//! Encoding of the messages about quotas.

use {
    crate::clock::millis,
    wigeonramp_routing::{
        accounts::Quota,
        quotas::{
            AccountId,
            messages::{Grant, Grants, QuotaMessage, Report, Usage},
        },
    },
    wigeonramp_units::{RequestRate, Span},
};

/// One account in a report.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct UsageMessage {
    #[prost(fixed32, tag = "1")]
    account: u32,
    #[prost(float, tag = "2")]
    rate: f32,
    #[prost(float, tag = "3")]
    burst: f32,
    #[prost(uint64, tag = "4")]
    granted: u64,
    #[prost(uint64, tag = "5")]
    spent: u64,
    #[prost(uint64, tag = "6")]
    returned: u64,
    #[prost(uint32, tag = "7")]
    waiting: u32,
    #[prost(uint32, tag = "8")]
    target: u32,
}

/// Message of a host to the allocator.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReportMessage {
    #[prost(uint64, tag = "1")]
    session: u64,
    /// Number of the message in the session.
    #[prost(uint64, tag = "2")]
    number: u64,
    /// Number of the last message in the session with a response; zero for none.
    #[prost(uint64, tag = "3")]
    acknowledged: u64,
    /// Milliseconds for which the sender delegates its share.
    #[prost(uint32, tag = "4")]
    delegation: u32,
    #[prost(uint32, tag = "5")]
    owners: u32,
    #[prost(message, repeated, tag = "6")]
    usage: Vec<UsageMessage>,
}

/// Permits of one account.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct GrantMessage {
    #[prost(fixed32, tag = "1")]
    account: u32,
    #[prost(uint64, tag = "2")]
    granted: u64,
    /// Milliseconds until the next permit; absent if there are enough.
    #[prost(uint32, optional, tag = "3")]
    wait: Option<u32>,
}

/// Response of an allocator.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct GrantsMessage {
    #[prost(uint64, tag = "1")]
    session: u64,
    #[prost(uint64, tag = "2")]
    number: u64,
    #[prost(message, repeated, tag = "3")]
    grants: Vec<GrantMessage>,
    #[prost(bool, tag = "4")]
    is_unknown: bool,
}

/// A message about quotas in a datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct QuotasMessage {
    #[prost(message, optional, tag = "1")]
    pub report: Option<ReportMessage>,
    #[prost(message, optional, tag = "2")]
    pub grants: Option<GrantsMessage>,
}

impl From<&Usage> for UsageMessage {
    fn from(usage: &Usage) -> Self {
        Self {
            account: usage.account.0,
            rate: usage.quota.rate.per_second() as f32,
            burst: usage.quota.burst as f32,
            granted: usage.granted,
            spent: usage.spent,
            returned: usage.returned,
            waiting: usage.waiting,
            target: usage.target,
        }
    }
}

impl UsageMessage {
    /// Converts the message; returns `None` if the quota is invalid.
    fn usage(&self) -> Option<Usage> {
        let rate = RequestRate::new(self.rate.into())?;
        let burst = RequestRate::new(self.burst.into())?.per_second();
        Some(Usage {
            account: AccountId(self.account),
            quota: Quota { rate, burst },
            granted: self.granted,
            spent: self.spent,
            returned: self.returned,
            waiting: self.waiting,
            target: self.target,
        })
    }
}

impl From<&Report> for ReportMessage {
    fn from(report: &Report) -> Self {
        Self {
            session: report.session,
            number: report.serial.saturating_sub(report.session),
            acknowledged: report.acknowledged.saturating_sub(report.session),
            delegation: millis(report.delegation),
            owners: report.owners,
            usage: report.usage.iter().map(UsageMessage::from).collect(),
        }
    }
}

impl From<&Grants> for GrantsMessage {
    fn from(grants: &Grants) -> Self {
        let grant = |grant: &Grant| GrantMessage {
            account: grant.account.0,
            granted: grant.granted,
            wait: grant.wait.map(|wait| millis(wait).saturating_add(1)),
        };
        Self {
            session: grants.session,
            number: grants.serial.saturating_sub(grants.session),
            grants: grants.grants.iter().map(grant).collect(),
            is_unknown: grants.is_unknown,
        }
    }
}

impl ReportMessage {
    fn report(&self) -> Report {
        let acknowledged = Some(self.acknowledged).filter(|number| *number > 0);
        Report {
            session: self.session,
            serial: self.session.saturating_add(self.number),
            acknowledged: acknowledged.map_or(0, |number| self.session.saturating_add(number)),
            delegation: Span::millis(self.delegation.into()),
            owners: self.owners,
            usage: self.usage.iter().filter_map(UsageMessage::usage).collect(),
        }
    }
}

impl GrantsMessage {
    fn grants(&self) -> Grants {
        let grant = |grant: &GrantMessage| Grant {
            account: AccountId(grant.account),
            granted: grant.granted,
            wait: grant.wait.map(|wait| Span::millis(wait.into())),
        };
        Grants {
            session: self.session,
            serial: self.session.saturating_add(self.number),
            grants: self.grants.iter().map(grant).collect(),
            is_unknown: self.is_unknown,
        }
    }
}

impl From<&QuotaMessage> for QuotasMessage {
    fn from(message: &QuotaMessage) -> Self {
        match message {
            QuotaMessage::Report(report) => Self { report: Some(report.into()), grants: None },
            QuotaMessage::Grants(grants) => Self { report: None, grants: Some(grants.into()) },
        }
    }
}

impl QuotasMessage {
    /// Returns the messages.
    pub fn messages(&self) -> impl Iterator<Item = QuotaMessage> {
        let report = self.report.iter().map(|report| QuotaMessage::Report(report.report()));
        report.chain(self.grants.iter().map(|grants| QuotaMessage::Grants(grants.grants())))
    }
}
