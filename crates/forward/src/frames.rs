//! Frames of messages on a TCP connection between hosts.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use sapphirerack_protocol::{Decoder, to_frame};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::{Error, Result};

/// Most bytes that wait for a peer that does not read.
const MAX_QUEUED: usize = 4 << 20;

/// Size of the read buffer, in bytes.
const READ_BUFFER: usize = 8 << 10;

/// Sending side of a connection; cloning it gives another handle to the same connection.
#[derive(Clone)]
pub(crate) struct Outbox {
    peer: SocketAddr,
    frames: UnboundedSender<Vec<u8>>,
    queued: Rc<Cell<usize>>,
}

/// Frames that wait to be written.
pub(crate) struct Queue {
    peer: SocketAddr,
    frames: UnboundedReceiver<Vec<u8>>,
    queued: Rc<Cell<usize>>,
}

/// An outbox for a connection to `peer`, with the queue from which to write.
pub(crate) fn outbox(peer: SocketAddr) -> (Outbox, Queue) {
    let (sender, receiver) = unbounded_channel();
    let queued = Rc::new(Cell::new(0));
    let outbox = Outbox { peer, frames: sender, queued: queued.clone() };
    (outbox, Queue { peer, frames: receiver, queued })
}

impl Outbox {
    /// Queues a message.
    ///
    /// # Errors
    ///
    /// The connection is closed, the peer does not read, or the message is too large.
    pub(crate) fn send<T: Serialize>(&self, message: &T) -> Result<()> {
        let failed = |reason: &str| Error::malformed("send frame", self.peer, reason.into());
        let frame = to_frame(message).map_err(|e| failed(&e.to_string()))?;
        let queued = self.queued.get() + frame.len();
        if queued > MAX_QUEUED {
            return Err(failed("the peer does not read"));
        }
        self.queued.set(queued);
        self.frames.send(frame).map_err(|_| failed("connection closed"))
    }
}

/// Writes queued frames until all handles of the outbox are gone; returns the writer.
///
/// # Errors
///
/// The connection broke.
pub(crate) async fn write_frames(
    mut write: OwnedWriteHalf,
    mut queue: Queue,
) -> Result<OwnedWriteHalf> {
    while let Some(mut bytes) = queue.frames.recv().await {
        while let Ok(frame) = queue.frames.try_recv() {
            bytes.extend(frame);
        }
        queue.queued.set(queue.queued.get().saturating_sub(bytes.len()));
        let written = write.write_all(&bytes).await;
        written.map_err(|e| Error::io("write frame", queue.peer, e))?;
    }
    Ok(write)
}

/// Passes received messages to `handle` until the peer closes the connection.
///
/// # Errors
///
/// The connection broke, or a frame is malformed.
pub(crate) async fn read_frames<T: DeserializeOwned>(
    mut read: OwnedReadHalf,
    peer: SocketAddr,
    mut handle: impl FnMut(T),
) -> Result<()> {
    let mut decoder = Decoder::default();
    let mut buffer = vec![0; READ_BUFFER];
    loop {
        let size = read.read(&mut buffer).await;
        let size = size.map_err(|e| Error::io("read frame", peer, e))?;
        if size == 0 {
            return Ok(());
        }
        decoder.push(&buffer[..size]);
        let malformed =
            |e: sapphirerack_protocol::Error| Error::malformed("read frame", peer, e.to_string());
        while let Some(message) = decoder.next_as().map_err(malformed)? {
            handle(message);
        }
    }
}
