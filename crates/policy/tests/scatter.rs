//! State machine of a scattered query, one event at a time.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use sapphirerack_policy::{Budget, Candidate, Host, Scatter, ShardError, ShardRequest};

const DELAY: Duration = Duration::from_millis(10);

fn candidate(name: &str, centre: &str, replicas: usize) -> Candidate {
    let host = Host {
        name: name.into(),
        data_centre: centre.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        capacity: 0,
    };
    Candidate { host, replicas }
}

/// Two hosts in each of two data centres, one replica in each.
fn candidates() -> Vec<Candidate> {
    let names = [("a0", "a"), ("a1", "a"), ("b0", "b"), ("b1", "b")];
    names.iter().map(|(name, centre)| candidate(name, centre, 1)).collect()
}

fn none_suspected(_: &Host) -> bool {
    false
}

fn budget() -> Budget {
    Budget::new(0.05, 4.0)
}

fn request(candidate: usize) -> ShardRequest {
    ShardRequest { shard: 0, candidate }
}

#[test]
fn first_candidate_is_tried_first() {
    let shard = candidates();
    let mut scatter = Scatter::new([&*shard]);

    assert_eq!(scatter.start(Instant::now(), &none_suspected), [request(0)]);
}

#[test]
fn suspected_host_is_skipped() {
    let shard = candidates();
    let mut scatter = Scatter::new([&*shard]);

    assert_eq!(scatter.start(Instant::now(), &|h| &*h.name == "a0"), [request(1)]);
}

#[test]
fn suspected_host_is_tried_if_there_is_no_other() {
    let shard = candidates();
    let mut scatter = Scatter::new([&shard[..1]]);

    assert_eq!(scatter.start(Instant::now(), &|_| true), [request(0)]);
}

#[test]
fn broken_link_is_retried_at_the_backup() {
    let (shard, now) = (candidates(), Instant::now());
    let mut scatter = Scatter::new([&*shard]);
    scatter.start(now, &none_suspected);

    let next =
        scatter.on_error(now, request(0), ShardError::Disconnected, &none_suspected, &mut budget());

    assert_eq!(next, Some(request(1)));
    assert_eq!(scatter.extra(), 1);
}

#[test]
fn overload_is_retried_once_in_another_data_centre() {
    let (shard, now) = (candidates(), Instant::now());
    let mut scatter = Scatter::new([&*shard]);
    scatter.start(now, &none_suspected);

    let next =
        scatter.on_error(now, request(0), ShardError::Overloaded, &none_suspected, &mut budget());
    let last =
        scatter.on_error(now, request(2), ShardError::Overloaded, &none_suspected, &mut budget());

    assert_eq!((next, last), (Some(request(2)), None));
    assert_eq!(scatter.extra(), 0, "nothing was dispatched");
    assert!(scatter.is_done());
}

#[test]
fn failure_is_retried_only_within_the_budget() {
    let (shard, now) = (candidates(), Instant::now());
    let mut budget = Budget::new(0.0, 1.0);
    let mut first = Scatter::new([&*shard]);
    let mut second = Scatter::new([&*shard]);
    first.start(now, &none_suspected);
    second.start(now, &none_suspected);

    let with = first.on_error(now, request(0), ShardError::Failed, &none_suspected, &mut budget);
    let without =
        second.on_error(now, request(0), ShardError::Failed, &none_suspected, &mut budget);

    assert_eq!((with, without), (Some(request(2)), None));
    assert!(second.is_done());
}

#[test]
fn silent_host_may_still_answer() {
    let (shard, now) = (candidates(), Instant::now());
    let mut scatter = Scatter::new([&*shard]);
    scatter.start(now, &none_suspected);

    let next = scatter.on_silence(now, &shard[0].host, &none_suspected, &mut budget());
    let again = scatter.on_silence(now, &shard[0].host, &none_suspected, &mut budget());

    assert_eq!((next, again), (vec![request(1)], vec![]));
    assert_eq!(
        scatter.on_answer(request(0)),
        Some(vec![request(1)]),
        "the second request is cancelled"
    );
    assert_eq!(scatter.on_answer(request(1)), None, "the second answer is too late");
}

#[test]
fn single_replica_is_hedged_in_another_data_centre() {
    let (shard, now) = (candidates(), Instant::now());
    let mut scatter = Scatter::new([&*shard]);
    scatter.start(now, &none_suspected);

    let early = scatter.hedge(now, DELAY, &none_suspected, &mut budget());
    let due = scatter.hedge(now + DELAY, DELAY, &none_suspected, &mut budget());
    let again = scatter.hedge(now + DELAY * 2, DELAY, &none_suspected, &mut budget());

    assert_eq!((early, due, again), (vec![], vec![request(2)], vec![]));
}

#[test]
fn group_of_several_replicas_is_not_hedged_across_data_centres() {
    let shard = [candidate("a0", "a", 3), candidate("b0", "b", 3)];
    let now = Instant::now();
    let mut scatter = Scatter::new([&shard[..]]);
    scatter.start(now, &none_suspected);

    assert!(scatter.hedge(now + DELAY, DELAY, &none_suspected, &mut budget()).is_empty());
}

#[test]
fn shard_without_candidates_is_done_at_once() {
    let mut scatter = Scatter::new([&[][..]]);

    assert!(scatter.start(Instant::now(), &none_suspected).is_empty());
    assert!(scatter.is_done());
}

#[test]
fn busy_data_centres_spill_and_the_last_request_queues_where_fewest_wait() {
    let shard = [candidate("a", "a", 1), candidate("b", "b", 1), candidate("c", "c", 1)];
    let (now, mut budget) = (Instant::now(), Budget::new(0.0, 0.0));
    let mut scatter = Scatter::new([&shard[..]]);

    let first = scatter.start(now, &none_suspected)[0];
    assert!(scatter.spills(first));
    let second =
        scatter.on_error(now, first, ShardError::Busy(4), &none_suspected, &mut budget).unwrap();
    let third =
        scatter.on_error(now, second, ShardError::Busy(1), &none_suspected, &mut budget).unwrap();
    assert_eq!((second.candidate, third.candidate), (1, 2));
    let last = scatter
        .on_error(now, third, ShardError::Busy(u32::MAX), &none_suspected, &mut budget)
        .unwrap();

    assert_eq!(last.candidate, 1, "only one request waits there, the fewest");
    assert!(!scatter.spills(last), "the request queues there");
    assert_eq!(scatter.extra(), 0, "nothing was dispatched");
}
