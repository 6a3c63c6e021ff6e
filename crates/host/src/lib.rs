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
//! - `admission`: queries in hand, by service
//! - `gather`: one query, scattered and gathered
//! - `collect`: drives one scattered query
//! - `routes`: which hosts are asked, kept between queries
//! - `spans`: spans of shards whose partitions in a snapshot differ from the catalogue
//! - `snapshots`: which snapshots the replicas hold
//! - `contacts`: when other hosts were last heard
//! - `calls`: requests to other hosts and their replies
//! - `links`: TCP links between hosts
//! - `target_workers`: worker threads of one target
//! - `bookings`: callers' requests that run at most once
//! - `claims`: the partitions of bookings that this host owns
//! - `store_log`: the partitions' logs in the store
//! - `issued`: idempotency keys that a host hands out
//! - `booking_attempt`: an attempt of a claimed booking at one target
//! - `work`: work of an owner for its targets
//! - `shutdown`: planned stops
//! - `owner`: sub-queries at the targets that this host owns
//! - `inbox`: hands what other hosts want to the parts of this host
//! - `routing`: the catalogue that traffic is routed by
//! - `moves`: carries moves on; `judge`, `news` and `steps` are its parts
//! - `move_front`: operators' HTTP for moves
//! - `versions`: traffic shares and evidence of back-end versions
//! - `changes`: changes of the catalogue through the store
//! - `credentials`: which member a request comes from
//! - `member_front`: operators' HTTP for members
//! - `config`: the catalogue in force
//! - `peers`: the other hosts
//! - `fetch`: what other hosts have and this one misses
//! - `gossip`: datagrams between hosts and the topics they carry
//! - `operators`: operators' HTTP
//! - `status`: what operators are told of the hosts
//! - `metrics`: counters and histograms
//! - `error`: the crate's error

mod admission;
mod booking_attempt;
mod bookings;
mod calls;
mod changes;
mod claims;
mod collect;
mod config;
mod contacts;
mod credentials;
mod entry;
mod error;
mod fetch;
mod gather;
mod gossip;
mod inbox;
mod issued;
mod judge;
mod links;
mod member_front;
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
mod shutdown;
mod snapshots;
mod spans;
mod status;
mod steps;
mod store_log;
mod target_workers;
mod versions;
mod work;

pub use crate::error::{Category, Error, Result};
pub use crate::serve::{Host, serve};
pub use crate::settings::{
    BookingSettings, GossipSettings, Listen, Settings, StopSettings, StoreSettings, from_text,
};
