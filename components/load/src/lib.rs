//! Open-loop load tool.
//!
//! Arrivals follow a schedule that is fixed before the run, so that a slow answer does not delay
//! the queries behind it. Latency counts from the scheduled time of arrival. Every run is bounded
//! in count and time.

mod class;
mod entry;
mod leaves;
mod once;
mod report;
mod run;
mod schedule;
mod summary;

pub use class::{Class, LoadError, LoadProfile};
pub use entry::{EntryList, KnownHosts};
pub use leaves::{LeafCounts, LeafTotals, RunsByRequest, read_runs};
pub use once::OnceReport;
pub use report::{Comparison, Report, Row, table};
pub use run::{RunPlan, run};
pub use schedule::{Arrival, Schedule};
pub use summary::{ClassSummary, RequestSend, Sample, SampleOutcome, Summary, Window};
