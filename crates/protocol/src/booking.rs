//! Bookings between hosts: from an entry host to the owner of the key's partition, and from there
//! to the owner of the targets.

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

/// A request that must run at most once, with its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Booking {
    /// Service that is asked.
    pub service: Name,
    /// The key.
    pub key: Name,
    /// Number of the attempt under the key, from 1.
    pub attempt: u32,
    /// Text whose hash picks the shard.
    pub partition: Name,
    /// Deadline, in microseconds since the Unix epoch.
    pub deadline: u64,
    /// The caller's request.
    pub body: Vec<u8>,
}

/// A claimed attempt, to be sent to one target of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claimed {
    /// Service that is asked.
    pub service: Name,
    /// Shard that is asked.
    pub shard: Name,
    /// The key.
    pub key: Name,
    /// Number of the attempt under the key.
    pub attempt: u32,
    /// Deadline, in microseconds since the Unix epoch.
    pub deadline: u64,
    /// The caller's request.
    pub body: Vec<u8>,
}
