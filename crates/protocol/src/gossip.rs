//! Gossip datagrams that hosts exchange periodically.
//!
//! Datagrams stay below the common path MTU to avoid fragmentation.

use std::net::SocketAddr;

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Maximum size of a datagram, in bytes.
pub const DATAGRAM_LIMIT: usize = 1_200;

/// Liveness state of a host. At equal incarnation the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Liveness {
    /// Acknowledges probes.
    Alive,
    /// Answered neither a direct nor an indirect probe; may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Dead,
    /// Announced its departure.
    Left,
}

/// Membership entry of a host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Unique name.
    pub name: Name,
    /// Data centre of the host.
    pub data_centre: Name,
    /// Address for links and datagrams.
    pub address: SocketAddr,
    /// Raised by the host with each restart (to the Unix time in milliseconds), each refutation and
    /// each pause of its process.
    pub incarnation: u64,
    /// Liveness state.
    pub liveness: Liveness,
    /// Seconds since the host was declared dead or left; 0 while it is alive.
    pub age: u32,
    /// Processor and link of the host's machine, in thousandths of a core; 0 if not stated.
    pub capacity: u32,
}

/// Purpose of a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Purpose {
    /// Probe; the receiver replies with a [`Purpose::Ack`] of the same sequence number.
    Ping(u64),
    /// Acknowledges a ping.
    Ack(u64),
    /// Indirect probe: the receiver pings `target` and relays its ack.
    Relay {
        /// Sequence number of the relayed ack.
        seq: u64,
        /// Host to probe.
        target: SocketAddr,
    },
    /// Carries updates only; no reply is expected.
    News,
}

/// Membership summary of a data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The data centre.
    pub data_centre: Name,
    /// Milliseconds since the last known contact with one of its hosts.
    pub age: u32,
    /// Digest of the set of its live hosts.
    pub digest: u64,
}

/// Opaque payload that another component of the host disseminates through gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Topic {
    /// Name of the topic.
    pub name: Name,
    /// Digest or updates, in the topic's own encoding.
    pub bytes: Vec<u8>,
}

/// Gossip datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Datagram {
    /// The sender.
    pub from: Peer,
    /// Purpose of the datagram.
    pub purpose: Purpose,
    /// Configuration version of the sender.
    pub version: u64,
    /// Membership updates.
    pub peers: Vec<Peer>,
    /// Membership summaries of data centres.
    pub summaries: Vec<Summary>,
    /// Payloads of other components.
    pub topics: Vec<Topic>,
    /// Stamp of the sender's clock; only the sender can read it.
    pub stamp: u64,
    /// Stamp of the datagram that this one replies to.
    pub echo: Option<u64>,
}

impl Datagram {
    /// Encodes the datagram.
    ///
    /// # Errors
    ///
    /// The datagram exceeds [`DATAGRAM_LIMIT`].
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
    /// The bytes are not a valid datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self> {
        postcard::from_bytes(bytes).map_err(Error::postcard)
    }

    /// Remaining capacity, in bytes.
    pub fn room(&self) -> usize {
        let len = postcard::to_stdvec(self).map_or(DATAGRAM_LIMIT, |b| b.len());
        DATAGRAM_LIMIT.saturating_sub(len)
    }
}
