//! Forwards opaque requests to targets, and gathers the parts of shards into one answer.
//!
//! Every host accepts any request, finds its route, and talks to the targets itself, by its own
//! view of them. All I/O runs on one thread; decisions stand in `policy::direct`, and what is known
//! of routes and targets in `routes`. What differs between platforms comes from an adapter, as a
//! [`Dialect`].
//!
//! ```text
//! callers -> caller -> request -> query (one ask a shard) -> ask -> attempt -> target
//!                             -> ask (one service)
//! store  -> reader -> view <~> peers <~> other hosts
//! ```
//!
//! # Modules
//!
//! - `settings`: what an operator sets for one host
//! - `dialect`: what differs between platforms
//! - `serve`: starts and stops all parts
//! - `host`: what the parts share
//! - `caller`: connections of callers
//! - `request`: one request of a caller, from its route to its answer
//! - `query`: a request for the parts of several shards
//! - `ask`: a request to one service, with hedges and retries
//! - `attempt`: a request at one target
//! - `client`: connections to targets and to the store
//! - `store`: calls to the store
//! - `reader`: what the store says, and when it is read
//! - `peers`: what other hosts say
//! - `ready`: readiness and metrics
//! - `metrics`: counters and histograms
//! - `log_line`: the log, which never blocks
//! - `log_limit`: keeps its volume bounded
//! - `error`: the crate's error

mod ask;
mod attempt;
mod caller;
mod client;
mod dialect;
mod error;
mod host;
mod log_limit;
mod log_line;
mod metrics;
mod peers;
mod query;
mod reader;
mod ready;
mod request;
mod serve;
mod settings;
mod store;

pub use crate::dialect::{Dialect, Event, Events, Headers, Item, Page, StoreDialect};
pub use crate::error::{Category, Error, Result};
pub use crate::log_line::start_log;
pub use crate::serve::serve;
pub use crate::settings::{Bounds, Listen, Queries, Settings, Stop, from_text};
