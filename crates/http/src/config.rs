//! Limits of a server.

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
    /// Connections that are open at the same time.
    pub connections: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Whether a request to the path that the server itself refuses counts as not run.
    pub not_run: fn(&str) -> bool,
    /// Time that a sender may take for the head of a request, and again for its body.
    pub patience: Duration,
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
            patience: Duration::from_secs(10),
        }
    }
}
