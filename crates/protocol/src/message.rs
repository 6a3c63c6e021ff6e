//! Envelopes of what hosts say to each other.

use sapphirerack_catalogue::Name;
use sapphirerack_policy::booking::{Ended, Verdict};
use serde::{Deserialize, Serialize};

use crate::{Booking, Claimed, SubQuery, SubReply};

/// What a host asks of another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Asks for a sign of life.
    Ping,
    /// Asks an owner which snapshots a shard's replicas hold.
    Describe {
        /// Service that is asked.
        service: Name,
        /// Shard that is asked.
        shard: Name,
    },
    /// Asks an owner to run a sub-query.
    Search(SubQuery),
    /// Asks the owner of a key's partition to run a booking at most once.
    Book(Booking),
    /// Asks an owner to send a claimed booking to one target.
    Run(Claimed),
}

/// What a host answers to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Answers [`Request::Ping`].
    Pong,
    /// Answers [`Request::Describe`]: snapshots that the shard's replicas hold.
    Described(Vec<u64>),
    /// Answers [`Request::Search`].
    Found(SubReply),
    /// Answers [`Request::Book`].
    Booked(Verdict),
    /// Answers [`Request::Run`].
    Ran(Ended),
}

/// A message on a link between hosts.
///
/// `id` is unique among the requests of the side that opened the link; the reply repeats it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks something.
    Request {
        /// Request id.
        id: u64,
        /// What is asked.
        body: Request,
    },
    /// Answers a request.
    Reply {
        /// Id of the request.
        id: u64,
        /// The answer.
        body: Reply,
    },
    /// Withdraws a request whose answer is no longer wanted.
    Cancel {
        /// Id of the request.
        id: u64,
    },
}
