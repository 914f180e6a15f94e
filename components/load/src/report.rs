//! Reports of load runs as table and JSON, and the comparison of two settings.

use {
    crate::{
        at_most_once::AtMostOnceReport,
        leaves::LeafCounts,
        summary::{ClassSummary, Summary, Window},
    },
    serde::{Deserialize, Serialize},
    std::fmt::Write,
    wigeonramp_units::UnixMillis,
};

/// Results of a run with one setting.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Name of the setting.
    pub name: String,
    /// Arrivals per second.
    pub rate: u32,
    /// Results as seen by callers.
    pub summary: Summary,
    /// Counters of the leaves during the run.
    pub leaves: LeafCounts,
    /// Runs on leaves beyond the shards in the responses, in percent of these shards.
    pub extra_load_percent: f64,
    /// Wall-clock time at the start of the run.
    #[serde(default)]
    pub started: UnixMillis,
    /// Summaries by window of the run; empty unless requested.
    #[serde(default)]
    pub windows: Vec<Window>,
    /// Check of the non-idempotent requests, if the run had any.
    #[serde(default)]
    pub once: Option<AtMostOnceReport>,
}

impl Report {
    /// Creates a report from the results of callers and the counters of leaves.
    pub fn new(name: &str, rate: u32, summary: Summary, leaves: LeafCounts) -> Self {
        let useful = summary.covered_shards() as f64;
        let extra_load_percent =
            if useful == 0.0 { 0.0 } else { (leaves.run as f64 - useful) * 100.0 / useful };
        Self {
            name: name.to_owned(),
            rate,
            summary,
            leaves,
            extra_load_percent,
            started: UnixMillis(0),
            windows: Vec::new(),
            once: None,
        }
    }
}

/// Comparison of two settings.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Comparison {
    /// Report with the tested feature on.
    pub on: Report,
    /// Report with the tested feature off.
    pub off: Report,
    /// Latency ratios on / off by class.
    pub ratios: Vec<LatencyRatios>,
}

/// Latency ratios of one class.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LatencyRatios {
    /// Name of the query class.
    pub class: String,
    /// Ratio of the p50 latencies.
    pub p50: f64,
    /// Ratio of the p99 latencies.
    pub p99: f64,
    /// Ratio of the p99.9 latencies.
    pub p999: f64,
}

impl Comparison {
    /// Compares two reports by class; classes that `off` lacks are left out.
    pub fn new(on: Report, off: Report) -> Self {
        let class_ratios = |(name, on): (&String, &ClassSummary)| {
            let off = off.summary.classes.get(name)?;
            let ratio = |a: u64, b: u64| a as f64 / b.max(1) as f64;
            Some(LatencyRatios {
                class: name.clone(),
                p50: ratio(on.p50.0, off.p50.0),
                p99: ratio(on.p99.0, off.p99.0),
                p999: ratio(on.p999.0, off.p999.0),
            })
        };
        let ratios = on.summary.classes.iter().filter_map(class_ratios).collect();
        Self { on, off, ratios }
    }
}

/// Formats the reports as a text table with one line per class, refusal reason and group of leaf
/// counters.
pub fn format_table(reports: &[&Report]) -> String {
    let mut out = String::new();
    let head = format!(
        "{:<18} {:<16} {:>6} {:>7} {:>7} {:>9} {:>9} {:>9} {:>9} {:>8}",
        "setting",
        "class",
        "sent",
        "done",
        "full",
        "coverage",
        "p50 ms",
        "p99 ms",
        "p99.9 ms",
        "min cov"
    );
    out.push_str(&head);
    out.push('\n');
    for report in reports {
        for (name, class) in &report.summary.classes {
            write_class(&mut out, &report.name, name, class);
        }
        let leaves = &report.leaves;
        let line = format!(
            "{:<18} leaves: run {} extra {:.1}% shed {} connects {} cold violations {} (unannounced {})\n",
            report.name,
            leaves.run,
            report.extra_load_percent,
            leaves.shed,
            leaves.connects,
            leaves.cold_violations,
            leaves.cold_unannounced
        );
        out.push_str(&line);
        if let Some(once) = &report.once {
            write_once(&mut out, &report.name, once);
        }
    }
    out
}

fn write_once(out: &mut String, setting: &str, once: &AtMostOnceReport) {
    let line = format!(
        "{setting:<18} once: requests {} sends {} done {} not run {} unknown {} failed {} ran {} \
         ran again {} false not run {} + {} false done {}\n",
        once.requests,
        once.sends,
        once.done,
        once.not_run,
        once.unknown,
        once.failed,
        once.ran,
        once.ran_again,
        once.false_not_run_first,
        once.false_not_run_repeated,
        once.false_done
    );
    out.push_str(&line);
}

fn write_class(out: &mut String, setting: &str, name: &str, class: &ClassSummary) {
    let ms = |us: u64| us as f64 / 1000.0;
    let line = format!(
        "{:<18} {:<16} {:>6} {:>7} {:>7} {:>9.4} {:>9.2} {:>9.2} {:>9.2} {:>8.3}\n",
        setting,
        name,
        class.sent,
        class.done,
        class.full,
        class.coverage,
        ms(class.p50.0),
        ms(class.p99.0),
        ms(class.p999.0),
        class.min_coverage
    );
    out.push_str(&line);
    for (reason, count) in &class.refusals {
        writeln!(out, "{setting:<18} {name:<16} {count:>6} {reason}")
            .expect("writing to a string cannot fail");
    }
}
