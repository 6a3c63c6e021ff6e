//! Which shards a query asks, which it does without, and whether it is refused.
//!
//! The load that this answers: some shards have lost replicas and turn a share of the queries
//! away. An answer may lack a few shards, so a query does without them and keeps them in reserve
//! in case others fail. If more shards turn it away than an answer may lack, it is refused before
//! any target works on it. One draw decides for all shards: the queries that one shard turns away
//! are the same that the others turn away, so that whole queries are shed and the rest are served
//! in full. More urgent queries draw lower, so that others are shed first.

use std::time::Duration;

use super::admission::growth_time;

/// Factor of the draw for each step of urgency above the least urgent route.
const URGENCY: f64 = 0.8;

/// Most steps of urgency that count.
const MOST_STEPS: u32 = 16;

/// Shards of a query, by their places in the route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Selection {
    /// Asked at once.
    pub asked: Vec<usize>,
    /// Asked only if others fail, the one that admits most last.
    pub spare: Vec<usize>,
}

/// Draw of a query, from a random number from 0 to 1; the lower, the longer it is admitted.
///
/// `steps` tells by how many ranks its route is more urgent than the least urgent one.
pub fn draw(random: f64, steps: u32) -> f64 {
    random * URGENCY.powf(f64::from(steps.min(MOST_STEPS)))
}

/// Chooses the shards of a query; `None` if it is to be refused, since fewer than `least` admit
/// it.
///
/// `shares` holds the share of the queries that each shard admits, 0 for one without room.
pub fn select(shares: &[f64], draw: f64, least: usize) -> Option<Selection> {
    let admits = |at: &usize| draw < shares[*at];
    let (asked, mut spare): (Vec<usize>, Vec<usize>) = (0..shares.len()).partition(admits);
    spare.retain(|at| shares[*at] > 0.0);
    spare.sort_by(|a, b| shares[*a].total_cmp(&shares[*b]));
    (asked.len() >= least).then_some(Selection { asked, spare })
}

/// Time after which enough shards are expected to admit a query that was refused; `None` if too
/// few have room for any query.
///
/// Later draws are admitted later, so that refused callers do not return together.
pub fn retry_after(shares: &[f64], draw: f64, least: usize) -> Option<Duration> {
    let mut shares = shares.to_vec();
    shares.sort_by(|a, b| b.total_cmp(a));
    let weakest = *shares.get(least.checked_sub(1)?)?;
    (weakest > 0.0).then(|| growth_time(draw - weakest))
}
