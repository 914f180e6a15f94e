//! HTTP/1.1 messages on blocking sockets.

use std::{
    io::{BufRead, BufReader, Error, ErrorKind, Read, Result},
    net::TcpStream,
};

/// A request or a response.
pub struct Message {
    /// Request line or status line.
    pub start: String,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Second word of the first line: the target of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }
}

fn line(input: &mut BufReader<TcpStream>) -> Result<String> {
    let mut text = String::new();
    if input.read_line(&mut text)? == 0 {
        return Err(Error::from(ErrorKind::UnexpectedEof));
    }
    Ok(text.trim_end().to_owned())
}

/// Reads a message whose body has a length; `None` if the connection ends before one starts.
pub fn read(input: &mut BufReader<TcpStream>) -> Result<Option<Message>> {
    if input.fill_buf()?.is_empty() {
        return Ok(None);
    }
    let start = line(input)?;
    let mut headers = Vec::new();
    loop {
        let text = line(input)?;
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':').ok_or(Error::from(ErrorKind::InvalidData))?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let mut message = Message { start, headers, body: Vec::new() };
    let length = message.header("Content-Length").unwrap_or("0").parse().unwrap_or(0);
    message.body = vec![0; length];
    input.read_exact(&mut message.body)?;
    Ok(Some(message))
}
