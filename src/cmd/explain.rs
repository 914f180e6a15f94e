//! `explain`: the course of one request from log lines.

use {
    crate::outcome::{Failure, Outcome, Status},
    serde_json::json,
    std::{fmt::Write as _, fs, path::PathBuf},
    wigeonramp_telemetry::explain::{explain, parse_log},
};

/// Explains the request with this id from the lines in `files`.
pub fn run(id: &str, files: &[PathBuf]) -> Result<Outcome, Failure> {
    let mut lines = Vec::new();
    for file in files {
        let log = fs::read_to_string(file)
            .map_err(|err| Failure::Usage(format!("{}: {err}", file.display())))?;
        lines.extend(parse_log(&log));
    }
    let Some(found) = explain(id, &lines) else {
        return Err(Failure::Failed(format!(
            "no line names request {id}: whole successes in time have none, and a host that was \
             killed or cut off has written none"
        )));
    };
    let mut text = format!("request {id}\n");
    for (title, part) in [("", &found.summary), ("why", &found.cause), ("before", &found.context)] {
        if !title.is_empty() && !part.is_empty() {
            let _ = writeln!(text, "{title}:");
        }
        for line in part {
            let _ = writeln!(text, "  {line}");
        }
    }
    let json = json!({
        "request": id, "summary": found.summary, "cause": found.cause, "context": found.context,
    });
    Ok(Outcome::new(Status::Done, text, &json))
}
