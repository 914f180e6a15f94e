//! Creates plans from the intents of operators.

use {
    crate::{
        control::shared_state::HostState,
        http_server::json_response,
        operator::{ApiResult, OperatorApi, Rejection},
    },
    http::StatusCode,
    indexmap::IndexMap,
    wigeonramp_config::{
        Document,
        api::{PlanCost, PlanRequest, PlanResponse},
        diff,
    },
    wigeonramp_control::plan::Plan,
    wigeonramp_store::ObjectStore,
    wigeonramp_telemetry::timeline::{EventKind, NewEvent},
    wigeonramp_units::{InstanceId, LeafId, ZoneId},
};

impl<S: ObjectStore> OperatorApi<S> {
    /// Creates the plan for an intent, without changing anything.
    pub(super) fn plan(&self, request: PlanRequest) -> ApiResult {
        let PlanRequest { intent, allow_coverage_loss } = request;
        let Some(base) = self.read_stored_document() else {
            let reason = "the configuration in force cannot be read from the store";
            return Err(Rejection::Unavailable(reason.to_owned()));
        };
        let (base, id) = (base.value, self.new_op_id());
        let target = base
            .apply(&intent, id.clone())
            .map_err(|err| Rejection::BadRequest(err.to_string()))?;
        let holders = holder_zones(&self.shared.lock());
        let plan = Plan::new(id, &base, target, &holders, allow_coverage_loss);
        plan.check(&base).map_err(|err| Rejection::Refused(err.to_string()))?;
        let event = NewEvent::now(EventKind::PlanMade).config_version(plan.base);
        self.shared.record(event.field("plan", &plan.id).field("intent", &intent));
        Ok(json_response(StatusCode::OK, &plan_response(&base, plan)))
    }
}

fn plan_response(base: &Document, plan: Plan) -> PlanResponse {
    let cost = PlanCost {
        leaves_moved: u32::try_from(plan.cost.leaves_moved).unwrap_or(u32::MAX),
        leaves_cold: leaves_cold(base, &plan.target),
        capacity_before: plan.cost.before.slots,
        capacity_after: plan.cost.after.slots,
        at_risk: plan.target.coverage_risks(),
    };
    PlanResponse {
        id: plan.id,
        base_version: plan.base,
        base_digest: plan.base_digest,
        changes: diff(base, &plan.target),
        target: plan.target,
        cost,
        allow_coverage_loss: plan.allow_coverage_loss,
    }
}

/// Returns the number of leaves that the change puts into service; they start cold.
fn leaves_cold(base: &Document, target: &Document) -> u32 {
    let enters_service = |leaf: &&LeafId| target.in_service(leaf) && !base.in_service(leaf);
    u32::try_from(target.leaves.keys().filter(enters_service).count()).unwrap_or(u32::MAX)
}

/// Returns the zone of the holder of each leaf whose holder is known.
fn holder_zones(state: &HostState) -> IndexMap<LeafId, ZoneId> {
    let zone = |id: &InstanceId| {
        if *id == state.identity.instance {
            return Some(state.identity.zone.clone());
        }
        state.hosts.get(id).map(|host| host.zone.clone())
    };
    let holdings = state.assignment.iter().flat_map(|assignment| &assignment.holdings);
    holdings.filter_map(|(leaf, h)| Some((leaf.clone(), zone(&h.instance)?))).collect()
}
