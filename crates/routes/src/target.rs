//! Announcement of one target.

use std::net::SocketAddr;
use std::time::Duration;

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

/// Last announcement of a target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Id; requests carry the id of the target that is to run them.
    pub id: Name,
    /// Service that the target belongs to.
    pub service: Name,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Data centre of the target.
    pub data_centre: Name,
    /// Version of its software.
    pub version: Name,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it takes no new requests because it is about to exit.
    pub draining: bool,
    /// Announced remaining warm-up time; the target is cold until it has passed.
    pub cold: Duration,
    /// Start of the process, in Unix milliseconds; orders the processes with the same id.
    pub born: u64,
    /// Sequence number of the announcement within the process.
    pub sequence: u64,
}

impl Target {
    /// Whether two announcements differ only in sequence number and remaining warm-up time.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let content = |t: &Self| Self { sequence: 0, cold: Duration::ZERO, ..t.clone() };
        self.cold.is_zero() == other.cold.is_zero() && content(self) == content(other)
    }

    /// Whether this announcement was made after `other`, by the same or a later process.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.born, self.sequence) > (other.born, other.sequence)
    }
}
