//! Division of a query among data centres.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

use sapphirerack_catalogue::Name;
use sapphirerack_policy::direct::{Division, divide};

fn places(centres: &[&str]) -> Vec<Vec<Name>> {
    centres.iter().map(|c| c.chars().map(|c| c.to_string().into()).collect()).collect()
}

fn everywhere(_: &Name) -> bool {
    true
}

#[test]
fn shards_with_a_target_in_the_own_data_centre_are_asked_directly() {
    let division = divide(&[0, 1, 2], &places(&["ab", "ca", "a"]), "a", everywhere);

    assert_eq!(division, Division { own: vec![0, 1, 2], others: Vec::new() });
}

#[test]
fn fewest_data_centres_are_asked_for_the_others() {
    let places = places(&["a", "bc", "b", "bd", "b", "bd", "c", "c", "cd"]);

    let division = divide(&[0, 1, 2, 3, 4, 5, 6, 7, 8], &places, "a", everywhere);

    assert_eq!(division.own, [0]);
    assert_eq!(division.others, [("b".into(), vec![1, 2, 3, 4, 5]), ("c".into(), vec![6, 7, 8])]);
}

#[test]
fn few_shards_of_another_data_centre_are_asked_directly() {
    let division = divide(&[4, 5, 6], &places(&["a", "b", "b"]), "a", everywhere);

    assert_eq!(division, Division { own: vec![4, 5, 6], others: Vec::new() });
}

#[test]
fn data_centre_without_a_gatherer_is_not_asked() {
    let places = places(&["bc", "bc", "bc", "b"]);

    let division = divide(&[0, 1, 2, 3], &places, "a", |name| **name == *"c");

    assert_eq!(division.own, [3]);
    assert_eq!(division.others, [("c".into(), vec![0, 1, 2])]);
}

#[test]
fn shard_without_a_usable_target_stays_with_the_gatherer() {
    let division = divide(&[0, 1], &places(&["", "a"]), "a", everywhere);

    assert_eq!(division.own, [0, 1]);
}

#[test]
fn each_shard_is_asked_once() {
    let mut rng = fastrand::Rng::with_seed(7);
    for _ in 0..200 {
        let asked: Vec<usize> = (0..90).collect();
        let mut place = || rng.choice(["a", "b", "c", "d", "e"]).unwrap().into();
        let places: Vec<Vec<Name>> =
            asked.iter().map(|_| vec![place(), place(), place()]).collect();

        let division = divide(&asked, &places, "a", |name| **name != *"d");

        let others = division.others.iter().flat_map(|(_, shards)| shards);
        let mut all: Vec<usize> = division.own.iter().chain(others).copied().collect();
        all.sort();
        assert_eq!(all, asked);
        for (centre, shards) in &division.others {
            assert!(shards.iter().all(|s| places[*s].contains(centre)));
        }
    }
}
