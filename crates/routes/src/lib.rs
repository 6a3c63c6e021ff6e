//! Routes of opaque requests, and the registry of the targets that serve them.
//!
//! A [`Configuration`] defines which requests are accepted and where they go; a [`Registry`] holds
//! the targets. Both come from the store with increasing revisions, are exchanged between hosts,
//! and never revert to an older state, even if the store does.
//!
//! ```
//! use sapphirerack_routes::{Action, Configuration, Route, RouteTable};
//!
//! let mut route = Route::forward("r1", "a.example", "/clocks/", "desk");
//! route.priority = 2;
//! let table = RouteTable::new(Configuration { routes: vec![route.into()], ..Default::default() });
//! assert!(table.find("A.example:80", "/clocks/7").is_some());
//! assert!(table.find("a.example", "/clock").is_none());
//! ```
//!
//! # Modules
//!
//! - `configuration`: operators' configuration of routes, services and limits
//! - `route`: one route and its action
//! - `table`: lookup of the route of a request
//! - `target`: announcement of one target
//! - `registry`: all targets, and which announcement takes precedence
//! - `view`: a host's view of configuration, targets and operators' orders
//! - `departure`: targets that stated in an answer that they are about to exit
//! - `digest`: digests of sets of names
//! - `order`: operators' orders, which restrict where requests may go
//! - `lapse`: holds back removals of live targets after an outage of the store
//! - `revision`: position of a change in the history of the store
//! - `change`: changes of the view, as hosts exchange them

mod change;
mod configuration;
mod departure;
mod digest;
mod lapse;
mod order;
mod registry;
mod revision;
mod route;
mod table;
mod target;
mod view;

pub use crate::change::{Delta, TargetChange};
pub use crate::configuration::{Configuration, Limits, Service};
pub use crate::departure::{Departure, Departures};
pub use crate::lapse::RemovalGuard;
pub use crate::order::{Order, OrderChange, Orders, Source};
pub use crate::registry::Registry;
pub use crate::revision::Revision;
pub use crate::route::{Action, Gather, Route, WeightedService};
pub use crate::table::RouteTable;
pub use crate::target::Target;
pub use crate::view::{Comparison, View, ViewSummary};
