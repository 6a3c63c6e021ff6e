//! Stand-ins for the systems around sapphirerack, load tools and experiments.
//!
//! Not part of the shipped product.
//!
//! # Modules
//!
//! - `server`: HTTP server of the stand-ins
//! - `soak`: runs real processes under injected faults
//! - `store`: stand-in for the platform's store and host list
//! - `target`: stand-in for a target
//! - `behaviour`: behaviour and faults of a stand-in target
//! - `slots`: running and waiting requests of a stand-in target
//! - `relay`: cuts and delays traffic between processes
//! - `booking_ways`: outcomes of bookings by kind of key
//! - `history`: checks the histories of concurrent runs
//! - `fleet`: entry host processes with stand-ins for the systems around them
//! - `plan`: composition of a fleet
//! - `process`: an entry host process
//! - `network`: network paths from data centres to the store
//! - `hold`: runs a small setup to try commands against
//! - `load`: load files
//! - `experiment`: runs a load file
//! - `driver`: open-loop load generator
//! - `baseline`: simpler dispatch strategies for comparison
//! - `client`: HTTP client of the load and the baselines
//! - `answer`: checks of answers
//! - `report`: table and JSON lines of the runs
//! - `slopes`: growth of resource use with the size of the system
//! - `slope_search`, `slope_control`, `slope_bookings`: measurements for `slopes`
//! - `fake_peers`: stand-ins for many peers of one host
//! - `verdict`: compares the rule for new versions with fixed thresholds
//! - `demo`: the demonstration from the README

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
