//! Confirms plans: writes the target document and waits for the hosts to adopt it.

use {
    crate::{
        clock,
        control::{
            host_directory::KnownHost, platform::CallKind, shared_state::HostState,
            watcher::CONFIG_KEY,
        },
        http_server::json_response,
        operator::{OperatorApi, empty_document},
    },
    bytes::Bytes,
    http::{Response, StatusCode},
    http_body_util::Full,
    rand::rng,
    std::{collections::BTreeSet, thread},
    wigeonramp_config::{
        Document,
        api::{ConfirmRequest, ConfirmResponse, PlanResponse},
    },
    wigeonramp_control::{
        adoption::DocumentSource,
        backoff::Backoff,
        plan::{Capacity, ConfirmOutcome, ConfirmRefusal, ConfirmStep, Confirmation, Cost, Plan},
        store_result::{ReadResult, WriteResult},
    },
    wigeonramp_store::ObjectStore,
    wigeonramp_telemetry::timeline::{EventKind, NewEvent},
    wigeonramp_units::{ConfigVersion, InstanceId, Instant, OpId, Revision, Span},
};

/// Maximum wait for the write and for hosts to report the version. It is below the 10 s that the
/// command-line tool waits.
const CONFIRM_TIMEOUT: Span = Span::secs(6);

/// Interval between heartbeats to hosts that have not reported the version.
const HEARTBEAT_INTERVAL: Span = Span::millis(100);

impl<S: ObjectStore> OperatorApi<S> {
    /// Confirms a plan and waits up to `CONFIRM_TIMEOUT` for the live hosts to report its version.
    pub(super) fn confirm(&self, request: ConfirmRequest) -> Response<Full<Bytes>> {
        let response = self.confirm_plan(request.plan);
        json_response(StatusCode::OK, &response)
    }

    fn confirm_plan(&self, plan: PlanResponse) -> ConfirmResponse {
        let id = plan.id.clone();
        if let Err(problem) = plan.target.check() {
            return self.refused(&id, format!("target.{problem}"));
        }
        let deadline = clock::now() + CONFIRM_TIMEOUT;
        let Some(current) = self.read_stored_document() else {
            let reason = "the configuration in force cannot be read from the store; not written";
            return self.refused(&id, reason.to_owned());
        };
        let expected = live_hosts(&self.shared.lock());
        let (mut confirmation, mut step) = Confirmation::start(to_plan(plan), &current, expected);
        let mut backoff = Backoff::default();
        let outcome = loop {
            step = match step {
                ConfirmStep::Done(outcome) => break outcome,
                ConfirmStep::AwaitHosts => self.await_hosts(&mut confirmation, deadline),
                _ if clock::now() >= deadline => break confirmation.give_up(),
                ConfirmStep::Write(revision) => self.write(&mut confirmation, revision),
                ConfirmStep::Read => {
                    thread::sleep(backoff.next_delay(&mut rng()).to_duration());
                    self.read_back(&mut confirmation)
                }
            };
        };
        self.response(&id, outcome)
    }

    fn write(&self, confirmation: &mut Confirmation, revision: Revision) -> ConfirmStep {
        // Revision 0 means that no document was ever written.
        let replaces = (revision != Revision(0)).then_some(revision);
        let result =
            self.platform.write(CallKind::Plan, CONFIG_KEY, confirmation.target(), replaces);
        if matches!(result, WriteResult::Written(_)) {
            self.shared.offer_document(confirmation.target().clone(), DocumentSource::Read);
        }
        confirmation.on_written(result)
    }

    fn read_back(&self, confirmation: &mut Confirmation) -> ConfirmStep {
        let result = match self.platform.read::<Document>(CallKind::Plan, CONFIG_KEY) {
            ReadResult::Missing => ReadResult::Found(empty_document()),
            result => result,
        };
        if let ReadResult::Found(found) = &result
            && found.revision != Revision(0)
        {
            self.shared.offer_document(found.value.clone(), DocumentSource::Read);
        }
        confirmation.on_read(result)
    }

    fn await_hosts(&self, confirmation: &mut Confirmation, deadline: Instant) -> ConfirmStep {
        let wanted = confirmation.target().version;
        let mut next_step = |state: &HostState| {
            reported(state, wanted).find_map(|(host, version)| {
                let step = confirmation.on_host_report(&host, version);
                matches!(step, ConfirmStep::Done(_)).then_some(step)
            })
        };
        while clock::now() < deadline {
            self.shared.notify_outdated_hosts();
            let wait_end = deadline.min(clock::now() + HEARTBEAT_INTERVAL);
            if let Some(done) = self.shared.wait_for(wait_end, &mut next_step) {
                return done;
            }
        }
        ConfirmStep::Done(confirmation.give_up())
    }

    fn response(&self, id: &OpId, outcome: ConfirmOutcome) -> ConfirmResponse {
        match outcome {
            ConfirmOutcome::InForce { version, hosts, missing } => {
                let event = NewEvent::now(EventKind::PlanInForce).config_version(version);
                let event = event.field("plan", id).field("hosts", hosts.len());
                self.shared.record(event.field("pending", missing.len()));
                let names = |ids: Vec<InstanceId>| ids.iter().map(InstanceId::host).collect();
                ConfirmResponse::InForce { version, hosts: names(hosts), pending: names(missing) }
            }
            ConfirmOutcome::Refused(refusal) => self.refused(id, refusal_reason(&refusal)),
            ConfirmOutcome::NotKnownYet => {
                let reason = "the store has not confirmed whether the write took effect".to_owned();
                let event = NewEvent::now(EventKind::PlanNotKnown).field("plan", id);
                self.shared.record(event);
                let host = self.shared.lock().identity.operator_address;
                let command = format!("wigeonramp status --plan plan-{id}.json --host {host}");
                ConfirmResponse::NotKnownYet { reason, command }
            }
        }
    }

    fn refused(&self, id: &OpId, reason: String) -> ConfirmResponse {
        let event = NewEvent::now(EventKind::PlanRefused).field("plan", id);
        self.shared.record(event.field("reason", &reason));
        let version = self.shared.document().version;
        let current = (version > ConfigVersion(0)).then_some(version);
        ConfirmResponse::Refused { reason, current }
    }
}

fn refusal_reason(refusal: &ConfirmRefusal) -> String {
    match refusal {
        ConfirmRefusal::Plan(err) => err.to_string(),
        ConfirmRefusal::LostRace(op) => format!("operation {op} changed the configuration first"),
        ConfirmRefusal::NoDocument => "the configuration is no longer in the store".to_owned(),
        ConfirmRefusal::StoreUnavailable => "the store did not accept the write".to_owned(),
    }
}

/// Converts a plan that an operator sent back. Its changes and cost are not trusted and not needed
/// to confirm it, so they are left out.
fn to_plan(plan: PlanResponse) -> Plan {
    let capacity = Capacity::of(&plan.target);
    let cost = Cost { leaves_moved: 0, before: capacity.clone(), after: capacity };
    Plan {
        id: plan.id,
        base: plan.base_version,
        base_digest: plan.base_digest,
        target: plan.target,
        changes: Vec::new(),
        cost,
        allow_coverage_loss: plan.allow_coverage_loss,
    }
}

fn live_hosts(state: &HostState) -> BTreeSet<InstanceId> {
    let others = state.hosts.heard_within(state.silent_after(), clock::now());
    let staying = others.filter(|host| !host.leaving).map(|host| host.instance.clone());
    staying.chain([state.identity.instance.clone()]).collect()
}

fn reported(
    state: &HostState,
    wanted: ConfigVersion,
) -> impl Iterator<Item = (InstanceId, ConfigVersion)> {
    let version = |host: &KnownHost| (host.instance.clone(), host.versions.config);
    let others = state.hosts.heard_within(state.silent_after(), clock::now()).map(version);
    let this_host = (state.identity.instance.clone(), state.document.version);
    others.chain([this_host]).filter(move |(_, version)| *version >= wanted)
}
