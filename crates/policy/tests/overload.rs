//! Shards with too few replicas left, replayed against the choice of shards and of extra requests.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod direct_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphirerack_policy::direct::{
    Admission, Balancer, Ending, SharedLimits, backoff, draw, retry_after, select,
};
use sapphirerack_routes::Target;

use direct_support::{OVERDUE, USUAL, balance_of, ms, target};

const SHARES: SharedLimits = SharedLimits { hosts: 75, extra: 0.2, slack: 190.0 };
const QUERIES: usize = 10_000;

fn balance(ids: &[&str], now: Instant) -> Balancer {
    let targets: Vec<Arc<Target>> = ids.iter().map(|id| target(id, "here")).collect();
    balance_of(&targets, SHARES, now)
}

/// Share of the queries that are not refused.
fn served(shares: &[f64], steps: u32, least: usize) -> f64 {
    let mut rng = fastrand::Rng::with_seed(7);
    let admitted = |_: &usize| select(shares, draw(rng.f64(), steps), least).is_some();
    (0..QUERIES).filter(admitted).count() as f64 / QUERIES as f64
}

#[test]
fn query_does_without_an_overloaded_shard_or_is_refused_at_once() {
    let mut shares = [1.0; 10];

    assert_eq!(select(&shares, 0.5, 9).unwrap().asked.len(), 10);
    shares[3] = 0.0;
    assert_eq!(select(&shares, 0.5, 9).unwrap().asked.len(), 9);
    shares[4] = 0.2;
    assert_eq!(select(&shares, 0.5, 9), None);
}

#[test]
fn overloaded_shards_turn_away_the_same_queries() {
    // Ten of 36 shards admit 0.8 of the queries each. If each drew for itself, 0.8^10 of the
    // queries, and those that lack a single shard, would be served: 0.38.
    let mut shares = [1.0; 36];
    shares[..10].fill(0.8);

    let served = served(&shares, 0, 35);

    assert!((0.78..0.82).contains(&served), "{served:.2} are served, 0.80 fit");
}

#[test]
fn less_urgent_queries_are_turned_away_first() {
    let shares = [0.7; 10];

    let (urgent, other) = (served(&shares, 1, 9), served(&shares, 0, 9));

    assert!(urgent > 0.85, "{urgent:.2} of the urgent queries are served");
    assert!((0.65..0.75).contains(&other), "{other:.2} of the others are served");
}

#[test]
fn shards_that_turn_a_query_away_are_its_reserve_but_for_those_without_targets() {
    let shares = [1.0, 0.3, 0.0, 0.4, 1.0];

    let selection = select(&shares, 0.5, 2).unwrap();

    assert_eq!(selection.asked, [0, 4]);
    assert_eq!(selection.spare, [1, 3], "the one that admits most is taken first");
}

#[test]
fn only_replica_of_a_shard_costs_no_hedges() {
    let now = Instant::now();
    let mut balance = balance(&["a"], now);
    let open = [balance.choose(&[], USUAL, OVERDUE, now).unwrap().target.id.clone()];

    let hedges = (0..100).filter(|_| balance.try_hedge(&open)).count();

    assert_eq!(hedges, 0);
    assert!(balance.try_retry(&[]), "what was not spent on hedges is there for retries");
}

#[test]
fn pauses_of_a_tenth_of_the_requests_are_hedged_with_75_hosts() {
    let now = Instant::now();
    let mut balance = balance(&["a", "b", "c"], now);
    let (mut asked, mut hedged) = (0, 0);

    // A pause hits some requests in a row, and then none for a while.
    for n in 0..1_000 {
        balance.earn();
        if n % 20 < 2 {
            asked += 1;
            hedged += usize::from(balance.try_hedge(&[]));
        }
    }

    assert!(hedged > asked * 9 / 10, "{hedged} of {asked} hedges were permitted");
}

#[test]
fn tries_that_reach_no_target_are_spread_and_get_rarer() {
    let pauses: Vec<Duration> = (1..8).map(|tries| backoff(tries, 0.5)).collect();

    assert!(pauses.is_sorted());
    assert!(pauses[0] >= Duration::from_millis(5));
    assert!(pauses[6] <= Duration::from_millis(100));
    assert!(backoff(3, 0.0) < backoff(3, 1.0));
}

/// A shard after a time in which every part was late.
fn overloaded(now: Instant) -> Admission {
    let mut admission = Admission::new(now);
    (0..10).for_each(|_| admission.record(false, now));
    admission
}

#[test]
fn refused_query_is_told_when_its_draw_will_be_admitted() {
    let now = Instant::now();
    let admission = overloaded(now);
    let shares = |at| [1.0, 1.0, admission.share(at)];
    let draw = 0.9;

    let after = retry_after(&shares(now), draw, 3).unwrap();

    assert_eq!(select(&shares(now), draw, 3), None);
    assert_eq!(select(&shares(now + after / 2), draw, 3), None, "it is not too long");
    let then = now + after + Duration::from_millis(1);
    assert!(select(&shares(then), draw, 3).is_some(), "it is not too short");
}

#[test]
fn refused_queries_are_not_told_to_return_together() {
    let shares = [1.0, 0.2];
    let after = |draw| retry_after(&shares, draw, 2).unwrap();

    assert!(after(0.9) > after(0.3) + Duration::from_secs(1));
}

#[test]
fn nothing_is_promised_of_a_shard_without_targets() {
    assert_eq!(retry_after(&[1.0, 0.0], 0.5, 2), None);
    assert_eq!(retry_after(&[], 0.5, 1), None);
}

#[test]
fn shard_that_nobody_reaches_is_not_asked_until_it_is_time_to_look_again() {
    let start = Instant::now();
    let mut balance = balance(&["a", "b"], start);
    let cut = start + ms(400);
    for _ in 0..2 {
        let choice = balance.choose(&[], USUAL, OVERDUE, start).unwrap();
        balance.end(&choice, Ending::Unreached, cut);
    }

    assert_eq!(balance.admitted_share(cut), 0.0, "a query that needs it is refused at once");
    assert_eq!(balance.admitted_share(cut + ms(1_000)), 0.0);
    assert!(balance.admitted_share(cut + ms(2_000)) > 0.0, "a return is seen");
}

#[test]
fn shard_is_asked_again_once_one_of_its_targets_responds() {
    let start = Instant::now();
    let mut balance = balance(&["a", "b"], start);
    let choices = [(); 2].map(|()| balance.choose(&[], USUAL, OVERDUE, start).unwrap());
    let later = start + ms(500);
    assert_eq!(balance.admitted_share(later), 0.0, "both are silent for longer than a pause");

    balance.end(&choices[0], Ending::Answered, later);

    assert!(balance.admitted_share(later) > 0.0);
}

#[test]
fn pause_does_not_close_a_shard() {
    let start = Instant::now();
    let mut balance = balance(&["a"], start);
    let _open = balance.choose(&[], USUAL, OVERDUE, start).unwrap();

    assert!(balance.admitted_share(start + ms(200)) > 0.0);
}

#[test]
fn first_extra_requests_of_5200_hosts_keep_to_the_slack() {
    let now = Instant::now();
    let shares = SharedLimits { hosts: 5_200, ..SHARES };
    let targets = [target("a", "here"), target("b", "here")];
    let first = || f64::from(u8::from(balance_of(&targets, shares, now).try_retry(&[])));

    let extra: f64 = (0..5_200).map(|_| first()).sum();

    assert!(extra <= SHARES.slack, "{extra} extra requests before any was earned");
}

#[test]
fn host_that_learns_of_5200_hosts_has_no_extra_request_left_that_it_did_not_earn() {
    let now = Instant::now();
    let targets = [target("a", "here"), target("b", "here")];
    let mut balance = balance_of(&targets, SharedLimits { hosts: 3, ..SHARES }, now);

    balance.set_shared_limits(SharedLimits { hosts: 5_200, ..SHARES });

    assert!(!balance.try_retry(&[]));
}

#[test]
fn earned_extra_requests_stay_while_the_shares_are_the_same() {
    let shares = SharedLimits { hosts: 5_200, ..SHARES };
    let targets = [target("a", "here"), target("b", "here")];
    let mut balance = balance_of(&targets, shares, Instant::now());
    (0..10).for_each(|_| balance.earn());

    balance.set_shared_limits(shares);

    assert!(balance.try_retry(&[]));
}

#[test]
fn one_of_5200_hosts_may_retry_what_it_has_earned() {
    let shares = SharedLimits { hosts: 5_200, ..SHARES };
    let targets = [target("a", "here"), target("b", "here")];
    let mut balance = balance_of(&targets, shares, Instant::now());

    (0..10).for_each(|_| balance.earn());

    assert!(balance.try_retry(&[]));
    assert!(!balance.try_retry(&[]));
}
