//! Explains the outcome of a request from the JSON log lines of several hosts.
//!
//! The lines of a host are ordered by its monotonic clock and its line numbers, never by wall-clock
//! time, because the clocks of hosts differ by seconds. Each submission of a request is served by
//! one host, so the lines of that host describe it completely. The state changes that the host
//! logged shortly before are added as context.

use serde_json::Value;

/// Length of the time before the request in which state changes may explain its outcome, in
/// microseconds.
const CONTEXT_WINDOW_US: u64 = 6_000_000;
/// Kinds of log events that report a change of a host's state or of its view of the cluster.
const CONTEXT_EVENTS: [&str; 22] = [
    "accounts_ignored",
    "config_adopted",
    "evacuation",
    "following",
    "leaf",
    "leaf_address_reused",
    "leaf_limit",
    "news_current",
    "news_outdated",
    "overload",
    "quota",
    "release",
    "reloaded",
    "request_suspected",
    "started",
    "stopping",
    "store_era",
    "store_failing",
    "store_lost",
    "store_regained",
    "store_serves",
    "store_watch_behind",
];
/// Maximum number of context lines in an explanation.
const MAX_CONTEXT: usize = 30;

/// Explanation of a request's outcome, as lines of text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explanation {
    /// Host, status, duration and cause of each response.
    pub summary: Vec<String>,
    /// Reasons for the outcome.
    pub cause: Vec<String>,
    /// Changes of the host's state shortly before, oldest first.
    pub context: Vec<String>,
}

fn text<'a>(line: &'a Value, key: &str) -> &'a str {
    line[key].as_str().unwrap_or_default()
}

fn number(line: &Value, key: &str) -> u64 {
    line[key].as_u64().unwrap_or_default()
}

/// Parses log lines. Text before a line's opening brace is ignored, and so are lines without JSON.
pub fn parse_log(log: &str) -> Vec<Value> {
    let json = |line: &str| serde_json::from_str(&line[line.find('{')?..]).ok();
    log.lines().filter_map(json).collect()
}

/// Explains the request `id`, or returns `None` if no line names it.
pub fn explain(id: &str, lines: &[Value]) -> Option<Explanation> {
    let request_lines: Vec<&Value> =
        lines.iter().filter(|line| text(line, "request") == id).collect();
    let last = request_lines.iter().max_by_key(|line| number(line, "steady_us"))?;
    let mut explanation =
        Explanation { summary: Vec::new(), cause: Vec::new(), context: Vec::new() };
    for line in &request_lines {
        explanation.summary.push(format!(
            "{} answered {} after {} ms: {}",
            text(line, "host"),
            number(line, "status"),
            number(line, "took_us") / 1_000,
            text(line, "cause"),
        ));
    }
    explanation.cause = causes(last);
    explanation.context = context(last, lines);
    Some(explanation)
}

/// Describes the cause of a response for engineers on call.
fn describe_cause(cause: &str) -> &'static str {
    match cause {
        "no_leaf" => {
            "the service has no eligible leaf: all are gone, draining or in a zone out of service"
        }
        "not_run" => "every leaf that was tried refused the request or could not be reached",
        "overload" => {
            "the leaves of the route's shards were overloaded; the host admitted only a part of \
             the requests, and this one was not sent to any leaf"
        }
        "limited" => {
            "leaves name request limits, and this host had no permits for enough of them; the request \
             was not sent to any leaf"
        }
        "too_few_shards" => "fewer shards than the route's minimum share could answer",
        "broken" => {
            "a leaf broke the connection or sent an invalid response, and the request could not \
             be sent again"
        }
        "time_up" => "the route's timeout or the caller's deadline expired first",
        "poison" => {
            "the same request broke the connections to two leaves; it is refused for a minute"
        }
        "no_config" => "the host had just started and had no configuration or no leaves yet",
        "no_route" => {
            "the configuration in force has no route for the request's host name and path"
        }
        "config_outdated" => {
            "the host's news of the store was out of date, so that the route or the API key may have \
             been added since"
        }
        "keys_outdated" => {
            "the host's news of the store was too old to accept API keys, as they may have been removed \
             since"
        }
        "unauthorized" => {
            "the request presented no API key, several, or one that no account of the configuration in \
             force holds"
        }
        "over_quota" => "the account had used up its quota over all hosts; the request was not run",
        "links_lost" => {
            "the host reached no leaf, and no other host took the request in time; it was not run"
        }
        "relayed" => "the host reached no leaf; the answer is that of another host, see its lines",
        "stopping" => "the host was stopping and its grace period was over",
        "late" => "the response came after the route's target latency",
        "late_at_caller" => {
            "the response left this host within the route's target latency, but with the time \
             before the request and on the network it was late at the caller, as far as known"
        }
        "parts_missing" => {
            "the response was sent at the target latency without the shards listed below"
        }
        "leaf_failed" => "the leaf itself responded with an error, which was passed on unchanged",
        _ => "see the log line itself",
    }
}

fn causes(line: &Value) -> Vec<String> {
    let mut causes = vec![describe_cause(text(line, "cause")).to_owned()];
    if !line["account"].is_null() {
        let (rate, burst) = (&line["quota"]["rate"], &line["quota"]["burst"]);
        let account = text(line, "account");
        causes.push(match rate.is_null() {
            true => format!("account: {account}"),
            false => format!("account: {account}, limit {rate} requests a second, burst {burst}"),
        });
    }
    let (answered, parts) = (number(line, "answered"), number(line, "parts"));
    if text(line, "cause") == "overload" {
        let percent = line["taken"].as_f64().unwrap_or(1.0) * 100.0;
        causes.push(format!("{percent:.0} in 100 of the most urgent requests were admitted"));
    } else if parts > 1 {
        causes.push(format!("{answered} of {parts} shards had answered"));
    }
    if text(line, "cause") == "no_leaf" {
        let services = line["missing"].as_array().into_iter().flatten();
        let services: Vec<&str> = services.filter_map(Value::as_str).collect();
        causes.push(format!("service: {}", services.join(", ")));
    }
    if !line["way_us"].is_null() {
        causes.push(describe_target(line));
    }
    let tries = line["tries"].as_array().cloned().unwrap_or_default();
    for attempt in &tries {
        let (service, leaf) = (text(attempt, "service"), text(attempt, "leaf"));
        let after = number(attempt, "took_us") / 1_000;
        let result = match text(attempt, "end") {
            "answered" => format!("answered after {after} ms"),
            "failed" => format!("responded with an error after {after} ms"),
            "not_run" => format!("refused the request without running it after {after} ms"),
            "unsent" => format!("could not be reached within {after} ms"),
            "lost" => format!("broke the connection or sent an invalid response after {after} ms"),
            _ => format!("had not answered after {after} ms"),
        };
        let version = match text(attempt, "version") {
            "" => String::new(),
            version => format!(" of version {version}"),
        };
        causes.push(format!("{service}: leaf {leaf}{version} {result}"));
    }
    if line["may_repeat"] == Value::Bool(false) && tries.len() == 1 {
        causes.push("the request is not idempotent, so it was not sent again".to_owned());
    }
    if !line["config"].is_null() {
        causes.push(format!("configuration in force: version {}", number(line, "config")));
    }
    causes
}

/// Describes how the target latency of a response was spent.
fn describe_target(line: &Value) -> String {
    let ms = |key| number(line, key) as f64 / 1e3;
    format!(
        "target latency {:.1} ms: {:.1} ms spent by the caller before the request, {:.1} ms on the \
         network, {:.1} ms in this host, which allows {:.1} ms for its own delay",
        ms("target_us"),
        ms("before_us"),
        ms("way_us"),
        ms("took_us"),
        ms("own_us"),
    )
}

/// Returns the state changes that the host of the reply `line` logged shortly before it.
fn context(line: &Value, lines: &[Value]) -> Vec<String> {
    let (host, end) = (text(line, "host"), number(line, "steady_us"));
    let begin = end.saturating_sub(number(line, "took_us")).saturating_sub(CONTEXT_WINDOW_US);
    let tried_leaves: Vec<&str> = line["tries"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|attempt| text(attempt, "leaf"))
        .collect();
    let tries = line["tries"].as_array().map_or(&[][..], Vec::as_slice);
    let has_tried = |service: &str| tries.iter().any(|a| text(a, "service") == service);
    let is_context = |candidate: &&Value| {
        let at = number(candidate, "steady_us");
        let event = text(candidate, "event");
        let names_leaf = matches!(event, "leaf" | "leaf_limit");
        let is_relevant = (!names_leaf || tried_leaves.contains(&text(candidate, "leaf")))
            && (event != "release" || has_tried(text(candidate, "service")));
        text(candidate, "host") == host
            && (begin..=end).contains(&at)
            && CONTEXT_EVENTS.contains(&event)
            && is_relevant
            && (event != "quota" || text(candidate, "account") == text(line, "account"))
    };
    let mut found: Vec<&Value> = lines.iter().filter(is_context).collect();
    found.sort_by_key(|event| (number(event, "steady_us"), number(event, "seq")));
    let skip = found.len().saturating_sub(MAX_CONTEXT);
    found.into_iter().skip(skip).map(|event| describe_event(event, end)).collect()
}

fn describe_event(line: &Value, reply_us: u64) -> String {
    const OMITTED_FIELDS: [&str; 5] = ["event", "host", "seq", "steady_us", "time_ms"];
    let before = reply_us.saturating_sub(number(line, "steady_us")) / 1_000;
    let fields = line.as_object().into_iter().flatten();
    let fields = fields.filter(|(key, _)| !OMITTED_FIELDS.contains(&key.as_str()));
    let fields: Vec<String> = fields.map(|(key, value)| format!("{key} {value}")).collect();
    format!("{before} ms before the response: {} {}", text(line, "event"), fields.join(" "))
}
