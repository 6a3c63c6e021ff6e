//! HTTP server with synchronous handlers and bounded resources.
//!
//! One thread does the I/O of all connections through `hyper`; a fixed pool of worker threads runs
//! the handler. Connections, queued requests, body size, the time to receive a request and the memory
//! for all clients together are limited. A request that finds the queue full is refused at once, and reported as not run unless
//! [`Config::not_run`] excludes its path. Shutdown is graceful: the server stops accepting and
//! completes the requests in flight.
//!
//! `tiny_http` does not fit: its connection pool can leave an accepted connection without a
//! thread, an accept error ends its listener, and it has no read timeout or graceful shutdown.
//!
//! ```
//! use sapphirerack_http::{Config, Response, serve};
//!
//! let config = Config::new("127.0.0.1:0".parse()?);
//! let server = serve(config, |request| Response::text(200, request.path))?;
//! assert_ne!(server.address().port(), 0);
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```
//!
//! # Modules
//!
//! - `body`: reading of request bodies
//! - `descriptors`: how many connections the descriptors of a process allow
//! - `quota`: the bound of what clients hold, and the part of each connection
//! - `stream`: connection of a client
//! - `config`: address and limits of a server
//! - `message`: requests and responses
//! - `server`: the server
//! - `error`: the crate's error

mod body;
mod config;
mod descriptors;
mod error;
mod message;
mod quota;
mod server;
mod stream;

pub use hyper::Method;
pub use sapphirerack_policy::clients::Capacity;

pub use crate::body::BodyError;
pub use crate::config::Config;
pub use crate::descriptors::{connections_of, max_connections};
pub use crate::error::{Error, Result};
pub use crate::message::{Request, Response};
pub use crate::quota::{Arrival, Charge, Client, Quota};
pub use crate::server::{Server, serve};
pub use crate::stream::{ClientStream, Timeouts, limit_buffers};
