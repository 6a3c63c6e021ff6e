//! Envelopes of what hosts say to each other.

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

use crate::{Booking, Claimed, Ended, Peer, SubQuery, SubReply, Verdict};

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
    /// Asks for a host's view of the hosts of a data centre.
    Peers {
        /// The data centre.
        data_centre: Name,
    },
    /// Asks for the version of the configuration in force.
    Version,
    /// Asks for the head of the configuration if its version is above the given one.
    Head {
        /// Version that the asker has.
        above: u64,
    },
    /// Asks for parts of the configuration by their digests.
    Parts(Vec<Name>),
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
    /// Answers [`Request::Peers`].
    Peers(Vec<Peer>),
    /// Answers [`Request::Version`].
    Version(u64),
    /// Answers [`Request::Head`]: the head as JSON; `None` if there is no higher version.
    Head(Option<Vec<u8>>),
    /// Answers [`Request::Parts`]: the first of them that fit, as JSON.
    Parts(Vec<Vec<u8>>),
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
