//! Logs, metrics and the timeline.
