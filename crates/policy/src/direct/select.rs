//! Shard selection and load shedding of a query.
//!
//! Shards that have lost replicas admit only a share of the queries. An answer may omit a few
//! shards, so a query skips the shards that reject it and uses them as spares if others fail. If
//! more shards reject it than an answer may omit, it is refused before any target works on it. One
//! random draw is compared with the admitted share of every shard, so that overloaded shards
//! reject the same queries: whole queries are shed and the rest are served in full. Queries with
//! higher priority draw lower numbers and are shed last.

use std::time::Duration;

use super::admission::growth_time;

/// Factor of the draw for each priority level above the lowest-priority route.
const PRIORITY_FACTOR: f64 = 0.8;

/// Priority levels above this do not lower the draw further.
const MAX_LEVELS: u32 = 16;

/// Shards of a query, by their index in the route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// Queried immediately.
    pub asked: Vec<usize>,
    /// Queried only if others fail; sorted by admitted share, the highest last.
    pub spare: Vec<usize>,
}

/// Draw of a query, from a random number from 0 to 1; lower draws are shed later.
///
/// `levels` is the number of priority levels of its route above the lowest-priority route.
pub fn draw(random: f64, levels: u32) -> f64 {
    random * PRIORITY_FACTOR.powf(f64::from(levels.min(MAX_LEVELS)))
}

/// Selects the shards of a query; `None` to refuse it, if fewer than `min_shards` admit it.
///
/// `shares` holds the share of queries that each shard admits, 0 for a shard without capacity.
pub fn select(shares: &[f64], draw: f64, min_shards: usize) -> Option<Selection> {
    let admits = |at: &usize| draw < shares[*at];
    let (asked, mut spare): (Vec<usize>, Vec<usize>) = (0..shares.len()).partition(admits);
    spare.retain(|at| shares[*at] > 0.0);
    spare.sort_by(|a, b| shares[*a].total_cmp(&shares[*b]));
    (asked.len() >= min_shards).then_some(Selection { asked, spare })
}

/// Time after which enough shards are expected to admit a refused query; `None` if too few shards
/// have any capacity.
///
/// `held` holds the time for which all targets of a shard want no requests, if they do. Higher
/// draws wait longer, which spreads the retries of refused callers.
pub fn retry_after(
    shares: &[f64],
    held: &[Option<Duration>],
    draw: f64,
    min_shards: usize,
) -> Option<Duration> {
    let wait = |(share, held): (&f64, &Option<Duration>)| match held {
        Some(held) => Some(*held),
        None => (*share > 0.0).then(|| growth_time(draw - share)),
    };
    let mut waits: Vec<Duration> = shares.iter().zip(held).filter_map(wait).collect();
    waits.sort();
    waits.get(min_shards.checked_sub(1)?).copied()
}
