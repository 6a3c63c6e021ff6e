//! Operators' configuration of routes, services and limits.

use std::sync::Arc;
use std::time::Duration;

use sapphirerack_catalogue::{Map, Name, Set};
use serde::{Deserialize, Serialize};

use crate::{Action, Route};

/// One version of routes, services and limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Configuration {
    /// Version; increases with each change.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: Map<Name, Arc<Service>>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

impl Configuration {
    /// Services that are shards of a route.
    pub fn shards(&self) -> Set<Name> {
        let shards = self.routes.iter().filter_map(|r| match &r.action {
            Action::Gather(gather) => Some(&gather.shards),
            Action::Forward(_) => None,
        });
        shards.flatten().cloned().collect()
    }
}

/// Settings of all targets of a service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path of the health check.
    pub health: Name,
    /// Most connections of all hosts together to one target.
    pub connections: u32,
    /// Warm-up time of a target after its start.
    pub warmup: Duration,
    /// Most requests per second of all hosts together to a cold target; 0 for no limit.
    pub cold_rate: f64,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Largest request head, in bytes.
    pub header: usize,
    /// Largest request body, in bytes.
    pub body: usize,
    /// Timeout for reading the head.
    pub header_time: Duration,
    /// Idle timeout of a connection.
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header: 16 << 10,
            body: 256 << 10,
            header_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}
