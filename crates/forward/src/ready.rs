//! Readiness and metrics over HTTP.

use std::convert::Infallible;
use std::rc::Rc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::spawn_local;

use crate::client::empty;
use crate::host::{Host, Phase};

/// Path of the metrics; any other path is a readiness probe.
const METRICS_PATH: &str = "/metrics";

/// Serves until the process ends.
pub(crate) async fn accept(host: Rc<Host>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let host = host.clone();
                let service = service_fn(move |request| {
                    let reply = reply(&host, request.uri().path());
                    async move {
                        drop(request);
                        Ok::<_, Infallible>(reply.map(Full::new))
                    }
                });
                spawn_local(async move {
                    let connection = http1::Builder::new();
                    let served = connection.serve_connection(TokioIo::new(stream), service).await;
                    if let Err(e) = served {
                        log::debug!("event=ready_connection_broken error=\"{e}\"");
                    }
                });
            }
            Err(e) => log::warn!("event=accept_failed error=\"{e}\""),
        }
    }
}

fn reply(host: &Host, path: &str) -> Response<Bytes> {
    if path == METRICS_PATH {
        return Response::new(host.metrics.text().into());
    }
    empty(if host.phase() == Phase::Serving { 200 } else { 503 })
}
