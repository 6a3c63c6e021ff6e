//! Readiness and metrics over HTTP.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use sapphirerack_http::{Capacity, ClientStream, Quota, Timeouts, limit_buffers};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::caller::ACCEPT_RETRY_DELAY;
use crate::client::empty;
use crate::host::{Host, Phase};

/// Path of the metrics; any other path is a readiness probe.
const METRICS_PATH: &str = "/metrics";

/// What all connections may hold together: those of a platform's load balancers, and of operators.
const CAPACITY: Capacity = Capacity { memory: 4 << 20, connections: 64 };

/// Time for a head to arrive, for an answer to be taken, and for a connection to be idle.
const TIMEOUT: Duration = Duration::from_secs(15);

/// Serves until the process ends.
pub(crate) async fn accept(host: Rc<Host>, listener: TcpListener) {
    limit_buffers(&listener);
    let quota = Quota::new(CAPACITY, host.clock.clone());
    loop {
        match listener.accept().await {
            Ok((stream, _)) => serve(&host, &quota, stream),
            Err(e) => {
                log::warn!("event=accept_failed error=\"{e}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
        tokio::task::yield_now().await;
    }
}

fn serve(host: &Rc<Host>, quota: &Quota, stream: TcpStream) {
    let Some(client) = quota.open() else { return };
    let timeouts = Timeouts { head: TIMEOUT, write: TIMEOUT };
    let stream = ClientStream::new(stream, client.clone(), timeouts);
    let service = service_fn({
        let (host, client) = (host.clone(), client.clone());
        move |request: Request<Incoming>| {
            let _arrival = client.begin(request.body());
            let reply = reply(&host, request.uri().path());
            let reply = reply.map(|body| Full::new(client.hold(body)));
            async move { Ok::<_, Infallible>(reply) }
        }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(TIMEOUT);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    spawn_local(async move {
        if let Some(Err(e)) = client.run(connection).await {
            log::debug!("event=ready_connection_broken error=\"{e}\"");
        }
    });
}

fn reply(host: &Host, path: &str) -> Response<Bytes> {
    if path == METRICS_PATH {
        return Response::new(host.metrics.text().into());
    }
    empty(if host.phase() == Phase::Serving { 200 } else { 503 })
}
