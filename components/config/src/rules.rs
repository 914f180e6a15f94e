//! Validation rules that apply to both declarations and documents.

use {
    crate::{
        document::{Caller, LeafLimits, Limits, Member},
        error::ValidationError,
    },
    indexmap::IndexMap,
    wigeonramp_units::{CallerId, MemberId, Span},
};

/// Number of hexadecimal digits of a SHA-256 hash.
const SHA256_DIGITS: usize = 64;
/// Maximum value of deadlines and other durations.
const MAX_DURATION: Span = Span::secs(3600);

/// Fails unless `value` is in `min..=max`.
pub(crate) fn check_range(
    key: &str,
    value: u64,
    min: u64,
    max: u64,
) -> Result<(), ValidationError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(ValidationError::new(key, format!("{value} is out of range"), format!("{min} to {max}")))
}

/// Checks that the member of each caller exists and that its token hash is well-formed.
pub(crate) fn check_callers(
    callers: &IndexMap<CallerId, Caller>,
    members: &IndexMap<MemberId, Member>,
) -> Result<(), ValidationError> {
    for (id, caller) in callers {
        if !members.contains_key(&caller.member) {
            let problem = format!("member {:?} does not exist", caller.member.as_str());
            let expected = format!("one of {}", join_ids(members.keys()));
            return Err(ValidationError::new(format!("callers.{id}.member"), problem, expected));
        }
        let hash = &caller.token_sha256;
        let is_hex_digit = |c: char| c.is_ascii_digit() || ('a'..='f').contains(&c);
        if hash.len() != SHA256_DIGITS || !hash.chars().all(is_hex_digit) {
            let key = format!("callers.{id}.token_sha256");
            let problem = format!("{} characters that are not a SHA-256", hash.len());
            return Err(ValidationError::new(key, problem, "64 digits from 0-9 a-f"));
        }
    }
    Ok(())
}

/// Checks that both deadlines are in range and that the soft one does not exceed the maximum.
pub(crate) fn check_deadlines(
    key: &impl Fn(&str) -> String,
    soft: Span,
    max: Span,
) -> Result<(), ValidationError> {
    check_duration(&key("max_deadline"), max)?;
    check_duration(&key("soft_deadline"), soft)?;
    if soft > max {
        let problem = format!("{soft} is longer than max_deadline");
        return Err(ValidationError::new(key("soft_deadline"), problem, format!("at most {max}")));
    }
    Ok(())
}

/// Checks that the limits of a leaf are in range.
pub(crate) fn check_leaf_limits(
    key: &impl Fn(&str) -> String,
    limits: &LeafLimits,
) -> Result<(), ValidationError> {
    let key = |name: &str| key(&format!("leaf_limits.{name}"));
    check_range(&key("slots"), limits.slots.get().into(), 1, 1024)?;
    check_range(&key("connections"), limits.connections.get().into(), 1, 65_535)?;
    check_range(&key("cold_per_second"), limits.cold_per_second.get().into(), 1, 100_000)?;
    check_range(&key("cold_in_flight"), limits.cold_in_flight.get().into(), 1, 1024)?;
    check_range(&key("cold_answers"), limits.cold_answers.into(), 1, 100_000)?;
    if limits.connect_cost > Span::secs(10) {
        let problem = format!("{} is out of range", limits.connect_cost);
        return Err(ValidationError::new(key("connect_cost"), problem, "at most 10s"));
    }
    if limits.cold_in_flight > limits.slots {
        let problem = format!("{} is more than slots", limits.cold_in_flight);
        let expected = format!("1 to {}", limits.slots);
        return Err(ValidationError::new(key("cold_in_flight"), problem, expected));
    }
    Ok(())
}

/// Checks that the limits of all collections are in range.
pub(crate) fn check_limits(limits: &Limits) -> Result<(), ValidationError> {
    let times = [
        ("entry_lifetime", limits.entry_lifetime),
        ("claim_retention", limits.claim_retention),
        ("quarantine", limits.quarantine),
        ("session_time", limits.session_time),
        ("stale_after", limits.stale_after),
    ];
    for (name, time) in times {
        check_duration(&format!("limits.{name}"), time)?;
    }
    let shares = [
        ("hedge_budget", limits.hedge_budget),
        ("retry_budget", limits.retry_budget),
        ("ordinary_floor", limits.ordinary_floor),
        ("max_ejected", limits.max_ejected),
    ];
    for (name, share) in shares {
        check_range(&format!("limits.{name}"), share.get().into(), 0, 100)?;
    }
    check_range("limits.max_body", limits.max_body.get(), 1, 1_000_000)
}

fn check_duration(key: &str, time: Span) -> Result<(), ValidationError> {
    if time > Span::ZERO && time <= MAX_DURATION {
        return Ok(());
    }
    let expected = format!("more than 0 and at most {MAX_DURATION}");
    Err(ValidationError::new(key, format!("{time} is out of range"), expected))
}

/// Joins ids with commas for error messages.
pub(crate) fn join_ids<T: ToString>(ids: impl Iterator<Item = T>) -> String {
    let ids: Vec<String> = ids.map(|id| id.to_string()).collect();
    if ids.is_empty() { "none".to_owned() } else { ids.join(", ") }
}
