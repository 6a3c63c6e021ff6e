//! Stand-ins for the systems around sapphirerack, and the tools that measure it.
//!
//! Nothing here is shipped.
//!
//! # Modules
//!
//! - `server`: HTTP server of the stand-ins
//! - `store`: the platform's store and host list
//! - `target`: targets
//! - `behaviour`: what a target is like, and its faults
//! - `slots`: what runs and waits at a target
//! - `relay`: cuts and delays between processes
//! - `fleet`: entry hosts with stand-ins around them
//! - `plan`: what a fleet consists of
//! - `process`: entry hosts as processes
//! - `network`: relays between data centres
//! - `demo`: the demonstration of the README

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod behaviour;
pub mod demo;
pub mod fleet;
mod network;
mod plan;
mod process;
pub mod relay;
mod server;
mod slots;
pub mod store;
pub mod target;
