//! Which index snapshot a query is pinned to.
//!
//! A query is pinned before it is scattered: to the snapshot with the best coverage and, among
//! equals, to the newest. Partial results of another snapshot never enter the answer.

use std::collections::BTreeMap;

use sapphirerack_catalogue::Span;

/// Id of a snapshot of an index; higher is newer.
pub type SnapshotId = u64;

/// Snapshots that the replicas of one shard hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardSnapshots {
    /// Partitions of the shard.
    pub span: Option<Span>,
    /// Snapshots that at least one replica holds.
    pub snapshots: Vec<SnapshotId>,
}

/// Snapshot with the best coverage, the newest among equals; `None` if no replica holds one.
pub fn choose_snapshot(shards: &[ShardSnapshots]) -> Option<SnapshotId> {
    let mut totals: BTreeMap<SnapshotId, u64> = BTreeMap::new();
    for shard in shards {
        let partitions = shard.span.map_or(0, |s| u64::from(s.len()));
        for id in &shard.snapshots {
            *totals.entry(*id).or_default() += partitions;
        }
    }
    totals.into_iter().max_by_key(|(id, partitions)| (*partitions, *id)).map(|(id, _)| id)
}
