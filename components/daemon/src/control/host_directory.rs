//! Hosts that this host knows, from their heartbeats and from what others heard of them.

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

/// Hosts named in a heartbeat. With 12 heartbeats a second in and out, 4 reports of about 130 bytes
/// are 6 KB/s of the 12 KB/s that control may use.
const REPORTS: usize = 4;
/// Age from which a report is not passed on, so that ended instances are forgotten everywhere.
const REPORT_AGE: Span = Span::secs(30);
/// Age from which an instance that holds nothing is forgotten.
const FORGET_AGE: Span = Span::secs(60);

/// One instance, as last heard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KnownHost {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// When it was last heard, directly or by another host; on this host's clock.
    pub last_heard: Instant,
    /// The instance.
    pub instance: InstanceId,
    /// Whether it is stopping.
    pub leaving: bool,
    /// Share of its request workers in use.
    pub load: Percent,
    /// Where operators connect.
    pub operator_address: SocketAddr,
    /// Where peers connect.
    pub peer_address: SocketAddr,
    /// Versions that it knows.
    pub versions: Versions,
    /// Where it stands.
    pub zone: ZoneId,
}

/// A message that does not describe a host.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("host {instance:?}: {field} is {found:?}, which cannot be read")]
pub struct InvalidReport {
    instance: String,
    field: &'static str,
    found: String,
}

impl KnownHost {
    /// The sender of `heartbeat`, heard at `heard`. Fails like `from_report`.
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

    /// The host in `report`, which arrived at `now`. Fails if an id or address cannot be read.
    pub fn from_report(report: &HostReport, now: Instant) -> Result<Self, InvalidReport> {
        let bad = |field, found: &str| InvalidReport {
            instance: report.instance.clone(),
            field,
            found: found.to_owned(),
        };
        let address = |field, text: &str| text.parse::<SocketAddr>().map_err(|_| bad(field, text));
        Ok(Self {
            caller_address: address("entry_address", &report.entry_address)?,
            last_heard: now - Span::millis(report.age_ms),
            instance: report.instance.parse().map_err(|_| bad("instance", &report.instance))?,
            leaving: report.leaving,
            load: Percent(report.load_percent.min(100)),
            operator_address: address("operator_address", &report.operator_address)?,
            peer_address: address("address", &report.address)?,
            versions: Versions {
                config: ConfigVersion(report.config_version),
                assignment: AssignmentVersion(report.assignment_version),
            },
            zone: report.zone.parse().map_err(|_| bad("zone", &report.zone))?,
        })
    }

    /// The owner of a session that was read at `now`.
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

    /// The host for a heartbeat sent at `now`.
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

    /// The host for the data path.
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

    /// The host as a candidate for callers.
    pub fn to_entry_host(&self, zone_in: bool) -> EntryHost {
        EntryHost {
            host: self.instance.host(),
            zone: self.zone.clone(),
            zone_in_service: zone_in,
            address: self.caller_address,
            load: self.load,
            leaving: self.leaving,
            last_heard: self.last_heard,
        }
    }
}

/// All known instances, this host's own not included.
#[derive(Clone, Debug, Default)]
pub struct HostDirectory {
    hosts: BTreeMap<InstanceId, KnownHost>,
}

impl HostDirectory {
    /// Takes what was heard of a host; returns whether hosts were added or began to leave.
    pub fn update(&mut self, host: KnownHost) -> bool {
        let Some(known) = self.hosts.get_mut(&host.instance) else {
            self.hosts.insert(host.instance.clone(), host);
            return true;
        };
        // Versions only rise and a stop is never taken back, whichever report is the newer one.
        let began_to_leave = host.leaving && !known.leaving;
        let versions = known.versions.merged(host.versions);
        let leaving = known.leaving || host.leaving;
        if host.last_heard > known.last_heard {
            *known = host;
        }
        known.versions = versions;
        known.leaving = leaving;
        began_to_leave
    }

    /// What is known of `instance`.
    pub fn get(&self, instance: &InstanceId) -> Option<&KnownHost> {
        self.hosts.get(instance)
    }

    /// All known instances.
    pub fn all(&self) -> impl Iterator<Item = &KnownHost> {
        self.hosts.values()
    }

    /// Instances heard within `age`.
    pub fn heard_within(&self, age: Span, now: Instant) -> impl Iterator<Item = &KnownHost> {
        self.hosts.values().filter(move |host| now.since(host.last_heard) < age)
    }

    /// Some hosts to name in a heartbeat; one of those that `is_assigner` names is among them.
    ///
    /// With 570 hosts a random choice alone leaves a fifth of them without fresh news of any
    /// assigner, and each of these then reads the assignment and sessions from the platform.
    pub fn choose_reports(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        is_assigner: impl Fn(&InstanceId) -> bool,
    ) -> Vec<HostReport> {
        let (mut assigners, mut others): (Vec<_>, Vec<_>) =
            self.heard_within(REPORT_AGE, now).partition(|host| is_assigner(&host.instance));
        let mut chosen = Vec::with_capacity(REPORTS);
        chosen.extend(take_random(&mut assigners, rng));
        others.append(&mut assigners);
        while chosen.len() < REPORTS {
            let Some(host) = take_random(&mut others, rng) else { break };
            chosen.push(host);
        }
        chosen.into_iter().map(|host| host.to_report(now)).collect()
    }

    /// Forgets instances that have long been silent and that `keep` does not name.
    pub fn prune(&mut self, now: Instant, keep: impl Fn(&InstanceId) -> bool) {
        self.hosts.retain(|id, host| now.since(host.last_heard) < FORGET_AGE || keep(id));
    }
}

fn take_random<'a>(hosts: &mut Vec<&'a KnownHost>, rng: &mut impl Rng) -> Option<&'a KnownHost> {
    let last = hosts.len().checked_sub(1)?;
    Some(hosts.swap_remove(rng.random_range(0..=last)))
}
