//! `plan`: requests the changes and the cost of an intent from a host and writes them to a file.

use {
    crate::{
        cli::{PlanOut, Target},
        http::{CallError, Client},
        outcome::{Failure, Outcome, Status},
    },
    serde_json::json,
    std::{
        fmt::Write as _,
        fs::{self, File},
        io::{Error as IoError, Write as _},
        path::{Path, PathBuf},
    },
    wigeonramp_config::{
        Deployment, SettingsFile,
        api::{CoverageRisk, Intent, PLAN_PATH, PlanCost, PlanRequest, PlanResponse},
    },
    wigeonramp_units::OpId,
};

/// Requests a plan for the deployment declared in `file`.
pub fn run(target: Target, out: &PlanOut, file: &Path) -> Result<Outcome, Failure> {
    let deployment = load_deployment(file)?;
    request_plan(target, out, Intent::Declare { document: Box::new(deployment.expand()) })
}

/// Requests the plan of `intent` and writes it to a file, unless it contains no changes.
pub fn request_plan(target: Target, out: &PlanOut, intent: Intent) -> Result<Outcome, Failure> {
    let title = intent.to_string();
    let req = PlanRequest { intent, allow_coverage_loss: out.allow_coverage_loss };
    let response: Result<PlanResponse, CallError> =
        Client::operator(target.host.0).post(PLAN_PATH, &req);
    let plan = response.map_err(CallError::into_read_failure)?;
    if plan.changes.is_empty() {
        let version = plan.base_version;
        let text = format!("{title}: nothing to change, version {version} already matches");
        return Ok(Outcome::new(Status::Done, text, &json!({ "file": null, "plan": plan })));
    }
    let file = write_plan(out, &plan)?;
    let mut text = describe(&title, &plan);
    let confirm = format!("wigeonramp confirm {} --host {}", file.display(), target.host.0);
    let _ = write!(text, "nothing has changed yet; to confirm: {confirm}");
    Ok(Outcome::new(Status::Done, text, &json!({ "file": file, "plan": plan })))
}

/// Reads a plan file and checks that its target belongs to the plan and is valid.
pub fn read(file: &Path) -> Result<PlanResponse, Failure> {
    let usage = |error: String| Failure::Usage(format!("{}: {error}", file.display()));
    let text = fs::read_to_string(file).map_err(|err| {
        usage(format!("cannot be read ({err}); expected a file that a plan was written to"))
    })?;
    let plan: PlanResponse = serde_json::from_str(&text)
        .map_err(|err| usage(format!("{err}; expected a file that a plan was written to")))?;
    if plan.target.op != plan.id || plan.target.version != plan.base_version.next() {
        return Err(usage("target does not belong to the plan; expected an unedited file".into()));
    }
    plan.target.check().map_err(|err| usage(format!("target.{err}")))?;
    Ok(plan)
}

fn load_deployment(file: &Path) -> Result<Deployment, Failure> {
    match SettingsFile::load(file).map_err(|err| Failure::Usage(err.to_string()))? {
        SettingsFile::Deployment(deployment) => Ok(*deployment),
        SettingsFile::Host(_) => {
            let file = file.display();
            Err(Failure::Usage(format!("{file}: settings of a host; expected a deployment")))
        }
    }
}

fn write_plan(out: &PlanOut, plan: &PlanResponse) -> Result<PathBuf, Failure> {
    let file = out.out.clone().unwrap_or_else(|| default_path(&plan.id));
    let write_failure = |err: IoError| {
        Failure::Failed(format!(
            "{}: cannot be written ({err}); expected a new file",
            file.display()
        ))
    };
    let text = serde_json::to_string_pretty(plan).expect("plans serialize to JSON");
    let mut f = File::create_new(&file).map_err(write_failure)?;
    f.write_all(text.as_bytes()).map_err(write_failure)?;
    Ok(file)
}

/// Returns the default path of a plan file; characters that file names may not have become `-`.
fn default_path(id: &OpId) -> PathBuf {
    let sanitize = |c: char| if c.is_ascii_alphanumeric() || "._-".contains(c) { c } else { '-' };
    let id: String = id.as_str().chars().map(sanitize).collect();
    PathBuf::from(format!("plan-{id}.json"))
}

fn describe(title: &str, plan: &PlanResponse) -> String {
    let PlanResponse { id, base_version, base_digest, changes, cost, .. } = plan;
    let mut text =
        format!("plan {id}: {title}\nbase: version {base_version}, digest {base_digest}\n");
    text.push_str("changes:\n");
    for change in changes {
        let _ = writeln!(text, "  {change}");
    }
    text.push_str(&describe_cost(cost));
    text
}

fn describe_cost(cost: &PlanCost) -> String {
    let PlanCost { leaves_moved, leaves_cold, capacity_before, capacity_after, at_risk } = cost;
    let mut text = format!(
        "cost:\n  upstreams moved: {leaves_moved}\n  upstreams starting cold: {leaves_cold}\n  \
         capacity: {capacity_before} -> {capacity_after} slots\n"
    );
    if at_risk.is_empty() {
        text.push_str("  coverage at risk: none\n");
        return text;
    }
    text.push_str("  coverage at risk:\n");
    for CoverageRisk { collection, total, single, uncovered } in at_risk {
        let _ = writeln!(
            text,
            "    {collection}: of {total} shards, {single} with one replica, {uncovered} with none"
        );
    }
    text
}
