//! Guards against reports that differ from the measurements: a schedule that depends on the
//! responses, wrong coverage or extra load, missing refusals.

use {
    indexmap::IndexMap,
    wigeonramp_load::{
        AtMostOnceReport, Comparison, LeafCounts, LoadProfile, QueryClass, Report, RunsByRequest,
        Sample, SampleOutcome, Schedule, Submission, Summary, Window, format_table,
    },
    wigeonramp_units::{PerSecond, Span},
};

fn class(name: &str, weight: u32) -> QueryClass {
    QueryClass {
        name: name.to_owned(),
        caller: "c".parse().unwrap(),
        token: "t".to_owned(),
        collections: vec!["quote-desk".parse().unwrap()],
        weight,
        timeout: Span::secs(1),
        distinct: 3,
        idempotent: true,
        shards: 0,
    }
}

fn sample(class: usize, ms: u64, outcome: SampleOutcome) -> Sample {
    let at = Span::millis(ms);
    Sample { class, latency: Span::millis(ms), outcome, at, submission: None }
}

fn samples(scale: u64) -> Vec<Sample> {
    let done = |covered| SampleOutcome::Done { covered, total: 20 };
    vec![
        sample(0, 10 * scale, done(20)),
        sample(0, 20 * scale, done(20)),
        sample(0, 400 * scale, done(15)),
        sample(0, 1, SampleOutcome::NotRun("overload".to_owned())),
        sample(1, 5, SampleOutcome::Unknown("no answer".to_owned())),
        sample(1, 5, SampleOutcome::Failed("timeout".to_owned())),
    ]
}

#[test]
fn schedules_repeat_by_seed_and_follow_rate_and_weights() {
    let classes = [class("a", 3), class("b", 1)];
    let make = |seed| Schedule::poisson(&classes, PerSecond(200), Span::secs(50), seed);
    let schedule = make(7);
    assert_eq!(schedule, make(7));
    assert_ne!(schedule, make(8));
    assert!((9_500..10_500).contains(&schedule.arrivals.len()));
    assert!(schedule.arrivals.windows(2).all(|pair| pair[0].at <= pair[1].at));
    let a = schedule.arrivals.iter().filter(|arrival| arrival.class == 0).count();
    assert!((7_000..8_000).contains(&(a * 10_000 / schedule.arrivals.len())));
}

#[test]
fn reports_count_each_query_and_compare_settings() {
    let names = ["quote".to_owned(), "invoice".to_owned()];
    let leaves = LeafCounts { run: 66, ..LeafCounts::default() };
    let on = Report::new("on", 50, Summary::new(&names, &samples(1)), leaves.clone());
    let off = Report::new("off", 50, Summary::new(&names, &samples(2)), leaves);
    let comparison = Comparison::new(on, off);
    insta::assert_snapshot!(format_table(&[&comparison.on, &comparison.off]));
    insta::assert_json_snapshot!(comparison.ratios);
}

#[test]
fn bad_profiles_name_file_and_key() {
    let dir = std::env::temp_dir();
    let bad = IndexMap::from([
        ("unknown-key", "[[class]]\nname = \"a\"\nwieght = 1\n"),
        ("no-class", "class = []\n"),
        (
            "no-shards",
            "[[class]]\nname = \"a\"\ncaller = \"c\"\ntoken = \"t\"\ncollections = [\"b\"]\n\
             weight = 1\ntimeout = \"1s\"\ndistinct = 1\nidempotent = false\n",
        ),
        (
            "zero-weight",
            "[[class]]\nname = \"a\"\ncaller = \"c\"\ntoken = \"t\"\ncollections = []\n\
             weight = 0\ntimeout = \"1s\"\ndistinct = 1\n",
        ),
    ]);
    let mut messages = Vec::new();
    for (name, text) in bad {
        let path = dir.join(format!("wigeonramp-load-{}-{name}.toml", std::process::id()));
        std::fs::write(&path, text).unwrap();
        let message = LoadProfile::load(&path).unwrap_err().to_string();
        std::fs::remove_file(&path).unwrap();
        messages.push(message.replace(&path.display().to_string(), name));
    }
    insta::assert_json_snapshot!(messages);
}

#[test]
fn windows_hold_the_queries_that_arrived_in_them() {
    let names = ["quote".to_owned(), "invoice".to_owned()];
    let windows = Window::split(&names, &samples(1), Span::millis(20));
    let sent = |w: &Window| w.summary.classes.values().map(|class| class.sent).sum::<u64>();
    let counts: Vec<_> = windows.iter().map(|w| (w.at, sent(w))).collect();
    let expected = [(Span::ZERO, 4), (Span::millis(20), 1), (Span::millis(400), 1)];
    assert_eq!(counts, expected);
}

/// Guards against a check that overlooks a second run, or a false "not run" or "done".
#[test]
fn false_outcomes_and_second_runs_are_counted() {
    let submission = |id: &str, index, outcome| {
        let submission = Some(Submission { id: id.parse().unwrap(), index });
        Sample { submission, ..sample(0, 1, outcome) }
    };
    let done = || SampleOutcome::Done { covered: 1, total: 1 };
    let not_run = || SampleOutcome::NotRun("busy".to_owned());
    let samples = [
        submission("1-a", 0, done()),
        submission("1-a", 1, not_run()),
        submission("1-b", 0, not_run()),
        submission("1-b", 1, SampleOutcome::Unknown("lost".to_owned())),
        submission("1-c", 0, not_run()),
        submission("1-d", 0, done()),
        submission("1-f", 0, not_run()),
        submission("1-e", 0, SampleOutcome::Failed("timeout".to_owned())),
        sample(0, 1, done()),
    ];
    let runs = [("1-a", 1), ("1-b", 2), ("1-f", 1)];
    let runs: RunsByRequest = runs.into_iter().map(|(id, n)| (id.parse().unwrap(), n)).collect();
    let report = AtMostOnceReport::new(&samples, &runs);
    assert!(!report.is_clean());
    insta::assert_json_snapshot!(report);
    let clean = AtMostOnceReport::new(&samples[4..5], &runs);
    assert!(clean.is_clean());
}
