//! `explain`: reconstructs what happened to one request from the log lines of hosts.

use {
    crate::outcome::{Failure, Outcome, Status},
    serde_json::json,
    std::{fmt::Write as _, fs, path::PathBuf},
    wigeonramp_telemetry::explain::{explain, parse_log},
};

/// Explains the request `id` from the log lines in `files`.
pub fn run(id: &str, files: &[PathBuf]) -> Result<Outcome, Failure> {
    let mut lines = Vec::new();
    for file in files {
        let log = fs::read_to_string(file)
            .map_err(|err| Failure::Usage(format!("{}: {err}", file.display())))?;
        lines.extend(parse_log(&log));
    }
    let Some(explanation) = explain(id, &lines) else {
        return Err(Failure::Failed(format!(
            "no log line names request {id}: complete responses within the target latency are not \
             logged, and a host that was killed or cut off has logged nothing"
        )));
    };
    let mut text = format!("request {id}\n");
    let sections =
        [("", &explanation.summary), ("why", &explanation.cause), ("before", &explanation.context)];
    for (title, lines) in sections {
        if !title.is_empty() && !lines.is_empty() {
            let _ = writeln!(text, "{title}:");
        }
        for line in lines {
            let _ = writeln!(text, "  {line}");
        }
    }
    let json = json!({
        "request": id,
        "summary": explanation.summary,
        "cause": explanation.cause,
        "context": explanation.context,
    });
    Ok(Outcome::new(Status::Done, text, &json))
}
