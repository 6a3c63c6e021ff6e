//! Connection of a client, which counts what it moves and ends when it moves too little.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::quota::Client;

/// What the buffers of one connection take, in bytes: those of the process, and those of the
/// operating system for what was received and not yet read.
pub(crate) const CONNECTION_SIZE: usize = READ_SIZE + RECEIVE_BUFFER;

/// Most that is read from a connection at a time, in bytes.
const READ_SIZE: usize = 16 << 10;

/// Receive buffer of a connection, in bytes.
const RECEIVE_BUFFER: usize = 32 << 10;

/// Send buffer of a connection, in bytes.
const SEND_BUFFER: usize = 64 << 10;

/// Bytes after which a client counts as having moved something.
const PROGRESS: usize = 4 << 10;

/// Longest time, and most bytes, for which the rest of a refused request is read and dropped. A
/// peer that is still sending when the connection closes does not get the refusal.
const LINGER_TIME: Duration = Duration::from_secs(10);
const LINGER_SIZE: usize = 32 << 20;

/// Size of the buffer for what is dropped, in bytes.
const DROP_BUFFER: usize = 4 << 10;

/// Timeouts of a client.
#[derive(Clone, Copy, Debug)]
pub struct Timeouts {
    /// From the first byte of a head to its end.
    pub head: Duration,
    /// From one byte of an answer that is taken to the next.
    pub write: Duration,
}

/// Connection of a client.
pub struct ClientStream {
    stream: Take<TcpStream>,
    client: Arc<Client>,
    timeouts: Timeouts,
    /// Bytes that were moved since the client was last seen to move.
    moved: usize,
    /// Requests that had begun when a byte was last read.
    requests: u64,
    /// End of the time for the head that is being read.
    head_end: Option<Pin<Box<Sleep>>>,
    /// End of the time for the client to take more of its answer.
    write_end: Option<Pin<Box<Sleep>>>,
    linger: Option<Linger>,
}

/// The time after the last answer.
struct Linger {
    end: Pin<Box<Sleep>>,
    left: usize,
}

impl ClientStream {
    /// A connection that was accepted by a listener whose buffers are limited.
    pub fn new(stream: TcpStream, client: Arc<Client>, timeouts: Timeouts) -> Self {
        // Without it the last segment of an answer waits for a delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        Self {
            stream: stream.take(0),
            client,
            timeouts,
            moved: 0,
            requests: 0,
            head_end: None,
            write_end: None,
            linger: None,
        }
    }

    /// Records bytes that were moved.
    fn record(&mut self, size: usize) {
        self.moved += size;
        if self.moved >= PROGRESS {
            self.moved = 0;
            self.client.touch();
        }
    }

    /// Records bytes that were read.
    fn received(&mut self, size: usize) {
        self.record(size);
        self.forget_last_head();
        if !self.client.is_open() {
            return;
        }
        if self.head_end.is_none() {
            self.head_end = Some(Box::pin(sleep(self.timeouts.head)));
            self.client.touch();
        }
        self.client.add_head(size);
    }

    /// Forgets the time for a head whose request has begun.
    fn forget_last_head(&mut self) {
        let requests = self.client.requests();
        if requests != self.requests {
            self.requests = requests;
            self.head_end = None;
        }
    }

    /// Fails once the client has taken nothing for too long.
    fn poll_write_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let time = self.timeouts.write;
        let end = self.write_end.get_or_insert_with(|| Box::pin(sleep(time)));
        ready!(end.as_mut().poll(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Records what came of a write.
    fn written(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match written {
            Poll::Pending => return self.poll_write_end(cx),
            Poll::Ready(Ok(size)) => {
                self.write_end = None;
                self.record(size);
            }
            Poll::Ready(Err(_)) => {}
        }
        written
    }

    fn inner(&mut self) -> Pin<&mut TcpStream> {
        Pin::new(self.stream.get_mut())
    }

    /// Reads and drops what the client still sends.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(linger) = &mut self.linger else { return Poll::Ready(Ok(())) };
        let mut buffer = [0; DROP_BUFFER];
        while linger.left > 0 && linger.end.as_mut().poll(cx).is_pending() {
            let mut read = ReadBuf::new(&mut buffer);
            ready!(Pin::new(self.stream.get_mut()).poll_read(cx, &mut read))?;
            if read.filled().is_empty() {
                break;
            }
            linger.left = linger.left.saturating_sub(read.filled().len());
        }
        Poll::Ready(Ok(()))
    }
}

/// Limits the buffers of the connections that a listener accepts.
pub fn limit_buffers<'a>(listener: impl Into<SockRef<'a>>) {
    // Errors are ignored: the system then uses its own limits.
    let socket = listener.into();
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER);
    let _ = socket.set_send_buffer_size(SEND_BUFFER);
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let before = buf.filled().len();
        this.stream.set_limit(READ_SIZE as u64);
        match Pin::new(&mut this.stream).poll_read(cx, buf) {
            Poll::Ready(Ok(())) => {
                let size = buf.filled().len() - before;
                if size > 0 {
                    this.received(size);
                }
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
            Poll::Pending => {
                this.forget_last_head();
                let Some(end) = &mut this.head_end else { return Poll::Pending };
                ready!(end.as_mut().poll(cx));
                Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = self.inner().poll_write(cx, buf);
        self.written(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = self.inner().poll_write_vectored(cx, bufs);
        self.written(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.inner().poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            ready!(self.inner().poll_shutdown(cx))?;
            if self.client.is_unread() {
                let end = Box::pin(sleep(LINGER_TIME));
                self.linger = Some(Linger { end, left: LINGER_SIZE });
            }
        }
        self.poll_linger(cx)
    }
}
