//! Calls between hosts over TCP: one request and one reply a connection.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sapphirerack_protocol::{FRAME_LIMIT, PeerReply, PeerRequest, from_body, to_frame};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

use crate::caller::ACCEPT_RETRY_DELAY;
use crate::gather_server;
use crate::host::Host;
use crate::{Error, Result};

/// Timeout of a call to another host.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Sends a request to a host and reads its reply.
///
/// # Errors
///
/// The host did not answer in time, or its reply is malformed.
pub(crate) async fn call(peer: SocketAddr, request: &PeerRequest) -> Result<PeerReply> {
    let exchange = async {
        let stream = TcpStream::connect(peer).await;
        let mut stream = stream.map_err(|e| Error::io("call host", peer, e))?;
        write(&mut stream, request, peer).await?;
        read(&mut stream, peer).await
    };
    let answered = tokio::time::timeout(CALL_TIMEOUT, exchange).await;
    answered.map_err(|_| Error::timeout("call host", peer))?
}

async fn write<T: serde::Serialize>(
    stream: &mut TcpStream,
    message: &T,
    peer: SocketAddr,
) -> Result<()> {
    let frame = to_frame(message);
    let frame = frame.map_err(|e| Error::malformed("write frame", peer, e.to_string()))?;
    stream.write_all(&frame).await.map_err(|e| Error::io("write frame", peer, e))
}

async fn read<T: serde::de::DeserializeOwned>(
    stream: &mut TcpStream,
    peer: SocketAddr,
) -> Result<T> {
    let failed = |e| Error::io("read frame", peer, e);
    let len = stream.read_u32_le().await.map_err(failed)? as usize;
    if len > FRAME_LIMIT {
        return Err(Error::malformed("read frame", peer, format!("{len} bytes")));
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await.map_err(failed)?;
    from_body(&body).map_err(|e| Error::malformed("read frame", peer, e.to_string()))
}

/// Serves requests of other hosts until the process ends.
pub(crate) async fn accept(host: Rc<Host>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let host = host.clone();
                spawn_local(async move {
                    if let Err(e) = serve(&host, stream, peer).await {
                        log::debug!("event=question_not_answered error=\"{e}\"");
                    }
                });
            }
            Err(e) => {
                log::warn!("event=accept_failed error=\"{e}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve(host: &Rc<Host>, mut stream: TcpStream, peer: SocketAddr) -> Result<()> {
    let request = tokio::time::timeout(CALL_TIMEOUT, read(&mut stream, peer)).await;
    let request = request.map_err(|_| Error::timeout("read frame", peer))??;
    if let PeerRequest::Link = request {
        return gather_server::serve(host, stream, peer).await;
    }
    let answered = tokio::time::timeout(CALL_TIMEOUT, reply(host, stream, request, peer)).await;
    answered.map_err(|_| Error::timeout("write frame", peer))?
}

async fn reply(
    host: &Host,
    mut stream: TcpStream,
    request: PeerRequest,
    peer: SocketAddr,
) -> Result<()> {
    let now = host.boot_time();
    let answer = match request {
        PeerRequest::Link => return Ok(()),
        PeerRequest::View(other) => {
            PeerReply::View(Box::new(host.view.borrow().delta(&other, now)))
        }
        PeerRequest::WholeView => PeerReply::View(Box::new(host.view.borrow().whole(now))),
        PeerRequest::Peers(data_centre) => {
            PeerReply::Peers(host.fleet.members.borrow().view(&data_centre, now))
        }
    };
    write(&mut stream, &answer, peer).await
}
