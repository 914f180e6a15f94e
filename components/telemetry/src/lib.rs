//! Logging, metrics, the event timeline, and explanations of requests from log lines.

pub mod explain;
pub mod logging;
pub mod metrics;
pub mod timeline;
