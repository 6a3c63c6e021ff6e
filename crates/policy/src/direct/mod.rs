//! Load balancing and admission in a host that sends requests to targets directly, based on its
//! own observations.
//!
//! - `admission`: share of queries that an overloaded shard admits
//! - `balance`: target selection, hedging and retry budget of a service
//! - `cold`: request rate limit of a cold target
//! - `cutoff`: when a scattered query is answered
//! - `division`: division of a query among data centres
//! - `gatherers`: which hosts gather the queries over several shards
//! - `readers`: which hosts read the store
//! - `replica`: observed state of one target
//! - `retry`: backoff after requests that did not reach a target
//! - `select`: shard selection and load shedding of a query
//! - `split`: weighted choice of a route's service
//! - `typical`: expected latency of a route

mod admission;
mod balance;
mod cold;
mod cutoff;
mod division;
mod gatherers;
mod readers;
mod replica;
mod retry;
mod select;
mod split;
mod typical;

pub use admission::Admission;
pub use balance::{Balancer, Choice, SharedLimits};
pub use cold::ColdLimit;
pub use cutoff::{Cutoff, Decision};
pub use division::{Division, divide};
pub use gatherers::{CONNECTIONS_USED, Gatherers, designate, limit_share, targets_left};
pub use readers::{ReadBackoff, max_staleness};
pub use replica::{Ending, Replica, SlowReport, Ticket};
pub use retry::backoff;
pub use select::{Selection, draw, retry_after, select};
pub use split::Split;
pub use typical::LatencyEstimator;
