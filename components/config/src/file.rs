//! Reading of TOML files, with errors that name file, line and key.

use {
    crate::error::ConfigError,
    serde::de::DeserializeOwned,
    std::{fs, path::Path},
};

/// Message of the standard library's socket addresses.
const BAD_ADDRESS: &str = "invalid socket address syntax";

/// The text of `path`.
pub(crate) fn read(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path)
        .map_err(|err| ConfigError::Unreadable { file: path.to_owned(), reason: err.to_string() })
}

/// The value that `text`, read from `path`, describes.
pub(crate) fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, ConfigError> {
    toml::from_str(text).map_err(|err| {
        let at = err.span().map_or(0, |span| span.start);
        ConfigError::Syntax {
            file: path.to_owned(),
            line: line_number(text, at),
            key: key_at(text, at),
            problem: problem(err.message()),
        }
    })
}

/// The parser's message on one line, with the expected form where the parser does not say it.
fn problem(message: &str) -> String {
    let text = message.lines().map(str::trim).collect::<Vec<_>>().join(" ");
    if text == BAD_ADDRESS {
        return format!("{text}; expected an IP address and a port, such as \"127.0.0.1:7000\"");
    }
    text
}

fn line_number(text: &str, at: usize) -> usize {
    before(text, at).matches('\n').count() + 1
}

fn before(text: &str, at: usize) -> &str {
    text.get(..at).unwrap_or(text)
}

/// The key whose line contains byte `at`, with the table header above it.
fn key_at(text: &str, at: usize) -> String {
    let lines: Vec<&str> = text.lines().take(line_number(text, at)).map(str::trim).collect();
    let line = lines.last().copied().unwrap_or_default();
    let header = |line: &&&str| line.starts_with('[') && line.ends_with(']');
    let table = lines.iter().rev().find(header).unwrap_or(&"").trim_matches(['[', ']']);
    match line.split_once('=') {
        Some((key, _)) if table.is_empty() => key.trim().to_owned(),
        Some((key, _)) => format!("{table}.{}", key.trim()),
        None if table.is_empty() => "top level".to_owned(),
        None => table.to_owned(),
    }
}
