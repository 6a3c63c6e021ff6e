//! Server side: connections of callers.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::server::graceful::GracefulShutdown;
use sapphirerack_http::{ClientStream, Timeouts, limit_buffers};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::host::Host;
use crate::request::answer;

/// Delay before the next accept after an error such as too many open files, on any port.
pub(crate) const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time in which the last answers are written.
const WRITE_TIME: Duration = Duration::from_millis(300);

/// Least buffer size that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER: usize = 8 << 10;

/// Accepts connections until the shutdown, then closes them within the grace period.
pub(crate) async fn accept(host: Rc<Host>, listener: TcpListener) {
    limit_buffers(&listener);
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
            Ok((stream, _)) => {
                serve(&host, stream, &graceful);
                // A connection that has to go for it closes first.
                tokio::task::yield_now().await;
            }
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

/// Serves a connection, unless there are too many.
fn serve(host: &Rc<Host>, stream: TcpStream, graceful: &GracefulShutdown) {
    let Some(caller) = host.callers.open() else {
        host.metrics.count_rejection("too many connections");
        return;
    };
    let limits = host.view.borrow().table().configuration().limits.clone();
    let timeouts = Timeouts { head: limits.header_time, write: limits.idle_time };
    let stream = ClientStream::new(stream, caller.clone(), timeouts);
    let first = Rc::new(Cell::new(true));
    let service = service_fn({
        let (host, caller) = (host.clone(), caller.clone());
        move |request| {
            let (host, caller, first) = (host.clone(), caller.clone(), first.replace(false));
            async move { Ok::<_, Infallible>(answer(host, caller, request, first).await) }
        }
    });
    let mut builder = http1::Builder::new();
    // The library's timeout is for a head that has not begun, too.
    builder.timer(TokioTimer::new()).header_read_timeout(limits.idle_time);
    builder.max_buf_size(limits.header.max(MIN_HEAD_BUFFER));
    let connection = graceful.watch(builder.serve_connection(TokioIo::new(stream), service));
    let host = host.clone();
    spawn_local(async move {
        match caller.run(connection).await {
            Some(Ok(())) => {}
            Some(Err(e)) => log::debug!("event=caller_connection_broken error=\"{e}\""),
            None => host.metrics.count_rejection("connection evicted"),
        }
    });
}
