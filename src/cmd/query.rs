//! `query`: sends one query through the caller API.

use {
    crate::{
        cli::QueryArgs,
        cmd::status,
        http::{CallError, Client, Credentials},
        outcome::{Failure, Outcome, Status},
    },
    rand::random,
    serde_json::Value,
    std::{
        fmt::Write as _,
        net::SocketAddr,
        time::{Duration, SystemTime, UNIX_EPOCH},
    },
    wigeonramp_config::caller_api::{
        CollectionResult, ENTRY_PATH, EntryResponse, QUERY_PATH, QueryOutcome, QueryRequest,
        QueryResponse,
    },
    wigeonramp_units::RequestId,
};

/// Time beyond the query's own timeout in which the response can still arrive.
const RESPONSE_MARGIN: Duration = Duration::from_secs(1);

/// Finds an entry host, sends the query and returns the response.
///
/// Tries the next address only while the request has not been sent.
pub fn run(args: QueryArgs) -> Result<Outcome, Failure> {
    let req = request(&args)?;
    let addresses = entry_addresses(&args).map_err(|failure| match failure {
        Failure::Failed(reason) => not_run(&req, &reason),
        other => other,
    })?;
    let mut connect_errors = Vec::new();
    for address in addresses {
        match client(&args, address).post::<QueryResponse>(QUERY_PATH, &req) {
            Ok(response) => return Ok(outcome(&response)),
            Err(err @ CallError::NotSent { .. }) => connect_errors.push(err.to_string()),
            Err(err @ CallError::Refused { .. }) => return Err(not_run(&req, &err.to_string())),
            Err(err @ CallError::Lost { .. }) => return Err(response_lost(&req, &err)),
        }
    }
    Err(not_run(&req, &connect_errors.join("; ")))
}

/// Returns the failure of a submission that did not run. For a resubmission the outcome stays
/// unknown, as an earlier submission of the request may have run.
fn not_run(req: &QueryRequest, reason: &str) -> Failure {
    if !req.repeated {
        return Failure::Failed(format!("not run: {reason}"));
    }
    let reason = format!("{reason}; an earlier submission may have run");
    Failure::NotKnownYet { reason, command: resubmission_hint(req) }
}

fn resubmission_hint(req: &QueryRequest) -> String {
    let id = req.request_id.as_ref().map_or("", RequestId::as_str);
    format!("the same query with --request-id {id} --repeated; it runs at most once")
}

fn request(args: &QueryArgs) -> Result<QueryRequest, Failure> {
    let usage = |text: &str| Err(Failure::Usage(text.to_owned()));
    let body: Value = serde_json::from_str(&args.body)
        .map_err(|err| Failure::Usage(format!("--body: {err}; expected JSON")))?;
    if args.timeout.as_millis() == 0 {
        return usage("--timeout: shorter than a millisecond; expected 1ms or more");
    }
    if !args.token.chars().all(|c| c.is_ascii_graphic()) {
        return usage(
            "--token: not a valid token; expected printable ASCII characters without spaces",
        );
    }
    if args.non_idempotent && args.shard.is_none() {
        return usage("--non-idempotent: no shard; expected --shard with the only shard to ask");
    }
    if args.non_idempotent && args.collection.len() != 1 {
        return usage("--non-idempotent: several collections; expected --collection once");
    }
    if args.repeated && !(args.non_idempotent && args.request_id.is_some()) {
        return usage(
            "--repeated: only for a resubmission of a non-idempotent request; expected \
             --non-idempotent and --request-id with the id sent before",
        );
    }
    Ok(QueryRequest {
        request_id: Some(args.request_id.clone().unwrap_or_else(new_request_id)),
        collections: args.collection.clone(),
        body,
        idempotent: !args.non_idempotent,
        repeated: args.repeated,
        shard: args.shard.clone(),
        timeout_ms: Some(args.timeout.as_millis()),
    })
}

fn new_request_id() -> RequestId {
    let ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let id = format!("{ms}-{:016x}", random::<u64>()).parse();
    id.expect("digits and a hyphen are a valid request id")
}

/// Returns the caller addresses to try, in order: the one given by `--entry`, or those that a
/// listed host names.
fn entry_addresses(args: &QueryArgs) -> Result<Vec<SocketAddr>, Failure> {
    if let Some(entry) = args.entry {
        return Ok(vec![entry.0]);
    }
    let Some(host) = args.host else {
        return Err(Failure::Usage("no entry host; expected --entry or --host".to_owned()));
    };
    let status = status::read(&Client::operator(host.0)).map_err(CallError::into_read_failure)?;
    let listed = status.hosts.iter().filter(|host| host.listed);
    let mut errors = Vec::new();
    for host in listed {
        match client(args, host.caller_address).get::<EntryResponse>(ENTRY_PATH, &[]) {
            Ok(response) => return Ok(response.addresses),
            Err(err @ CallError::Refused { .. }) => return Err(err.into_read_failure()),
            Err(err) => errors.push(err.to_string()),
        }
    }
    let reason = if errors.is_empty() { "none is listed".into() } else { errors.join("; ") };
    Err(Failure::Failed(format!("no entry host answers: {reason}")))
}

fn client(args: &QueryArgs, address: SocketAddr) -> Client {
    let credentials = Credentials { caller: args.caller.to_string(), token: args.token.clone() };
    Client::caller(address, credentials, args.timeout.to_duration() + RESPONSE_MARGIN)
}

/// Returns the failure of a query that was sent but whose response did not arrive.
fn response_lost(req: &QueryRequest, err: &CallError) -> Failure {
    if req.idempotent {
        let command = "send the query again; it is idempotent".to_owned();
        return Failure::NotKnownYet { reason: err.to_string(), command };
    }
    Failure::NotKnownYet { reason: err.to_string(), command: resubmission_hint(req) }
}

fn outcome(response: &QueryResponse) -> Outcome {
    let QueryResponse { request_id, outcome, collections } = response;
    let (status, text) = match outcome {
        QueryOutcome::Done => (Status::Done, "done".to_owned()),
        QueryOutcome::RefusedNotRun { reason } => {
            (Status::Failed, format!("refused, not run: {reason}"))
        }
        QueryOutcome::Unknown { reason } => {
            (Status::NotKnownYet, format!("unknown, may have run: {reason}"))
        }
    };
    let mut text = format!("request {request_id}: {text}\n");
    collections.iter().for_each(|collection| describe(collection, &mut text));
    Outcome::new(status, text, response)
}

fn describe(result: &CollectionResult, text: &mut String) {
    let CollectionResult { collection, snapshot, coverage, parts, .. } = result;
    let rows: u64 = parts.iter().map(|part| u64::from(part.rows)).sum();
    let snapshot = snapshot.map_or("none".to_owned(), |snapshot| snapshot.to_string());
    let (covered, total) = (coverage.covered, coverage.total);
    let _ = writeln!(
        text,
        "{collection}: {covered} of {total} shards, {rows} rows, snapshot {snapshot}"
    );
    for missing in &coverage.missing {
        let _ = writeln!(text, "  missing {}: {}", missing.shard, missing.reason);
    }
    for part in parts {
        let _ = writeln!(text, "  {} {} rows: {}", part.shard, part.rows, part.payload);
    }
}
