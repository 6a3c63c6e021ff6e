//! Server side: connections of callers.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::host::Host;
use crate::request::answer;

/// Delay before the next accept after an error such as too many open files.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time in which the last answers are written.
const WRITE_TIME: Duration = Duration::from_millis(300);

/// Least buffer size that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER: usize = 8 << 10;

/// Accepts connections until the shutdown, then closes them within the grace period.
pub(crate) async fn accept(host: Rc<Host>, listener: TcpListener) {
    let graceful = GracefulShutdown::new();
    let stopped = async {
        host.stopping.notified().await;
        let linger = host.settings.borrow().stop.linger;
        tokio::time::sleep(linger).await;
    };
    tokio::pin!(stopped);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stopped => break,
        };
        match accepted {
            Ok((stream, _)) => serve(&host, stream, &graceful),
            Err(e) => {
                log::warn!("event=accept_failed error=\"{e}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    // Connections in the accept queue would be reset when the listener closes.
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        serve(&host, stream, &graceful);
    }
    drop(listener);
    let finished = graceful.shutdown();
    tokio::pin!(finished);
    tokio::select! {
        () = &mut finished => {}
        () = host.await_closing() => {
            let result = tokio::time::timeout(WRITE_TIME, finished).await;
            log::info!("event=stopped clean={}", result.is_ok());
        }
    }
}

fn serve(host: &Rc<Host>, stream: TcpStream, graceful: &GracefulShutdown) {
    // Without it the last segment of an answer waits for a delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let limits = host.view.borrow().table().configuration().limits.clone();
    let first = Rc::new(Cell::new(true));
    let service = service_fn({
        let host = host.clone();
        move |request| {
            let (host, first) = (host.clone(), first.replace(false));
            async move { Ok::<_, Infallible>(answer(host, request, first).await) }
        }
    });
    let mut builder = http1::Builder::new();
    // The library has one timeout for idling and for reading a head, so that the configured
    // `header_time` has no effect.
    builder.timer(TokioTimer::new()).header_read_timeout(limits.idle_time);
    builder.max_buf_size(limits.header.max(MIN_HEAD_BUFFER));
    let connection = graceful.watch(builder.serve_connection(TokioIo::new(stream), service));
    spawn_local(async move {
        if let Err(e) = connection.await {
            log::debug!("event=caller_connection_broken error=\"{e}\"");
        }
    });
}
