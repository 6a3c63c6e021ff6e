//! HTTP server with synchronous handlers, bounded in every direction.
//!
//! One thread does the I/O of all connections through `hyper`; a fixed number of workers runs
//! the handler. Connections, requests in hand, bodies and the time a slow sender may take are
//! limited. A request that finds no free place is refused at once as not run. A server stops
//! gracefully: it accepts nothing new and finishes what it has.
//!
//! `tiny_http` does not fit: its connection pool can leave an accepted connection without a
//! thread, an accept error ends its listener, and it has no read timeout and no graceful stop.
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
//! - `config`: limits of a server
//! - `message`: requests and responses
//! - `server`: the server
//! - `error`: the crate's error

mod config;
mod error;
mod message;
mod server;

pub use hyper::Method;

pub use crate::config::Config;
pub use crate::error::{Error, Result};
pub use crate::message::{Request, Response};
pub use crate::server::{Server, serve};
