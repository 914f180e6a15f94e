//! `plan`: asks a host what an intent would change and cost, and keeps the answer in a file.

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

/// Plans the deployment declared in `file`.
pub fn run(target: Target, out: &PlanOut, file: &Path) -> Result<Outcome, Failure> {
    let deployment = declared(file)?;
    make(target, out, Intent::Declare { document: Box::new(deployment.expand()) })
}

/// Asks for the plan of `intent` and writes it to a file.
pub fn make(target: Target, out: &PlanOut, intent: Intent) -> Result<Outcome, Failure> {
    let title = intent.to_string();
    let req = PlanRequest { intent, allow_coverage_loss: out.allow_coverage_loss };
    let answer: Result<PlanResponse, CallError> =
        Client::operator(target.host.0).post(PLAN_PATH, &req);
    let plan = answer.map_err(CallError::read_only)?;
    if plan.changes.is_empty() {
        let version = plan.base_version;
        let text = format!("{title}: nothing to change, version {version} already says so");
        return Ok(Outcome::new(Status::Done, text, &json!({ "file": null, "plan": plan })));
    }
    let file = write(out, &plan)?;
    let mut text = describe(&title, &plan);
    let confirm = format!("wigeonramp confirm {} --host {}", file.display(), target.host.0);
    let _ = write!(text, "nothing has changed yet; to confirm: {confirm}");
    Ok(Outcome::new(Status::Done, text, &json!({ "file": file, "plan": plan })))
}

/// Reads a plan file and checks that it can be confirmed.
pub fn read(file: &Path) -> Result<PlanResponse, Failure> {
    let usage = |problem: String| Failure::Usage(format!("{}: {problem}", file.display()));
    let text = fs::read_to_string(file).map_err(|err| {
        usage(format!("cannot be read ({err}); expected a file that a plan was written to"))
    })?;
    let plan: PlanResponse = serde_json::from_str(&text)
        .map_err(|err| usage(format!("{err}; expected a file that a plan was written to")))?;
    if plan.target.op != plan.id || plan.target.version != plan.base_version.next() {
        return Err(usage("target does not belong to the plan; expected an unedited file".into()));
    }
    plan.target.check().map_err(|problem| usage(format!("target.{problem}")))?;
    Ok(plan)
}

fn declared(file: &Path) -> Result<Deployment, Failure> {
    match SettingsFile::load(file).map_err(|err| Failure::Usage(err.to_string()))? {
        SettingsFile::Deployment(deployment) => Ok(*deployment),
        SettingsFile::Host(_) => {
            let file = file.display();
            Err(Failure::Usage(format!("{file}: settings of a host; expected a deployment")))
        }
    }
}

fn write(out: &PlanOut, plan: &PlanResponse) -> Result<PathBuf, Failure> {
    let file = out.out.clone().unwrap_or_else(|| default_file(&plan.id));
    let failed = |err: IoError| {
        Failure::Failed(format!(
            "{}: cannot be written ({err}); expected a new file",
            file.display()
        ))
    };
    let text = serde_json::to_string_pretty(plan).expect("plans serialize to JSON");
    let mut f = File::create_new(&file).map_err(failed)?;
    f.write_all(text.as_bytes()).map_err(failed)?;
    Ok(file)
}

fn default_file(id: &OpId) -> PathBuf {
    let safe = |c: char| if c.is_ascii_alphanumeric() || "._-".contains(c) { c } else { '-' };
    let id: String = id.as_str().chars().map(safe).collect();
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
