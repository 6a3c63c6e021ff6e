//! Services, their limits and their shards.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Name, Span, Target};

/// Limits of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Queries that one entry host runs at the same time.
    pub concurrency: u32,
    /// Longest deadline that a caller may ask for, and the default.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
}

/// A part of a service's partition space and the targets that hold it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// Name, unique in the service.
    pub name: Name,
    /// Partitions that the shard holds.
    pub span: Span,
    /// Replicas.
    pub targets: Vec<Target>,
}

/// A searchable index of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: Name,
    /// Member that owns the service and alone may change it.
    pub owner: Name,
    /// Class of traffic, used for admission and metrics.
    pub class: Name,
    /// Limits of the service.
    pub limits: Limits,
    /// Shards that together hold the whole partition space.
    pub shards: Vec<Shard>,
}
