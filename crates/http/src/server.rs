//! The server.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use std::{io, net};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use sapphirerack_policy::SystemClock;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::watch;

use crate::{
    Arrival, BodyError, Charge, Client, ClientStream, Config, Error, Quota, Request, Response,
    Result, Timeouts, limit_buffers,
};

/// Delay before the next accept after an error such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Seconds after which a client may come back that was refused for lack of memory.
const RETRY_AFTER: &str = "1";

/// A request queued for a worker.
struct Job {
    request: Request,
    reply: flume::Sender<Response>,
    /// Memory of the request, which counts until the handler has returned.
    _charges: [Charge; 2],
}

/// A running server; dropping it shuts it down without a grace period.
pub struct Server {
    address: SocketAddr,
    stop: watch::Sender<Option<Duration>>,
    done: flume::Receiver<bool>,
}

impl Server {
    /// Address on which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops accepting and completes the requests in flight; true if all ended within `limit`.
    pub fn stop(&self, limit: Duration) -> bool {
        self.stop.send_replace(Some(limit));
        self.done.recv().unwrap_or(false)
    }
}

/// Starts a server; `handler` runs on its workers.
///
/// # Errors
///
/// The address can't be bound, or a thread can't be started.
pub fn serve(
    config: Config,
    handler: impl Fn(Request) -> Response + Send + Sync + 'static,
) -> Result<Server> {
    let bind_address = config.address;
    let error_at = |step| move |e| Error::new(step, bind_address, e);
    let listener = net::TcpListener::bind(bind_address).map_err(error_at("listen"))?;
    let address = listener.local_addr().map_err(error_at("listen"))?;
    listener.set_nonblocking(true).map_err(error_at("listen"))?;
    limit_buffers(&listener);
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(error_at("start runtime"))?;
    let (jobs, queue) = flume::bounded(config.queue);
    start_workers(config.workers, &queue, handler).map_err(error_at("start worker"))?;
    let (stop, stopping) = watch::channel(None);
    let (finished, done) = flume::bounded(1);
    let quota = Quota::new(config.capacity, Arc::new(SystemClock));
    let acceptor = Acceptor { config, quota, jobs, stopping };
    let run = move || run(&runtime, acceptor, listener, &finished);
    let thread = thread::Builder::new().name("http".into()).spawn(run);
    thread.map_err(error_at("start thread"))?;
    Ok(Server { address, stop, done })
}

fn start_workers(
    count: usize,
    queue: &flume::Receiver<Job>,
    handler: impl Fn(Request) -> Response + Send + Sync + 'static,
) -> io::Result<()> {
    let handler = Arc::new(handler);
    for _ in 0..count {
        let (queue, handler) = (queue.clone(), handler.clone());
        let run = move || {
            for job in queue {
                let response = run_handler(&*handler, job.request);
                // The connection may have closed in the meantime.
                let _ = job.reply.send(response);
            }
        };
        thread::Builder::new().name("http-worker".into()).spawn(run)?;
    }
    Ok(())
}

/// Runs the handler; a panic fails its request but keeps the worker.
fn run_handler(handler: impl Fn(Request) -> Response, request: Request) -> Response {
    let path = request.path.clone();
    catch_unwind(AssertUnwindSafe(|| handler(request))).unwrap_or_else(|_| {
        log::error!("step=handle path={path} error=panic");
        Response::refuse(500, "internal error", false)
    })
}

fn run(
    runtime: &Runtime,
    acceptor: Acceptor,
    listener: net::TcpListener,
    finished: &flume::Sender<bool>,
) {
    let clean = runtime.block_on(async move {
        match TcpListener::from_std(listener) {
            Ok(listener) => Arc::new(acceptor).accept(listener).await,
            Err(e) => {
                log::error!("step=listen error={e}");
                false
            }
        }
    });
    // The receiver is gone if the `Server` was dropped.
    let _ = finished.send(clean);
}

/// Accepts connections and passes their requests to the workers.
struct Acceptor {
    config: Config,
    quota: Quota,
    jobs: flume::Sender<Job>,
    stopping: watch::Receiver<Option<Duration>>,
}

impl Acceptor {
    /// Accepts connections until shutdown; true if all of them ended within its limit.
    async fn accept(self: Arc<Self>, listener: TcpListener) -> bool {
        let graceful = GracefulShutdown::new();
        let mut stopping = self.stopping.clone();
        while let Some(accepted) = unless_stopped(listener.accept(), stopping.changed()).await {
            match accepted {
                Ok((stream, _)) => {
                    self.spawn(stream, &graceful);
                    // A connection that has to go for it closes first.
                    tokio::task::yield_now().await;
                }
                Err(e) => {
                    log::warn!("step=accept error={e}");
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        // Closing the listener resets the connections in its accept queue, so serve them first.
        while let Some((stream, _)) = accept_queued(&listener).await {
            self.spawn(stream, &graceful);
        }
        drop(listener);
        let limit = stopping.borrow().unwrap_or_default();
        tokio::time::timeout(limit, graceful.shutdown()).await.is_ok()
    }

    /// Serves a connection, unless there are too many.
    fn spawn(self: &Arc<Self>, stream: TcpStream, graceful: &GracefulShutdown) {
        let Some(client) = self.quota.open() else {
            log::debug!("step=accept error=\"too many connections\"");
            return;
        };
        let connection = graceful.watch(self.clone().connection(stream, client.clone()));
        tokio::spawn(async move {
            match client.run(connection).await {
                Some(Ok(())) => {}
                Some(Err(e)) => log::debug!("step=connection error={e}"),
                None => log::debug!("step=connection error=evicted"),
            }
        });
    }

    fn connection(
        self: Arc<Self>,
        stream: TcpStream,
        client: Arc<Client>,
    ) -> impl hyper_util::server::graceful::GracefulConnection<Error = hyper::Error> {
        let Config { head, read_timeout, .. } = self.config;
        let timeouts = Timeouts { head: read_timeout, write: read_timeout };
        let stream = ClientStream::new(stream, client.clone(), timeouts);
        let service = service_fn(move |request| self.clone().respond(request, client.clone()));
        let mut builder = http1::Builder::new();
        builder.timer(TokioTimer::new()).header_read_timeout(read_timeout).max_buf_size(head);
        builder.serve_connection(TokioIo::new(stream), service)
    }

    async fn respond(
        self: Arc<Self>,
        request: hyper::Request<Incoming>,
        client: Arc<Client>,
    ) -> std::result::Result<hyper::Response<Full<Bytes>>, Infallible> {
        let mut arrival = client.begin(request.body());
        let response = match self.read(request, &mut arrival).await {
            Ok(request) => self.dispatch(request, &mut arrival).await,
            Err(refusal) => refusal.with_header("connection", "close"),
        };
        Ok(encode(response, &client))
    }

    async fn read(
        &self,
        request: hyper::Request<Incoming>,
        arrival: &mut Arrival,
    ) -> std::result::Result<Request, Response> {
        let received = Instant::now();
        let (head, body) = request.into_parts();
        let not_run = (self.config.not_run)(head.uri.path());
        let body = arrival.read(body, self.config.body);
        let refuse = |status, error| Err(Response::refuse(status, error, not_run));
        let body = match tokio::time::timeout(self.config.read_timeout, body).await {
            Ok(Ok(body)) => body,
            Ok(Err(BodyError::NoMemory)) => {
                return refuse(503, "too many bytes in hand").map_err(retry_later);
            }
            Ok(Err(BodyError::TooLarge | BodyError::Broken)) => {
                return refuse(413, "body too large or cut off");
            }
            Err(_) => return refuse(408, "body came too slowly"),
        };
        Ok(Request {
            method: head.method,
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers,
            body,
            received,
        })
    }

    async fn dispatch(&self, request: Request, arrival: &mut Arrival) -> Response {
        let (reply, response) = flume::bounded(1);
        let not_run = (self.config.not_run)(&request.path);
        let job = Job { request, reply, _charges: arrival.take_charges() };
        if self.jobs.try_send(job).is_err() {
            return Response::refuse(503, "too many requests in hand", not_run);
        }
        let lost = |_| Response::refuse(500, "internal error", false);
        response.recv_async().await.unwrap_or_else(lost)
    }
}

/// A refusal with the time after which to come back.
fn retry_later(refusal: Response) -> Response {
    refusal.with_header("retry-after", RETRY_AFTER)
}

/// Next connection in the accept queue; `None` if it is empty or the accept fails.
async fn accept_queued(listener: &TcpListener) -> Option<(TcpStream, SocketAddr)> {
    std::future::poll_fn(|cx| match listener.poll_accept(cx) {
        std::task::Poll::Ready(accepted) => std::task::Poll::Ready(accepted.ok()),
        std::task::Poll::Pending => std::task::Poll::Ready(None),
    })
    .await
}

/// Result of `work`, or `None` if `stop` completes first.
async fn unless_stopped<T>(work: impl Future<Output = T>, stop: impl Future) -> Option<T> {
    let mut work = std::pin::pin!(work);
    let mut stop = std::pin::pin!(stop);
    std::future::poll_fn(|cx| {
        if stop.as_mut().poll(cx).is_ready() {
            return std::task::Poll::Ready(None);
        }
        work.as_mut().poll(cx).map(Some)
    })
    .await
}

fn encode(response: Response, client: &Client) -> hyper::Response<Full<Bytes>> {
    let body = client.hold(Bytes::from(response.body));
    let mut encoded = hyper::Response::new(Full::new(body));
    let status = hyper::StatusCode::from_u16(response.status);
    *encoded.status_mut() = status.unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    for (name, value) in response.headers {
        match HeaderValue::from_str(&value) {
            Ok(value) => drop(encoded.headers_mut().insert(name, value)),
            Err(e) => log::warn!("step=encode header={name} error={e}"),
        }
    }
    encoded
}
