//! Frames of replication streams.

use serde::{Serialize, de::DeserializeOwned};

/// Size of the length prefix in bytes.
pub(super) const LENGTH_BYTES: usize = 4;

pub(super) fn encode_frame<T: Serialize>(message: &T) -> Result<Vec<u8>, serde_json::Error> {
    let mut bytes = vec![0; LENGTH_BYTES];
    serde_json::to_writer(&mut bytes, message)?;
    let length = (bytes.len() - LENGTH_BYTES) as u32;
    bytes[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(bytes)
}

/// Removes a frame of at most `max` bytes from the front of `buf` and decodes it; returns `None` if
/// it is incomplete.
pub(super) fn take_frame<T: DeserializeOwned>(
    buf: &mut Vec<u8>,
    max: usize,
) -> Result<Option<T>, String> {
    let Some(length) = buf.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > max {
        return Err("frame too long".to_owned());
    }
    let end = LENGTH_BYTES + length;
    if buf.len() < end {
        return Ok(None);
    }
    let message = serde_json::from_slice(&buf[LENGTH_BYTES..end]).map_err(|err| err.to_string());
    buf.drain(..end);
    message.map(Some)
}
