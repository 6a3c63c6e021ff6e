//! Address and limits of a server.

use std::net::SocketAddr;
use std::time::Duration;

use sapphirerack_policy::clients::Capacity;

/// Address and limits of a server.
#[derive(Clone, Debug)]
pub struct Config {
    /// Address to listen on; port 0 takes any free port.
    pub address: SocketAddr,
    /// Threads that run the handler.
    pub workers: usize,
    /// Requests that may wait for a worker.
    pub queue: usize,
    /// What all clients may hold together.
    pub capacity: Capacity,
    /// Maximum size of the head of a request, in bytes.
    pub head: usize,
    /// Maximum size of a request body, in bytes.
    pub body: usize,
    /// Whether a request to this path counts as not run when the server itself refuses it. It does
    /// not where an earlier attempt under the same idempotency key may have run.
    pub not_run: fn(&str) -> bool,
    /// Timeout for receiving the head of a request, again for its body, and for taking some of the
    /// answer.
    pub read_timeout: Duration,
}

impl Config {
    /// Default limits for a server at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            workers: 8,
            queue: 64,
            capacity: Capacity { memory: 32 << 20, connections: 512 },
            head: 64 << 10,
            body: 1 << 20,
            not_run: |_| true,
            read_timeout: Duration::from_secs(10),
        }
    }
}
