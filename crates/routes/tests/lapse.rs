//! When removals from the store are believed.

use std::time::{Duration, Instant};

use sapphirerack_routes::RemovalGuard;

const RETURN: Duration = Duration::from_millis(2_300);

/// RemovalGuard after one reading that removes `count` of `usable` targets.
fn after_removal(count: usize, usable: usize, now: Instant) -> RemovalGuard {
    let mut lapses = RemovalGuard::default();
    lapses.record_removals(count, usable);
    lapses.store_up(now);
    lapses
}

#[test]
fn targets_that_vanish_together_are_believed_gone_only_when_others_would_be_back() {
    let now = Instant::now();

    let mut lapses = after_removal(60, 127, now);

    assert!(lapses.hold(now));
    assert!(!lapses.needs_listing(now + RETURN / 2));
    assert!(lapses.needs_listing(now + RETURN));
    assert!(!lapses.hold(now + RETURN));
}

#[test]
fn few_targets_that_vanish_are_gone_at_once() {
    let now = Instant::now();

    assert!(!after_removal(2, 4, now).hold(now), "two can end at the same time");
    assert!(!after_removal(20, 127, now).hold(now), "a service can be made smaller");
}
