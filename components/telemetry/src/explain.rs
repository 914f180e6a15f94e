//! The course of one request from the log lines of many processes.
//!
//! Lines are put in order by each process's own steady clock and line numbers, never by the time of
//! day: clocks of hosts differ by seconds. One attempt of a caller is served by one host, so the
//! lines of that host tell the whole course; what the host believed shortly before is added.

use serde_json::Value;

/// Beliefs that changed within this time before the reply may have decided it, in microseconds.
const CONTEXT_US: u64 = 6_000_000;
/// Kinds of lines that tell what a host believes.
const CONTEXT: [&str; 12] = [
    "config_adopted",
    "evacuation",
    "following",
    "leaf",
    "leaf_address_reused",
    "overload",
    "reloaded",
    "request_suspected",
    "started",
    "stopping",
    "store_lost",
    "store_regained",
];
/// Lines of context shown at most.
const MAX_CONTEXT: usize = 30;

/// What is known of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Explanation {
    /// Host, status, cause, time taken.
    pub summary: Vec<String>,
    /// Why it ended so.
    pub cause: Vec<String>,
    /// What the host believed shortly before, oldest first.
    pub context: Vec<String>,
}

fn text<'a>(line: &'a Value, key: &str) -> &'a str {
    line[key].as_str().unwrap_or_default()
}

fn number(line: &Value, key: &str) -> u64 {
    line[key].as_u64().unwrap_or_default()
}

/// Reads log lines; whatever stands before a line's opening brace is ignored.
pub fn read(log: &str) -> Vec<Value> {
    let json = |line: &str| serde_json::from_str(&line[line.find('{')?..]).ok();
    log.lines().filter_map(json).collect()
}

/// Explains the request with this id; none when no line names it.
pub fn explain(id: &str, lines: &[Value]) -> Option<Explanation> {
    let own: Vec<&Value> = lines.iter().filter(|line| text(line, "request") == id).collect();
    let last = own.iter().max_by_key(|line| number(line, "steady_us"))?;
    let mut all = Explanation { summary: Vec::new(), cause: Vec::new(), context: Vec::new() };
    for line in &own {
        all.summary.push(format!(
            "{} answered {} after {} ms: {}",
            text(line, "host"),
            number(line, "status"),
            number(line, "took_us") / 1_000,
            text(line, "cause"),
        ));
    }
    all.cause = causes(last);
    all.context = context(last, lines);
    Some(all)
}

/// The meaning of a cause, for engineers on call.
fn meaning(cause: &str) -> &'static str {
    match cause {
        "no_leaf" => {
            "no leaf of the service may be sent to: all are gone, leaving or in a zone taken out"
        }
        "not_run" => "every leaf that was tried refused the request or could not be reached",
        "overload" => {
            "the leaves of the route's shards were overloaded; the host took only a part of the \
             requests, and this one was not sent to any leaf"
        }
        "too_few_shards" => "fewer shards than the route's least share could answer",
        "broken" => "a leaf broke off or answered unusably, and no further send was possible",
        "time_up" => "the route's time or the caller's deadline was over first",
        "poison" => "the same request broke connections at two leaves; it is refused for a minute",
        "no_config" => "the host had just started and knew no configuration or no leaves yet",
        "no_route" => "the configuration in force has no route for this host and path",
        "stopping" => "the host was stopping and its grace was over",
        "late" => "the answer came after the route's target latency",
        "parts_missing" => {
            "the answer went out at the target latency without the shards named below"
        }
        "leaf_failed" => "the leaf itself answered with a failure, which is passed on unchanged",
        _ => "see the line itself",
    }
}

fn causes(line: &Value) -> Vec<String> {
    let mut all = vec![meaning(text(line, "cause")).to_owned()];
    let (answered, parts) = (number(line, "answered"), number(line, "parts"));
    if text(line, "cause") == "overload" {
        let taken = line["taken"].as_f64().unwrap_or(1.0) * 100.0;
        all.push(format!("{taken:.0} in 100 of the most urgent requests were taken"));
    } else if parts > 1 {
        all.push(format!("{answered} of {parts} shards had answered"));
    }
    if text(line, "cause") == "no_leaf" {
        let services = line["missing"].as_array().into_iter().flatten();
        let services: Vec<&str> = services.filter_map(Value::as_str).collect();
        all.push(format!("service: {}", services.join(", ")));
    }
    let tries = line["tries"].as_array().cloned().unwrap_or_default();
    for t in &tries {
        let (service, leaf) = (text(t, "service"), text(t, "leaf"));
        let after = number(t, "took_us") / 1_000;
        let what = match text(t, "end") {
            "answered" => format!("answered after {after} ms"),
            "failed" => format!("answered with a failure after {after} ms"),
            "not_run" => format!("said after {after} ms that it did not run the request"),
            "unsent" => format!("could not be reached within {after} ms"),
            "lost" => format!("broke the connection or answered unusably after {after} ms"),
            _ => format!("had not answered after {after} ms"),
        };
        all.push(format!("{service}: leaf {leaf} {what}"));
    }
    if line["may_repeat"] == Value::Bool(false) && tries.len() == 1 {
        all.push("the request must not run twice, so it was not sent again".to_owned());
    }
    if !line["config"].is_null() {
        all.push(format!("configuration in force: version {}", number(line, "config")));
    }
    all
}

fn context(line: &Value, lines: &[Value]) -> Vec<String> {
    let (host, end) = (text(line, "host"), number(line, "steady_us"));
    let begin = end.saturating_sub(number(line, "took_us")).saturating_sub(CONTEXT_US);
    let leaves: Vec<&str> =
        line["tries"].as_array().into_iter().flatten().map(|t| text(t, "leaf")).collect();
    let near = |known: &&Value| {
        let at = number(known, "steady_us");
        let event = text(known, "event");
        let of_leaf = event != "leaf" || leaves.contains(&text(known, "leaf"));
        text(known, "host") == host
            && (begin..=end).contains(&at)
            && CONTEXT.contains(&event)
            && of_leaf
    };
    let mut found: Vec<&Value> = lines.iter().filter(near).collect();
    found.sort_by_key(|known| (number(known, "steady_us"), number(known, "seq")));
    let skip = found.len().saturating_sub(MAX_CONTEXT);
    found.into_iter().skip(skip).map(|known| told(known, end)).collect()
}

fn told(line: &Value, end: u64) -> String {
    const SHOWN_ELSEWHERE: [&str; 5] = ["event", "host", "seq", "steady_us", "time_ms"];
    let before = end.saturating_sub(number(line, "steady_us")) / 1_000;
    let fields = line.as_object().into_iter().flatten();
    let fields = fields.filter(|(key, _)| !SHOWN_ELSEWHERE.contains(&key.as_str()));
    let fields: Vec<String> = fields.map(|(key, value)| format!("{key} {value}")).collect();
    format!("{before} ms before the answer: {} {}", text(line, "event"), fields.join(" "))
}
