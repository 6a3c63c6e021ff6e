//! The running parts of an entry host.
//!
//! Any entry host accepts a query, plans it and sends one sub-query for each shard to the host
//! that owns the shard's replicas in a data centre. The owner alone talks to those targets, so
//! that their limits hold whatever the number of hosts.
//!
//! ```text
//! caller -> entry -> gather -> calls -> links ~~> links -> owner -> target
//! ```
//!
//! # Modules
//!
//! - `settings`: what an operator sets for one host
//! - `serve`: starts and joins all parts
//! - `entry`: callers' HTTP
//! - `gather`: one query, scattered and gathered
//! - `calls`: requests to other hosts and their replies
//! - `links`: TCP links between hosts
//! - `lanes`: threads that talk to one target
//! - `owner`: sub-queries at the targets that this host owns
//! - `inbox`: hands what other hosts want to the parts of this host
//! - `versions`: traffic shares and evidence of back-end versions
//! - `changes`: changes of the catalogue through the store
//! - `config`: the catalogue in force
//! - `peers`: the other hosts
//! - `gossip`: datagrams between hosts and the topics they carry
//! - `operators`: operators' HTTP
//! - `metrics`: counters and histograms
//! - `error`: the crate's error

mod calls;
mod changes;
mod config;
mod entry;
mod error;
mod gather;
mod gossip;
mod inbox;
mod lanes;
mod links;
mod metrics;
mod operators;
mod owner;
mod peers;
mod serve;
mod settings;
mod versions;

pub use crate::error::{Category, Error, Result};
pub use crate::serve::{Host, serve};
pub use crate::settings::{GossipSettings, Listen, Settings, StoreSettings, from_text};
