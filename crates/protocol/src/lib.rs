//! Messages between entry hosts and their framing.
//!
//! Messages are encoded with postcard. On a TCP link each stands in a frame: its length as four
//! bytes, least significant first, then the message. Frames above [`FRAME_LIMIT`] end the link.
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
//! - `booking`: requests that run at most once
//! - `exchange`: routes, targets and hosts, between hosts that forward requests
//! - `message`: envelopes of what hosts say to each other
//! - `search`: sub-queries and their outcomes
//! - `gossip`: datagrams at intervals
//! - `frame`: encoding, and cutting a stream into messages
//! - `error`: the crate's error

mod booking;
mod error;
mod exchange;
mod frame;
mod gossip;
mod message;
mod search;

pub use crate::booking::{Booking, Claimed, Ended, Verdict};
pub use crate::error::{Category, Error, Result};
pub use crate::exchange::{Ask, Reported};
pub use crate::frame::{Decoder, FRAME_LIMIT, encode, from_body, to_frame};
pub use crate::gossip::{DATAGRAM_LIMIT, Datagram, Liveness, Peer, Purpose, Summary, Topic};
pub use crate::message::{Message, Reply, Request};
pub use crate::search::{Failure, Part, SubQuery, SubReply};
