//! Reading of request bodies.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;

/// Bytes of a body beyond the limit that are read and dropped, as a multiple of the limit. A peer
/// that is still writing its request when the connection closes does not get the refusal.
const DRAIN_FACTOR: usize = 8;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than the limit.
    TooLarge,
    /// The connection broke, or the encoding is malformed.
    Broken,
}

/// Reads a body of `limit` bytes at most. Of a longer one, the rest is read too, within bounds, so
/// that the peer gets the refusal.
///
/// # Errors
///
/// The body is too large or broken.
pub async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::new();
    let mut size = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        let Ok(piece) = frame.into_data() else { continue };
        size += piece.len();
        if size <= limit {
            bytes.extend_from_slice(&piece);
        } else if size > limit.saturating_mul(DRAIN_FACTOR) {
            break;
        }
    }
    if size > limit { Err(BodyError::TooLarge) } else { Ok(bytes.freeze()) }
}
