//! HTTP server of the stand-ins: every stand-in of a process shares a few threads.
//!
//! Unlike the product's server it can also answer badly: cut an answer in half, hang after the
//! header, or close the connection without an answer.

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

/// Pause after an accept error, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Runtime that all stand-ins of the process share.
pub(crate) fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(THREADS).thread_name("stand-in").enable_all();
        builder.build().unwrap()
    })
}

/// How an answer is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Manner {
    /// Whole.
    #[default]
    Whole,
    /// Half of the body, then the connection closes.
    Cut,
    /// The header, then nothing.
    Hang,
    /// The connection closes without an answer.
    Reset,
}

/// An answer of a stand-in.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub manner: Manner,
}

impl Reply {
    pub(crate) fn new(status: u16, body: Vec<u8>) -> Self {
        Self { status, headers: Vec::new(), body, manner: Manner::Whole }
    }

    pub(crate) fn json(status: u16, body: &impl Serialize) -> Self {
        Self::new(status, serde_json::to_vec(body).unwrap())
    }

    pub(crate) fn reset() -> Self {
        Self { manner: Manner::Reset, ..Self::new(500, Vec::new()) }
    }

    pub(crate) fn with(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }
}

/// What a stand-in's listener lets in, and what it has seen.
#[derive(Debug)]
pub(crate) struct Gate {
    /// Connections that may be open at the same time.
    pub limit: AtomicUsize,
    /// Time that a new connection costs, in microseconds.
    pub cost: AtomicU64,
    /// Closes new connections at once.
    pub down: AtomicBool,
    /// Connections that are open.
    pub open: AtomicUsize,
    /// Most connections that were open at the same time, those beyond the limit included.
    pub most: AtomicUsize,
    /// Connections that were accepted.
    pub accepted: AtomicUsize,
    /// Connections that were closed at once.
    pub refused: AtomicUsize,
}

impl Gate {
    pub(crate) fn new(limit: usize, cost: Duration) -> Arc<Self> {
        Arc::new(Self {
            limit: AtomicUsize::new(limit),
            cost: AtomicU64::new(micros(cost)),
            down: AtomicBool::new(false),
            open: AtomicUsize::new(0),
            most: AtomicUsize::new(0),
            accepted: AtomicUsize::new(0),
            refused: AtomicUsize::new(0),
        })
    }

    /// Counts a connection in; `None` if it must be closed at once.
    fn enter(self: &Arc<Self>) -> Option<Place> {
        let open = self.open.fetch_add(1, Ordering::SeqCst) + 1;
        let place = Place(self.clone());
        self.most.fetch_max(open, Ordering::SeqCst);
        if self.down.load(Ordering::SeqCst) || open > self.limit.load(Ordering::SeqCst) {
            self.refused.fetch_add(1, Ordering::SeqCst);
            return None;
        }
        self.accepted.fetch_add(1, Ordering::SeqCst);
        Some(place)
    }
}

/// An open connection.
struct Place(Arc<Gate>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Microseconds of a time.
pub(crate) fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

/// A running listener; dropping it closes it and its connections.
pub(crate) struct Listener {
    address: SocketAddr,
    _stop: watch::Sender<()>,
}

impl Listener {
    /// Serves `handler` at `address`; port 0 takes any free port.
    pub(crate) fn start<F>(
        address: SocketAddr,
        gate: Arc<Gate>,
        handler: impl Fn(Request) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = Reply> + Send + 'static,
    {
        let listener = TcpListener::bind(address).unwrap();
        listener.set_nonblocking(true).unwrap();
        let address = listener.local_addr().unwrap();
        let (stop, stopped) = watch::channel(());
        runtime().spawn(accept(listener, gate, Arc::new(handler), stopped));
        Self { address, _stop: stop }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept<F, H>(
    listener: TcpListener,
    gate: Arc<Gate>,
    handler: Arc<H>,
    stopped: watch::Receiver<()>,
) where
    H: Fn(Request) -> F + Send + Sync + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let listener = tokio::net::TcpListener::from_std(listener).unwrap();
    let mut closed = stopped.clone();
    while let Some(accepted) = unless(listener.accept(), closed.changed()).await {
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Some(place) = gate.enter() else { continue };
        let cost = Duration::from_micros(gate.cost.load(Ordering::SeqCst));
        let (handler, mut closed) = (handler.clone(), stopped.clone());
        tokio::spawn(async move {
            if !cost.is_zero() {
                tokio::time::sleep(cost).await;
            }
            unless(connection(stream, handler), closed.changed()).await;
            drop(place);
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
    let lost = || std::io::Error::other("no answer");
    let received = Instant::now();
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| lost())?.to_bytes().to_vec();
    let request = Request {
        method: head.method,
        path: head.uri.path().to_owned(),
        query: head.uri.query().unwrap_or_default().to_owned(),
        headers: head.headers,
        body,
        received,
    };
    // A task of its own: work goes on when the caller hangs up, as at a real target.
    let reply = tokio::spawn(handler(request)).await.map_err(|_| lost())?;
    if reply.manner == Manner::Reset {
        return Err(lost());
    }
    Ok(encode(reply))
}

fn encode(reply: Reply) -> hyper::Response<Body> {
    let body = Body::new(reply.body, reply.manner);
    let mut response = hyper::Response::new(body);
    *response.status_mut() = hyper::StatusCode::from_u16(reply.status).unwrap();
    for (name, value) in reply.headers {
        response.headers_mut().insert(name, HeaderValue::from_str(&value).unwrap());
    }
    response
}

/// Result of `work`, or `None` if `stop` is done first.
pub(crate) async fn unless<T>(work: impl Future<Output = T>, stop: impl Future) -> Option<T> {
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

/// Body that may end early or never.
struct Body {
    bytes: Option<Bytes>,
    len: u64,
    manner: Manner,
}

impl Body {
    fn new(bytes: Vec<u8>, manner: Manner) -> Self {
        let len = bytes.len() as u64;
        let mut bytes = Bytes::from(bytes);
        if manner == Manner::Cut {
            bytes.truncate(bytes.len() / 2);
        }
        Self { bytes: Some(bytes).filter(|_| manner != Manner::Hang), len, manner }
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<std::io::Result<Frame<Bytes>>>> {
        match (self.bytes.take(), self.manner) {
            (Some(bytes), _) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
            (None, Manner::Whole) => Poll::Ready(None),
            (None, Manner::Hang) => Poll::Pending,
            (None, _) => Poll::Ready(Some(Err(std::io::Error::other("cut")))),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.manner == Manner::Whole && (self.bytes.is_none() || self.len == 0)
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.len)
    }
}
