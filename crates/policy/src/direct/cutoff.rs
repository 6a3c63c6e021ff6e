//! When a scattered query is answered.
//!
//! A query waits for all parts until its latency objective is at risk. From then on it is answered
//! as soon as its parts cover enough shards.

use std::time::Instant;

/// What to do with a query now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Answer with the parts received so far.
    Answer,
    /// Wait for more parts, until this time at most.
    Wait(Instant),
    /// Fail the query: too few parts can arrive before the deadline.
    GiveUp,
}

/// Limits of one scattered query.
#[derive(Clone, Copy, Debug)]
pub struct Cutoff {
    /// Number of shards.
    pub total: usize,
    /// Least number of parts in an answer.
    pub min_parts: usize,
    /// Latest time at which an answer still meets the caller's latency objective.
    pub aim: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
}

impl Cutoff {
    /// Decides with `parts` parts received and `open` shards outstanding.
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
