//! Targets: back ends that hold a replica of a shard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Lifecycle state of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Receives new work.
    #[default]
    Active,
    /// Started in addition to the active targets; receives no work until a shift to its version.
    Standby,
    /// Being retired; receives no new work.
    Leaving,
}

/// A target with its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name.
    pub name: Name,
    /// HTTP address.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: Name,
    /// Back-end version that the target runs.
    pub version: Name,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of connections.
    pub connections: u32,
    /// Maximum number of concurrent requests while the target is cold.
    pub cold: u32,
    /// Lifecycle state.
    #[serde(default)]
    pub state: TargetState,
}
