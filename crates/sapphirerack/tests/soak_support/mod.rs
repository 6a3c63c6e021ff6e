//! A fleet of host processes with fault injection, and the recorded history of requests and their
//! executions.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod check;
mod faults;
mod fleet;

pub use check::{Call, Execution, History, Kind, Outcome, Shard, check};
pub use faults::inject_faults;
pub use fleet::{Fleet, unsharded_service};
