//! HTTP connections to targets and to the store, and the pool of idle connections.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::response;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use sapphirerack_catalogue::Map;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::answer_memory::{AnswerMemory, Reservation};
use crate::{Error, Result};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which a connection with unacknowledged data is closed; also the idle time before
/// keep-alive probes.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(3);

/// Idle timeout of a connection if the peer states none.
const DEFAULT_IDLE_TIME: Duration = Duration::from_secs(4);

/// Longest idle time of a connection, whatever the peer states.
const MAX_IDLE_TIME: Duration = Duration::from_secs(60 * 60);

/// Share of the peer's idle timeout for which a connection is reused.
const IDLE_FRACTION: f64 = 0.6;

/// Size of the read buffer of a connection, in bytes; longer bodies are read in pieces.
const READ_BUFFER: usize = 4 << 10;

/// Largest body of an answer, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// A connection on which a request can be sent.
pub(crate) struct Connection {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Whether it has carried a request before.
    pub reused: bool,
    /// Time for which it may stay idle.
    idle: Duration,
}

/// A complete answer.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Status and headers.
    pub head: response::Parts,
    /// Complete body.
    pub body: Bytes,
    /// Memory that the body takes.
    _memory: Reservation,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The peer refused the connection or did not answer in time.
    pub(crate) async fn open(peer: SocketAddr) -> Result<Self> {
        let connecting = TcpStream::connect(peer);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = stream.map_err(|_| Error::timeout("connect", peer))?;
        let stream = stream.map_err(|e| Error::io("connect", peer, e))?;
        set_options(&stream);
        let (sender, connection) = http1::Builder::new()
            .read_buf_exact_size(Some(READ_BUFFER))
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|e| Error::http("connect", peer, e))?;
        tokio::task::spawn_local(async move {
            if let Err(e) = connection.await {
                log::debug!("event=connection_broken peer={peer} error=\"{e}\"");
            }
        });
        Ok(Self { peer, sender, reused: false, idle: DEFAULT_IDLE_TIME })
    }

    /// Sends a request and reads the complete answer.
    ///
    /// # Errors
    ///
    /// The request may have run, unless [`SendError::unsent`] says otherwise.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        memory: &AnswerMemory,
    ) -> SendResult {
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                return Err(SendError { unsent, reason: e.into_error().to_string() });
            }
        };
        let (head, body) = response.into_parts();
        let mut reserved = memory.reserve();
        let body = read_body(body, &mut reserved).await;
        let body = body.map_err(|reason| SendError { unsent: false, reason })?;
        self.idle = idle_time(&head.headers).unwrap_or(DEFAULT_IDLE_TIME);
        self.reused = true;
        Ok(Answer { head, body, _memory: reserved })
    }

    /// Limits the idle time of the connection to `max`.
    pub(crate) fn limit_idle(&mut self, max: Duration) {
        self.idle = self.idle.min(max);
    }

    /// Whether the peer has not closed it.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Reads a body within the limits of its size and of the memory for all answers.
async fn read_body(
    mut body: Incoming,
    memory: &mut Reservation,
) -> std::result::Result<Bytes, String> {
    let mut bytes: Vec<u8> = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        let Ok(piece) = frame.into_data() else { continue };
        let size = bytes.len() + piece.len();
        if size > MAX_ANSWER || !make_room(&mut bytes, size, memory) {
            return Err(format!("answer of {size} bytes or more is too large"));
        }
        // A piece that is kept would keep the whole buffer that it was read into.
        bytes.extend_from_slice(&piece);
    }
    Ok(bytes.into())
}

/// Makes room for `size` bytes in sum; false if the memory does not suffice.
fn make_room(bytes: &mut Vec<u8>, size: usize, memory: &mut Reservation) -> bool {
    if size <= bytes.capacity() {
        return true;
    }
    let capacity = size.max(2 * bytes.capacity()).min(MAX_ANSWER);
    let fits = memory.grow(capacity - bytes.capacity());
    if fits {
        bytes.reserve_exact(capacity - bytes.len());
    }
    fits
}

/// Outcome of sending a request.
pub(crate) type SendResult = std::result::Result<Answer, SendError>;

/// Why there is no complete answer.
#[derive(Clone, Debug)]
pub(crate) struct SendError {
    /// Whether no byte of the request was sent.
    pub unsent: bool,
    /// Cause, for the log.
    pub reason: String,
}

pub(crate) fn set_options(stream: &TcpStream) {
    // Errors are ignored: the options only speed up small writes and the detection of dead peers.
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT));
    let probes = TcpKeepalive::new().with_time(UNACKED_TIMEOUT).with_interval(UNACKED_TIMEOUT / 3);
    let _ = socket.set_tcp_keepalive(&probes);
}

/// Idle timeout from the `keep-alive` header, less a margin.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let header = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = header.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let seconds: f64 = timeout.parse().ok()?;
    let idle = Duration::try_from_secs_f64(seconds * IDLE_FRACTION).ok()?;
    Some(idle.min(MAX_IDLE_TIME))
}

/// An idle connection with its expiry.
struct Idle {
    connection: Connection,
    until: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        self.connection.is_open() && now < self.until
    }
}

/// Idle connections by peer.
#[derive(Default)]
pub(crate) struct Pool {
    idle: RefCell<Map<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// Takes the most recently used idle connection to a peer, if there is one.
    pub(crate) fn take(&self, peer: SocketAddr, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&peer)?;
        connections.retain(|c| c.is_usable(now));
        connections.pop().map(|c| c.connection)
    }

    /// Returns a connection to the pool, unless the peer closes it or `limit` are idle already.
    pub(crate) fn put(
        &self,
        connection: Connection,
        head: &response::Parts,
        limit: usize,
        now: Instant,
    ) {
        if head.headers.get(CONNECTION).is_some_and(is_close) {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.peer).or_default();
        connections.retain(|c| c.is_usable(now));
        if connections.len() < limit {
            let until = now + connection.idle;
            connections.push(Idle { connection, until });
        }
    }

    /// Drops the idle connections to a peer.
    pub(crate) fn drop_peer(&self, peer: SocketAddr) {
        self.idle.borrow_mut().remove(&peer);
    }

    /// Drops connections that have expired or were closed.
    pub(crate) fn evict_expired(&self, now: Instant) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|c| c.is_usable(now));
        }
        idle.retain(|_, c| !c.is_empty());
    }
}

fn is_close(value: &HeaderValue) -> bool {
    value.to_str().is_ok_and(|v| v.to_ascii_lowercase().contains("close"))
}

/// An answer without body.
pub(crate) fn empty(status: u16) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    response
}
