//! Back ends that hold a replica of a shard.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Stage in the life of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TargetState {
    /// Takes new work.
    #[default]
    Active,
    /// Started beside the others; takes no work until a shift sends it some.
    Standby,
    /// Being retired; takes no new work.
    Leaving,
}

/// A searcher with its limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Target {
    /// Unique name.
    pub name: Name,
    /// HTTP address.
    pub address: SocketAddr,
    /// Data centre in which it stands.
    pub data_centre: Name,
    /// Version of the back end that it runs.
    pub version: Name,
    /// Requests it runs at the same time.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Requests it bears at the same time while cold.
    pub cold: u32,
    /// Stage in its life.
    #[serde(default)]
    pub state: TargetState,
}
