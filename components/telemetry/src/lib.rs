//! Logs, metrics and the timeline.

pub mod logging;
