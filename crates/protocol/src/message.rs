//! Requests and replies between hosts, and their envelope.

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

use crate::{AttemptOutcome, Booking, BookingOutcome, ClaimedBooking, Peer, SubQuery, SubReply};

/// Request to another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Probes whether the host is alive.
    Ping,
    /// Asks a shard's owner which snapshots its replicas hold.
    Describe {
        /// Requested service.
        service: Name,
        /// Requested shard.
        shard: Name,
    },
    /// Asks for the receiver's membership view of a data centre.
    Peers {
        /// The data centre.
        data_centre: Name,
    },
    /// Asks for the version of the configuration in force.
    Version,
    /// Asks for the head of the configuration if its version is above the given one.
    Head {
        /// Version that the sender has.
        above: u64,
    },
    /// Asks for parts of the configuration by digest.
    Parts(Vec<Name>),
    /// Asks an owner to run a sub-query.
    Search(SubQuery),
    /// Asks the owner of the key's partition to run a booking at most once.
    Book(Booking),
    /// Asks a shard's owner to send a claimed booking to one target.
    Run(ClaimedBooking),
}

/// Reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Answers [`Request::Ping`].
    Pong,
    /// Answers [`Request::Describe`]: snapshots held by the shard's replicas.
    Described(Vec<u64>),
    /// Answers [`Request::Peers`].
    Peers(Vec<Peer>),
    /// Answers [`Request::Version`].
    Version(u64),
    /// Answers [`Request::Head`]: the head as JSON; `None` if there is no higher version.
    Head(Option<Vec<u8>>),
    /// Answers [`Request::Parts`]: as many of the requested parts, in order, as fit; as JSON.
    Parts(Vec<Vec<u8>>),
    /// Answers [`Request::Search`].
    Found(SubReply),
    /// Answers [`Request::Book`].
    Booked(BookingOutcome),
    /// Answers [`Request::Run`].
    Ran(AttemptOutcome),
}

/// Message on a link between hosts.
///
/// `id` is unique among the requests of the side that opened the link; the reply repeats it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A request.
    Request {
        /// Request id.
        id: u64,
        /// Payload.
        body: Request,
    },
    /// The reply to a request.
    Reply {
        /// Id of the request.
        id: u64,
        /// Payload.
        body: Reply,
    },
    /// Cancels a request whose reply is no longer needed.
    Cancel {
        /// Id of the request.
        id: u64,
    },
}
