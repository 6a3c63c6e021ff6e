//! Encoding, and cutting a stream into messages.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::{Error, Message, Result};

/// Largest message, in bytes.
pub const FRAME_LIMIT: usize = 4 << 20;

const PREFIX: usize = size_of::<u32>();

/// Encodes a message as a frame.
///
/// # Errors
///
/// The message exceeds [`FRAME_LIMIT`].
pub fn encode(message: &Message) -> Result<Vec<u8>> {
    to_frame(message)
}

/// Encodes anything as a frame.
///
/// # Errors
///
/// The message exceeds [`FRAME_LIMIT`].
pub fn to_frame<T: Serialize>(message: &T) -> Result<Vec<u8>> {
    let mut frame = postcard::to_extend(message, vec![0; PREFIX]).map_err(Error::postcard)?;
    let len = frame.len() - PREFIX;
    if len > FRAME_LIMIT {
        return Err(Error::too_large(len));
    }
    frame[..PREFIX].copy_from_slice(&(len as u32).to_le_bytes());
    Ok(frame)
}

/// Decodes what stands in a frame after its length.
///
/// # Errors
///
/// The bytes are not such a message.
pub fn from_body<T: DeserializeOwned>(body: &[u8]) -> Result<T> {
    postcard::from_bytes(body).map_err(Error::postcard)
}

/// Cuts received bytes into messages.
#[derive(Debug, Default)]
pub struct Decoder {
    bytes: Vec<u8>,
    read: usize,
}

impl Decoder {
    /// Adds received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.bytes.drain(..self.read);
        self.read = 0;
        self.bytes.extend_from_slice(bytes);
    }

    /// Next whole message; `None` until more bytes come.
    ///
    /// # Errors
    ///
    /// The bytes are not a message; the stream can't be read any further.
    #[expect(clippy::should_implement_trait, reason = "an iterator would not end at an error")]
    pub fn next(&mut self) -> Result<Option<Message>> {
        let rest = &self.bytes[self.read..];
        let Some((prefix, rest)) = rest.split_first_chunk::<PREFIX>() else {
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
        self.read += PREFIX + len;
        Ok(Some(message))
    }
}
