//! Decision logic of sapphirerack.
//!
//! The crate does no I/O and reads no clock: the caller passes the time in, so that every decision
//! can be tested with fixed seeds and an injected clock.
//!
//! ```
//! use sapphirerack_catalogue::Span;
//! use sapphirerack_policy::Coverage;
//!
//! let mut coverage = Coverage::default();
//! assert!(coverage.add(Span::new(0, 32_768)));
//! assert!(!coverage.add(Span::new(16_384, 32_768)), "overlapping spans are rejected");
//! assert_eq!(coverage.fraction(), 0.5);
//! ```
//!
//! # Modules
//!
//! - `budget`: token bucket for hedges and retries
//! - `clock`: injectable clocks
//! - `coverage`: which partitions an answer covers
//! - `direct`: load balancing and admission in a host that sends requests to targets directly
//! - `dispatch`: which job the owner of a group sends to which target
//! - `group`: state machine of the owner of a group of replicas
//! - `job`: jobs, outcomes and actions of the owner of a group
//! - `group_replica`: state of one target in its group
//! - `latency`: recent latencies, for adaptive delays
//! - `ramp`: warm-up of a cold target
//! - `booking`: keys, records and outcomes of requests that run at most once
//! - `membership`: heartbeats, failure detection and announced leaving
//! - `clients`: what the clients of a server may hold together, and which of them goes first
//! - `roster`, `updates`, `probes`, `contacts`: state of the membership: view, updates to gossip,
//!   probes, last contacts with data centres
//! - `event`: events and actions of the owner of a booking partition
//! - `log_copy`: in-memory copy of a partition's log
//! - `ledger`: the owner of one booking partition
//! - `evidence`: evidence for and against a new version, from one host and from many
//! - `moves`: effect of a move at a given time, and its next step
//! - `rendezvous`: rendezvous hashing, which host owns a key
//! - `route`: which hosts a sub-query is sent to
//! - `scatter`: state machine of one query scattered to the owners of its shards
//! - `snapshot`: which index snapshot a query is pinned to
//! - `stamps`: when a message of another host was sent at the earliest
//! - `start`: whether a move may start, and its stages
//! - `group_lease`: share of a target that each host may use while hosts disagree on the owner
//! - `verdict`: sequential comparison of a new version with the old one
//! - `verdicts`: verdicts on new versions, as a grow-only set

pub mod booking;
mod budget;
pub mod clients;
mod clock;
mod contacts;
mod coverage;
pub mod direct;
mod dispatch;
mod event;
pub mod evidence;
mod group;
mod group_lease;
mod group_replica;
mod job;
mod latency;
mod ledger;
mod log_copy;
mod membership;
pub mod moves;
mod probes;
mod ramp;
mod rendezvous;
mod roster;
mod route;
mod scatter;
mod snapshot;
mod stamps;
mod start;
mod updates;
pub mod verdict;
mod verdicts;

pub use crate::budget::{Budget, split_extra};
pub use crate::clock::{Clock, ManualClock, SystemClock};
pub use crate::coverage::Coverage;
pub use crate::group::Group;
pub use crate::group_lease::{GroupLease, Heartbeat, LeaseTiming, Rank};
pub use crate::group_replica::full_limit;
pub use crate::job::{Action, Denial, Job, Outcome, TargetFilter, Tuning};
pub use crate::latency::Latency;
pub use crate::membership::{Membership, Outgoing, Repair, Timing};
pub use crate::ramp::Ramp;
pub use crate::rendezvous::rank;
pub use crate::route::{Host, group_key, owners, rank_hosts};
pub use crate::scatter::{Candidate, Scatter, ShardError, ShardRequest};
pub use crate::snapshot::{ShardSnapshots, SnapshotId, choose_snapshot};
pub use crate::verdicts::{Verdict, Verdicts};
