//! Open-loop load generator.
//!
//! Arrivals follow a schedule that is computed before the run, so that a slow response does not
//! delay later queries. Latency is measured from the scheduled arrival. Every run is bounded in
//! number of queries and in time.

mod at_most_once;
mod class;
mod entry;
mod leaves;
mod report;
mod run;
mod schedule;
mod summary;

pub use at_most_once::AtMostOnceReport;
pub use class::{LoadError, LoadProfile, QueryClass};
pub use entry::{EntryAddresses, KnownHosts};
pub use leaves::{LeafCounts, RunsByRequest, read_runs};
pub use report::{Comparison, LatencyRatios, Report, format_table};
pub use run::{RunPlan, run};
pub use schedule::{Arrival, Schedule};
pub use summary::{ClassSummary, Sample, SampleOutcome, Submission, Summary, Window};
