//! Reading bodies from a stream.

use {httparse::Status, wigeonramp_platform::http::Framing};

/// Longest line that states the length of a chunk, or of a trailer.
const MAX_LINE: usize = 1_024;
/// Bytes reserved at once for a body of a stated length.
const MAX_RESERVED: u64 = 64 * 1024;

/// Why a body cannot be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// The chunks make no sense.
    Malformed,
    /// The body is longer than allowed.
    TooLong,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Plain { left: u64 },
    ToTheEnd,
    ChunkSize,
    ChunkData { left: u64 },
    ChunkEnd,
    Trailer,
    Done,
}

/// A body that is being read.
#[derive(Debug)]
pub(crate) struct BodyReader {
    state: State,
    max: u64,
    body: Vec<u8>,
}

impl BodyReader {
    /// A body of at most `max` bytes.
    pub fn new(framing: Framing, max: u64) -> Result<Self, BodyError> {
        let state = match framing {
            Framing::Length(length) if length > max => return Err(BodyError::TooLong),
            Framing::Length(0) => State::Done,
            Framing::Length(left) => State::Plain { left },
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::ToTheEnd,
        };
        let body = match framing {
            Framing::Length(length) => Vec::with_capacity(length.min(MAX_RESERVED) as usize),
            _ => Vec::new(),
        };
        Ok(Self { state, max, body })
    }

    /// Takes bytes from the front of `buf`; returns how many were used.
    pub fn push(&mut self, buf: &[u8]) -> Result<usize, BodyError> {
        let mut used = 0;
        while self.state != State::Done && used < buf.len() {
            let step = self.step(&buf[used..])?;
            if step == 0 {
                break;
            }
            used += step;
        }
        Ok(used)
    }

    fn step(&mut self, buf: &[u8]) -> Result<usize, BodyError> {
        match self.state {
            State::Done => Ok(0),
            State::ToTheEnd => self.take(buf),
            State::Plain { left } => {
                let used = self.take(&buf[..buf.len().min(clamp(left))])?;
                let left = left - used as u64;
                self.state = if left == 0 { State::Done } else { State::Plain { left } };
                Ok(used)
            }
            State::ChunkData { left } => {
                let used = self.take(&buf[..buf.len().min(clamp(left))])?;
                let left = left - used as u64;
                self.state = if left == 0 { State::ChunkEnd } else { State::ChunkData { left } };
                Ok(used)
            }
            State::ChunkSize => self.chunk_size(buf),
            State::ChunkEnd => match buf {
                [b'\r', b'\n', ..] => {
                    self.state = State::ChunkSize;
                    Ok(2)
                }
                [b'\r'] => Ok(0),
                _ => Err(BodyError::Malformed),
            },
            State::Trailer => self.trailer(buf),
        }
    }

    fn take(&mut self, buf: &[u8]) -> Result<usize, BodyError> {
        if (self.body.len() + buf.len()) as u64 > self.max {
            return Err(BodyError::TooLong);
        }
        self.body.extend_from_slice(buf);
        Ok(buf.len())
    }

    fn chunk_size(&mut self, buf: &[u8]) -> Result<usize, BodyError> {
        match httparse::parse_chunk_size(buf) {
            Ok(Status::Complete((used, 0))) => {
                self.state = State::Trailer;
                Ok(used)
            }
            Ok(Status::Complete((used, left))) => {
                self.state = State::ChunkData { left };
                Ok(used)
            }
            Ok(Status::Partial) if buf.len() <= MAX_LINE => Ok(0),
            _ => Err(BodyError::Malformed),
        }
    }

    fn trailer(&mut self, buf: &[u8]) -> Result<usize, BodyError> {
        match buf.iter().position(|byte| *byte == b'\n') {
            Some(end) => {
                if buf[..end].is_empty() || buf[..end] == *b"\r" {
                    self.state = State::Done;
                }
                Ok(end + 1)
            }
            None if buf.len() <= MAX_LINE => Ok(0),
            None => Err(BodyError::Malformed),
        }
    }

    /// The stream has ended; whether the body is whole.
    pub fn end(&mut self) -> bool {
        if self.state == State::ToTheEnd {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Whether the body is whole.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// The bytes read.
    pub fn into_body(self) -> Vec<u8> {
        self.body
    }
}

fn clamp(length: u64) -> usize {
    usize::try_from(length).unwrap_or(usize::MAX)
}
