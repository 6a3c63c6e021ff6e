//! What a target is asked to do.

use std::time::Duration;

use sapphirerack_catalogue::Name;
use sapphirerack_policy::SnapshotId;
use sapphirerack_protocol::{ClaimedBooking, SubQuery};

/// Route of requests that name none.
const NO_ROUTE: &str = "default";

/// A sub-query or a claimed booking.
#[derive(Debug)]
pub(crate) enum Work {
    /// A sub-query.
    Search(SubQuery),
    /// A booking, which is sent to one target once.
    Book(ClaimedBooking),
}

impl Work {
    /// Service that is asked.
    pub(crate) fn service(&self) -> &Name {
        match self {
            Self::Search(query) => &query.service,
            Self::Book(claimed) => &claimed.service,
        }
    }

    /// Shard that is asked.
    pub(crate) fn shard(&self) -> &Name {
        match self {
            Self::Search(query) => &query.shard,
            Self::Book(claimed) => &claimed.shard,
        }
    }

    /// Route within the service.
    pub(crate) fn route(&self) -> &str {
        match self {
            Self::Search(query) => &query.route,
            Self::Book(_) => NO_ROUTE,
        }
    }

    /// Deadline as time since the Unix epoch.
    pub(crate) fn deadline(&self) -> Duration {
        Duration::from_micros(match self {
            Self::Search(query) => query.deadline,
            Self::Book(claimed) => claimed.deadline,
        })
    }

    /// Snapshot that is read.
    pub(crate) fn snapshot(&self) -> Option<SnapshotId> {
        match self {
            Self::Search(query) => Some(query.snapshot),
            Self::Book(_) => None,
        }
    }

    /// Whether it is refused at once if no target is free.
    pub(crate) fn spills(&self) -> bool {
        matches!(self, Self::Search(query) if query.spill)
    }

    /// Whether it must not be sent twice.
    pub(crate) fn is_booking(&self) -> bool {
        matches!(self, Self::Book(_))
    }
}
