//! What hosts that forward requests ask each other: parts of the view, and other hosts.

use sapphirerack_catalogue::Name;
use sapphirerack_routes::{Delta, ViewSummary};
use serde::{Deserialize, Serialize};

use crate::Peer;

/// A question.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Ask {
    /// What the receiver knows beyond a view with this summary.
    View(ViewSummary),
    /// The hosts of a data centre.
    Peers(Name),
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reported {
    /// Answers [`Ask::View`].
    View(Box<Delta>),
    /// Answers [`Ask::Peers`].
    Peers(Vec<Peer>),
}
