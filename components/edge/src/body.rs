//! Incremental decoding of HTTP bodies.
//!
//! Bytes are kept in segments until the body is complete. A buffer that grows for as long as a body
//! does would leave the allocator with several times the memory that is in use.

use {httparse::Status, wigeonramp_platform::http::Framing};

/// Maximum length in bytes of a chunk-size line or a trailer line.
const MAX_LINE: usize = 1_024;
/// Maximum number of bytes of a segment, and of those allocated up front for a body of known length.
const SEGMENT_BYTES: usize = 64 * 1024;
/// Bytes of chunk framing and trailers allowed for each decoded byte; a chunk of one byte takes
/// five.
const FRAMING_FACTOR: u64 = 16;
/// Bytes of chunk framing and trailers allowed in addition.
const FRAMING_BYTES: u64 = 16 * 1024;

/// Error of reading a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BodyError {
    /// The chunked coding is invalid.
    Malformed,
    /// The body or its chunk framing is longer than allowed.
    TooLong,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Length { left: u64 },
    UntilClose,
    ChunkSize,
    ChunkData { left: u64 },
    ChunkEnd,
    Trailer,
    Done,
}

/// Decoder of one body.
#[derive(Debug)]
pub(crate) struct BodyReader {
    state: State,
    max: u64,
    /// Bytes to allocate for the body when its first bytes arrive.
    expected: usize,
    /// Bytes of chunk framing and trailers received.
    framing: u64,
    body: Segments,
}

/// Bytes of a body in segments, of which all but the last are full.
#[derive(Debug, Default)]
struct Segments {
    full: Vec<Vec<u8>>,
    last: Vec<u8>,
}

impl Segments {
    fn len(&self) -> usize {
        self.full.len() * SEGMENT_BYTES + self.last.len()
    }

    fn capacity(&self) -> usize {
        self.full.len() * SEGMENT_BYTES + self.last.capacity()
    }

    /// Appends bytes; `expected` is the number of bytes that the body is known to have.
    fn append(&mut self, mut bytes: &[u8], expected: usize) {
        while !bytes.is_empty() {
            if self.last.len() == SEGMENT_BYTES {
                self.full.push(std::mem::take(&mut self.last));
            }
            let (now, later) = bytes.split_at(bytes.len().min(SEGMENT_BYTES - self.last.len()));
            let needed = self.last.len() + now.len();
            if needed > self.last.capacity() {
                let grown = (self.last.capacity() * 2).max(expected).min(SEGMENT_BYTES);
                self.last.reserve_exact(needed.max(grown) - self.last.len());
            }
            self.last.extend_from_slice(now);
            bytes = later;
        }
    }

    fn into_bytes(self) -> Vec<u8> {
        if self.full.is_empty() {
            return self.last;
        }
        let mut bytes = Vec::with_capacity(self.len());
        for segment in self.full.into_iter().chain([self.last]) {
            bytes.extend_from_slice(&segment);
        }
        bytes
    }
}

impl BodyReader {
    /// Creates a decoder for a body of at most `max` bytes.
    pub fn new(framing: Framing, max: u64) -> Result<Self, BodyError> {
        let state = match framing {
            Framing::Length(length) if length > max => return Err(BodyError::TooLong),
            Framing::Length(0) => State::Done,
            Framing::Length(left) => State::Length { left },
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
            Framing::Invalid => return Err(BodyError::Malformed),
        };
        let expected = match framing {
            Framing::Length(length) => to_usize(length).min(SEGMENT_BYTES),
            _ => 0,
        };
        Ok(Self { state, max, expected, framing: 0, body: Segments::default() })
    }

    /// Returns the number of bytes that the body may take until it is complete.
    pub fn max_bytes(&self) -> usize {
        match self.state {
            State::Length { left } => self.body.capacity().max(self.body.len() + to_usize(left)),
            State::Done => self.body.capacity(),
            _ => to_usize(self.max),
        }
    }

    /// Returns the number of bytes that the body takes now.
    pub fn held_bytes(&self) -> usize {
        self.body.capacity()
    }

    /// Decodes bytes from the front of `buf` and returns how many were consumed.
    pub fn push(&mut self, buf: &[u8]) -> Result<usize, BodyError> {
        let mut used = 0;
        while self.state != State::Done && used < buf.len() {
            let before = self.body.len();
            let step = self.step(&buf[used..])?;
            if step == 0 {
                break;
            }
            self.framing += (step - (self.body.len() - before)) as u64;
            if self.framing > self.body.len() as u64 * FRAMING_FACTOR + FRAMING_BYTES {
                return Err(BodyError::TooLong);
            }
            used += step;
        }
        Ok(used)
    }

    fn step(&mut self, buf: &[u8]) -> Result<usize, BodyError> {
        match self.state {
            State::Done => Ok(0),
            State::UntilClose => self.append(buf),
            State::Length { left } => {
                let used = self.append(&buf[..buf.len().min(to_usize(left))])?;
                let left = left - used as u64;
                self.state = if left == 0 { State::Done } else { State::Length { left } };
                Ok(used)
            }
            State::ChunkData { left } => {
                let used = self.append(&buf[..buf.len().min(to_usize(left))])?;
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

    fn append(&mut self, buf: &[u8]) -> Result<usize, BodyError> {
        if (self.body.len() + buf.len()) as u64 > self.max {
            return Err(BodyError::TooLong);
        }
        self.body.append(buf, self.expected);
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

    /// Records the end of the stream; returns whether the body is complete.
    pub fn end(&mut self) -> bool {
        if self.state == State::UntilClose {
            self.state = State::Done;
        }
        self.is_done()
    }

    /// Whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == State::Done
    }

    /// Returns the decoded body.
    pub fn into_body(self) -> Vec<u8> {
        self.body.into_bytes()
    }
}

fn to_usize(length: u64) -> usize {
    usize::try_from(length).unwrap_or(usize::MAX)
}
