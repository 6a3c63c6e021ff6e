//! Division of a query among the data centres that have targets of its shards.
//!
//! The gatherer of a query sends the requests for the shards that have a target in its own data
//! centre. For the others it asks a gatherer of a data centre that has one, which merges the parts
//! before they cross to this data centre: the best records of many parts are few.

use sapphirerack_catalogue::{Map, Name};

/// Fewest shards for which another data centre is asked; the parts of fewer cross one by one.
const MIN_SHARDS: usize = 3;

/// Shards of a query, by their index in its route.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Division {
    /// Asked by the gatherer of the query.
    pub own: Vec<usize>,
    /// Asked by a gatherer of each of these data centres.
    pub others: Vec<(Name, Vec<usize>)>,
}

/// Divides the shards `asked` of a query.
///
/// `centres` holds, for each of them, the data centres with a usable target. `home` is the data
/// centre of the gatherer, and `is_partner` tells which other ones have a gatherer to ask. As few
/// data centres as possible are asked.
pub fn divide(
    asked: &[usize],
    centres: &[Vec<Name>],
    home: &str,
    is_partner: impl Fn(&Name) -> bool,
) -> Division {
    let is_own = |c: &Vec<Name>| c.is_empty() || c.iter().any(|name| **name == *home);
    let places = asked.iter().zip(centres);
    let (own, mut open): (Vec<_>, Vec<_>) = places.partition(|(_, c)| is_own(c));
    let mut division =
        Division { own: own.into_iter().map(|(shard, _)| *shard).collect(), others: Vec::new() };
    while let Some(centre) = most_common(&open, &is_partner) {
        let (taken, rest): (Vec<_>, Vec<_>) =
            open.into_iter().partition(|(_, c)| c.contains(&centre));
        division.others.push((centre, taken.into_iter().map(|(shard, _)| *shard).collect()));
        open = rest;
    }
    division.own.extend(open.into_iter().map(|(shard, _)| *shard));
    division
}

/// The partner with targets of most of the shards; `None` if no partner has enough of them.
fn most_common(open: &[(&usize, &Vec<Name>)], is_partner: impl Fn(&Name) -> bool) -> Option<Name> {
    let mut counts: Map<&Name, usize> = Map::default();
    for name in open.iter().flat_map(|(_, c)| *c).filter(|n| is_partner(n)) {
        *counts.entry(name).or_default() += 1;
    }
    let most = counts.into_iter().max_by(|a, b| a.1.cmp(&b.1).then_with(|| b.0.cmp(a.0)))?;
    (most.1 >= MIN_SHARDS).then(|| most.0.clone())
}
