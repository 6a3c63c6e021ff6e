//! Sub-queries and their outcomes.

use std::sync::Arc;

use sapphirerack_catalogue::{Name, Span};
use serde::{Deserialize, Serialize};

/// A sub-query: one query at one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubQuery {
    /// Service that is asked.
    pub service: Name,
    /// Shard that is asked.
    pub shard: Name,
    /// Snapshot that the query is pinned to.
    pub snapshot: u64,
    /// Route of the query within the service.
    pub route: Name,
    /// Deadline, in microseconds since the Unix epoch.
    pub deadline: u64,
    /// Whether the owner refuses at once if no target is free.
    pub spill: bool,
    /// The caller's query.
    pub query: Arc<[u8]>,
}

/// Results of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Snapshot that the results were read from.
    pub snapshot: u64,
    /// Partitions that the results cover.
    pub span: Span,
    /// Results as JSON text.
    pub results: String,
}

/// Why a sub-query has no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Failure {
    /// The host does not own a replica of the shard.
    NotOwner,
    /// No target is free, and so many sub-queries wait; nothing was dispatched.
    Busy(u32),
    /// The queue is too long to meet the deadline; nothing was dispatched.
    Overloaded,
    /// No replica holds the snapshot.
    NoSnapshot,
    /// The deadline passed.
    Timeout,
    /// Every target tried failed.
    Target,
    /// The link to the owner broke.
    Link,
}

/// Outcome of a sub-query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubReply {
    /// Results, or why there are none.
    pub outcome: Result<Part, Failure>,
    /// Snapshots that the shard's replicas hold, as far as the owner knows.
    pub held: Vec<u64>,
    /// Requests sent to targets beyond the first.
    pub extra: u32,
}
