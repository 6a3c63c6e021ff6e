//! Jobs, outcomes and actions of the owner of a group.

use std::time::Instant;

use sapphirerack_catalogue::{Name, Target};

use crate::SnapshotId;

/// Predicate that tells whether a job, by id, may be sent to a target.
pub type TargetFilter<'a> = &'a mut dyn FnMut(u64, &Target) -> bool;

/// Parameters of a group.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Requests that may queue at a target beyond its slots.
    pub waiting: u32,
    /// Hedges and retries of the owner and the entry host together, as a fraction of the jobs.
    pub extra: f64,
    /// Capacity of the budget for hedges and retries, in requests.
    pub burst: f64,
    /// Latency quantile after which a job is hedged, 0 to 1.
    pub quantile: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self { waiting: 1, extra: 0.05, burst: 8.0, quantile: 0.98 }
    }
}

/// A sub-query or booking to be dispatched to a target.
#[derive(Clone, Debug)]
pub struct Job {
    /// Unique id.
    pub id: u64,
    /// Snapshot that the job is pinned to, if it reads one.
    pub snapshot: Option<SnapshotId>,
    /// Time after which the response is of no use.
    pub deadline: Instant,
    /// Whether the job is dispatched at most once: no hedge, retry or cancellation.
    pub single_attempt: bool,
}

/// How a request to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A usable response.
    Answered,
    /// The target does not hold the snapshot, or holds other partitions.
    NoSnapshot,
    /// A refusal or an unusable response; the target no longer runs the request.
    Failed,
    /// No response, and the target may still run the request.
    Lost,
    /// No response by the deadline.
    Late,
    /// The target confirmed that the request was cancelled.
    Cancelled,
}

/// Why a job failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The deadline can't be met; nothing was dispatched.
    Overloaded,
    /// No replica holds the snapshot.
    NoSnapshot,
    /// The deadline passed.
    Timeout,
    /// All targets that were tried failed.
    Target,
}

/// An action for the host to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a job to a target.
    Dispatch {
        /// Unique id of the request.
        attempt: u64,
        /// The job.
        job: u64,
        /// The target.
        target: Name,
        /// Whether it is a hedge or a retry.
        extra: bool,
    },
    /// Cancel a request at its target.
    Cancel {
        /// The request.
        attempt: u64,
        /// The target.
        target: Name,
    },
    /// Reply to a job.
    Reply {
        /// The job.
        job: u64,
        /// Request whose response is returned, or why there is none.
        result: Result<u64, Denial>,
        /// Requests sent beyond the first.
        extra: u32,
    },
}
