//! Guards against log lines that are not JSON, and against a second logger that replaces the first.

use {
    log::{LevelFilter, debug, info},
    std::{env, fs, process},
    wigeonramp_telemetry::logging::{LogOutput, LoggingError, init},
};

#[test]
fn lines_are_json_and_the_logger_is_set_once() {
    let dir = env::temp_dir().join(format!("wigeonramp-logging-{}", process::id()));
    let output = LogOutput { level: LevelFilter::Info, file: Some(dir.join("host.log")) };
    init(&output).unwrap();
    info!("zone {} out", "gulf-a");
    debug!("not written");
    assert!(matches!(init(&output), Err(LoggingError::AlreadyInitialized)));

    let text = fs::read_to_string(dir.join("host.log")).unwrap();
    fs::remove_dir_all(&dir).unwrap();
    let lines: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines.len(), 1, "{text}");
    assert_eq!(
        (&lines[0]["level"], &lines[0]["message"]),
        (&"INFO".into(), &"zone gulf-a out".into())
    );
}
