//! Queries beyond a service's concurrency limit are refused, and one refused as `not_run` does not
//! reach a target.

#![allow(clippy::unwrap_used)]

mod query_support;

use std::time::{Duration, Instant};

use query_support::{WAIT_LIMIT, catalogue, is_complete, plan, search, start};

/// Below the longest timeout that a host accepts from callers.
const TIMEOUT: Duration = Duration::from_secs(8);

#[test]
fn query_beyond_the_concurrency_limit_is_refused_as_not_run() {
    let mut catalogue = catalogue(1, &["munich"], WAIT_LIMIT);
    catalogue.services[0].limits.concurrency = 1;
    let fleet = start(plan(catalogue, &["munich"]));
    let target = &fleet.targets[0];
    target.update(|b| b.service = Duration::from_secs(2));
    let before = target.counters().received;

    std::thread::scope(|scope| {
        let first = scope.spawn(|| search(&fleet.hosts[0], "first", TIMEOUT));
        let limit = Instant::now() + WAIT_LIMIT;
        while target.counters().received == before {
            assert!(Instant::now() < limit, "the first query did not reach the target");
            std::thread::yield_now();
        }
        let second = search(&fleet.hosts[0], "second", TIMEOUT).unwrap();

        assert_eq!(second["not_run"], true, "{second}");
        assert!(first.join().unwrap().is_some_and(|a| is_complete(&a)));
    });
    assert_eq!(target.counters().received, before + 1, "the refused query reached the target");
}
