//! Targets that want no requests from a host for some time.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod direct_support;

use std::time::{Duration, Instant};

use sapphirerack_policy::direct::{Balancer, Ending, SharedLimits, retry_after};

use direct_support::{EXPECTED, OVERDUE, balancer_of, ms, target};

const LIMITS: SharedLimits = SharedLimits { hosts: 8, extra: 0.2, slack: 56.0 };

fn balancer(ids: &[&str], now: Instant) -> Balancer {
    let targets: Vec<_> = ids.iter().map(|id| target(id, "here")).collect();
    balancer_of(&targets, LIMITS, now)
}

/// Chosen target, with the request ended at once.
fn choose(balancer: &mut Balancer, now: Instant) -> Option<String> {
    let choice = balancer.choose(&[], EXPECTED, OVERDUE, now)?;
    balancer.end(&choice, Ending::Answered, now);
    Some(choice.target.id.to_string())
}

#[test]
fn target_that_holds_off_gets_no_request_until_its_time_is_over() {
    let now = Instant::now();
    let mut balancer = balancer(&["a", "b"], now);
    balancer.hold_off("a", ms(500), now);

    let chosen: Vec<_> = (0..50).filter_map(|n| choose(&mut balancer, now + ms(n * 9))).collect();

    assert_eq!(chosen.len(), 50);
    assert!(chosen.iter().all(|id| id == "b"));
    let other = balancer.choose(&["b".into()], EXPECTED, OVERDUE, now + ms(500)).unwrap();
    assert_eq!(&*other.target.id, "a");
}

#[test]
fn shorter_time_does_not_end_a_longer_one() {
    let now = Instant::now();
    let mut balancer = balancer(&["a"], now);
    balancer.hold_off("a", ms(500), now);
    balancer.hold_off("a", ms(100), now);

    assert_eq!(choose(&mut balancer, now + ms(400)), None);
    assert_eq!(balancer.held_for(now + ms(400)), Some(ms(100)));
}

#[test]
fn time_beyond_any_reason_is_cut() {
    let now = Instant::now();
    let mut balancer = balancer(&["a"], now);

    balancer.hold_off("a", Duration::MAX, now);

    assert!(balancer.held_for(now).unwrap() <= Duration::from_secs(60));
}

#[test]
fn neither_hedges_nor_retries_go_to_a_target_that_holds_off() {
    let now = Instant::now();
    let mut balancer = balancer(&["a", "b"], now);
    let open = [balancer.choose(&[], EXPECTED, OVERDUE, now).unwrap().target.id.clone()];
    let other = if *open[0] == *"a" { "b" } else { "a" };
    balancer.hold_off(other, ms(500), now);

    assert!(!balancer.try_hedge(&open, now));
    assert!(!balancer.try_retry(&open, now));
    assert!(!balancer.has_untried(&open, now));
    assert!(balancer.try_hedge(&open, now + ms(500)));
}

/// All three targets of a shard hold off for 0.5 to 3 s, while requests come at 1.7 times the usual
/// rate: none is sent, and each is refused with the time at which the first target is open again.
#[test]
fn requests_are_refused_with_the_time_at_which_the_first_target_opens() {
    let now = Instant::now();
    let mut balancer = balancer(&["a", "b", "c"], now);
    for (id, time) in [("a", 3_000), ("b", 500), ("c", 1_200)] {
        balancer.hold_off(id, ms(time), now);
    }

    for n in 0..85 {
        let at = now + ms(n * 1_000 / 170);
        assert_eq!(balancer.admitted_share(at), 0.0);
        let held = [None, balancer.held_for(at)];
        let after = retry_after(&[1.0, 0.0], &held, 0.5, 2).unwrap();

        assert_eq!(at + after, now + ms(500));
        assert_eq!(choose(&mut balancer, at), None);
    }
    assert_eq!(choose(&mut balancer, now + ms(500)).as_deref(), Some("b"));
}

#[test]
fn silent_target_is_tried_while_the_other_holds_off() {
    let now = Instant::now();
    let mut balancer = balancer(&["a", "b"], now);
    let silent = balancer.choose(&[], EXPECTED, OVERDUE, now).unwrap().target.id.clone();
    let other = if *silent == *"a" { "b" } else { "a" };
    balancer.hold_off(other, ms(3_000), now);
    let later = now + ms(300);

    let next = balancer.choose(&[], EXPECTED, OVERDUE, later).unwrap();

    assert_eq!(next.target.id, silent);
}

#[test]
fn shard_without_targets_has_no_time_to_come_back() {
    let now = Instant::now();
    let balancer = balancer(&[], now);

    assert_eq!(balancer.held_for(now), None);
    assert_eq!(retry_after(&[1.0, 0.0], &[None, None], 0.5, 2), None);
}

#[test]
fn warm_up_without_end_is_taken_for_none() {
    let now = Instant::now();
    let endless =
        sapphirerack_routes::Target { cold: Duration::MAX, ..(*target("a", "here")).clone() };
    let mut balancer = balancer_of(&[endless.into()], LIMITS, now);

    assert_eq!(choose(&mut balancer, now).as_deref(), Some("a"));
}
