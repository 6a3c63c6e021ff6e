//! Stand-ins for the systems around sapphirerack, and the tools that measure it.
//!
//! Nothing here is shipped.
//!
//! # Modules
//!
//! - `store`: the platform's store and host list
//! - `target`: targets
//! - `fleet`: entry hosts as processes
//! - `demo`: the demonstration of the README

#![allow(clippy::unwrap_used, clippy::expect_used)]

pub mod demo;
pub mod fleet;
pub mod store;
pub mod target;
