//! One target as it announces itself.

use std::net::SocketAddr;
use std::time::Duration;

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

/// What a target last announced.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Target {
    /// Id, by which requests name the target that is to run them.
    pub id: Name,
    /// Service that the target belongs to.
    pub service: Name,
    /// Address.
    pub address: SocketAddr,
    /// Data centre in which it stands.
    pub data_centre: Name,
    /// Version of its software.
    pub version: Name,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it takes no new requests since it is about to end.
    pub draining: bool,
    /// Time for which it stays cold, as announced.
    pub cold: Duration,
    /// Start of the process, as Unix milliseconds; orders the runs of one id.
    pub born: u64,
    /// Number of the announcement within that run.
    pub sequence: u64,
}

impl Target {
    /// Whether two announcements say the same, but for their number and what is left of a warm-up.
    pub fn is_equivalent(&self, other: &Self) -> bool {
        let plain = |t: &Self| Self { sequence: 0, cold: Duration::ZERO, ..t.clone() };
        self.cold.is_zero() == other.cold.is_zero() && plain(self) == plain(other)
    }

    /// Whether this announcement was made after `other`, by the same or a later run.
    pub fn is_newer(&self, other: &Self) -> bool {
        (self.born, self.sequence) > (other.born, other.sequence)
    }
}
