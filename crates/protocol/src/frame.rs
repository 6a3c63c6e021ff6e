//! Encoding, framing and stream decoding.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Error, Message, Result};

/// Maximum size of a message, in bytes.
pub const FRAME_LIMIT: usize = 4 << 20;

/// Size of the length prefix, in bytes.
const PREFIX_LEN: usize = size_of::<u32>();

/// Encodes a message as a frame.
///
/// # Errors
///
/// The message exceeds [`FRAME_LIMIT`].
pub fn encode(message: &Message) -> Result<Vec<u8>> {
    to_frame(message)
}

/// Encodes any serializable value as a frame.
///
/// # Errors
///
/// The message exceeds [`FRAME_LIMIT`].
pub fn to_frame<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut frame = postcard::to_extend(message, vec![0; PREFIX_LEN]).map_err(Error::postcard)?;
    let len = frame.len() - PREFIX_LEN;
    if len > FRAME_LIMIT {
        return Err(Error::too_large(len));
    }
    frame[..PREFIX_LEN].copy_from_slice(&(len as u32).to_le_bytes());
    Ok(frame)
}

/// Decodes the body of a frame, without its length prefix.
///
/// # Errors
///
/// The bytes are not a valid encoding of `T`.
pub fn from_body<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    postcard::from_bytes(body).map_err(Error::postcard)
}

/// Incremental decoder that splits a byte stream into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    consumed: usize,
}

impl Decoder {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Next complete message; `None` if more bytes are needed.
    ///
    /// # Errors
    ///
    /// The frame is too large or malformed; the stream can't be decoded any further.
    #[expect(clippy::should_implement_trait, reason = "an iterator would not end at an error")]
    pub fn next(&mut self) -> Result<Option<Message>> {
        self.next_as()
    }

    /// As [`Decoder::next`], for a stream of another type of messages.
    ///
    /// # Errors
    ///
    /// As [`Decoder::next`].
    pub fn next_as<T: DeserializeOwned>(&mut self) -> Result<Option<T>> {
        let rest = &self.bytes[self.consumed..];
        let Some((prefix, rest)) = rest.split_first_chunk::<PREFIX_LEN>() else {
            return Ok(None);
        };
        let len = u32::from_le_bytes(*prefix) as usize;
        if len > FRAME_LIMIT {
            return Err(Error::too_large(len));
        }
        let Some(body) = rest.get(..len) else {
            return Ok(None);
        };
        let message = from_body(body)?;
        self.consumed += PREFIX_LEN + len;
        Ok(Some(message))
    }
}
