//! Routes of opaque requests, and the registry of the targets that serve them.
//!
//! A [`Configuration`] says which requests are accepted and where they go; a [`Registry`] says
//! which targets there are. Both come from outside under rising revisions, are exchanged between
//! hosts, and never go back to an older state.
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
//! - `configuration`: what operators put in force
//! - `route`: one route and its action
//! - `table`: finds the route of a request
//! - `target`: one target as it announces itself
//! - `registry`: all targets, and which announcement wins
//! - `view`: what a host knows: configuration, registry, operators' orders
//! - `order`: operators' orders that change where requests may go
//! - `lapse`: removals that may be the store's fault
//! - `change`: what hosts tell each other of the view

mod change;
mod configuration;
mod lapse;
mod order;
mod registry;
mod route;
mod table;
mod target;
mod view;

pub use crate::change::{Delta, TargetChange};
pub use crate::configuration::{Configuration, Limits, Service};
pub use crate::lapse::RemovalGuard;
pub use crate::order::{Order, OrderChange, Orders};
pub use crate::registry::Registry;
pub use crate::route::{Action, Gather, Route, WeightedService};
pub use crate::table::RouteTable;
pub use crate::target::Target;
pub use crate::view::{View, ViewSummary};
