//! Queries over several shards that one host gathers for another.
//!
//! A link carries many of them at once. The host that opened it sends queries, each with an id of
//! its own; the other one accepts or declines each at once and replies when it has gathered the
//! parts. It accepts a query again when the latency objective has passed, to show that it still
//! works on it. It counts the time to the objective from the arrival of the query; the one that asked
//! tells it if that comes sooner.

use std::time::Duration;

use sapphirerack_routes::Route;
use serde::{Deserialize, Serialize};

/// What the receiver of a query is asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum GatherScope {
    /// One answer of all shards.
    Answer,
    /// The parts of the shards, merged as far as they are in; the sender has those of the other
    /// shards.
    Parts,
}

/// A caller's query, to be gathered by the receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct GatherQuery {
    /// What is asked for.
    pub scope: GatherScope,
    /// Route, with the shards to gather, of the configuration that the sender pinned.
    pub route: Route,
    /// Number of priority levels of the route above the lowest-priority one.
    pub levels: u32,
    /// Time left for an answer that meets the caller's latency objective.
    pub aim: Duration,
    /// Time left until the caller stops waiting.
    pub deadline: Duration,
    /// Method of the caller's request.
    pub method: String,
    /// Path and query of the caller's request.
    pub path: String,
    /// Forwarded headers of the caller.
    pub headers: Vec<(String, Vec<u8>)>,
    /// Body of the caller's request.
    pub body: Vec<u8>,
    /// Id that the caller gave to its attempt.
    pub attempt: Vec<u8>,
}

/// Outcome of a [`GatherQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GatherReply {
    /// An answer.
    Answer {
        /// Signatures of the parts, separated by commas.
        signatures: Vec<u8>,
        /// Number of parts.
        parts: u32,
        /// Best records.
        body: Vec<u8>,
    },
    /// Too many shards reject it; no request was sent to a target.
    Refused {
        /// Time after which enough shards are expected to admit it, if that is known.
        retry_after: Option<Duration>,
    },
    /// Fewer parts than an answer needs.
    Incomplete {
        /// Number of parts.
        parts: u32,
        /// Whether a request was sent to a target.
        started: bool,
    },
    /// The host takes no queries, and sent no request to a target.
    Declined,
    /// Parts for a query with the scope [`GatherScope::Parts`].
    Parts {
        /// The parts that are in, without those of earlier replies.
        parts: Vec<FoundPart>,
        /// The best of their records.
        body: Vec<u8>,
        /// Shards that admit only a share of the queries, and that share.
        shares: Vec<(u32, f64)>,
        /// Whether no further reply follows.
        last: bool,
    },
}

impl GatherReply {
    /// Whether no further reply to the same query follows.
    pub fn is_last(&self) -> bool {
        !matches!(self, Self::Parts { last: false, .. })
    }
}

/// The part of one shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FoundPart {
    /// Index of the shard in the query's route.
    pub shard: u32,
    /// Signature of the target.
    pub signature: Vec<u8>,
}

/// Message on a link that carries queries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum GatherMessage {
    /// A query.
    Query {
        /// Id of the query on this link.
        id: u64,
        /// The query.
        query: Box<GatherQuery>,
    },
    /// The receiver of the query gathers it.
    Accepted {
        /// Id of the query.
        id: u64,
    },
    /// The outcome of a query.
    Reply {
        /// Id of the query.
        id: u64,
        /// The outcome.
        reply: GatherReply,
    },
    /// The latency objective of a query has come: an answer with the parts that are in is wanted.
    Due {
        /// Id of the query.
        id: u64,
    },
    /// The outcome of a query is no longer needed.
    Cancel {
        /// Id of the query.
        id: u64,
    },
}
