//! Reading and parsing of TOML files, with errors that name file, line and key.

use {
    crate::error::ConfigError,
    serde::de::DeserializeOwned,
    std::{fs, path::Path},
};

/// The standard library's error message for an invalid socket address.
const INVALID_SOCKET_ADDRESS: &str = "invalid socket address syntax";

/// Reads the text of the file at `path`.
pub(crate) fn read(path: &Path) -> Result<String, ConfigError> {
    fs::read_to_string(path)
        .map_err(|err| ConfigError::Unreadable { file: path.to_owned(), reason: err.to_string() })
}

/// Parses `text`, which was read from `path`.
pub(crate) fn parse<T: DeserializeOwned>(path: &Path, text: &str) -> Result<T, ConfigError> {
    toml::from_str(text).map_err(|err| {
        let offset = err.span().map_or(0, |span| span.start);
        ConfigError::Syntax {
            file: path.to_owned(),
            line: line_number(text, offset),
            key: key_at(text, offset),
            problem: describe_problem(err.message()),
        }
    })
}

/// Returns the parser's message on one line, with the expected form if the parser does not give it.
fn describe_problem(message: &str) -> String {
    let text = message.lines().map(str::trim).collect::<Vec<_>>().join(" ");
    if text == INVALID_SOCKET_ADDRESS {
        return format!("{text}; expected an IP address and a port, such as \"127.0.0.1:7000\"");
    }
    text
}

/// Returns the number, from 1, of the line that contains the byte at `offset`.
fn line_number(text: &str, offset: usize) -> usize {
    text_before(text, offset).matches('\n').count() + 1
}

fn text_before(text: &str, offset: usize) -> &str {
    text.get(..offset).unwrap_or(text)
}

/// Returns the key on the line that contains the byte at `offset`, prefixed with its table.
fn key_at(text: &str, offset: usize) -> String {
    let lines: Vec<&str> = text.lines().take(line_number(text, offset)).map(str::trim).collect();
    let line = lines.last().copied().unwrap_or_default();
    let is_header = |line: &&&str| line.starts_with('[') && line.ends_with(']');
    let table = lines.iter().rev().find(is_header).unwrap_or(&"").trim_matches(['[', ']']);
    match line.split_once('=') {
        Some((key, _)) if table.is_empty() => key.trim().to_owned(),
        Some((key, _)) => format!("{table}.{}", key.trim()),
        None if table.is_empty() => "top level".to_owned(),
        None => table.to_owned(),
    }
}
