//! HTTP server with synchronous handlers and bounded resources.
//!
//! One thread does the I/O of all connections through `hyper`; a fixed pool of worker threads runs
//! the handler. Connections, queued requests, body size and the time to receive a request are
//! limited. A request that finds the queue full is refused at once, and reported as not run unless
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
//! - `config`: address and limits of a server
//! - `message`: requests and responses
//! - `server`: the server
//! - `error`: the crate's error

mod body;
mod config;
mod error;
mod message;
mod server;

pub use hyper::Method;

pub use crate::body::{BodyError, read_body};
pub use crate::config::Config;
pub use crate::error::{Error, Result};
pub use crate::message::{Request, Response};
pub use crate::server::{Server, serve};
