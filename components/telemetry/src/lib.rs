//! Logs, metrics and the timeline.

pub mod logging;
pub mod metrics;
pub mod timeline;
