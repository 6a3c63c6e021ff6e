//! Anti-entropy requests between forwarding hosts: view deltas and host lists.

use sapphirerack_catalogue::Name;
use sapphirerack_routes::{Delta, ViewSummary};
use serde::{Deserialize, Serialize};

use crate::Peer;

/// Request to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Entries of the receiver's view that are newer than this summary.
    View(ViewSummary),
    /// Known hosts of a data centre.
    Peers(Name),
    /// The receiver's whole view.
    WholeView,
    /// The connection carries queries from now on, as [`GatherMessage`](crate::GatherMessage)s.
    Link,
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers [`PeerRequest::View`] and [`PeerRequest::WholeView`].
    View(Box<Delta>),
    /// Answers [`PeerRequest::Peers`].
    Peers(Vec<Peer>),
}
