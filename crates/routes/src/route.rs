//! A route and its action.

use std::time::Duration;

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

/// Timeout of a route without a configured one.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(10);

/// Matches requests by host and path, and defines their handling.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Unique name.
    pub name: Name,
    /// Host of the requests, in lower case.
    pub host: Name,
    /// Path prefix; starts and ends with a slash.
    pub prefix: Name,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// Longest time until the answer.
    pub timeout: Duration,
    /// Latency objective of the callers.
    pub aim: Duration,
    /// Priority under overload; 0 is the highest.
    pub priority: u32,
    /// Most targets that may run one request, or one shard's part of it.
    pub attempts: u32,
    /// Handling of the requests.
    pub action: Action,
}

/// Handling of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Sends each request to one of these services, in proportion to their weights.
    Forward(Vec<WeightedService>),
    /// Sends each request to every shard and merges the parts.
    Gather(Gather),
}

/// A service with its share of the requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Name,
    /// Weight, relative to the other services of the route.
    pub weight: f64,
}

/// Merging of the shards' parts into one answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Gather {
    /// Services that each hold one shard.
    pub shards: Vec<Name>,
    /// Most records in an answer.
    pub top: usize,
    /// Least share of the shards in an answer, 0 to 1.
    pub coverage: f64,
}

impl Gather {
    /// Least number of shards in an answer; never 0.
    pub fn min_shards(&self) -> usize {
        // Rounding errors must not raise the result: 0.9 of 10 shards is 9, not 10.
        let shards = (self.coverage * self.shards.len() as f64 - 1e-9).ceil();
        (shards as usize).clamp(1, self.shards.len().max(1))
    }
}

impl Route {
    /// Route of idempotent requests to one service, with default timeouts.
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
