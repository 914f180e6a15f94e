//! Guards against a load tool that reports other figures than it measured: a schedule that
//! depends on the answers, coverage or extra load counted wrongly, refusals that vanish.

use {
    indexmap::IndexMap,
    wigeonramp_load::{
        Class, Comparison, LeafCounts, LoadProfile, Report, Sample, SampleOutcome, Schedule,
        Summary, table,
    },
    wigeonramp_units::{PerSecond, Span},
};

fn class(name: &str, weight: u32) -> Class {
    Class {
        name: name.to_owned(),
        caller: "c".parse().unwrap(),
        token: "t".to_owned(),
        collections: vec!["quote-desk".parse().unwrap()],
        weight,
        timeout: Span::secs(1),
        distinct: 3,
    }
}

fn sample(class: usize, ms: u64, outcome: SampleOutcome) -> Sample {
    Sample { class, latency: Span::millis(ms), outcome }
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
    insta::assert_snapshot!(table(&[&comparison.on, &comparison.off]));
    insta::assert_json_snapshot!(comparison.ratios);
}

#[test]
fn bad_profiles_name_file_and_key() {
    let dir = std::env::temp_dir();
    let bad = IndexMap::from([
        ("unknown-key", "[[class]]\nname = \"a\"\nwieght = 1\n"),
        ("no-class", "class = []\n"),
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
