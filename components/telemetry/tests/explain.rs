//! Tests explanations of requests from log lines.

use {
    insta::assert_snapshot,
    wigeonramp_telemetry::explain::{explain, parse_log},
};

const LOG: &str = r#"
  3.1 host-1 {"event":"leaf","host":"host-1","leaf":"i-1","seq":4,"state":"draining","steady_us":1000000,"time_ms":9000}
  3.2 host-1 {"event":"store_lost","host":"host-1","kind":"servers","reason":"no answer","seq":5,"steady_us":1200000,"time_ms":4000}
  3.3 host-2 {"event":"store_lost","host":"host-2","kind":"servers","reason":"no answer","seq":1,"steady_us":1250000,"time_ms":9100}
not a line
  3.4 host-1 {"answered":4,"cause":"parts_missing","config":7,"event":"reply","host":"host-1","may_repeat":true,"parts":6,"request":"r1","seq":6,"status":200,"steady_us":1300000,"took_us":55000,"tries":[{"service":"s1","leaf":"i-1","end":"no_answer","took_us":54000},{"service":"s2","leaf":"i-2","end":"lost","took_us":9000}],"time_ms":4100}
  3.5 host-1 {"answered":0,"cause":"broken","config":7,"event":"reply","host":"host-1","may_repeat":false,"parts":1,"request":"r2","seq":7,"status":502,"steady_us":1400000,"took_us":3000,"tries":[{"service":"w","leaf":"i-3","end":"lost","took_us":2000}],"time_ms":4200}
  3.6 host-1 {"cause":"no_config","config":null,"event":"refused","host":"host-1","request":"r3","seq":8,"status":503,"steady_us":1500000,"took_us":10,"time_ms":4300}
  3.7 host-1 {"event":"overload","first_shard":"s1","host":"host-1","late":0.3,"seq":9,"steady_us":1550000,"taken":0.85,"time_ms":4350}
  3.8 host-1 {"answered":0,"cause":"overload","config":7,"event":"reply","host":"host-1","may_repeat":true,"parts":6,"request":"r4","seq":10,"status":503,"steady_us":1600000,"taken":0.55,"took_us":80,"tries":[],"time_ms":4400}
  3.9 host-1 {"answered":0,"cause":"no_leaf","config":7,"event":"reply","host":"host-1","may_repeat":true,"missing":["w"],"parts":1,"request":"r5","seq":11,"status":503,"steady_us":1650000,"took_us":20,"tries":[],"time_ms":4450}
  3.95 host-1 {"answered":6,"before_us":14000,"cause":"late_at_caller","config":7,"event":"reply","host":"host-1","may_repeat":true,"own_us":1500,"parts":6,"request":"r6","seq":12,"status":200,"steady_us":1700000,"target_us":60000,"took_us":41000,"tries":[],"time_ms":4500,"way_us":7750}
"#;

/// Guards against failed requests without an explanation, and against wrong context when clocks
/// differ: the host's wall clock goes back by five seconds between its first two lines.
#[test]
fn a_request_is_explained_from_its_id() {
    let lines = parse_log(LOG);
    let explanations: Vec<String> = ["r1", "r2", "r3", "r4", "r5", "r6"]
        .iter()
        .map(|id| format!("{id}: {:#?}", explain(id, &lines).expect("an explanation")))
        .collect();
    assert_snapshot!(explanations.join("\n"));
}

/// Guards against an explanation of a request that no line names.
#[test]
fn unknown_request_has_no_explanation() {
    assert!(explain("r9", &parse_log(LOG)).is_none());
}

/// Guards against a refusal by a quota whose explanation does not say of which account and which
/// limit, or that lists what happened to other accounts.
#[test]
fn refusals_by_quotas_name_account_and_limit() {
    let log = r#"
{"account":"one","burst":17.0,"event":"quota","host":"host-1","rate":17.0,"refused":3,"seq":1,"state":"exceeded","steady_us":900000,"time_ms":1}
{"account":"two","burst":1.0,"event":"quota","host":"host-1","rate":1.0,"refused":1,"seq":2,"state":"exceeded","steady_us":950000,"time_ms":2}
{"account":"one","cause":"over_quota","config":7,"event":"refused","host":"host-1","quota":{"burst":17.0,"rate":17.0},"request":"q1","retry_after_us":120000,"seq":3,"status":429,"steady_us":1000000,"took_us":900,"time_ms":3}
{"account":null,"cause":"unauthorized","config":7,"event":"refused","host":"host-1","quota":null,"request":"q2","retry_after_us":0,"seq":4,"status":401,"steady_us":1100000,"took_us":9,"time_ms":4}
"#;
    let lines = parse_log(log);
    let explain = |id| format!("{id}: {:#?}", explain(id, &lines).expect("an explanation"));
    assert_snapshot!(["q1", "q2"].map(explain).join("\n"));
}

/// Guards against an explanation that does not tell which version failed, and against releases of
/// other services in it.
#[test]
fn an_explanation_names_the_version_that_failed() {
    const LOG: &str = r#"
  3.1 host-1 {"event":"release","host":"host-1","reason":null,"seq":1,"service":"w","state":"canary","steady_us":900000,"time_ms":1,"version":"v2"}
  3.2 host-1 {"event":"release","host":"host-1","reason":"failing","seq":2,"service":"other","state":"rolled_back","steady_us":950000,"time_ms":2,"version":"v9"}
  3.3 host-1 {"answered":1,"cause":"leaf_failed","config":7,"event":"reply","host":"host-1","may_repeat":false,"parts":1,"request":"r1","seq":3,"status":500,"steady_us":1000000,"took_us":9000,"tries":[{"service":"w","leaf":"i-3","version":"v2","end":"failed","took_us":8000}],"time_ms":3}
"#;
    let explanation = explain("r1", &parse_log(LOG)).expect("an explanation");
    assert_snapshot!(explanation.cause[1], @"w: leaf i-3 of version v2 responded with an error after 8 ms");
    assert_snapshot!(explanation.context.join("\n"), @r#"100 ms before the response: release reason null service "w" state "canary" version "v2""#);
}
