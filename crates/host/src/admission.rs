//! Admission of queries by service.
//!
//! Each service has a number of places on an entry host, so that a burst of one member's queries
//! does not take the workers of another's. A query that finds no place is refused as not run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sapphirerack_catalogue::{Map, Name};

/// Queries in hand, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    open: Arc<Mutex<Map<Name, u32>>>,
}

/// A place that is free again once dropped.
#[derive(Debug)]
pub(crate) struct Place {
    admission: Admission,
    service: Name,
}

impl Admission {
    /// Takes a place of the service if fewer than `limit` are taken.
    pub(crate) fn admit(&self, service: &Name, limit: u32) -> Option<Place> {
        let mut open = self.open();
        let taken = open.entry(service.clone()).or_default();
        if *taken >= limit {
            return None;
        }
        *taken += 1;
        Some(Place { admission: self.clone(), service: service.clone() })
    }

    fn open(&self) -> MutexGuard<'_, Map<Name, u32>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut open = self.admission.open();
        if let Some(taken) = open.get_mut(&self.service) {
            *taken -= 1;
            if *taken == 0 {
                open.remove(&self.service);
            }
        }
    }
}
