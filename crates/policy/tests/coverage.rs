//! Properties of coverage arithmetic, snapshot choice and rendezvous ranking, for any input.

#![allow(clippy::unwrap_used)]

use quickcheck::{Gen, QuickCheck};
use sapphirerack_catalogue::{PARTITION_SPACE, Span};
use sapphirerack_policy::{Coverage, ShardSnapshots, choose_snapshot, rank};

const SEED: u64 = 5;

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, SEED)).tests(400)
}

fn spans(bounds: &[(u16, u16)]) -> Vec<Span> {
    bounds.iter().map(|(start, end)| Span::new((*start).into(), (*end).into())).collect()
}

#[test]
fn coverage_counts_each_partition_of_the_accepted_spans_once() {
    fn property(bounds: Vec<(u16, u16)>) -> bool {
        let mut coverage = Coverage::default();
        let mut covered = vec![false; PARTITION_SPACE as usize];
        for span in spans(&bounds) {
            let range = span.start as usize..(span.end as usize).max(span.start as usize);
            let is_free = !range.is_empty() && covered[range.clone()].iter().all(|c| !c);
            if coverage.add(span) != is_free {
                return false;
            }
            if is_free {
                covered[range].fill(true);
            }
        }
        let expected = covered.iter().filter(|c| **c).count();
        coverage.partitions() as usize == expected
            && coverage.is_complete() == (expected == covered.len())
    }
    checker().quickcheck(property as fn(Vec<(u16, u16)>) -> bool);
}

#[test]
fn chosen_snapshot_has_the_best_coverage_and_is_the_newest_of_those() {
    fn property(shards: Vec<(u8, Vec<u8>)>) -> bool {
        let sets: Vec<ShardSnapshots> = shards
            .iter()
            .map(|(len, ids)| {
                let mut snapshots: Vec<u64> = ids.iter().map(|id| u64::from(id % 8)).collect();
                snapshots.sort_unstable();
                snapshots.dedup();
                ShardSnapshots { span: Some(Span::new(0, (*len).into())), snapshots }
            })
            .collect();
        let total = |id: u64| -> u32 {
            let holders = sets.iter().filter(|h| h.snapshots.contains(&id));
            holders.map(|h| h.span.unwrap().len()).sum()
        };
        let known = sets.iter().flat_map(|h| h.snapshots.iter().copied());
        let best = known.map(|id| (total(id), id)).max();
        choose_snapshot(&sets) == best.map(|(_, id)| id)
    }
    checker().quickcheck(property as fn(Vec<(u8, Vec<u8>)>) -> bool);
}

#[test]
fn ranking_ignores_the_order_of_hosts_and_a_departure_moves_only_its_own_keys() {
    fn property(hosts: Vec<u32>, key: Vec<u8>) -> bool {
        let mut names: Vec<Vec<u8>> = hosts.iter().map(|h| h.to_le_bytes().to_vec()).collect();
        names.sort_unstable();
        names.dedup();
        let ranked = rank(&key, &names, |n| n.as_slice());
        let mut reversed = names.clone();
        reversed.reverse();
        let is_stable = rank(&key, &reversed, |n| n.as_slice()) == ranked;
        let without = |gone: &Vec<u8>| {
            let left: Vec<Vec<u8>> = names.iter().filter(|n| *n != gone).cloned().collect();
            rank(&key, &left, |n| n.as_slice())
        };
        let expected = |gone: &Vec<u8>| -> Vec<Vec<u8>> {
            ranked.iter().filter(|n| *n != gone).cloned().collect()
        };
        is_stable && names.iter().all(|gone| without(gone) == expected(gone))
    }
    checker().quickcheck(property as fn(Vec<u32>, Vec<u8>) -> bool);
}
