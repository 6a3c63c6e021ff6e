//! Sub-queries and their replies.

use std::sync::Arc;

use sapphirerack_catalogue::{Name, Span};
use serde::{Deserialize, Serialize};

/// A sub-query: one query at one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubQuery {
    /// Requested service.
    pub service: Name,
    /// Requested shard.
    pub shard: Name,
    /// Snapshot that the query is pinned to.
    pub snapshot: u64,
    /// Route of the query within the service.
    pub route: Name,
    /// Deadline, in microseconds since the Unix epoch.
    pub deadline: u64,
    /// Whether the owner rejects the sub-query instead of queueing it if no target has a free slot.
    pub spill: bool,
    /// The caller's query.
    pub query: Arc<[u8]>,
}

/// Results of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardResults {
    /// Snapshot that was searched.
    pub snapshot: u64,
    /// Partitions covered by the results.
    pub span: Span,
    /// Results as JSON text.
    pub results: String,
}

/// Why a sub-query has no results.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Failure {
    /// The host does not own a replica of the shard.
    NotOwner,
    /// No target has a free slot; carries the number of queued sub-queries. Nothing was dispatched.
    Busy(u32),
    /// Shed: the queue is too long to meet the deadline. Nothing was dispatched.
    Overloaded,
    /// No replica holds the snapshot.
    NoSnapshot,
    /// The deadline passed.
    Timeout,
    /// All attempted targets failed.
    Target,
    /// The link to the owner broke.
    Link,
}

/// Reply to a sub-query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubReply {
    /// Results or the reason for their absence.
    pub outcome: Result<ShardResults, Failure>,
    /// Snapshots held by the shard's replicas, as last seen by the owner.
    pub held: Vec<u64>,
    /// Hedges and retries sent to targets in addition to the first request.
    pub extra: u32,
}
