//! Changes of the view, as hosts exchange them.

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

use crate::{Configuration, OrderChange, Revision, Target};

/// The last change of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetChange {
    /// Id of the target.
    pub id: Name,
    /// Revision of the change.
    pub revision: Revision,
    /// Last announcement of the target, if one was readable.
    pub target: Option<Target>,
    /// Whether the target is announced.
    pub listed: bool,
    /// Whether this is known from an earlier era, and the restored store shows an older state.
    pub carried: bool,
}

/// Part of one host's view that another host lacks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Configuration, if the other host's is older.
    pub configuration: Option<Configuration>,
    /// Changed targets.
    pub targets: Vec<TargetChange>,
    /// Changed orders.
    pub orders: Vec<OrderChange>,
    /// Whether all announced targets and orders in effect are included, whatever the other host
    /// has.
    pub whole: bool,
    /// Revision of the last change of the sender.
    pub content: Revision,
    /// Digest of the announced targets and of the orders in effect.
    pub digest: u64,
    /// Revision of the store up to which the view is complete.
    pub synced: Revision,
    /// Time since the store confirmed that revision, in milliseconds; [`u64::MAX`] if it never did or
    /// a removal is held back.
    pub age: u64,
}
