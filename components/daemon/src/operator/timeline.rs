//! Parses the query parameters of a timeline request.

use {
    crate::operator::Rejection,
    std::{fmt::Display, str::FromStr},
    wigeonramp_telemetry::timeline::{EventKind, TimelineFilter},
};

/// Parses a filter from a query string. Fails if a parameter is unknown, invalid or given twice.
pub(super) fn parse_filter(query: &str) -> Result<TimelineFilter, Rejection> {
    let mut filter = TimelineFilter::default();
    for (key, value) in form_urlencoded::parse(query.as_bytes()) {
        match key.as_ref() {
            "request" => set(&mut filter.request, &key, &value)?,
            "leaf" => set(&mut filter.leaf, &key, &value)?,
            "zone" => set(&mut filter.zone, &key, &value)?,
            "config_version" => set(&mut filter.config_version, &key, &value)?,
            "since" => set(&mut filter.since, &key, &value)?,
            "kind" => {
                let kind = EventKind::from_name(&value);
                let kind = kind.ok_or_else(|| bad_parameter(&key, "unknown kind of event"))?;
                if filter.kind.replace(kind).is_some() {
                    return Err(bad_parameter(&key, "given twice"));
                }
            }
            _ => return Err(bad_parameter(&key, "unknown parameter")),
        }
    }
    Ok(filter)
}

fn set<T>(field: &mut Option<T>, key: &str, value: &str) -> Result<(), Rejection>
where
    T: FromStr,
    T::Err: Display,
{
    let value = value.parse().map_err(|err: T::Err| bad_parameter(key, &err.to_string()))?;
    if field.replace(value).is_some() {
        return Err(bad_parameter(key, "given twice"));
    }
    Ok(())
}

fn bad_parameter(key: &str, problem: &str) -> Rejection {
    Rejection::BadRequest(format!("parameter {key:?}: {problem}"))
}
