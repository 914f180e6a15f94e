//! Guards against ids, durations and hashes whose text form does not parse back to the same value,
//! and against accepting ids that would break object keys or headers.

use {
    proptest::prelude::*,
    wigeonramp_units::{Digest, HostId, InstanceId, LeafId, RequestRate, Span},
};

proptest! {
    #[test]
    fn a_span_parses_back_from_its_text(us in 0_u64..10_000_000_000_000) {
        prop_assert_eq!(Span(us).to_string().parse::<Span>(), Ok(Span(us)));
    }

    #[test]
    fn a_digest_parses_back_from_its_text(hash: u64) {
        prop_assert_eq!(Digest(hash).to_string().parse::<Digest>(), Ok(Digest(hash)));
    }
}

#[test]
fn bad_texts_name_kind_and_expected_form() {
    let errors = [
        "5 minutes".parse::<Span>().unwrap_err(),
        "ms".parse::<Span>().unwrap_err(),
        "12".parse::<Span>().unwrap_err(),
        "99999999999999999999min".parse::<Span>().unwrap_err(),
        "".parse::<HostId>().unwrap_err(),
        "a\r\nx-member: other".parse::<LeafId>().unwrap_err(),
        "xyz".parse::<Digest>().unwrap_err(),
    ];
    let text: Vec<String> = errors.iter().map(ToString::to_string).collect();
    insta::assert_json_snapshot!(text);
}

#[test]
fn an_instance_names_its_host() {
    let instance = InstanceId::new(&"h1".parse().unwrap(), &"b2".parse().unwrap());
    assert_eq!(instance.to_string(), "h1@b2");
    assert_eq!(instance.host().as_str(), "h1");
}

/// Guards against a rate that computations turn into an unlimited one.
#[test]
fn a_request_rate_is_a_finite_number_that_is_not_negative() {
    let texts = ["25.4", "0", "1e3", "-1", "-0.5", "inf", "NaN", "1e999", "", "12 a second"];
    let rates: Vec<String> = texts
        .iter()
        .map(|text| match text.parse::<RequestRate>() {
            Ok(rate) => format!("{text:?}: {rate}"),
            Err(err) => err.to_string(),
        })
        .collect();
    insta::assert_json_snapshot!(rates);
}

/// Guards against a duration of another system that is too long and becomes a short one, or ends the
/// process.
#[test]
fn durations_that_are_too_long_stay_the_longest() {
    let longest = Span(u64::MAX);
    assert_eq!([Span::millis(u64::MAX), Span::secs(u64::MAX)], [longest; 2]);
    assert_eq!(longest.percent(50), Span(u64::MAX / 100));
}
