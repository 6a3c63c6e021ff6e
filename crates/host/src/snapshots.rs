//! Cache of the snapshots that the replicas of each shard hold.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name, Service, Shard};
use sapphirerack_policy::{Clock, ShardSnapshots, SnapshotId};

/// Age above which an entry is refreshed.
const REFRESH_AGE: Duration = Duration::from_secs(1);

/// Age above which an entry is discarded.
const EXPIRY_AGE: Duration = Duration::from_secs(10);

struct HeldSnapshots {
    updated: Instant,
    held: Vec<SnapshotId>,
}

/// Snapshots by service, shard and data centre.
pub(crate) struct Snapshots {
    clock: Arc<dyn Clock>,
    entries: Mutex<Map<(Name, Name), Map<Name, HeldSnapshots>>>,
}

impl Snapshots {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, entries: Mutex::default() }
    }

    /// Records the snapshots that the replicas of a shard in a data centre hold. An empty list is
    /// ignored.
    pub(crate) fn record(
        &self,
        service: &Name,
        shard: &Name,
        centre: &Name,
        held: Vec<SnapshotId>,
    ) {
        if held.is_empty() {
            return;
        }
        let entry = HeldSnapshots { updated: self.clock.now(), held };
        let key = (service.clone(), shard.clone());
        self.lock().entry(key).or_default().insert(centre.clone(), entry);
    }

    /// Whether the entries of a shard are all older than [`REFRESH_AGE`], or missing.
    pub(crate) fn is_stale(&self, service: &Service, shard: &Shard) -> bool {
        let now = self.clock.now();
        let entries = self.lock();
        let centres = entries.get(&(service.name.clone(), shard.name.clone()));
        let fresh = |e: &HeldSnapshots| now.saturating_duration_since(e.updated) <= REFRESH_AGE;
        !centres.is_some_and(|c| c.values().any(fresh))
    }

    /// Snapshots held of each shard, over all data centres.
    pub(crate) fn held(&self, service: &Service) -> Vec<ShardSnapshots> {
        let now = self.clock.now();
        let mut entries = self.lock();
        let held = service.shards.iter().map(|shard| {
            let mut snapshots = Vec::new();
            if let Some(centres) = entries.get_mut(&(service.name.clone(), shard.name.clone())) {
                centres.retain(|_, e| now.saturating_duration_since(e.updated) <= EXPIRY_AGE);
                snapshots = centres.values().flat_map(|e| e.held.iter().copied()).collect();
                snapshots.sort_unstable();
                snapshots.dedup();
            }
            ShardSnapshots { span: Some(shard.span), snapshots }
        });
        held.collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<(Name, Name), Map<Name, HeldSnapshots>>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
