//! The components of an entry host.
//!
//! Any entry host accepts a query, plans it and sends one sub-query for each shard to the host
//! that owns the shard's replicas in a data centre. The owner alone talks to those targets, so
//! that their limits hold for any number of hosts.
//!
//! ```text
//! caller -> entry -> gather -> calls -> links ~~> links -> owner -> target
//! ```
//!
//! # Modules
//!
//! - `settings`: settings of one host
//! - `serve`: starts and stops the components
//! - `entry`: HTTP front end for callers
//! - `admission`: admission control of queries by service
//! - `gather`: scatters a query and gathers the results
//! - `collect`: drives one scattered query
//! - `routes`: cache of the hosts that sub-queries may go to
//! - `spans`: spans of shards whose partitions in a snapshot differ from the catalogue
//! - `snapshots`: cache of the snapshots that replicas hold
//! - `contacts`: failure detector for the hosts that this host calls
//! - `calls`: requests to other hosts and their replies
//! - `links`: TCP links between hosts
//! - `target_workers`: worker threads of one target
//! - `bookings`: callers' bookings, which run at most once
//! - `claims`: partitions of bookings that this host owns
//! - `store_log`: logs of the partitions in the store
//! - `issued`: idempotency keys issued by a host
//! - `booking_attempt`: an attempt of a claimed booking at one target
//! - `work`: work that an owner dispatches to its targets
//! - `shutdown`: graceful shutdown
//! - `owner`: runs sub-queries and claimed bookings at the targets that this host owns
//! - `inbox`: dispatches inbound requests to the components
//! - `routing`: the catalogue that traffic is routed by
//! - `moves`: executes moves, with `judge`, `move_gossip` and `steps`
//! - `move_front`: operators' HTTP endpoints for moves
//! - `versions`: traffic shares and outcomes of back-end versions
//! - `changes`: changes of the catalogue through the store
//! - `credentials`: authenticates the member of a request
//! - `member_front`: operators' HTTP endpoints for members
//! - `config`: the catalogue in force
//! - `peers`: membership of the other hosts
//! - `fetch`: fetches from other hosts what this one lacks
//! - `gossip`: datagrams between hosts and the topics they carry
//! - `operators`: operators' HTTP endpoints for the catalogue, status, metrics and health
//! - `status`: status report for operators
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
mod move_gossip;
mod moves;
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
