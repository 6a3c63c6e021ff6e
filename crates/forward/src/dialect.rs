//! What differs between platforms: names on the wire and encodings.
//!
//! An adapter fills a [`Dialect`]. It only translates; what is read, when, and what follows from
//! it is decided here.

use std::time::Duration;

use hyper::header::HeaderName;
use hyper::http::response;
use sapphirerack_catalogue::Name;
use sapphirerack_routes::{Configuration, Order, Target};

/// Names and encodings of one platform.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// Names of headers.
    pub headers: Headers,
    /// Calls to the store.
    pub store: StoreDialect,
    /// Whether a target's answer says that it has not run the request.
    pub refused: fn(&response::Parts) -> bool,
}

/// Names of headers with a meaning of their own.
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

/// Calls to the store: paths of requests, and the meaning of answers.
#[derive(Clone, Copy, Debug)]
pub struct StoreDialect {
    /// Prefixes of the keys that matter.
    pub prefixes: &'static [&'static str],
    /// Path that lists the items of a prefix after a key.
    pub list: fn(prefix: &str, after: Option<&str>) -> String,
    /// Reads the answer to `list`.
    pub read_list: fn(&[u8]) -> Result<Page, String>,
    /// Path that asks for the events of a prefix after a revision, waiting for one if need be.
    pub watch: fn(prefix: &str, after: u64, wait: Duration) -> String,
    /// Reads the answer to `watch`.
    pub read_watch: fn(&[u8]) -> Result<Events, String>,
    /// Reads an item.
    pub read_item: fn(key: &str, value: &[u8]) -> Item,
}

/// Items of a prefix.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Page {
    /// Keys, values, and the revisions of their last changes.
    pub items: Vec<Event>,
    /// Whether there are more.
    pub more: bool,
    /// Revision of the store.
    pub revision: u64,
}

/// Changes after a revision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Events {
    /// The changes, in order.
    pub events: Vec<Event>,
    /// Revision of the store, after which to go on.
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

/// Meaning of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum Item {
    /// The newest configuration.
    Configuration(Configuration),
    /// An announcement of a target; `None` if it names none that can be used.
    Target(Name, Option<Target>),
    /// An operator's order, which stands as long as the item exists; `None` if it was taken back.
    Order(Option<Order>),
    /// Nothing that matters here.
    Other,
    /// Something that matters and can't be read, with the reason.
    Unreadable(String),
}
