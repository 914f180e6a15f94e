//! Reading HTTP/1.1 messages with a body of declared length or none.

use std::io::{BufRead, Error, ErrorKind, Result};

#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The word of the first line with this index: method, target or status.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }
}

/// Reads a message; none at the end of the stream before its first byte.
pub fn read(input: &mut impl BufRead) -> Result<Option<Message>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or_else(|| Error::other("header"))?;
        headers.push((name.trim().to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { first, headers, body: Vec::new() };
    let length = message.header("Content-Length").and_then(|text| text.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    input.read_exact(&mut message.body)?;
    Ok(Some(message))
}
