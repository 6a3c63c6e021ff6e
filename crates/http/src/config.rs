//! Address and limits of a server.

use std::net::SocketAddr;
use std::time::Duration;

/// Address and limits of a server.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on; port 0 takes any free port.
    pub address: SocketAddr,
    /// Threads that run the handler.
    pub workers: usize,
    /// Requests that may wait for a worker.
    pub queue: usize,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Whether a request to this path counts as not run when the server itself refuses it. It does
    /// not where an earlier attempt under the same idempotency key may have run.
    pub not_run: fn(&str) -> bool,
    /// Timeout for receiving the head of a request, and again for its body.
    pub read_timeout: Duration,
}

impl Config {
    /// Default limits for a server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            workers: 8,
            queue: 64,
            connections: 1024,
            body: 1 << 20,
            not_run: |_| true,
            read_timeout: Duration::from_secs(10),
        }
    }
}
