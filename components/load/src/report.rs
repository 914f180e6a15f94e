//! Tables and JSON of runs, and the ratio of two settings.

use {
    crate::{
        leaves::LeafTotals,
        once::AtMostOnceReport,
        summary::{ClassSummary, Summary, Window},
    },
    serde::{Deserialize, Serialize},
    std::fmt::Write,
    wigeonramp_units::UnixMillis,
};

/// One setting of a run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Name of the setting.
    pub name: String,
    /// Arrivals a second.
    pub rate: u32,
    /// What callers saw.
    pub summary: Summary,
    /// What the leaves counted.
    pub leaves: LeafTotals,
    /// Runs at leaves beyond the shards in the answers, in hundredths of those shards.
    pub extra_load_percent: f64,
    /// Wall-clock time of the start of the run.
    #[serde(default)]
    pub started: UnixMillis,
    /// The same by parts of the run; empty unless asked for.
    #[serde(default)]
    pub windows: Vec<Window>,
    /// Requests that must not run twice.
    #[serde(default)]
    pub once: Option<AtMostOnceReport>,
}

impl Report {
    /// Puts together what callers and leaves counted.
    pub fn new(name: &str, rate: u32, summary: Summary, leaves: LeafTotals) -> Self {
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

/// Two settings measured in one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Comparison {
    /// With the decision under test.
    pub on: Report,
    /// Without it.
    pub off: Report,
    /// Ratio on / off by class and quantity.
    pub ratios: Vec<LatencyRatios>,
}

/// One ratio.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LatencyRatios {
    /// Class of queries.
    pub class: String,
    /// p50 on / off.
    pub p50: f64,
    /// p99 on / off.
    pub p99: f64,
    /// p99.9 on / off.
    pub p999: f64,
}

impl Comparison {
    /// Compares two reports class by class.
    pub fn new(on: Report, off: Report) -> Self {
        let row = |(name, on): (&String, &ClassSummary)| {
            let off = off.summary.classes.get(name)?;
            let ratio = |a: u64, b: u64| a as f64 / b.max(1) as f64;
            Some(LatencyRatios {
                class: name.clone(),
                p50: ratio(on.p50.0, off.p50.0),
                p99: ratio(on.p99.0, off.p99.0),
                p999: ratio(on.p999.0, off.p999.0),
            })
        };
        let ratios = on.summary.classes.iter().filter_map(row).collect();
        Self { on, off, ratios }
    }
}

/// A plain table of the reports, one line for each class.
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
