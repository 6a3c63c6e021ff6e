//! A scattered query, event by event.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use sapphirerack_policy::{Budget, Candidate, Host, Scatter, ShardError, ShardRequest};

const DELAY: Duration = Duration::from_millis(10);

fn candidate(name: &str, centre: &str, replicas: usize) -> Candidate {
    let host = Host {
        name: name.into(),
        data_centre: centre.into(),
        address: "127.0.0.1:1".parse().unwrap(),
    };
    Candidate { host, replicas }
}

/// Two hosts in each of two data centres, one replica in each.
fn candidates() -> Vec<Candidate> {
    let names = [("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")];
    names.iter().map(|(name, centre)| candidate(name, centre, 1)).collect()
}

fn trust(_: &Host) -> bool {
    false
}

fn budget() -> Budget {
    Budget::new(0.05, 4.0)
}

fn ask(candidate: usize) -> ShardRequest {
    ShardRequest { shard: 0, candidate }
}

#[test]
fn first_candidate_is_asked_first() {
    let shard = candidates();
    let mut scatter = Scatter::new([&*shard]);

    assert_eq!(scatter.start(Instant::now(), &trust), [ask(0)]);
}

#[test]
fn suspected_host_is_passed_over() {
    let shard = candidates();
    let mut scatter = Scatter::new([&*shard]);

    assert_eq!(scatter.start(Instant::now(), &|h| &*h.name == "a0"), [ask(1)]);
}

#[test]
fn suspected_host_is_asked_if_there_is_no_other() {
    let shard = candidates();
    let mut scatter = Scatter::new([&shard[..1]]);

    assert_eq!(scatter.start(Instant::now(), &|_| true), [ask(0)]);
}

#[test]
fn broken_link_leads_to_the_stand_in() {
    let (shard, now) = (candidates(), Instant::now());
    let mut scatter = Scatter::new([&*shard]);
    scatter.start(now, &trust);

    let next = scatter.on_error(now, ask(0), ShardError::Disconnected, &trust, &mut budget());

    assert_eq!(next, Some(ask(1)));
    assert_eq!(scatter.extra(), 1);
}

#[test]
fn lack_of_capacity_leads_to_another_data_centre_once() {
    let (shard, now) = (candidates(), Instant::now());
    let mut scatter = Scatter::new([&*shard]);
    scatter.start(now, &trust);

    let next = scatter.on_error(now, ask(0), ShardError::Overloaded, &trust, &mut budget());
    let last = scatter.on_error(now, ask(2), ShardError::Overloaded, &trust, &mut budget());

    assert_eq!((next, last), (Some(ask(2)), None));
    assert_eq!(scatter.extra(), 0, "nothing was dispatched");
    assert!(scatter.is_done());
}

#[test]
fn failure_is_replaced_within_the_budget_only() {
    let (shard, now) = (candidates(), Instant::now());
    let mut budget = Budget::new(0.0, 1.0);
    let mut first = Scatter::new([&*shard]);
    let mut second = Scatter::new([&*shard]);
    first.start(now, &trust);
    second.start(now, &trust);

    let with = first.on_error(now, ask(0), ShardError::Failed, &trust, &mut budget);
    let without = second.on_error(now, ask(0), ShardError::Failed, &trust, &mut budget);

    assert_eq!((with, without), (Some(ask(2)), None));
    assert!(second.is_done());
}

#[test]
fn silent_host_keeps_its_chance() {
    let (shard, now) = (candidates(), Instant::now());
    let mut scatter = Scatter::new([&*shard]);
    scatter.start(now, &trust);

    let next = scatter.on_silence(now, &shard[0].host, &trust, &mut budget());
    let again = scatter.on_silence(now, &shard[0].host, &trust, &mut budget());

    assert_eq!((next, again), (vec![ask(1)], vec![]));
    assert_eq!(scatter.on_answer(ask(0)), Some(vec![ask(1)]), "the other one is withdrawn");
    assert_eq!(scatter.on_answer(ask(1)), None, "the second answer is too late");
}

#[test]
fn single_replica_is_hedged_in_another_data_centre() {
    let (shard, now) = (candidates(), Instant::now());
    let mut scatter = Scatter::new([&*shard]);
    scatter.start(now, &trust);

    let early = scatter.hedge(now, DELAY, &trust, &mut budget());
    let due = scatter.hedge(now + DELAY, DELAY, &trust, &mut budget());
    let again = scatter.hedge(now + DELAY * 2, DELAY, &trust, &mut budget());

    assert_eq!((early, due, again), (vec![], vec![ask(2)], vec![]));
}

#[test]
fn group_of_several_replicas_is_left_to_its_owner() {
    let shard = [candidate("a0", "a", 3), candidate("b0", "b", 3)];
    let now = Instant::now();
    let mut scatter = Scatter::new([&shard[..]]);
    scatter.start(now, &trust);

    assert!(scatter.hedge(now + DELAY, DELAY, &trust, &mut budget()).is_empty());
}

#[test]
fn shard_without_candidates_ends_at_once() {
    let mut scatter = Scatter::new([&[][..]]);

    assert!(scatter.start(Instant::now(), &trust).is_empty());
    assert!(scatter.is_done());
}

#[test]
fn busy_data_centre_spills_to_the_next_and_the_last_resort_waits_where_fewest_do() {
    let shard = [candidate("a", "a", 1), candidate("b", "b", 1), candidate("c", "c", 1)];
    let (now, mut budget) = (Instant::now(), Budget::new(0.0, 0.0));
    let mut scatter = Scatter::new([&shard[..]]);

    let first = scatter.start(now, &trust)[0];
    assert!(scatter.spills(first));
    let second = scatter.on_error(now, first, ShardError::Busy(4), &trust, &mut budget).unwrap();
    let third = scatter.on_error(now, second, ShardError::Busy(1), &trust, &mut budget).unwrap();
    assert_eq!((second.candidate, third.candidate), (1, 2));
    let last =
        scatter.on_error(now, third, ShardError::Busy(u32::MAX), &trust, &mut budget).unwrap();

    assert_eq!(last.candidate, 1, "one waits there, the fewest");
    assert!(!scatter.spills(last), "it is to wait");
    assert_eq!(scatter.extra(), 0, "nothing was dispatched");
}
