//! What goes into the owner of a group and what comes out of it.

use std::time::Instant;

use sapphirerack_catalogue::{Name, Target};

use crate::SnapshotId;

/// Whether a job, by id, may go to a target.
pub type Admits<'a> = &'a mut dyn FnMut(u64, &Target) -> bool;

/// Settings of a group.
#[derive(Clone, Copy, Debug)]
pub struct Tuning {
    /// Requests that may wait at a target beyond its slots.
    pub waiting: u32,
    /// Share of extra requests, 0 to 1.
    pub extra: f64,
    /// Most extra requests that are saved up.
    pub burst: f64,
    /// Quantile of the latency after which a job is hedged, 0 to 1.
    pub quantile: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Self { waiting: 1, extra: 0.05, burst: 8.0, quantile: 0.98 }
    }
}

/// A sub-query or booking that waits for an answer.
#[derive(Clone, Debug)]
pub struct Job {
    /// Unique id.
    pub id: u64,
    /// Snapshot that it is pinned to, if it reads one.
    pub snapshot: Option<SnapshotId>,
    /// Time after which nobody wants the answer.
    pub deadline: Instant,
    /// Whether it must not be sent a second time, nor be cancelled at its target.
    pub once: bool,
}

/// How a request to a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A usable answer.
    Answered,
    /// The target does not hold the snapshot, or holds other partitions.
    NoSnapshot,
    /// The target refused or answered something unusable; it no longer runs the request.
    Failed,
    /// No answer, and the target may still run the request.
    Lost,
    /// No answer by the deadline.
    Late,
    /// The target confirmed that the request was cancelled.
    Cancelled,
}

/// Why a job has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// The deadline can't be met; nothing was dispatched.
    Overloaded,
    /// No replica holds the snapshot.
    NoSnapshot,
    /// The deadline passed.
    Timeout,
    /// Every target tried failed.
    Target,
}

/// What the host is to do.
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
    /// Answer a job.
    Reply {
        /// The job.
        job: u64,
        /// Request whose answer is passed on, or why there is none.
        result: Result<u64, Denial>,
        /// Requests sent beyond the first.
        extra: u32,
    },
}
