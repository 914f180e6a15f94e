//! Reads the timeline's query parameters.

use {
    crate::operator::Rejection,
    std::{fmt::Display, str::FromStr},
    wigeonramp_telemetry::timeline::{EventKind, TimelineFilter},
};

/// The filter in a query string; each parameter at most once.
pub(super) fn filter(query: &str) -> Result<TimelineFilter, Rejection> {
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
                let kind = kind.ok_or_else(|| bad(&key, "is no kind of event"))?;
                if filter.kind.replace(kind).is_some() {
                    return Err(bad(&key, "is given twice"));
                }
            }
            _ => return Err(bad(&key, "is no parameter of the timeline")),
        }
    }
    Ok(filter)
}

fn set<T>(field: &mut Option<T>, key: &str, value: &str) -> Result<(), Rejection>
where
    T: FromStr,
    T::Err: Display,
{
    let value = value.parse().map_err(|err: T::Err| bad(key, &err.to_string()))?;
    if field.replace(value).is_some() {
        return Err(bad(key, "is given twice"));
    }
    Ok(())
}

fn bad(key: &str, problem: &str) -> Rejection {
    Rejection::Bad(format!("parameter {key:?}: {problem}"))
}
