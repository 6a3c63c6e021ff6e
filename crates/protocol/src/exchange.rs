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
}

/// Reply to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PeerReply {
    /// Answers [`PeerRequest::View`].
    View(Box<Delta>),
    /// Answers [`PeerRequest::Peers`].
    Peers(Vec<Peer>),
}
