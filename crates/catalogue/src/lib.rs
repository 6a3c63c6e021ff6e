//! The catalogue: the configuration that operators maintain.
//!
//! The catalogue lists the members, their services, the shards of each service, the targets that
//! hold replicas of a shard, and the data centres of targets and entry hosts. Every service has an
//! owner, a class and limits. Entry hosts route requests according to the catalogue; operators
//! control the tier by changing it.
//!
//! A catalogue is parsed from JSON with comments and validated before use:
//!
//! ```
//! let text = r#"{
//!     "members": [{ "name": "castlegate", "key": "0000" }],
//!     "data_centres": [{ "name": "leith" }], // in service by default
//!     "services": [{
//!         "name": "clocks", "owner": "castlegate", "class": "search",
//!         "limits": { "concurrency": 64, "deadline": "250ms" },
//!         "shards": [{
//!             "name": "0", "span": { "start": 0, "end": 65536 },
//!             "targets": [{
//!                 "name": "clocks-0-a", "address": "127.0.0.1:9001", "data_centre": "leith",
//!                 "version": "v1", "slots": 4, "connections": 35, "cold": 1
//!             }]
//!         }]
//!     }]
//! }"#;
//! let catalogue = sapphirerack_catalogue::from_text(text)?;
//! assert_eq!(catalogue.services[0].shards.len(), 1);
//! # Ok::<(), sapphirerack_catalogue::Error>(())
//! ```
//!
//! # Modules
//!
//! - `catalogue`: the document and its parser
//! - `member`, `service`, `target`, `data_centre`: catalogue entries
//! - `proposal`: proposals of new members and their approval
//! - `rights`: authorization of changes
//! - `span`: ranges of the partition space
//! - `moves`: planned changes with a deadline
//! - `check`, `check_moves`: validation rules
//! - `name`: names and the collections keyed by them
//! - `error`: error type

mod catalogue;
mod check;
mod check_moves;
mod data_centre;
mod error;
mod member;
mod moves;
mod name;
mod proposal;
mod rights;
mod service;
mod span;
mod target;

pub use crate::catalogue::{Catalogue, from_text};
pub use crate::data_centre::{DataCentre, Presence};
pub use crate::error::{Category, Error, Result};
pub use crate::member::Member;
pub use crate::moves::{
    DeadlineAction, Fault, Goal, Move, MoveState, PER_MILLE, Reason, Stage, Subject,
};
pub use crate::name::{Map, Name, Set};
pub use crate::proposal::{Approval, Proposal, approve, propose};
pub use crate::rights::{authorize, is_same_hash, key_hash};
pub use crate::service::{Limits, Service, Shard};
pub use crate::span::{PARTITION_SPACE, Span};
pub use crate::target::{Target, TargetState};
