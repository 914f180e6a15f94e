//! Sends a schedule of queries and records how they end.

use {
    crate::{
        class::Class,
        entry::EntryList,
        schedule::{Arrival, Schedule},
        summary::{Sample, SampleOutcome},
    },
    crossbeam::channel::{Receiver, Sender, bounded, unbounded},
    serde_json::json,
    std::{
        net::SocketAddr,
        thread::{scope, sleep},
        time::{Duration, Instant},
    },
    ureq::Agent,
    wigeonramp_config::caller_api::{
        CALLER_HEADER, QUERY_PATH, QueryAnswer, QueryOutcome, QueryRequest, TOKEN_HEADER,
        TOKEN_SCHEME,
    },
    wigeonramp_units::Span,
};

/// Time beyond a query's own timeout after which the sender gives up.
const GRACE: Duration = Duration::from_millis(500);
/// Largest answer that is read.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// What a run sends and where.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Classes of queries.
    pub classes: Vec<Class>,
    /// Hosts that are asked for entry addresses.
    pub seeds: Vec<SocketAddr>,
    /// Queries that may be open at the same time; further ones wait and their wait counts.
    pub senders: usize,
    /// Extra network delay between caller and host in each direction.
    pub client_delay: Span,
    /// Distinguishes the bodies of this run from those of others.
    pub label: String,
}

struct Task {
    arrival: Arrival,
    due: Instant,
}

/// Sends all arrivals of `schedule` and waits for the last answer.
pub fn run(plan: &RunPlan, schedule: &Schedule) -> Vec<Sample> {
    let (task_tx, task_rx) = unbounded::<Task>();
    let (sample_tx, sample_rx) = bounded(schedule.arrivals.len().max(1));
    scope(|threads| {
        for index in 0..plan.senders {
            let (rx, tx) = (task_rx.clone(), sample_tx.clone());
            threads.spawn(move || send_all(plan, index, &rx, &tx));
        }
        drop((task_rx, sample_tx));
        dispatch(schedule, &task_tx);
        drop(task_tx);
        sample_rx.iter().collect()
    })
}

fn dispatch(schedule: &Schedule, tx: &Sender<Task>) {
    let start = Instant::now();
    for arrival in &schedule.arrivals {
        let due = start + arrival.at.to_duration();
        sleep(due.saturating_duration_since(Instant::now()));
        let sent = tx.send(Task { arrival: *arrival, due });
        sent.expect("senders run until the channel closes");
    }
}

fn send_all(plan: &RunPlan, index: usize, rx: &Receiver<Task>, tx: &Sender<Sample>) {
    let agent: Agent = Agent::config_builder().http_status_as_error(false).build().new_agent();
    let list = EntryList::new(plan.seeds.clone(), index);
    let mut lists = vec![list; plan.classes.len()];
    for task in rx {
        let class = &plan.classes[task.arrival.class];
        sleep(plan.client_delay.to_duration());
        let outcome = send(plan, &agent, class, &mut lists[task.arrival.class], &task);
        sleep(plan.client_delay.to_duration());
        let latency = Span::from(task.due.elapsed());
        let sample = Sample { class: task.arrival.class, latency, outcome };
        tx.send(sample).expect("the channel holds all samples of the run");
    }
}

fn send(
    plan: &RunPlan,
    agent: &Agent,
    class: &Class,
    list: &mut EntryList,
    task: &Task,
) -> SampleOutcome {
    let address = match list.address(agent, class) {
        Ok(address) => address,
        Err(_) => return SampleOutcome::Failed("no entry address".to_owned()),
    };
    match post(plan, agent, class, address, task) {
        Ok(answer) => outcome(&answer),
        Err(err) => {
            list.failed(address);
            SampleOutcome::Failed(kind(&err).to_owned())
        }
    }
}

fn post(
    plan: &RunPlan,
    agent: &Agent,
    class: &Class,
    address: SocketAddr,
    task: &Task,
) -> Result<QueryAnswer, ureq::Error> {
    let req = QueryRequest {
        request_id: None,
        collections: class.collections.clone(),
        body: json!({ "search": format!("{} {} {}", plan.label, class.name, task.arrival.body) }),
        idempotent: true,
        shard: None,
        timeout_ms: Some(class.timeout.as_millis()),
    };
    let mut res = agent
        .post(format!("http://{address}{QUERY_PATH}"))
        .config()
        .timeout_global(Some(class.timeout.to_duration() + GRACE))
        .build()
        .header(CALLER_HEADER, class.caller.as_str())
        .header(TOKEN_HEADER, format!("{TOKEN_SCHEME}{}", class.token))
        .send_json(&req)?;
    res.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_json()
}

fn outcome(answer: &QueryAnswer) -> SampleOutcome {
    match &answer.outcome {
        QueryOutcome::Done => {
            let coverage = answer.collections.iter().map(|answer| &answer.coverage);
            SampleOutcome::Done {
                covered: coverage.clone().map(|c| c.covered).sum(),
                total: coverage.map(|c| c.total).sum(),
            }
        }
        QueryOutcome::RefusedNotRun { reason } => SampleOutcome::NotRun(reason.clone()),
        QueryOutcome::Unknown { reason } => SampleOutcome::Unknown(reason.clone()),
    }
}

fn kind(err: &ureq::Error) -> &'static str {
    match err {
        ureq::Error::Timeout(_) => "timeout",
        ureq::Error::Json(_) => "unreadable answer",
        ureq::Error::Io(_) | ureq::Error::ConnectionFailed => "connection failed",
        _ => "other error",
    }
}
