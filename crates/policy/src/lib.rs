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
//! - `budget`: budget for hedges and retries
//! - `clock`: interface to the clock
//! - `coverage`: which partitions an answer covers
//! - `direct`: decisions of a host that sends opaque requests to targets itself
//! - `dispatch`: which job the owner sends to which target
//! - `group`: state machine of the owner of a group of replicas
//! - `job`: input and output of the owner of a group
//! - `lane`: state of one target at its owner
//! - `latency`: recent latencies, for adaptive delays
//! - `ramp`: cold start of a target
//! - `booking`: keys, records and outcomes of requests that run at most once
//! - `membership`: heartbeats, failure detection and announced leaving
//! - `roster`, `updates`, `probes`: state of the membership: view, updates to gossip, probes
//! - `event`: events and actions of the owner of a partition
//! - `log_copy`: a host's copy of a partition's log
//! - `ledger`: the owner of one partition of bookings
//! - `evidence`: evidence for and against a new version, from one host and from many
//! - `moves`: effect of a move at a given time, and its next step
//! - `rendezvous`: which host owns a key
//! - `route`: which hosts a sub-query is sent to
//! - `scatter`: state machine of one query scattered to the owners of its shards
//! - `snapshot`: which index snapshot a query is pinned to
//! - `start`: whether a move may start, and its stages
//! - `tenure`: who may use how much of a target while views of the membership differ
//! - `verdict`: sequential comparison of a new version with the old one
//! - `verdicts`: verdicts on new versions, as a grow-only set

pub mod booking;
mod budget;
mod clock;
mod coverage;
pub mod direct;
mod dispatch;
mod event;
pub mod evidence;
mod group;
mod job;
mod lane;
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
mod start;
mod tenure;
mod updates;
pub mod verdict;
mod verdicts;

pub use crate::budget::{Budget, split};
pub use crate::clock::{Clock, ManualClock, SystemClock};
pub use crate::coverage::Coverage;
pub use crate::group::Group;
pub use crate::job::{Action, Admits, Denial, Job, Outcome, Tuning};
pub use crate::lane::full_limit;
pub use crate::latency::Latency;
pub use crate::membership::{Membership, Outgoing, Repair, Timing};
pub use crate::ramp::Ramp;
pub use crate::rendezvous::rank;
pub use crate::route::{Host, group_key, owners, rank_hosts};
pub use crate::scatter::{Candidate, Scatter, ShardError, ShardRequest};
pub use crate::snapshot::{ShardSnapshots, SnapshotId, choose_snapshot};
pub use crate::tenure::{Guard, GuardTiming, Rank, Tenure};
pub use crate::verdicts::{Verdict, Verdicts};
