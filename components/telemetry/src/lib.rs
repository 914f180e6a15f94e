//! Logs, metrics and the timeline.

pub mod explain;
pub mod logging;
pub mod metrics;
pub mod timeline;
