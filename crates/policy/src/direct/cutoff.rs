//! When a scattered query is answered.
//!
//! A query waits for all its parts until its caller's aim is in danger, and answers then with what
//! it has, if that covers enough. Past the aim the first moment at which it covers enough counts.

use std::time::Instant;

/// What to do with a query now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Answer with the parts that are there.
    Answer,
    /// Wait for more parts, until this time at most.
    Wait(Instant),
    /// Give up: too few parts, and none will come or not in time.
    GiveUp,
}

/// Limits of one scattered query.
#[derive(Clone, Copy, Debug)]
pub struct Cutoff {
    /// Shards.
    pub total: usize,
    /// Least number of shards in an answer.
    pub min_parts: usize,
    /// Latest time for an answer that reaches the caller within its aim.
    pub aim: Instant,
    /// Time after which the caller waits no more.
    pub deadline: Instant,
}

impl Cutoff {
    /// Decides with `parts` parts there and `open` shards still asked.
    pub fn decide(&self, parts: usize, open: usize, now: Instant) -> Decision {
        let enough = parts >= self.min_parts;
        if parts == self.total || (enough && (open == 0 || now >= self.aim)) {
            return Decision::Answer;
        }
        if parts + open < self.min_parts || now >= self.deadline {
            return Decision::GiveUp;
        }
        Decision::Wait(if enough { self.aim } else { self.deadline })
    }
}
