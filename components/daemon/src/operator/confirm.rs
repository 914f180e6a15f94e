//! Confirms plans.

use {
    crate::{
        clock,
        control::{
            host_directory::KnownHost, platform::CallKind, shared_state::HostState,
            watcher::CONFIG_KEY,
        },
        http_server::json_response,
        operator::{OperatorApi, nothing_declared},
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

/// Longest wait for the write and for hosts to report the version. The tool waits 10 s.
const PATIENCE: Span = Span::secs(6);

/// Time after which hosts that have not reported the version are asked again.
const ASK_AGAIN: Span = Span::millis(100);

impl<S: ObjectStore> OperatorApi<S> {
    /// Confirms a plan and waits, within a bound, for the live hosts to report its version.
    pub(super) fn confirm(&self, request: ConfirmRequest) -> Response<Full<Bytes>> {
        let answer = self.confirmed(request.plan);
        json_response(StatusCode::OK, &answer)
    }

    fn confirmed(&self, plan: PlanResponse) -> ConfirmResponse {
        let id = plan.id.clone();
        if let Err(problem) = plan.target.check() {
            return self.refused(&id, format!("target.{problem}"));
        }
        let deadline = clock::now() + PATIENCE;
        let Some(current) = self.current() else {
            let reason = "the configuration in force cannot be read from the store; not written";
            return self.refused(&id, reason.to_owned());
        };
        let expected = live_hosts(&self.shared.lock());
        let (mut confirm, mut step) = Confirmation::start(rules(plan), &current, expected);
        let mut backoff = Backoff::default();
        let outcome = loop {
            step = match step {
                ConfirmStep::Done(outcome) => break outcome,
                ConfirmStep::AwaitHosts => self.await_hosts(&mut confirm, deadline),
                _ if clock::now() >= deadline => break confirm.give_up(),
                ConfirmStep::Write(revision) => self.write(&mut confirm, revision),
                ConfirmStep::Read => {
                    thread::sleep(backoff.next_delay(&mut rng()).to_duration());
                    self.read_back(&mut confirm)
                }
            };
        };
        self.answer(&id, outcome)
    }

    fn write(&self, confirm: &mut Confirmation, revision: Revision) -> ConfirmStep {
        // Revision 0 stands for "nothing was ever written".
        let replaces = (revision != Revision(0)).then_some(revision);
        let result = self.platform.write(CallKind::Plan, CONFIG_KEY, confirm.target(), replaces);
        if matches!(result, WriteResult::Written(_)) {
            self.shared.offer_document(confirm.target().clone(), DocumentSource::Read);
        }
        confirm.on_written(result)
    }

    fn read_back(&self, confirm: &mut Confirmation) -> ConfirmStep {
        let result = match self.platform.read::<Document>(CallKind::Plan, CONFIG_KEY) {
            ReadResult::Missing => ReadResult::Found(nothing_declared()),
            result => result,
        };
        if let ReadResult::Found(found) = &result
            && found.revision != Revision(0)
        {
            self.shared.offer_document(found.value.clone(), DocumentSource::Read);
        }
        confirm.on_read(result)
    }

    fn await_hosts(&self, confirm: &mut Confirmation, deadline: Instant) -> ConfirmStep {
        let wanted = confirm.target().version;
        let mut all = |state: &HostState| {
            reported(state, wanted).find_map(|(host, version)| {
                let step = confirm.on_host_report(&host, version);
                matches!(step, ConfirmStep::Done(_)).then_some(step)
            })
        };
        while clock::now() < deadline {
            self.shared.notify_outdated_hosts();
            let look = deadline.min(clock::now() + ASK_AGAIN);
            if let Some(done) = self.shared.wait_for(look, &mut all) {
                return done;
            }
        }
        ConfirmStep::Done(confirm.give_up())
    }

    fn answer(&self, id: &OpId, outcome: ConfirmOutcome) -> ConfirmResponse {
        match outcome {
            ConfirmOutcome::InForce { version, hosts, missing } => {
                let entry = NewEvent::now(EventKind::PlanInForce).config_version(version);
                let entry = entry.field("plan", id).field("hosts", hosts.len());
                self.shared.record(entry.field("pending", missing.len()));
                let names = |ids: Vec<InstanceId>| ids.iter().map(InstanceId::host).collect();
                ConfirmResponse::InForce { version, hosts: names(hosts), pending: names(missing) }
            }
            ConfirmOutcome::Refused(refusal) => self.refused(id, text(&refusal)),
            ConfirmOutcome::NotKnownYet => {
                let reason = "the store has not said whether the write took effect".to_owned();
                let entry = NewEvent::now(EventKind::PlanNotKnown).field("plan", id);
                self.shared.record(entry);
                let host = self.shared.lock().identity.operator_address;
                let command = format!("wigeonramp status --plan plan-{id}.json --host {host}");
                ConfirmResponse::NotKnownYet { reason, command }
            }
        }
    }

    fn refused(&self, id: &OpId, reason: String) -> ConfirmResponse {
        let entry = NewEvent::now(EventKind::PlanRefused).field("plan", id);
        self.shared.record(entry.field("reason", &reason));
        let version = self.shared.document().version;
        let current = (version > ConfigVersion(0)).then_some(version);
        ConfirmResponse::Refused { reason, current }
    }
}

fn text(refusal: &ConfirmRefusal) -> String {
    match refusal {
        ConfirmRefusal::Plan(err) => err.to_string(),
        ConfirmRefusal::LostRace(op) => format!("operation {op} changed the configuration first"),
        ConfirmRefusal::NoDocument => "there is no configuration in the store any more".to_owned(),
        ConfirmRefusal::StoreUnavailable => "the store did not take the write".to_owned(),
    }
}

/// Changes and cost came back from an operator's hands; nothing is decided by them.
fn rules(plan: PlanResponse) -> Plan {
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
    let own = (state.identity.instance.clone(), state.document.version);
    others.chain([own]).filter(move |(_, version)| *version >= wanted)
}
