//! Forwards opaque requests to targets, and gathers the parts of several shards into one answer.
//!
//! Every host accepts any request, finds its route, and sends it to targets directly, chosen by its
//! own view of them. All I/O runs on one thread. Load balancing and admission are in
//! `policy::direct`, and the state of routes and targets is in `routes`. A platform adapter
//! provides the names on the wire and the encodings, as a [`Dialect`].
//!
//! ```text
//! callers -> caller -> request -> query (one ask a shard) -> ask -> attempt -> target
//!                                    -> delegate -> links ~> gather_server -> query
//!                             -> ask (one service)
//! store  -> reader -> view <~> peers <~> other hosts
//! ```
//!
//! # Modules
//!
//! - `settings`: settings of one host
//! - `dialect`: platform-specific names on the wire and encodings
//! - `serve`: starts and stops a host
//! - `host`: state that the modules share
//! - `fleet`: the other hosts, and which of them gather queries
//! - `caller`: connections of callers
//! - `request`: a request of a caller, from routing to the answer
//! - `query`: a query over several shards
//! - `aim`: the time at which a query is answered with the parts that are in
//! - `delegate`: passes a query to a gatherer
//! - `delegated`: a query that was passed to a gatherer
//! - `part_query`: the part of a query that this host gathers for another
//! - `partner`: a gatherer that gathers some of the parts of a query
//! - `parts`: parts of a query, merged
//! - `links`: connections to the gatherers
//! - `gather_server`: gathers queries for other hosts
//! - `frames`: frames of messages on a connection between hosts
//! - `ask`: a request to one service, with hedges and retries
//! - `attempt`: one attempt of a request at one target
//! - `interpret`: checks of the answers of targets
//! - `hop_by_hop`: headers that concern one connection only
//! - `answer_memory`: memory that the answers of peers may take
//! - `client`: connections to targets and to the store, and their pool
//! - `store`: client of the store
//! - `listing`: a listing of the store, which comes in pages
//! - `reader`: keeps the view up to date from the store
//! - `peers`: gossip with other hosts
//! - `peer_calls`: calls between hosts
//! - `ready`: readiness and metrics
//! - `metrics`: counters and histograms
//! - `log_line`: the log, which never blocks
//! - `log_limit`: rate limit of log lines
//! - `error`: errors of this crate

mod aim;
mod answer_memory;
mod ask;
mod attempt;
mod caller;
mod client;
mod delegate;
mod delegated;
mod dialect;
mod error;
mod fleet;
mod frames;
mod gather_server;
mod hop_by_hop;
mod host;
mod interpret;
mod links;
mod listing;
mod log_limit;
mod log_line;
mod metrics;
mod part_query;
mod partner;
mod parts;
mod peer_calls;
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
pub use crate::listing::Listing;
pub use crate::log_line::start_log;
pub use crate::serve::serve;
pub use crate::settings::{Bounds, Limits, Listen, Machine, Queries, Settings, Stop, from_text};
