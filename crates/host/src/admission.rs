//! Admission control of queries by service.
//!
//! Each service has a concurrency limit on an entry host, so that a burst of one member's queries
//! does not use up the workers for another's. A query above the limit is rejected as not run.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use sapphirerack_catalogue::{Map, Name};

/// Number of queries in flight, by service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {
    in_flight: Arc<Mutex<Map<Name, u32>>>,
}

/// Counts as one query in flight until dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    admission: Admission,
    service: Name,
}

impl Admission {
    /// Admits a query if fewer than `limit` queries of the service are in flight.
    pub(crate) fn admit(&self, service: &Name, limit: u32) -> Option<Permit> {
        let mut in_flight = self.in_flight();
        let count = in_flight.entry(service.clone()).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(Permit { admission: self.clone(), service: service.clone() })
    }

    fn in_flight(&self) -> MutexGuard<'_, Map<Name, u32>> {
        self.in_flight.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let mut in_flight = self.admission.in_flight();
        if let Some(count) = in_flight.get_mut(&self.service) {
            *count -= 1;
            if *count == 0 {
                in_flight.remove(&self.service);
            }
        }
    }
}
