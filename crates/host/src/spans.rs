//! Partitions of shards that a snapshot divides otherwise than the catalogue.
//!
//! The catalogue can't change in the same moment as the index. A span other than the catalogue's
//! is believed if the shard has a single replica, or if two replicas name the same one.

use sapphirerack_catalogue::{Map, Name, Span};
use sapphirerack_clients::SearchResponse;
use sapphirerack_policy::SnapshotId;

/// Snapshots that are remembered.
const SNAPSHOTS: usize = 8;

/// Replicas that must name the same span.
const WITNESSES: usize = 2;

/// Spans that replicas of one shard have named, by snapshot.
#[derive(Default)]
pub(crate) struct Spans {
    named: Map<SnapshotId, Map<Name, Span>>,
}

impl Spans {
    /// Whether the span of an answer by `target`, one of `replicas`, is to be believed.
    pub(crate) fn agree(&mut self, found: &SearchResponse, target: &Name, replicas: usize) -> bool {
        if self.named.len() >= SNAPSHOTS && !self.named.contains_key(&found.snapshot) {
            self.named.clear();
        }
        let named = self.named.entry(found.snapshot).or_default();
        named.insert(target.clone(), found.span);
        let witnesses = named.values().filter(|span| **span == found.span).count();
        found.span.is_valid() && witnesses >= WITNESSES.min(replicas)
    }
}
