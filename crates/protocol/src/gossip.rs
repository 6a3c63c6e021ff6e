//! Datagrams that hosts exchange at intervals.
//!
//! A datagram stays below the usual path MTU, so that it is never fragmented.

use std::net::SocketAddr;

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Largest datagram, in bytes.
pub const DATAGRAM_LIMIT: usize = 1_200;

/// What is believed of a member, from the weakest claim to the strongest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// Answers heartbeats.
    Alive,
    /// Did not answer lately; may refute it.
    Suspect,
    /// Did not answer or refute in time.
    Dead,
    /// Announced that it leaves.
    Left,
}

/// What is known of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Unique name.
    pub name: Name,
    /// Data centre in which it stands.
    pub data_centre: Name,
    /// Address for links and datagrams.
    pub address: SocketAddr,
    /// Rises with every restart and every refutation of the host.
    pub incarnation: u64,
    /// Whether it lives.
    pub liveness: Liveness,
    /// Seconds since it died or left; 0 while it lives.
    pub age: u32,
}

/// Purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Asks for an [`Purpose::Ack`] with the same sequence number.
    Ping(u64),
    /// Answers a ping.
    Ack(u64),
    /// Asks the receiver to ping `target` and to pass its ack on.
    Relay {
        /// Sequence number of the ack that is to come back.
        seq: u64,
        /// Host to be pinged.
        target: SocketAddr,
    },
    /// Carries news only.
    News,
}

/// Summary of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The data centre.
    pub data_centre: Name,
    /// Milliseconds since one of its hosts was heard of.
    pub age: u32,
    /// Digest of its live hosts.
    pub digest: u64,
}

/// Bytes of a part of the host that spreads news of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Topic {
    /// Name of the topic.
    pub name: Name,
    /// Digest or news in the topic's own encoding.
    pub bytes: Vec<u8>,
}

/// A datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: Peer,
    /// Purpose.
    pub purpose: Purpose,
    /// Version of the sender's configuration.
    pub version: u64,
    /// News of hosts.
    pub peers: Vec<Peer>,
    /// Summaries of the data centres.
    pub summaries: Vec<Summary>,
    /// News of other parts.
    pub topics: Vec<Topic>,
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// It exceeds [`DATAGRAM_LIMIT`].
    pub fn encode(&self) -> Result<Vec<u8>> {
        let bytes = postcard::to_stdvec(self).map_err(Error::postcard)?;
        if bytes.len() > DATAGRAM_LIMIT {
            return Err(Error::too_large(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    ///
    /// The bytes are not a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes).map_err(Error::postcard)
    }

    /// Room that is left, in bytes.
    pub fn room(&self) -> usize {
        let len = postcard::to_stdvec(self).map_or(DATAGRAM_LIMIT, |b| b.len());
        DATAGRAM_LIMIT.saturating_sub(len)
    }
}
