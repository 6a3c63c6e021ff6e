//! Stand-ins for the systems around sapphirerack, and the tools that measure it.
//!
//! Nothing here is shipped.
//!
//! # Modules
//!
//! - `server`: HTTP server of the stand-ins
//! - `soak`: a run of real processes under faults
//! - `store`: the platform's store and host list
//! - `target`: targets
//! - `behaviour`: what a target is like, and its faults
//! - `slots`: what runs and waits at a target
//! - `relay`: cuts and delays between processes
//! - `booking_ways`: how bookings fare by each kind of key
//! - `history`: checks histories of concurrent runs
//! - `fleet`: entry hosts with stand-ins around them
//! - `plan`: what a fleet consists of
//! - `process`: entry hosts as processes
//! - `network`: ways from data centres to the store
//! - `load`: files that describe a load
//! - `experiment`: runs a load file
//! - `driver`: open-loop arrivals
//! - `baseline`: simpler ways of dispatching
//! - `client`: HTTP client of the load and the baselines
//! - `answer`: checks of answers
//! - `report`: table and JSON lines of runs
//! - `slopes`: what grows with what
//! - `slope_search`, `slope_control`, `slope_bookings`: what is measured for it
//! - `fake_peers`: many peers of one host
//! - `verdict`: the rule that judges new versions, beside fixed thresholds
//! - `demo`: the demonstration of the README

#![allow(clippy::unwrap_used, clippy::expect_used)]

pub mod answer;
mod baseline;
mod behaviour;
pub mod booking_ways;
mod client;
pub mod demo;
mod driver;
pub mod experiment;
pub mod fake_peers;
pub mod fleet;
pub mod history;
pub mod hold;
pub mod load;
mod network;
mod plan;
mod process;
pub mod relay;
pub mod report;
mod server;
pub mod slope_bookings;
pub mod slope_control;
pub mod slope_search;
pub mod slopes;
mod slots;
pub mod soak;
mod soak_calls;
pub mod store;
pub mod target;
pub mod verdict;
