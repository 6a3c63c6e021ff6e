//! Work that an owner dispatches to its targets.

use std::time::Duration;

use sapphirerack_catalogue::Name;
use sapphirerack_policy::SnapshotId;
use sapphirerack_protocol::{ClaimedBooking, SubQuery};

/// Route of work that names none.
const DEFAULT_ROUTE: &str = "default";

/// A sub-query or a claimed booking.
#[derive(Debug)]
pub(crate) enum Work {
    /// A sub-query.
    Search(SubQuery),
    /// A claimed booking, which is sent at most once.
    Book(ClaimedBooking),
}

impl Work {
    /// Requested service.
    pub(crate) fn service(&self) -> &Name {
        match self {
            Self::Search(query) => &query.service,
            Self::Book(claimed) => &claimed.service,
        }
    }

    /// Requested shard.
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
            Self::Book(_) => DEFAULT_ROUTE,
        }
    }

    /// Deadline since the Unix epoch.
    pub(crate) fn deadline(&self) -> Duration {
        Duration::from_micros(match self {
            Self::Search(query) => query.deadline,
            Self::Book(claimed) => claimed.deadline,
        })
    }

    /// Snapshot to search.
    pub(crate) fn snapshot(&self) -> Option<SnapshotId> {
        match self {
            Self::Search(query) => Some(query.snapshot),
            Self::Book(_) => None,
        }
    }

    /// Whether the work is rejected instead of queued if no target is free.
    pub(crate) fn spills(&self) -> bool {
        matches!(self, Self::Search(query) if query.spill)
    }

    /// Whether the work is a booking, which must not be sent twice.
    pub(crate) fn is_booking(&self) -> bool {
        matches!(self, Self::Book(_))
    }
}
