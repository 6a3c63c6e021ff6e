//! Services, their limits and their shards.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Name, Span, Target};

/// Limits of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Maximum number of concurrent queries per entry host.
    pub concurrency: u32,
    /// Maximum and default deadline of a request.
    #[serde(with = "humantime_serde")]
    pub deadline: Duration,
}

/// A range of a service's partition space and the targets that hold its replicas.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shard {
    /// Name, unique within the service.
    pub name: Name,
    /// Partitions of the shard.
    pub span: Span,
    /// Targets that hold a replica.
    pub targets: Vec<Target>,
}

/// A searchable index owned by a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: Name,
    /// Owning member; only the owner may change the service.
    pub owner: Name,
    /// Traffic class, used for admission control and metrics.
    pub class: Name,
    /// Limits of the service.
    pub limits: Limits,
    /// Shards, which together cover the whole partition space.
    pub shards: Vec<Shard>,
}
