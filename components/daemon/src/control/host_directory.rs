//! Directory of the other hosts, built from their heartbeats and sessions and from the reports of
//! their peers.

use {
    crate::view::HostView,
    rand::{Rng, RngExt},
    std::{collections::BTreeMap, net::SocketAddr},
    thiserror::Error,
    wigeonramp_control::{
        assignment::AssignmentVersion, entry::EntryHost, heartbeat::Versions,
        session::SessionRecord,
    },
    wigeonramp_proto::peer::{Heartbeat, HostReport},
    wigeonramp_units::{ConfigVersion, InstanceId, Instant, Percent, Span, ZoneId},
};

/// Number of host reports in a heartbeat. With 12 heartbeats a second in and out, 4 reports of
/// about 130 bytes use 6 KB/s of the 12 KB/s that control traffic may use.
const REPORTS_PER_HEARTBEAT: usize = 4;
/// Age from which a report is not passed on, so that all hosts forget instances that have ended.
const MAX_REPORT_AGE: Span = Span::secs(30);
/// Age of the last report from which an instance that holds no leaf is forgotten.
const FORGET_AFTER: Span = Span::secs(60);

/// Last known state of an instance.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownHost {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Time on this host's clock of the last heartbeat from the instance to this or another host.
    pub last_heard: Instant,
    /// The instance.
    pub instance: InstanceId,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Share of its query limit in use.
    pub load: Percent,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// Versions that it has adopted.
    pub versions: Versions,
    /// Availability zone of the host.
    pub zone: ZoneId,
}

/// Error of a report whose id or address cannot be parsed.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("host {instance:?}: invalid {field} {found:?}")]
pub struct InvalidReport {
    instance: String,
    field: &'static str,
    found: String,
}

impl KnownHost {
    /// Returns the sender of `heartbeat`, last heard from at `heard`. Fails if an id or address
    /// cannot be parsed.
    pub fn from_heartbeat(heartbeat: &Heartbeat, heard: Instant) -> Result<Self, InvalidReport> {
        let report = HostReport {
            instance: heartbeat.instance.clone(),
            zone: heartbeat.zone.clone(),
            address: heartbeat.address.clone(),
            entry_address: heartbeat.entry_address.clone(),
            operator_address: heartbeat.operator_address.clone(),
            config_version: heartbeat.config_version,
            assignment_version: heartbeat.assignment_version,
            leaving: heartbeat.leaving,
            load_percent: heartbeat.load_percent,
            age_ms: 0,
        };
        Self::from_report(&report, heard)
    }

    /// Returns the host that `report`, received at `now`, describes. Fails if an id or address
    /// cannot be parsed.
    pub fn from_report(report: &HostReport, now: Instant) -> Result<Self, InvalidReport> {
        let invalid = |field, found: &str| InvalidReport {
            instance: report.instance.clone(),
            field,
            found: found.to_owned(),
        };
        let address =
            |field, text: &str| text.parse::<SocketAddr>().map_err(|_| invalid(field, text));
        Ok(Self {
            caller_address: address("entry_address", &report.entry_address)?,
            last_heard: now - Span::millis(report.age_ms),
            instance: report.instance.parse().map_err(|_| invalid("instance", &report.instance))?,
            leaving: report.leaving,
            load: Percent(report.load_percent.min(100)),
            operator_address: address("operator_address", &report.operator_address)?,
            peer_address: address("address", &report.address)?,
            versions: Versions {
                config: ConfigVersion(report.config_version),
                assignment: AssignmentVersion(report.assignment_version),
            },
            zone: report.zone.parse().map_err(|_| invalid("zone", &report.zone))?,
        })
    }

    /// Returns the host that wrote a session object, which was read at `now`.
    pub fn from_session(record: &SessionRecord, now: Instant) -> Self {
        Self {
            caller_address: record.caller_address,
            last_heard: now,
            instance: record.instance.clone(),
            leaving: record.leaving,
            load: record.load_percent,
            operator_address: record.operator_address,
            peer_address: record.peer_address,
            versions: Versions {
                config: record.config_version,
                assignment: AssignmentVersion::default(),
            },
            zone: record.zone.clone(),
        }
    }

    /// Returns the report on this host for a heartbeat sent at `now`.
    pub fn to_report(&self, now: Instant) -> HostReport {
        HostReport {
            instance: self.instance.as_str().to_owned(),
            zone: self.zone.as_str().to_owned(),
            address: self.peer_address.to_string(),
            entry_address: self.caller_address.to_string(),
            operator_address: self.operator_address.to_string(),
            config_version: self.versions.config.get(),
            assignment_version: self.versions.assignment.0,
            leaving: self.leaving,
            load_percent: self.load.get(),
            age_ms: now.since(self.last_heard).as_millis(),
        }
    }

    /// Returns the view of this host for the data path.
    pub fn to_view(&self) -> HostView {
        HostView {
            caller_address: self.caller_address,
            host: self.instance.host(),
            instance: self.instance.clone(),
            leaving: self.leaving,
            load: self.load,
            peer_address: self.peer_address,
            zone: self.zone.clone(),
        }
    }

    /// Returns this host as a candidate for callers.
    pub fn to_entry_host(&self, zone_in_service: bool) -> EntryHost {
        EntryHost {
            host: self.instance.host(),
            zone: self.zone.clone(),
            zone_in_service,
            address: self.caller_address,
            load: self.load,
            leaving: self.leaving,
            last_heard: self.last_heard,
        }
    }
}

/// All known instances except the instance of this host.
#[derive(Clone, Debug, Default)]
pub struct HostDirectory {
    hosts: BTreeMap<InstanceId, KnownHost>,
}

impl HostDirectory {
    /// Merges a report on a host. Returns whether the host is new or has begun to leave.
    pub fn update(&mut self, host: KnownHost) -> bool {
        let Some(known) = self.hosts.get_mut(&host.instance) else {
            self.hosts.insert(host.instance.clone(), host);
            return true;
        };
        // Versions only increase and a stop is never revoked, whichever report is newer.
        let starts_leaving = host.leaving && !known.leaving;
        let versions = known.versions.merged(host.versions);
        let leaving = known.leaving || host.leaving;
        if host.last_heard > known.last_heard {
            *known = host;
        }
        known.versions = versions;
        known.leaving = leaving;
        starts_leaving
    }

    /// Returns the last known state of `instance`.
    pub fn get(&self, instance: &InstanceId) -> Option<&KnownHost> {
        self.hosts.get(instance)
    }

    /// All known instances.
    pub fn all(&self) -> impl Iterator<Item = &KnownHost> {
        self.hosts.values()
    }

    /// Instances heard from within `age`.
    pub fn heard_within(&self, age: Span, now: Instant) -> impl Iterator<Item = &KnownHost> {
        self.hosts.values().filter(move |host| now.since(host.last_heard) < age)
    }

    /// Chooses random hosts to report in a heartbeat, including one assigner if any is known.
    ///
    /// With 570 hosts, a purely random choice leaves a fifth of them without a recent report on any
    /// assigner, and each of these then reads the assignment and sessions from the platform.
    pub fn choose_reports(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        is_assigner: impl Fn(&InstanceId) -> bool,
    ) -> Vec<HostReport> {
        let (mut assigners, mut others): (Vec<_>, Vec<_>) =
            self.heard_within(MAX_REPORT_AGE, now).partition(|host| is_assigner(&host.instance));
        let mut chosen = Vec::with_capacity(REPORTS_PER_HEARTBEAT);
        chosen.extend(take_random(&mut assigners, rng));
        others.append(&mut assigners);
        while chosen.len() < REPORTS_PER_HEARTBEAT {
            let Some(host) = take_random(&mut others, rng) else { break };
            chosen.push(host);
        }
        chosen.into_iter().map(|host| host.to_report(now)).collect()
    }

    /// Removes instances that have long been silent, except those for which `keep` is true.
    pub fn prune(&mut self, now: Instant, keep: impl Fn(&InstanceId) -> bool) {
        self.hosts.retain(|id, host| now.since(host.last_heard) < FORGET_AFTER || keep(id));
    }
}

fn take_random<'a>(hosts: &mut Vec<&'a KnownHost>, rng: &mut impl Rng) -> Option<&'a KnownHost> {
    let last = hosts.len().checked_sub(1)?;
    Some(hosts.swap_remove(rng.random_range(0..=last)))
}
