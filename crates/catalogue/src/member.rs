//! Members: organisations that share the tier.

use serde::{Deserialize, Serialize};

use crate::Name;

/// An organisation that owns services.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Member {
    /// Unique name.
    pub name: Name,
    /// SHA-256 of the operators' key in hexadecimal.
    pub key: Name,
}
