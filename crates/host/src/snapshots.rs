//! What this host knows of the snapshots that the replicas of each shard hold.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name, Service, Shard};
use sapphirerack_policy::{Clock, ShardSnapshots, SnapshotId};

/// Age above which what is known of a shard is asked again.
const HELD_AGE: Duration = Duration::from_secs(1);

/// Age above which what is known is forgotten.
const FORGET_AGE: Duration = Duration::from_secs(10);

struct Known {
    at: Instant,
    held: Vec<SnapshotId>,
}

/// Snapshots by service, shard and data centre.
pub(crate) struct Snapshots {
    clock: Arc<dyn Clock>,
    known: Mutex<Map<(Name, Name), Map<Name, Known>>>,
}

impl Snapshots {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, known: Mutex::default() }
    }

    /// Takes note of what the replicas of a shard in a data centre hold.
    pub(crate) fn learn(&self, service: &Name, shard: &Name, centre: &Name, held: Vec<SnapshotId>) {
        if held.is_empty() {
            return;
        }
        let known = Known { at: self.clock.now(), held };
        let key = (service.clone(), shard.clone());
        self.lock().entry(key).or_default().insert(centre.clone(), known);
    }

    /// Whether too little is known of a shard, or it is known for too long.
    pub(crate) fn is_stale(&self, service: &Service, shard: &Shard) -> bool {
        let now = self.clock.now();
        let known = self.lock();
        let entry = known.get(&(service.name.clone(), shard.name.clone()));
        let fresh = |k: &Known| now.saturating_duration_since(k.at) <= HELD_AGE;
        !entry.is_some_and(|e| e.values().any(fresh))
    }

    /// What is held of each shard, in all data centres together.
    pub(crate) fn held(&self, service: &Service) -> Vec<ShardSnapshots> {
        let now = self.clock.now();
        let mut known = self.lock();
        let held = service.shards.iter().map(|shard| {
            let mut snapshots = Vec::new();
            if let Some(entry) = known.get_mut(&(service.name.clone(), shard.name.clone())) {
                entry.retain(|_, k| now.saturating_duration_since(k.at) <= FORGET_AGE);
                snapshots = entry.values().flat_map(|k| k.held.iter().copied()).collect();
                snapshots.sort_unstable();
                snapshots.dedup();
            }
            ShardSnapshots { span: Some(shard.span), snapshots }
        });
        held.collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<(Name, Name), Map<Name, Known>>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
