//! Clients of the platform's store and host list, and of targets.
//!
//! Each external system has a thin adapter in its own module, which encapsulates its wire format.
//!
//! # Modules
//!
//! - `booking`: bookings at targets
//! - `store`: the platform's key-value store and its host list
//! - `target`: searches at targets
//! - `http`: common code of the HTTP clients
//! - `error`: error type

mod booking;
mod error;
mod http;
mod store;
mod target;

pub use crate::booking::BookingRequest;
pub use crate::error::{Category, Error, Result};
pub use crate::store::{HostEntry, HostState, Store, Value};
pub use crate::target::{Health, SearchRequest, SearchResponse, TargetClient};
