//! When removals from the store are applied or held back.

use std::time::{Duration, Instant};

use sapphirerack_routes::RemovalGuard;

const RENEWAL: Duration = Duration::from_millis(2_300);

/// Guard after one read that removes `count` of `usable` targets.
fn after_removal(count: usize, usable: usize, now: Instant) -> RemovalGuard {
    let mut guard = RemovalGuard::default();
    guard.record_removals(count, usable);
    guard.store_up(now);
    guard
}

#[test]
fn mass_removal_is_held_back_until_live_targets_would_be_announced_again() {
    let now = Instant::now();

    let mut guard = after_removal(60, 127, now);

    assert!(guard.hold(now));
    assert!(!guard.needs_listing(now + RENEWAL / 2));
    assert!(guard.needs_listing(now + RENEWAL));
    assert!(!guard.hold(now + RENEWAL));
}

#[test]
fn removal_of_few_targets_is_applied_immediately() {
    let now = Instant::now();

    assert!(!after_removal(2, 4, now).hold(now), "two targets can exit at the same time");
    assert!(!after_removal(20, 127, now).hold(now), "a service can be scaled down");
}
