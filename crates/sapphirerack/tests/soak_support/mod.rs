//! A fleet of real processes under faults from outside, and the record of what callers and targets
//! saw.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod check;
mod faults;
mod fleet;

pub use check::{Call, Got, History, Kind, Run, Shard, check};
pub use faults::disturb;
pub use fleet::{Fleet, desk};
