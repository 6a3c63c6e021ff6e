//! Data centres and their availability for new work.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Whether a data centre may receive new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// Receives new work.
    #[default]
    In,
    /// Drained by operators; receives no new work.
    Out,
}

/// A data centre with its own entry hosts and targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Unique name.
    pub name: Name,
    /// Whether it may receive new work.
    #[serde(default)]
    pub presence: Presence,
}
