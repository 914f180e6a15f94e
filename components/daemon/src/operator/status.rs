//! The host's status.

use {
    crate::{
        clock,
        control::{directory::KnownHost, gate::Core, stopping},
        operator::OperatorApi,
    },
    wigeonramp_config::{
        AdminState,
        api::{HostStatus, LeafStatus, StatusResponse},
    },
    wigeonramp_control::plan::document_digest,
    wigeonramp_proto::peer::LeafReport,
    wigeonramp_store::ObjectStore,
    wigeonramp_units::{ConfigVersion, Epoch},
};

impl<S: ObjectStore> OperatorApi<S> {
    pub(super) fn status(&self) -> StatusResponse {
        let leaves = self.holders.reports().into_iter().filter_map(leaf).collect();
        let now = clock::now();
        let core = self.gate.core();
        let document = &core.document;
        let configured = document.version > ConfigVersion(0);
        let until = core.rights.session.valid_until();
        let own = core.own(now);
        let others = core.hosts.fresh(core.silent_after(), now);
        StatusResponse {
            host: core.me.host.clone(),
            boot: core.me.boot.clone(),
            zone: core.me.zone.clone(),
            state: stopping::name(core.drain).to_owned(),
            config_version: configured.then_some(document.version),
            config_op: configured.then(|| document.op.clone()),
            config_digest: configured.then(|| document_digest(document)),
            assignment_version: core.assignment.as_ref().map(|assignment| assignment.version.0),
            session_ms: until.filter(|until| now < *until).map(|at| at.since(now).as_millis()),
            store_contact_ms: core.store_contact.map(|at| now.since(at).as_millis()),
            hosts: others.chain([&own]).map(|known| host(&core, known)).collect(),
            leaves,
        }
    }
}

fn host(core: &Core, host: &KnownHost) -> HostStatus {
    let zone = core.document.zones.get(&host.zone);
    let zone_in = zone.is_none_or(|zone| zone.state == AdminState::In);
    let version = host.versions.config;
    HostStatus {
        instance: host.instance.clone(),
        zone: host.zone.clone(),
        caller_address: host.caller_address,
        operator_address: host.operator_address,
        listed: zone_in && !host.leaving,
        leaving: host.leaving,
        config_version: (version > ConfigVersion(0)).then_some(version),
    }
}

fn leaf(report: LeafReport) -> Option<LeafStatus> {
    Some(LeafStatus {
        leaf: report.leaf.parse().ok()?,
        state: report.state,
        epoch: Epoch(report.epoch),
        in_flight: report.in_flight,
        queued: report.queued,
        allowance: report.allowance,
    })
}
