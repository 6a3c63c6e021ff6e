//! Asynchronous HTTP client with a connection pool, for the load and the baselines.

use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

/// Failure of a request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ClientError {
    #[error("{0}")]
    Io(#[from] std::io::Error),
    #[error("{0}")]
    Http(#[from] hyper::Error),
}

type Connection = SendRequest<Full<Bytes>>;

/// Connection pool for one server, with a limit of concurrent requests.
pub(crate) struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    permits: Semaphore,
}

impl Pool {
    pub(crate) fn new(address: SocketAddr, limit: usize) -> Self {
        Self { address, idle: Mutex::default(), permits: Semaphore::new(limit) }
    }

    /// Posts a body; returns status and body of the response.
    pub(crate) async fn post(
        &self,
        path: &str,
        headers: &[(&str, String)],
        body: Vec<u8>,
    ) -> Result<(u16, Bytes), ClientError> {
        // The semaphore is never closed.
        let _permit = self.permits.acquire().await;
        let mut request = hyper::Request::post(path).header("host", self.address.to_string());
        for (name, value) in headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(Bytes::from(body))).unwrap();
        let mut connection = self.connection().await?;
        let response = connection.send_request(request).await?;
        let status = response.status().as_u16();
        let body = response.into_body().collect().await?.to_bytes();
        self.idle.lock().unwrap().push(connection);
        Ok((status, body))
    }

    async fn connection(&self) -> Result<Connection, ClientError> {
        while let Some(mut connection) = self.take_idle() {
            if connection.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (connection, driver) = handshake(TokioIo::new(stream)).await?;
        tokio::spawn(driver);
        Ok(connection)
    }

    fn take_idle(&self) -> Option<Connection> {
        self.idle.lock().unwrap().pop()
    }
}
