//! HTTP server of the stand-ins; all stand-ins of a process share a few threads.
//!
//! Unlike the product's server it can inject faults: truncate a response, hang after the header,
//! or close the connection without a response.

use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming, SizeHint};
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use sapphirerack_http::Request;
use serde::Serialize;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::sync::watch;

const THREADS: usize = 3;

/// Back-off after an accept error, such as too many open files.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Runtime shared by all stand-ins of the process.
pub(crate) fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(THREADS).thread_name("stand-in").enable_all();
        builder.build().unwrap()
    })
}

/// How much of a response is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Delivery {
    #[default]
    Complete,
    /// Half of the body, then the connection closes.
    Truncated,
    /// The header is sent, the body never.
    Hang,
    /// The connection closes without a response.
    Reset,
}

/// Response of a stand-in.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub delivery: Delivery,
}

impl Reply {
    pub(crate) fn new(status: u16, body: Vec<u8>) -> Self {
        Self { status, headers: Vec::new(), body, delivery: Delivery::Complete }
    }

    pub(crate) fn json(status: u16, body: &impl Serialize) -> Self {
        Self::new(status, serde_json::to_vec(body).unwrap())
    }

    pub(crate) fn reset() -> Self {
        Self { delivery: Delivery::Reset, ..Self::new(500, Vec::new()) }
    }

    pub(crate) fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

/// Limits and counts the connections of a stand-in.
#[derive(Debug)]
pub(crate) struct ConnectionLimiter {
    /// Maximum number of open connections.
    pub limit: AtomicUsize,
    /// Delay before a new connection is served, in microseconds.
    pub delay: AtomicU64,
    /// Closes new connections on accept.
    pub down: AtomicBool,
    /// Open connections.
    pub open: AtomicUsize,
    /// Peak number of open connections, including those beyond the limit.
    pub peak: AtomicUsize,
    /// Accepted connections.
    pub accepted: AtomicUsize,
    /// Connections closed on accept.
    pub refused: AtomicUsize,
}

impl ConnectionLimiter {
    pub(crate) fn new(limit: usize, delay: Duration) -> Arc<Self> {
        Arc::new(Self {
            limit: AtomicUsize::new(limit),
            delay: AtomicU64::new(micros(delay)),
            down: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            peak: AtomicUsize::new(0),
            accepted: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        })
    }

    /// Counts a new connection; `None` if it must be closed.
    fn acquire(self: &Arc<Self>) -> Option<ConnectionGuard> {
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        let guard = ConnectionGuard(self.clone());
        self.peak.fetch_max(open, Ordering::SeqCst);
        if self.down.load(Ordering::SeqCst) || open > self.limit.load(Ordering::SeqCst) {
            self.refused.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        self.accepted.fetch_add(1, Ordering::SeqCst);
        Some(guard)
    }
}

/// Counts a connection as open until dropped.
struct ConnectionGuard(Arc<ConnectionLimiter>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// A running listener; closes with its connections when dropped.
pub(crate) struct Listener {
    address: SocketAddr,
    _stop: watch::Sender<()>,
}

impl Listener {
    /// Serves `handler` at `address`; port 0 picks any free port.
    pub(crate) fn start<F>(
        address: SocketAddr,
        limiter: Arc<ConnectionLimiter>,
        handler: impl Fn(Request) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(());
        runtime().spawn(accept(listener, limiter, Arc::new(handler), stopped));
        Self { address, _stop: stop }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<F, H>(
    listener: TcpListener,
    limiter: Arc<ConnectionLimiter>,
    handler: Arc<H>,
    stopped: watch::Receiver<()>,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let mut closed = stopped.clone();
    while let Some(accepted) = run_until(listener.accept(), closed.changed()).await {
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_BACKOFF).await;
            continue;
        };
        let Some(guard) = limiter.acquire() else { continue };
        let delay = Duration::from_micros(limiter.delay.load(Ordering::SeqCst));
        let (handler, mut closed) = (handler.clone(), stopped.clone());
        tokio::spawn(async move {
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            run_until(connection(stream, handler), closed.changed()).await;
            drop(guard);
        });
    }
}

async fn connection<F, H>(stream: TcpStream, handler: Arc<H>)
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| respond(handler.clone(), request));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    if let Err(e) = connection.await {
        log::debug!("step=connection error={e}");
    }
}

async fn respond<F, H>(
    handler: Arc<H>,
    request: hyper::Request<Incoming>,
) -> std::io::Result<hyper::Response<Body>>
where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let no_response = || std::io::Error::other("no response");
    let received = Instant::now();
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| no_response())?.to_bytes().to_vec();
    let request = Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
        received,
    };
    // A separate task: the work continues when the client disconnects, as at a real target.
    let reply = tokio::spawn(handler(request)).await.map_err(|_| no_response())?;
    if reply.delivery == Delivery::Reset {
        return Err(no_response());
    }
    Ok(encode(reply))
}

fn encode(reply: Reply) -> hyper::Response<Body> {
    let body = Body::new(reply.body, reply.delivery);
    let mut response = hyper::Response::new(body);
    *response.status_mut() = hyper::StatusCode::from_u16(reply.status).unwrap();
    for (name, value) in reply.headers {
        response.headers_mut().insert(name, HeaderValue::from_str(&value).unwrap());
    }
    response
}

/// Result of `work`, or `None` if `stop` completes first.
pub(crate) async fn run_until<T>(work: impl Future<Output = T>, stop: impl Future) -> Option<T> {
    let mut work = std::pin::pin!(work);
    let mut stop = std::pin::pin!(stop);
    std::future::poll_fn(|cx| {
        if stop.as_mut().poll(cx).is_ready() {
            return Poll::Ready(None);
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}

/// Body that may be truncated or never end.
struct Body {
    bytes: Option<Bytes>,
    len: u64,
    delivery: Delivery,
}

impl Body {
    fn new(bytes: Vec<u8>, delivery: Delivery) -> Self {
        let len = bytes.len() as u64;
        let mut bytes = Bytes::from(bytes);
        if delivery == Delivery::Truncated {
            bytes.truncate(bytes.len() / 2);
        }
        Self { bytes: Some(bytes).filter(|_| delivery != Delivery::Hang), len, delivery }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Frame<Bytes>>>> {
        match (self.bytes.take(), self.delivery) {
            (Some(bytes), _) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            (None, Delivery::Complete) => Poll::Ready(None),
            (None, Delivery::Hang) => Poll::Pending,
            (None, _) => Poll::Ready(Some(Err(std::io::Error::other("response truncated")))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.delivery == Delivery::Complete && (self.bytes.is_none() || self.len == 0)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len)
    }
}
