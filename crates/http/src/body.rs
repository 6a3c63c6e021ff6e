//! Reading of request bodies.

use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::quota::Arrival;

/// First size of the buffer of a body, in bytes.
const FIRST_BUFFER: usize = 4 << 10;

/// Why a body was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyError {
    /// It is longer than the limit.
    TooLarge,
    /// The clients together hold too much.
    NoMemory,
    /// The connection broke, or the encoding is malformed.
    Broken,
}

impl Arrival {
    /// Reads a body of `limit` bytes at most, within the bound for all clients. What is not read
    /// is read and dropped when the connection is closed, so that the peer gets the refusal.
    ///
    /// # Errors
    ///
    /// The body is too large or broken, or the request has to be refused for lack of memory.
    pub async fn read(&mut self, body: Incoming, limit: usize) -> Result<Vec<u8>, BodyError> {
        if body.size_hint().lower() > limit as u64 {
            return Err(BodyError::TooLarge);
        }
        let refused = self.refused();
        tokio::select! {
            biased;
            bytes = self.read_pieces(body, limit) => bytes,
            () = refused => Err(BodyError::NoMemory),
        }
    }

    async fn read_pieces(
        &mut self,
        mut body: Incoming,
        limit: usize,
    ) -> Result<Vec<u8>, BodyError> {
        let announced = body.size_hint().upper().map_or(limit, |size| size as usize);
        let mut bytes = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Broken)?;
            let Ok(piece) = frame.into_data() else { continue };
            let size = bytes.len() + piece.len();
            if size > limit {
                return Err(BodyError::TooLarge);
            }
            if size > bytes.capacity() {
                let doubled = (2 * bytes.capacity()).max(FIRST_BUFFER);
                let capacity = doubled.min(announced).max(size);
                if !self.charge().grow(capacity - bytes.capacity()).await {
                    return Err(BodyError::NoMemory);
                }
                bytes.reserve_exact(capacity - bytes.len());
            }
            bytes.extend_from_slice(&piece);
        }
        if self.complete() { Ok(bytes) } else { Err(BodyError::NoMemory) }
    }
}
