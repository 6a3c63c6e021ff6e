//! Which index snapshot a query is pinned to.
//!
//! A query is pinned before it scatters: to the snapshot that gives the best coverage and, among
//! those, to the newest. Sub-answers of another snapshot never enter the answer.

use std::collections::BTreeMap;

use sapphirerack_catalogue::Span;

/// Identifies a snapshot of an index; higher is newer.
pub type SnapshotId = u64;

/// Snapshots that the replicas of one shard hold.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardSnapshots {
    /// Partitions of the shard.
    pub span: Option<Span>,
    /// Snapshots that at least one replica holds.
    pub snapshots: Vec<SnapshotId>,
}

/// Snapshot with the best coverage, the newest among equals; `None` if nothing is held.
pub fn choose_snapshot(shards: &[ShardSnapshots]) -> Option<SnapshotId> {
    let mut totals: BTreeMap<SnapshotId, u64> = BTreeMap::new();
    for held in shards {
        let partitions = held.span.map_or(0, |s| u64::from(s.len()));
        for id in &held.snapshots {
            *totals.entry(*id).or_default() += partitions;
        }
    }
    totals.into_iter().max_by_key(|(id, partitions)| (*partitions, *id)).map(|(id, _)| id)
}
