//! Connections of callers.

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

use crate::client::empty;
use crate::host::Host;
use crate::request::answer;

/// Pause after an accept error, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time before the end of the grace period at which open requests are answered.
const LAST_ANSWERS: Duration = Duration::from_millis(600);

/// Least buffer that the HTTP library takes for a head, in bytes.
const LEAST_BUFFER: usize = 8 << 10;

/// Accepts connections until the host was told to stop, and ends them in time.
pub(crate) async fn accept(host: Rc<Host>, listener: TcpListener) {
    let graceful = GracefulShutdown::new();
    let told = async {
        host.stopping.notified().await;
        let linger = host.settings.borrow().stop.linger;
        tokio::time::sleep(linger).await;
    };
    tokio::pin!(told);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut told => break,
        };
        match accepted {
            Ok((stream, _)) => serve(&host, stream, &graceful),
            Err(e) => {
                log::warn!("event=accept_failed error=\"{e}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // Connections that the system has set up already would be reset with the listener.
    while let Ok(Ok((stream, _))) = tokio::time::timeout(Duration::ZERO, listener.accept()).await {
        serve(&host, stream, &graceful);
    }
    drop(listener);
    let stop = host.settings.borrow().stop.clone();
    let left = Duration::from_secs(stop.grace).saturating_sub(LAST_ANSWERS + stop.linger);
    let closed = graceful.shutdown();
    tokio::pin!(closed);
    if tokio::time::timeout(left, &mut closed).await.is_err() {
        host.ending.notify_waiters();
        let rest = tokio::time::timeout(LAST_ANSWERS / 2, closed).await;
        log::info!("event=stopped clean={}", rest.is_ok());
    }
}

fn serve(host: &Rc<Host>, stream: TcpStream, graceful: &GracefulShutdown) {
    // Without it an answer of several segments waits for a delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let limits = host.view.borrow().table().configuration().limits.clone();
    let first = Rc::new(Cell::new(true));
    let service = service_fn({
        let host = host.clone();
        move |request| {
            let (host, first) = (host.clone(), first.replace(false));
            async move {
                let reply = tokio::select! {
                    biased;
                    reply = answer(host.clone(), request, first) => reply,
                    () = host.ending.notified() => empty(504),
                };
                Ok::<_, Infallible>(reply)
            }
        }
    });
    let mut builder = http1::Builder::new();
    // The library counts idle time and the time of the head as one.
    builder.timer(TokioTimer::new()).header_read_timeout(limits.idle_time);
    builder.max_buf_size(limits.header.max(LEAST_BUFFER));
    let connection = graceful.watch(builder.serve_connection(TokioIo::new(stream), service));
    spawn_local(async move {
        if let Err(e) = connection.await {
            log::debug!("event=caller_connection_broken error=\"{e}\"");
        }
    });
}
