//! Decisions of a host that talks to targets itself, by its own view of them.
//!
//! - `admission`: share of the queries that an overloaded shard is asked for
//! - `replica`: one target as this host sees it
//! - `balance`: which target of a service gets a request, and when a second one is asked
//! - `typical`: usual latency of a route
//! - `split`: which service of a weighted route gets a request
//! - `retry`: when a target is asked again that could not take a request
//! - `select`: which shards a query asks, does without, or is refused for
//! - `cutoff`: when a scattered query is answered
//! - `readers`: which hosts read the store

mod admission;
mod balance;
mod cold;
mod cutoff;
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
pub use readers::{ReadBackoff, max_staleness};
pub use replica::{Ending, Replica, SlowReport, Ticket};
pub use retry::backoff;
pub use select::{Selection, draw, retry_after, select};
pub use split::Split;
pub use typical::LatencyEstimator;
