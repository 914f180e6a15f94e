//! Sends a schedule of queries and records how they end.

use {
    crate::{
        class::QueryClass,
        entry::{EntryAddresses, KnownHosts},
        schedule::{Arrival, Schedule},
        summary::{Sample, SampleOutcome, Submission},
    },
    crossbeam::channel::{Receiver, Sender, unbounded},
    rand::RngExt,
    serde_json::json,
    std::{
        net::SocketAddr,
        thread::{scope, sleep},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    ureq::Agent,
    wigeonramp_config::caller_api::{
        CALLER_HEADER, QUERY_PATH, QueryOutcome, QueryRequest, QueryResponse, TOKEN_HEADER,
        TOKEN_SCHEME,
    },
    wigeonramp_units::{RequestId, Span},
};

/// Time beyond a query's own timeout after which the sender gives up.
const GRACE: Duration = Duration::from_millis(500);
/// Largest answer that is read.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// What a run sends and where.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Classes of queries.
    pub classes: Vec<QueryClass>,
    /// Hosts that are asked for entry addresses.
    pub seeds: Vec<SocketAddr>,
    /// Queries that may be open at the same time; further ones wait and their wait counts.
    pub senders: usize,
    /// Extra network delay between caller and host in each direction.
    pub client_delay: Span,
    /// Distinguishes the bodies of this run from those of others.
    pub label: String,
}

/// Times after which callers of requests that are not idempotent give up their first send and
/// repeat it, in turn; the first one is shorter than most answers take.
const GIVE_UP: [Option<Duration>; 3] =
    [Some(Duration::from_millis(15)), None, Some(Duration::from_millis(60))];

struct Task {
    arrival: Arrival,
    due: Instant,
}

/// Sends all arrivals of `schedule` and waits for the last answer.
pub fn run(plan: &RunPlan, schedule: &Schedule) -> Vec<Sample> {
    let (task_tx, task_rx) = unbounded::<Task>();
    let (sample_tx, sample_rx) = unbounded();
    let known = KnownHosts::new(plan.seeds.clone());
    scope(|threads| {
        for index in 0..plan.senders {
            let (rx, tx) = (task_rx.clone(), sample_tx.clone());
            let list = EntryAddresses::new(known.clone(), index);
            threads.spawn(move || send_all(plan, list, &rx, &tx));
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

fn send_all(plan: &RunPlan, list: EntryAddresses, rx: &Receiver<Task>, tx: &Sender<Sample>) {
    let agent: Agent = Agent::config_builder().http_status_as_error(false).build().new_agent();
    let lists = vec![list; plan.classes.len()];
    let mut sender = QuerySender { plan, agent, lists };
    for task in rx {
        for sample in sender.send(&task) {
            tx.send(sample).expect("the receiver outlives the senders");
        }
    }
}

struct QuerySender<'a> {
    plan: &'a RunPlan,
    agent: Agent,
    lists: Vec<EntryAddresses>,
}

impl QuerySender<'_> {
    fn send(&mut self, task: &Task) -> Vec<Sample> {
        if self.plan.classes[task.arrival.class].idempotent {
            return vec![self.send_once(task, task.due, None, None)];
        }
        let mut rng = rand::rng();
        let id = request_id(rng.random());
        let resubmissions = rng.random_range(1..=2);
        let give_up = GIVE_UP[(task.arrival.body_index % GIVE_UP.len() as u64) as usize];
        let mut due = task.due;
        let mut samples = Vec::new();
        for index in 0..=resubmissions {
            let limit = if index == 0 { give_up } else { None };
            let submission = Submission { id: id.clone(), index };
            samples.push(self.send_once(task, due, Some(submission), limit));
            due = Instant::now();
        }
        samples
    }

    fn send_once(
        &mut self,
        task: &Task,
        due: Instant,
        submission: Option<Submission>,
        give_up: Option<Duration>,
    ) -> Sample {
        let delay = self.plan.client_delay.to_duration();
        sleep(delay);
        let outcome = self.outcome(task, submission.as_ref(), give_up);
        sleep(delay);
        let Arrival { at, class, .. } = task.arrival;
        Sample { class, latency: Span::from(due.elapsed()), outcome, at, submission }
    }

    fn outcome(
        &mut self,
        task: &Task,
        submission: Option<&Submission>,
        give_up: Option<Duration>,
    ) -> SampleOutcome {
        let class = &self.plan.classes[task.arrival.class];
        let list = &mut self.lists[task.arrival.class];
        let index = submission.map_or(0, |submission| submission.index);
        let Ok(address) = list.address(&self.agent, class, index) else {
            return SampleOutcome::Failed("no entry address".to_owned());
        };
        let req = query(self.plan, class, task, submission);
        let limit = give_up.unwrap_or(class.timeout.to_duration() + GRACE);
        match post(&self.agent, class, address, &req, limit) {
            Ok(answer) => outcome(&answer),
            Err(err) => {
                if give_up.is_none() || !matches!(err, ureq::Error::Timeout(_)) {
                    self.lists[task.arrival.class].remove(address);
                }
                SampleOutcome::Failed(kind(&err).to_owned())
            }
        }
    }
}

fn request_id(random: u64) -> RequestId {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let id = format!("{}-{random:016x}", since.as_millis());
    id.parse().expect("digits and letters are allowed in request ids")
}

fn query(
    plan: &RunPlan,
    class: &QueryClass,
    task: &Task,
    submission: Option<&Submission>,
) -> QueryRequest {
    let shard = submission.map(|_| {
        let number = task.arrival.body_index % u64::from(class.shards.max(1));
        let shard = format!("{}/{number:02}", class.collections[0]);
        shard.parse().expect("a collection id with a number is a shard id")
    });
    let search = format!("{} {} {}", plan.label, class.name, task.arrival.body_index);
    QueryRequest {
        request_id: submission.map(|submission| submission.id.clone()),
        collections: class.collections.clone(),
        body: json!({ "search": search }),
        idempotent: class.idempotent,
        repeated: submission.is_some_and(|submission| submission.index > 0),
        shard,
        timeout_ms: Some(class.timeout.as_millis()),
    }
}

fn post(
    agent: &Agent,
    class: &QueryClass,
    address: SocketAddr,
    req: &QueryRequest,
    limit: Duration,
) -> Result<QueryResponse, ureq::Error> {
    let mut res = agent
        .post(format!("http://{address}{QUERY_PATH}"))
        .config()
        .timeout_global(Some(limit))
        .build()
        .header(CALLER_HEADER, class.caller.as_str())
        .header(TOKEN_HEADER, format!("{TOKEN_SCHEME}{}", class.token))
        .send_json(req)?;
    res.body_mut().with_config().limit(MAX_ANSWER_BYTES).read_json()
}

fn outcome(answer: &QueryResponse) -> SampleOutcome {
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
