//! One route and its action.

use std::time::Duration;

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

/// Timeout of a route that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Which requests are accepted, and what happens to them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Host that requests name, in lower case.
    pub host: Name,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: Name,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time to the answer.
    pub timeout: Duration,
    /// Time to the answer that callers aim at.
    pub aim: Duration,
    /// Rank under load; 0 is the highest.
    pub priority: u32,
    /// Most targets that may run one request; for each shard if there are shards.
    pub attempts: u32,
    /// What happens to the requests.
    pub action: Action,
}

/// What happens to the requests of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Each goes to one of these services, in proportion to their weights.
    Forward(Vec<WeightedService>),
    /// Each goes to every shard, and the parts are merged.
    Gather(Gather),
}

/// A service with its share of the requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Weight, relative to the other services of the route.
    pub weight: f64,
}

/// How the parts of shards make up one answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gather {
    /// Services that each hold one shard.
    pub shards: Vec<Name>,
    /// Records in the answer.
    pub top: usize,
    /// Least share of the shards in an answer, 0 to 1.
    pub coverage: f64,
}

impl Gather {
    /// Least number of shards in an answer; never 0.
    pub fn min_shards(&self) -> usize {
        // A share such as 0.9 of 10 must not become 10 by a rounding error.
        let least = (self.coverage * self.shards.len() as f64 - 1e-9).ceil();
        (least as usize).clamp(1, self.shards.len().max(1))
    }
}

impl Route {
    /// Route of idempotent requests to one service, with default times.
    pub fn forward(name: &str, host: &str, prefix: &str, service: &str) -> Self {
        Self {
            name: name.into(),
            host: host.into(),
            prefix: prefix.into(),
            idempotent: true,
            timeout: DEFAULT_TIMEOUT,
            aim: DEFAULT_TIMEOUT,
            priority: 0,
            attempts: 2,
            action: Action::Forward(vec![WeightedService { service: service.into(), weight: 1.0 }]),
        }
    }

    /// Services to which requests of the route may go.
    pub fn services(&self) -> Vec<&Name> {
        match &self.action {
            Action::Forward(split) => split.iter().map(|w| &w.service).collect(),
            Action::Gather(gather) => gather.shards.iter().collect(),
        }
    }
}
