//! Messages between hosts, and their framing.
//!
//! Messages are encoded with postcard. On a TCP link each message is framed: a little-endian `u32`
//! length prefix, then the message. A frame larger than [`FRAME_LIMIT`] closes the link.
//!
//! ```
//! use sapphirerack_protocol::{Decoder, Message, encode};
//!
//! let mut decoder = Decoder::default();
//! decoder.push(&encode(&Message::Cancel { id: 7 })?);
//! assert_eq!(decoder.next()?, Some(Message::Cancel { id: 7 }));
//! # Ok::<(), sapphirerack_protocol::Error>(())
//! ```
//!
//! # Modules
//!
//! - `booking`: requests with at-most-once execution
//! - `exchange`: anti-entropy between forwarding hosts: routes, targets and hosts
//! - `gather`: queries that one host gathers for another
//! - `message`: requests and replies between hosts, and their envelope
//! - `search`: sub-queries and their replies
//! - `gossip`: periodic datagrams
//! - `frame`: encoding, framing and stream decoding
//! - `error`: error type

mod booking;
mod error;
mod exchange;
mod frame;
mod gather;
mod gossip;
mod message;
mod search;

pub use crate::booking::{AttemptOutcome, Booking, BookingOutcome, ClaimedBooking};
pub use crate::error::{Category, Error, Result};
pub use crate::exchange::{PeerReply, PeerRequest};
pub use crate::frame::{Decoder, FRAME_LIMIT, encode, from_body, to_frame};
pub use crate::gather::{FoundPart, GatherMessage, GatherQuery, GatherReply, GatherScope};
pub use crate::gossip::{DATAGRAM_LIMIT, Datagram, Liveness, Peer, Purpose, Summary, Topic};
pub use crate::message::{Message, Reply, Request};
pub use crate::search::{Failure, ShardResults, SubQuery, SubReply};
