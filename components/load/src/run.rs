//! Sends the queries of a schedule and records their outcomes.

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

/// Time beyond a query's own timeout after which the sender stops waiting for the response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(500);
/// Maximum length of a response in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// Parameters of a load run.
#[derive(Clone, Debug)]
pub struct RunPlan {
    /// Query classes.
    pub classes: Vec<QueryClass>,
    /// Caller addresses of hosts from which entry addresses are requested at first.
    pub seeds: Vec<SocketAddr>,
    /// Maximum number of queries in flight; further ones wait, and their latency includes the wait.
    pub senders: usize,
    /// Simulated network delay between caller and host, in each direction.
    pub client_delay: Span,
    /// Distinguishes the bodies of this run from those of others.
    pub label: String,
}

/// Timeouts of the first submission of non-idempotent requests, selected by the body index; `None`
/// is the query's own timeout. The first one is shorter than most responses take.
const FIRST_SUBMISSION_TIMEOUTS: [Option<Duration>; 3] =
    [Some(Duration::from_millis(15)), None, Some(Duration::from_millis(60))];

struct Task {
    arrival: Arrival,
    due: Instant,
}

/// Sends all queries of `schedule` and waits until the last one has ended.
pub fn run(plan: &RunPlan, schedule: &Schedule) -> Vec<Sample> {
    let (task_tx, task_rx) = unbounded::<Task>();
    let (sample_tx, sample_rx) = unbounded();
    let known_hosts = KnownHosts::new(plan.seeds.clone());
    scope(|threads| {
        for index in 0..plan.senders {
            let (rx, tx) = (task_rx.clone(), sample_tx.clone());
            let addresses = EntryAddresses::new(known_hosts.clone(), index);
            threads.spawn(move || run_sender(plan, addresses, &rx, &tx));
        }
        drop((task_rx, sample_tx));
        dispatch(schedule, &task_tx);
        drop(task_tx);
        sample_rx.iter().collect()
    })
}

/// Hands each arrival to the senders when it is due.
fn dispatch(schedule: &Schedule, tx: &Sender<Task>) {
    let start = Instant::now();
    for arrival in &schedule.arrivals {
        let due = start + arrival.at.to_duration();
        sleep(due.saturating_duration_since(Instant::now()));
        let sent = tx.send(Task { arrival: *arrival, due });
        sent.expect("senders run until the channel closes");
    }
}

fn run_sender(plan: &RunPlan, addresses: EntryAddresses, rx: &Receiver<Task>, tx: &Sender<Sample>) {
    let agent: Agent = Agent::config_builder().http_status_as_error(false).build().new_agent();
    let addresses = vec![addresses; plan.classes.len()];
    let mut sender = QuerySender { plan, agent, addresses };
    for task in rx {
        for sample in sender.send(&task) {
            tx.send(sample).expect("the receiver outlives the senders");
        }
    }
}

struct QuerySender<'a> {
    plan: &'a RunPlan,
    agent: Agent,
    /// Entry addresses of each class, as classes may have different callers.
    addresses: Vec<EntryAddresses>,
}

impl QuerySender<'_> {
    /// Sends the query of `task`, and resubmits it if it is not idempotent. Returns a sample for
    /// each submission.
    fn send(&mut self, task: &Task) -> Vec<Sample> {
        if self.plan.classes[task.arrival.class].idempotent {
            return vec![self.submit_timed(task, task.due, None, None)];
        }
        let mut rng = rand::rng();
        let id = request_id(rng.random());
        let resubmissions = rng.random_range(1..=2);
        let timeouts = FIRST_SUBMISSION_TIMEOUTS;
        let first_timeout = timeouts[(task.arrival.body_index % timeouts.len() as u64) as usize];
        let mut due = task.due;
        let mut samples = Vec::new();
        for index in 0..=resubmissions {
            let timeout = if index == 0 { first_timeout } else { None };
            let submission = Submission { id: id.clone(), index };
            samples.push(self.submit_timed(task, due, Some(submission), timeout));
            due = Instant::now();
        }
        samples
    }

    fn submit_timed(
        &mut self,
        task: &Task,
        due: Instant,
        submission: Option<Submission>,
        timeout: Option<Duration>,
    ) -> Sample {
        let delay = self.plan.client_delay.to_duration();
        sleep(delay);
        let outcome = self.submit(task, submission.as_ref(), timeout);
        sleep(delay);
        let Arrival { at, class, .. } = task.arrival;
        Sample { class, latency: Span::from(due.elapsed()), outcome, at, submission }
    }

    fn submit(
        &mut self,
        task: &Task,
        submission: Option<&Submission>,
        timeout: Option<Duration>,
    ) -> SampleOutcome {
        let class = &self.plan.classes[task.arrival.class];
        let addresses = &mut self.addresses[task.arrival.class];
        let index = submission.map_or(0, |submission| submission.index);
        let Ok(address) = addresses.address(&self.agent, class, index) else {
            return SampleOutcome::Failed("no entry address".to_owned());
        };
        let req = query(self.plan, class, task, submission);
        let limit = timeout.unwrap_or(class.timeout.to_duration() + RESPONSE_MARGIN);
        match post(&self.agent, class, address, &req, limit) {
            Ok(response) => outcome(&response),
            Err(err) => {
                if timeout.is_none() || !matches!(err, ureq::Error::Timeout(_)) {
                    self.addresses[task.arrival.class].remove(address);
                }
                SampleOutcome::Failed(describe_error(&err).to_owned())
            }
        }
    }
}

fn request_id(random: u64) -> RequestId {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let id = format!("{}-{random:016x}", since.as_millis());
    id.parse().expect("digits, letters and a hyphen are a valid request id")
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
    timeout: Duration,
) -> Result<QueryResponse, ureq::Error> {
    let mut res = agent
        .post(format!("http://{address}{QUERY_PATH}"))
        .config()
        .timeout_global(Some(timeout))
        .build()
        .header(CALLER_HEADER, class.caller.as_str())
        .header(TOKEN_HEADER, format!("{TOKEN_SCHEME}{}", class.token))
        .send_json(req)?;
    res.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_json()
}

fn outcome(response: &QueryResponse) -> SampleOutcome {
    match &response.outcome {
        QueryOutcome::Done => {
            let coverage = response.collections.iter().map(|collection| &collection.coverage);
            SampleOutcome::Done {
                covered: coverage.clone().map(|c| c.covered).sum(),
                total: coverage.map(|c| c.total).sum(),
            }
        }
        QueryOutcome::RefusedNotRun { reason } => SampleOutcome::NotRun(reason.clone()),
        QueryOutcome::Unknown { reason } => SampleOutcome::Unknown(reason.clone()),
    }
}

fn describe_error(err: &ureq::Error) -> &'static str {
    match err {
        ureq::Error::Timeout(_) => "timeout",
        ureq::Error::Json(_) => "unreadable response",
        ureq::Error::Io(_) | ureq::Error::ConnectionFailed => "connection failed",
        _ => "other error",
    }
}
