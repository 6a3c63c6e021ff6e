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
//! - `collect`: drives one scattered query
//! - `routes`: which hosts are asked, kept between queries
//! - `spans`: partitions of shards that a snapshot divides otherwise
//! - `snapshots`: which snapshots the replicas hold
//! - `contacts`: when other hosts were last heard
//! - `calls`: requests to other hosts and their replies
//! - `links`: TCP links between hosts
//! - `lanes`: threads that talk to one target
//! - `owner`: sub-queries at the targets that this host owns
//! - `inbox`: hands what other hosts want to the parts of this host
//! - `routing`: the catalogue that traffic is routed by
//! - `moves`: carries moves on; `judge`, `news` and `steps` are its parts
//! - `move_front`: operators' HTTP for moves
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
mod collect;
mod config;
mod contacts;
mod entry;
mod error;
mod gather;
mod gossip;
mod inbox;
mod judge;
mod lanes;
mod links;
mod metrics;
mod move_front;
mod moves;
mod news;
mod operators;
mod owner;
mod peers;
mod routes;
mod routing;
mod serve;
mod settings;
mod snapshots;
mod spans;
mod steps;
mod versions;

pub use crate::error::{Category, Error, Result};
pub use crate::serve::{Host, serve};
pub use crate::settings::{GossipSettings, Listen, Settings, StoreSettings, from_text};
