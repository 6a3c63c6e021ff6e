//! Data centres and whether operators have taken them out.

use serde::{Deserialize, Serialize};

use crate::Name;

/// Whether a data centre may receive new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Presence {
    /// Serves.
    #[default]
    In,
    /// Taken out by operators; receives no new work.
    Out,
}

/// A place with entry hosts and targets of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Unique name.
    pub name: Name,
    /// Whether it may receive new work.
    #[serde(default)]
    pub presence: Presence,
}
