//! Decisions of sapphirerack.
//!
//! Nothing here does I/O or reads a clock of its own: the caller passes the time in, so that
//! every decision can be tested with fixed seeds and an injected clock.
//!
//! ```
//! use sapphirerack_catalogue::Span;
//! use sapphirerack_policy::Coverage;
//!
//! let mut coverage = Coverage::default();
//! assert!(coverage.add(Span::new(0, 32_768)));
//! assert!(!coverage.add(Span::new(16_384, 32_768)), "overlapping parts are refused");
//! assert_eq!(coverage.fraction(), 0.5);
//! ```
//!
//! # Modules
//!
//! - `booking`: keys, records and outcomes of requests that run at most once
//! - `clock`: the time as an interface
//! - `coverage`: which partitions an answer holds
//! - `membership`: heartbeats, failure detection and announced leaving
//! - `roster`, `rumours`, `probes`: what the membership keeps
//! - `event`: events and actions of that owner
//! - `log_copy`: a host's copy of a partition's log
//! - `ledger`: the owner of one partition of bookings
//! - `evidence`: evidence for and against a new version, from one host and from many
//! - `moves`: what a move has in effect, and its next step
//! - `rendezvous`: which host owns a key
//! - `route`: which hosts a sub-query is sent to
//! - `snapshot`: which index snapshot a query is pinned to
//! - `start`: whether a move may start, and its stages
//! - `verdict`: sequential comparison of a new version with the old one
//! - `verdicts`: verdicts on new versions, as a set that only grows

pub mod booking;
mod clock;
mod coverage;
mod event;
pub mod evidence;
mod ledger;
mod log_copy;
mod membership;
pub mod moves;
mod probes;
mod rendezvous;
mod roster;
mod route;
mod rumours;
mod snapshot;
mod start;
pub mod verdict;
mod verdicts;

pub use crate::clock::{Clock, ManualClock, SystemClock};
pub use crate::coverage::Coverage;
pub use crate::membership::{Membership, Outgoing, Repair, Timing};
pub use crate::rendezvous::rank;
pub use crate::route::{Host, owners};
pub use crate::snapshot::{Held, SnapshotId, choose};
pub use crate::verdicts::{Verdict, Verdicts};
