//! Reports the status of the host.

use {
    crate::{
        clock,
        control::{drain, host_directory::KnownHost, shared_state::HostState},
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
        let leaves = self.held_leaves.reports().into_iter().filter_map(leaf_status).collect();
        let now = clock::now();
        let state = self.shared.lock();
        let document = &state.document;
        let configured = document.version > ConfigVersion(0);
        let until = state.rights.session.valid_until();
        let this_host = state.this_host(now);
        let others = state.hosts.heard_within(state.silent_after(), now);
        StatusResponse {
            host: state.identity.host.clone(),
            boot: state.identity.boot.clone(),
            zone: state.identity.zone.clone(),
            state: drain::state_name(state.drain).to_owned(),
            config_version: configured.then_some(document.version),
            config_op: configured.then(|| document.op.clone()),
            config_digest: configured.then(|| document_digest(document)),
            assignment_version: state.assignment.as_ref().map(|assignment| assignment.version.0),
            session_ms: until.filter(|until| now < *until).map(|at| at.since(now).as_millis()),
            store_contact_ms: state.store_contact.map(|at| now.since(at).as_millis()),
            hosts: others.chain([&this_host]).map(|host| host_status(&state, host)).collect(),
            leaves,
        }
    }
}

fn host_status(state: &HostState, host: &KnownHost) -> HostStatus {
    let zone = state.document.zones.get(&host.zone);
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

fn leaf_status(report: LeafReport) -> Option<LeafStatus> {
    Some(LeafStatus {
        leaf: report.leaf.parse().ok()?,
        state: report.state,
        epoch: Epoch(report.epoch),
        in_flight: report.in_flight,
        queued: report.queued,
        allowance: report.allowance,
    })
}
