//! Targets that stated in an answer that they are about to exit.
//!
//! The statement concerns one process of the target and stays true. Hosts pass it on to each other
//! for a while, long before the store shows that the target drains.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

/// Time for which a departure is passed on to other hosts; later the store shows it.
const RETENTION: Duration = Duration::from_secs(5);

/// A process of a target that is about to exit.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Id of the target.
    pub target: Name,
    /// Start of the process, in Unix milliseconds.
    pub born: u64,
}

/// Departures learnt recently, in the order of time.
#[derive(Debug, Default)]
pub struct Departures {
    recent: VecDeque<(Instant, Departure)>,
}

impl Departures {
    /// Adds a departure.
    pub fn add(&mut self, departure: Departure, now: Instant) {
        self.recent.push_back((now, departure));
    }

    /// Most recent departures, `max` at most.
    pub fn recent(&mut self, max: usize, now: Instant) -> Vec<Departure> {
        let expired = |at: Instant| now.saturating_duration_since(at) >= RETENTION;
        while self.recent.front().is_some_and(|(at, _)| expired(*at)) {
            self.recent.pop_front();
        }
        self.recent.iter().rev().take(max).map(|(_, d)| d.clone()).collect()
    }
}
