//! What operators put in force.

use std::sync::Arc;
use std::time::Duration;

use sapphirerack_catalogue::{Map, Name};
use serde::{Deserialize, Serialize};

use crate::Route;

/// One version of routes, services and limits.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Configuration {
    /// Version, which only rises.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Arc<Route>>,
    /// Services by name.
    pub services: Map<Name, Arc<Service>>,
    /// Limits on callers' requests.
    pub limits: Limits,
}

/// What all targets of a service have in common.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Path that answers health checks.
    pub health: Name,
    /// Connections that one target takes from all hosts together.
    pub connections: u32,
    /// Time for which a target stays cold after its start.
    pub warmup: Duration,
    /// Requests a second that a cold target takes from all hosts together; 0 if unlimited.
    pub cold_rate: f64,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header: usize,
    /// Largest body of a request, in bytes.
    pub body: usize,
    /// Time in which the head must have come.
    pub header_time: Duration,
    /// Time for which a connection may stay idle.
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
