//! Spans of shards whose partitions in a snapshot differ from the catalogue.
//!
//! The catalogue can't change at the same moment as the index. A span that differs from the
//! catalogue is accepted if the shard has a single replica, or if two replicas report the same one.

use sapphirerack_catalogue::{Map, Name, Span};
use sapphirerack_clients::SearchResponse;
use sapphirerack_policy::SnapshotId;

/// Maximum number of snapshots kept.
const MAX_SNAPSHOTS: usize = 8;

/// Number of replicas that must report the same span, or all if the shard has fewer.
const MIN_REPLICAS: usize = 2;

/// Spans reported by the replicas of one shard, by snapshot.
#[derive(Default)]
pub(crate) struct Spans {
    reported: Map<SnapshotId, Map<Name, Span>>,
}

impl Spans {
    /// Records the span of a response of `target`, one of `replicas`; returns whether enough
    /// replicas agree on it.
    pub(crate) fn confirm(
        &mut self,
        response: &SearchResponse,
        target: &Name,
        replicas: usize,
    ) -> bool {
        if self.reported.len() >= MAX_SNAPSHOTS && !self.reported.contains_key(&response.snapshot) {
            self.reported.clear();
        }
        let reported = self.reported.entry(response.snapshot).or_default();
        reported.insert(target.clone(), response.span);
        let matching = reported.values().filter(|span| **span == response.span).count();
        response.span.is_valid() && matching >= MIN_REPLICAS.min(replicas)
    }
}
