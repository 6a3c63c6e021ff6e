//! Cache of the hosts that each shard's sub-queries may go to.
//!
//! Ranking the hosts of a large data centre for every shard of every query would cost more than
//! the query. The ranking is valid until the catalogue or the set of live hosts changes.

use std::sync::{Arc, Mutex, PoisonError};

use sapphirerack_catalogue::{Map, Name, Service};
use sapphirerack_policy::{Candidate, Host, owners};

use crate::config::View;

/// Candidates of each shard of a service, the most preferred first.
pub(crate) type ShardCandidates = Arc<[Vec<Candidate>]>;

#[derive(Default)]
struct Cache {
    view: Arc<View>,
    live: Arc<[Host]>,
    candidates: Map<Name, ShardCandidates>,
}

/// Cached candidates by service.
#[derive(Default)]
pub(crate) struct CandidateCache {
    cache: Mutex<Cache>,
}

impl CandidateCache {
    /// Candidates of each shard for an entry host in data centre `own`.
    pub(crate) fn get(
        &self,
        view: &Arc<View>,
        live: &Arc<[Host]>,
        service: &Service,
        own: &str,
    ) -> ShardCandidates {
        let mut cache = self.cache.lock().unwrap_or_else(PoisonError::into_inner);
        if !Arc::ptr_eq(&cache.view, view) || !Arc::ptr_eq(&cache.live, live) {
            let (view, live) = (view.clone(), live.clone());
            *cache = Cache { view, live, candidates: Map::default() };
        }
        let rank = || {
            let shards = service.shards.iter();
            shards.map(|s| owners(&view.catalogue, service, s, own, live)).collect()
        };
        cache.candidates.entry(service.name.clone()).or_insert_with(rank).clone()
    }
}
