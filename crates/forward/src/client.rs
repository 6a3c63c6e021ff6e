//! HTTP connections of this host to targets and to the store, and the pool that keeps them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::response;
use hyper::{HeaderMap, Request, Response};
use hyper_util::rt::TokioIo;
use sapphirerack_catalogue::Map;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::{Error, Result};

/// Time after which an unanswered opening of a connection is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time after which unacknowledged data break a connection.
const SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Time for which an idle connection is kept if the peer states none.
const IDLE_TIME: Duration = Duration::from_secs(4);

/// Part of the idle time that a peer states after which a connection is not used again.
const IDLE_USED: f64 = 0.6;

/// Buffer for what is read from a connection, in bytes; longer bodies are read piece by piece.
const READ_BUFFER: usize = 4 << 10;

/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// A connection on which a request can be sent.
pub(crate) struct Connection {
    peer: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    /// Whether it carried a request before.
    pub kept: bool,
    /// Time for which it may stay idle.
    idle: Duration,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    /// Head.
    pub head: response::Parts,
    /// Whole body.
    pub body: Bytes,
}

impl Connection {
    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// The peer refused, or did not answer in time.
    pub(crate) async fn open(peer: SocketAddr) -> Result<Self> {
        let connecting = TcpStream::connect(peer);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let stream = stream.map_err(|_| Error::timeout("connect", peer))?;
        let stream = stream.map_err(|e| Error::io("connect", peer, e))?;
        tune(&stream);
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
        Ok(Self { peer, sender, kept: false, idle: IDLE_TIME })
    }

    /// Sends a request and waits for the whole answer.
    ///
    /// # Errors
    ///
    /// The request may have run, unless [`Failed::unsent`] says otherwise.
    pub(crate) async fn send(&mut self, request: Request<Full<Bytes>>) -> Sent {
        let response = match self.sender.try_send_request(request).await {
            Ok(response) => response,
            Err(mut e) => {
                let unsent = e.take_message().is_some();
                return Err(Failed { unsent, reason: e.into_error().to_string() });
            }
        };
        let (head, body) = response.into_parts();
        let body = Limited::new(body, ANSWER_LIMIT).collect().await;
        let body = body.map_err(|e| Failed { unsent: false, reason: e.to_string() })?;
        self.idle = idle_time(&head.headers).unwrap_or(IDLE_TIME);
        self.kept = true;
        Ok(Answer { head, body: body.to_bytes() })
    }

    /// Keeps the connection idle for `most` at most.
    pub(crate) fn shorten(&mut self, most: Duration) {
        self.idle = self.idle.min(most);
    }

    /// Whether the peer has not closed it.
    pub(crate) fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

/// Outcome of sending a request.
pub(crate) type Sent = std::result::Result<Answer, Failed>;

/// Why there is no whole answer.
#[derive(Clone, Debug)]
pub(crate) struct Failed {
    /// Whether no byte of the request has left.
    pub unsent: bool,
    /// What happened.
    pub reason: String,
}

fn tune(stream: &TcpStream) {
    // Without these the connection works, but finds out later that the peer has gone.
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(stream);
    let _ = socket.set_tcp_user_timeout(Some(SILENCE_LIMIT));
    let probes = TcpKeepalive::new().with_time(SILENCE_LIMIT).with_interval(SILENCE_LIMIT / 3);
    let _ = socket.set_tcp_keepalive(&probes);
}

/// Time for which the peer keeps an idle connection, less a margin.
fn idle_time(headers: &HeaderMap) -> Option<Duration> {
    let stated = headers.get("keep-alive")?.to_str().ok()?;
    let timeout = stated.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    let seconds: f64 = timeout.parse().ok()?;
    Some(Duration::from_secs_f64((seconds * IDLE_USED).clamp(0.0, 3_600.0)))
}

/// An idle connection, and when it must not be used any more.
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
    /// A kept connection, the one used last; `None` if there is none.
    pub(crate) fn take(&self, peer: SocketAddr, now: Instant) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&peer)?;
        connections.retain(|c| c.is_usable(now));
        connections.pop().map(|c| c.connection)
    }

    /// Keeps a connection that has answered, unless `limit` are kept or it ends.
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

    /// Drops connections that have been idle too long.
    pub(crate) fn sweep(&self, now: Instant) {
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
pub(crate) fn empty(status: u16) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    response
}
