//! Shard selection, load shedding and extra requests when shards have too few replicas.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod direct_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphirerack_policy::direct::{
    Admission, Balancer, Ending, SharedLimits, backoff, draw, retry_after, select,
};
use sapphirerack_routes::Target;

use direct_support::{EXPECTED, OVERDUE, balancer_of, ms, target};

const LIMITS: SharedLimits = SharedLimits { hosts: 75, extra: 0.2, slack: 190.0 };
const QUERIES: usize = 10_000;

fn balancer(ids: &[&str], now: Instant) -> Balancer {
    let targets: Vec<Arc<Target>> = ids.iter().map(|id| target(id, "here")).collect();
    balancer_of(&targets, LIMITS, now)
}

/// Share of the queries that are not refused.
fn served(shares: &[f64], levels: u32, min_shards: usize) -> f64 {
    let mut rng = fastrand::Rng::with_seed(7);
    let admitted = |_: &usize| select(shares, draw(rng.f64(), levels), min_shards).is_some();
    (0..QUERIES).filter(admitted).count() as f64 / QUERIES as f64
}

#[test]
fn query_skips_an_overloaded_shard_or_is_refused() {
    let mut shares = [1.0; 10];

    assert_eq!(select(&shares, 0.5, 9).unwrap().asked.len(), 10);
    shares[3] = 0.0;
    assert_eq!(select(&shares, 0.5, 9).unwrap().asked.len(), 9);
    shares[4] = 0.2;
    assert_eq!(select(&shares, 0.5, 9), None);
}

#[test]
fn overloaded_shards_reject_the_same_queries() {
    // Ten of 36 shards admit 0.8 of the queries each. With independent draws, only queries that at
    // most one of the ten rejects would be served: 0.38.
    let mut shares = [1.0; 36];
    shares[..10].fill(0.8);

    let served = served(&shares, 0, 35);

    assert!((0.78..0.82).contains(&served), "{served:.2} are served, 0.80 fit");
}

#[test]
fn low_priority_queries_are_shed_first() {
    let shares = [0.7; 10];

    let (high, low) = (served(&shares, 1, 9), served(&shares, 0, 9));

    assert!(high > 0.85, "{high:.2} of the high-priority queries are served");
    assert!((0.65..0.75).contains(&low), "{low:.2} of the low-priority queries are served");
}

#[test]
fn rejecting_shards_are_spares_unless_they_have_no_capacity() {
    let shares = [1.0, 0.3, 0.0, 0.4, 1.0];

    let selection = select(&shares, 0.5, 2).unwrap();

    assert_eq!(selection.asked, [0, 4]);
    assert_eq!(
        selection.spare,
        [1, 3],
        "the shard that admits most is last, where spares are taken from"
    );
}

#[test]
fn only_replica_of_a_shard_gets_no_hedges() {
    let now = Instant::now();
    let mut balancer = balancer(&["a"], now);
    let open = [balancer.choose(&[], EXPECTED, OVERDUE, now).unwrap().target.id.clone()];

    let hedges = (0..100).filter(|_| balancer.try_hedge(&open, now)).count();

    assert_eq!(hedges, 0);
    assert!(
        balancer.try_retry(&[], now),
        "the budget not spent on hedges is available for retries"
    );
}

#[test]
fn pauses_of_a_tenth_of_the_requests_are_hedged_with_75_hosts() {
    let now = Instant::now();
    let mut balancer = balancer(&["a", "b", "c"], now);
    let (mut delayed, mut hedged) = (0, 0);

    // A pause delays a few consecutive requests, and then none for a while.
    for n in 0..1_000 {
        balancer.earn();
        if n % 20 < 2 {
            delayed += 1;
            hedged += usize::from(balancer.try_hedge(&[], now));
        }
    }

    assert!(hedged > delayed * 9 / 10, "{hedged} of {delayed} hedges were permitted");
}

#[test]
fn backoff_grows_with_jitter_up_to_a_bound() {
    let delays: Vec<Duration> = (1..8).map(|attempts| backoff(attempts, 0.5)).collect();

    assert!(delays.is_sorted());
    assert!(delays[0] >= Duration::from_millis(5));
    assert!(delays[6] <= Duration::from_millis(100));
    assert!(backoff(3, 0.0) < backoff(3, 1.0));
}

/// Admission of a shard whose last ten parts were all late.
fn overloaded(now: Instant) -> Admission {
    let mut admission = Admission::new(now);
    (0..10).for_each(|_| admission.record(false, now));
    admission
}

#[test]
fn retry_after_is_the_time_until_the_draw_is_admitted() {
    let now = Instant::now();
    let admission = overloaded(now);
    let shares = |at| [1.0, 1.0, admission.share(at)];
    let draw = 0.9;

    let after = retry_after(&shares(now), &[None; 3], draw, 3).unwrap();

    assert_eq!(select(&shares(now), draw, 3), None);
    assert_eq!(select(&shares(now + after / 2), draw, 3), None, "half of the delay is too short");
    let then = now + after + Duration::from_millis(1);
    assert!(select(&shares(then), draw, 3).is_some(), "the full delay is enough");
}

#[test]
fn retry_after_spreads_refused_queries() {
    let shares = [1.0, 0.2];
    let after = |draw| retry_after(&shares, &[None; 2], draw, 2).unwrap();

    assert!(after(0.9) > after(0.3) + Duration::from_secs(1));
}

#[test]
fn retry_after_is_none_without_capacity() {
    assert_eq!(retry_after(&[1.0, 0.0], &[None; 2], 0.5, 2), None);
    assert_eq!(retry_after(&[], &[], 0.5, 1), None);
}

#[test]
fn unreachable_shard_admits_nothing_until_the_reconnect_delay_is_over() {
    let start = Instant::now();
    let mut balancer = balancer(&["a", "b"], start);
    let failed = start + ms(400);
    for _ in 0..2 {
        let choice = balancer.choose(&[], EXPECTED, OVERDUE, start).unwrap();
        balancer.end(&choice, Ending::Unreached, failed);
    }

    assert_eq!(
        balancer.admitted_share(failed),
        0.0,
        "a query that needs the shard is refused immediately"
    );
    assert_eq!(balancer.admitted_share(failed + ms(1_000)), 0.0);
    assert!(
        balancer.admitted_share(failed + ms(2_000)) > 0.0,
        "queries are sent again, to detect a recovery"
    );
}

#[test]
fn shard_admits_queries_again_once_a_target_responds() {
    let start = Instant::now();
    let mut balancer = balancer(&["a", "b"], start);
    let choices = [(); 2].map(|()| balancer.choose(&[], EXPECTED, OVERDUE, start).unwrap());
    let later = start + ms(500);
    assert_eq!(
        balancer.admitted_share(later),
        0.0,
        "both targets are silent for longer than a pause"
    );

    balancer.end(&choices[0], Ending::Answered, later);

    assert!(balancer.admitted_share(later) > 0.0);
}

#[test]
fn short_silence_does_not_close_a_shard() {
    let start = Instant::now();
    let mut balancer = balancer(&["a"], start);
    let _open = balancer.choose(&[], EXPECTED, OVERDUE, start).unwrap();

    assert!(balancer.admitted_share(start + ms(200)) > 0.0);
}

#[test]
fn initial_extra_requests_of_5200_hosts_stay_within_the_slack() {
    let now = Instant::now();
    let limits = SharedLimits { hosts: 5_200, ..LIMITS };
    let targets = [target("a", "here"), target("b", "here")];
    let first = || f64::from(u8::from(balancer_of(&targets, limits, now).try_retry(&[], now)));

    let extra: f64 = (0..5_200).map(|_| first()).sum();

    assert!(extra <= LIMITS.slack, "{extra} extra requests before any was earned");
}

#[test]
fn unearned_extra_requests_are_dropped_when_5200_hosts_are_discovered() {
    let now = Instant::now();
    let targets = [target("a", "here"), target("b", "here")];
    let mut balancer = balancer_of(&targets, SharedLimits { hosts: 3, ..LIMITS }, now);

    balancer.set_shared_limits(SharedLimits { hosts: 5_200, ..LIMITS });

    assert!(!balancer.try_retry(&[], now));
}

#[test]
fn earned_extra_requests_are_kept_when_the_limits_do_not_change() {
    let limits = SharedLimits { hosts: 5_200, ..LIMITS };
    let targets = [target("a", "here"), target("b", "here")];
    let now = Instant::now();
    let mut balancer = balancer_of(&targets, limits, now);
    (0..10).for_each(|_| balancer.earn());

    balancer.set_shared_limits(limits);

    assert!(balancer.try_retry(&[], now));
}

#[test]
fn one_of_5200_hosts_may_retry_what_it_has_earned() {
    let limits = SharedLimits { hosts: 5_200, ..LIMITS };
    let targets = [target("a", "here"), target("b", "here")];
    let now = Instant::now();
    let mut balancer = balancer_of(&targets, limits, now);

    (0..10).for_each(|_| balancer.earn());

    assert!(balancer.try_retry(&[], now));
    assert!(!balancer.try_retry(&[], now));
}
