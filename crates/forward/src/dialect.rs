//! Platform-specific names on the wire and encodings.
//!
//! A platform adapter provides a [`Dialect`]. It only encodes and decodes; this crate decides what
//! is read, when, and what to do with it.

use std::time::Duration;

use hyper::HeaderMap;
use hyper::header::HeaderName;
use hyper::http::response;
use sapphirerack_catalogue::Name;
use sapphirerack_routes::{Configuration, Order, Target};

/// Names and encodings of one platform.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names of headers.
    pub headers: Headers,
    /// Interface of the store.
    pub store: StoreDialect,
    /// Whether an answer states that the target has not run the request.
    pub refused: fn(&response::Parts) -> bool,
    /// Whether an answer states that the target is about to exit.
    pub leaving: fn(&response::Parts) -> bool,
}

/// Names of the headers that this crate reads or sets.
#[derive(Clone, Debug)]
pub struct Headers {
    /// Id of the caller's attempt.
    pub attempt_id: HeaderName,
    /// Time left until the caller's deadline, in whole milliseconds.
    pub time_left: HeaderName,
    /// Id of the only target that may run the request.
    pub target_id: HeaderName,
    /// Signature of a target under its answer.
    pub signature: HeaderName,
    /// Signatures of the parts merged into a gathered answer.
    pub part_signatures: HeaderName,
    /// Number of shards whose parts are missing in a gathered answer.
    pub missing_parts: HeaderName,
}

/// Interface of the store: paths of requests, and decoders of answers.
#[derive(Clone, Copy, Debug)]
pub struct StoreDialect {
    /// Prefixes of the keys to read.
    pub prefixes: &'static [&'static str],
    /// Path of a request for the items of a prefix after a key.
    pub list: fn(prefix: &str, after: Option<&str>) -> String,
    /// Decodes the answer to `list`.
    pub read_list: fn(&[u8]) -> Result<Page, String>,
    /// Path of a request for the events of a prefix after a revision, waiting up to `wait`.
    pub watch: fn(prefix: &str, after: u64, wait: Duration) -> String,
    /// Decodes the answer to `watch`.
    pub read_watch: fn(&[u8]) -> Result<Events, String>,
    /// Decodes an item.
    pub read_item: fn(key: &str, value: &[u8]) -> Item,
    /// Decodes the era in the headers of an answer.
    pub read_era: fn(&HeaderMap) -> Result<u64, String>,
}

/// One page of the items of a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Items with the revisions of their last changes.
    pub items: Vec<Event>,
    /// Key after which the next page begins; `None` if this is the last one.
    pub next: Option<String>,
    /// Revision of the store.
    pub revision: u64,
}

/// Changes after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// The changes, in order.
    pub events: Vec<Event>,
    /// Revision of the store, after which to continue.
    pub revision: u64,
}

/// State of a key at a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The key.
    pub key: String,
    /// Revision of the change.
    pub revision: u64,
    /// The value; `None` if the key was removed or the value can't be decoded.
    pub value: Option<Vec<u8>>,
}

/// A decoded item.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// The current configuration.
    Configuration(Configuration),
    /// Announcement of a target; `None` if it describes no usable one.
    Target(Name, Option<Target>),
    /// An operator's order, in effect as long as the item exists; `None` if it was withdrawn.
    Order(Option<Order>),
    /// An item that this crate does not use.
    Other,
    /// An item that can't be decoded, with the reason.
    Unreadable(String),
}
