//! Clients of what the platform gives: its store, its host list, and the targets.
//!
//! The adapters are thin: one module for each outside system, with its wire format kept inside.
//!
//! # Modules
//!
//! - `booking`: bookings at targets
//! - `store`: the platform's key-value store and its host list
//! - `target`: searches at targets
//! - `http`: what both clients share
//! - `error`: the crate's error

mod booking;
mod error;
mod http;
mod store;
mod target;

pub use crate::booking::Book;
pub use crate::error::{Category, Error, Result};
pub use crate::store::{HostEntry, HostState, Store, Value};
pub use crate::target::{Found, Health, Search, TargetClient};
