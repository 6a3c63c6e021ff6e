//! Weighted choice of a route's service.

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_routes::WeightedService;

/// Smooth weighted round robin: holds the shares over short runs of requests, not only on average.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credit: Map<Name, f64>,
}

impl Split {
    /// Service for the next request; `None` if none has a positive weight. A single service gets
    /// every request, whatever its weight.
    pub fn next<'a>(&mut self, services: &'a [WeightedService]) -> Option<&'a Name> {
        if let [only] = services {
            return Some(&only.service);
        }
        let total: f64 = services.iter().map(|w| w.weight).sum();
        for weighted in services {
            *self.credit.entry(weighted.service.clone()).or_default() += weighted.weight;
        }
        let credit = |w: &WeightedService| self.credit.get(&w.service).copied().unwrap_or_default();
        let usable = services.iter().filter(|w| w.weight > 0.0);
        let best = usable.max_by(|a, b| credit(a).total_cmp(&credit(b)))?;
        if let Some(credit) = self.credit.get_mut(&best.service) {
            *credit -= total;
        }
        Some(&best.service)
    }
}
