//! What hosts tell each other of the view.

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

use crate::{Configuration, OrderChange, Target};

/// The last change of one target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TargetChange {
    /// Id of the target.
    pub id: Name,
    /// Revision of the change.
    pub revision: u64,
    /// Its last announcement, if one was readable.
    pub target: Option<Target>,
    /// Whether it is announced now.
    pub listed: bool,
}

/// What a host knows beyond another.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Configuration, if the other's is older.
    pub configuration: Option<Configuration>,
    /// Changed targets.
    pub targets: Vec<TargetChange>,
    /// Changed orders.
    pub orders: Vec<OrderChange>,
    /// Revision of the store up to which all of this is known.
    pub synced: u64,
    /// Age of that knowledge, in milliseconds.
    pub age: u64,
}
