//! When removals from the store are applied or held back.

use std::time::{Duration, Instant};

use sapphirerack_routes::RemovalGuard;

const RENEWAL: Duration = Duration::from_millis(2_300);

/// Age of a view at a read that follows an outage.
const AFTER_OUTAGE: Option<Duration> = Some(Duration::from_millis(2_400));

/// Guard after one read that removes `count` of `usable` targets.
fn after_removal(count: usize, usable: usize, age: Option<Duration>, now: Instant) -> RemovalGuard {
    let mut guard = RemovalGuard::default();
    guard.record_removals(count, usable, age);
    guard.store_up(now);
    guard
}

#[test]
fn mass_removal_is_held_back_until_live_targets_would_be_announced_again() {
    let now = Instant::now();

    let mut guard = after_removal(60, 127, AFTER_OUTAGE, now);

    assert!(guard.hold(now));
    assert!(!guard.needs_listing(now + RENEWAL / 2));
    assert!(guard.needs_listing(now + RENEWAL));
    assert!(!guard.hold(now + RENEWAL));
}

#[test]
fn removal_of_few_targets_is_applied_immediately() {
    let now = Instant::now();

    let held = |count, usable| after_removal(count, usable, AFTER_OUTAGE, now).hold(now);
    assert!(!held(2, 4), "two targets can exit at the same time");
    assert!(!held(20, 127), "a service can be scaled down");
}

#[test]
fn mass_removal_is_applied_immediately_if_the_store_was_read_just_before() {
    let now = Instant::now();

    for age in [10, 850, 1_500] {
        let mut guard = after_removal(60, 127, Some(Duration::from_millis(age)), now);
        assert!(!guard.hold(now), "an index is cut into another set of shards");
    }
    assert!(after_removal(60, 127, None, now).hold(now), "a host that has just started");
}

/// Guard after an answer to a read that began `age` after a host last read the store.
fn after_answer(failed: bool, age: u64, now: Instant) -> RemovalGuard {
    let mut guard = RemovalGuard::default();
    guard.store_answered(failed, Some(Duration::from_millis(age)));
    guard.store_up(now);
    guard
}

#[test]
fn removal_is_held_back_after_reads_failed() {
    let now = Instant::now();

    let mut guard = after_answer(true, 2_400, now);

    assert!(guard.hold(now));
    assert!(guard.needs_listing(now + RENEWAL));
}

/// Guards against a lost reader of the store that is taken for an outage of the store.
#[test]
fn removal_is_applied_at_once_if_no_host_has_read_the_store_but_no_read_failed() {
    let now = Instant::now();

    assert!(!after_answer(false, 2_400, now).hold(now));
}

#[test]
fn removal_is_applied_at_once_if_another_host_has_read_the_store_since_a_read_failed() {
    let now = Instant::now();

    assert!(!after_answer(true, 850, now).hold(now));
}

#[test]
fn outage_is_over_with_the_next_answer() {
    let now = Instant::now();
    let mut guard = after_answer(true, 2_400, now);

    guard.store_answered(false, Some(Duration::from_millis(850)));
    guard.store_up(now + RENEWAL);

    assert!(!guard.hold(now + RENEWAL));
}
