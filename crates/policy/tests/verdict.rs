//! False-alarm rate and detection delay of the comparison of two versions.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use fastrand::Rng;
use sapphirerack_catalogue::Fault;
use sapphirerack_policy::evidence::{Comparison, Evidence, Outcomes, Pool, bucket, fault};
use sapphirerack_policy::verdict::FALSE_ALARM_RATE;

const BLOCKS: u64 = 100;
const RUNS: u64 = 400;

/// Number of alarms allowed: five times the stated rate.
const ALARM_LIMIT: usize = (5.0 * FALSE_ALARM_RATE * RUNS as f64) as usize;

/// Blocks in the required detection time.
const DETECT_BLOCKS: u64 = 6;

/// Behaviour of a version: share of errors, typical latency, share of slow requests.
#[derive(Clone, Copy)]
struct Version {
    errors: f64,
    millis: f64,
    stragglers: f64,
}

const GOOD: Version = Version { errors: 0.001, millis: 4.0, stragglers: 0.01 };

fn outcomes(rng: &mut Rng, version: Version, requests: usize) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for _ in 0..requests {
        let slow = if rng.f64() < version.stragglers { 10.0 } else { 1.0 };
        let time = version.millis * slow * (0.5 + rng.f64()) / 1e3;
        let is_ok = rng.f64() >= version.errors;
        outcomes.record(is_ok.then(|| Duration::from_secs_f64(time)));
    }
    outcomes
}

/// Runs a comparison with `old` and `new` requests per block; returns the fault and the number of
/// requests to the new version until it was found.
fn run(
    seed: u64,
    (old, new): (usize, usize),
    version: impl Fn(u64) -> Version,
) -> Option<(Fault, u64)> {
    let mut rng = Rng::with_seed(seed);
    let mut comparison = Comparison::new(BLOCKS);
    for block in 0..BLOCKS {
        let before = outcomes(&mut rng, GOOD, old);
        let after = outcomes(&mut rng, version(block), new);
        comparison.observe(&before, &after, true);
        if let Some(fault) = comparison.fault(1) {
            return Some((fault, (block + 1) * new as u64));
        }
    }
    None
}

#[test]
fn good_versions_are_rarely_found_bad() {
    for load in [(100, 1), (95, 5), (10, 90)] {
        let alarms = (0..RUNS).filter(|seed| run(*seed, load, |_| GOOD).is_some()).count();
        assert!(alarms <= ALARM_LIMIT, "{alarms} false alarms at {load:?} requests per block");
    }
}

#[test]
fn harmless_differences_are_tolerated() {
    let version = Version { errors: 0.005, millis: 4.4, stragglers: 0.015 };
    let alarms = (0..RUNS).filter(|seed| run(*seed, (50, 50), |_| version).is_some()).count();
    assert!(alarms <= ALARM_LIMIT, "{alarms} false alarms");
}

#[test]
fn failing_version_is_found_within_few_requests() {
    for (errors, limit) in [(1.0, 20), (0.2, 200), (0.05, 1_500)] {
        for seed in 0..20 {
            let found = run(seed, (95, 5), |_| Version { errors, ..GOOD });
            let Some((Fault::Failing, requests)) = found else {
                panic!("error rate {errors}: {found:?}");
            };
            assert!(requests <= limit, "error rate {errors}: found after {requests} requests");
        }
    }
}

#[test]
fn slow_version_is_found() {
    let cases = [
        Version { millis: 12.0, ..GOOD },
        Version { millis: 8.0, ..GOOD },
        Version { stragglers: 0.2, ..GOOD },
    ];
    for version in cases {
        for seed in 0..20 {
            let found = run(seed, (95, 5), |_| version);
            assert!(matches!(found, Some((Fault::Slow, _))), "{found:?}");
        }
    }
}

#[test]
fn late_fault_is_found_quickly_after_many_good_outcomes() {
    for seed in 0..20 {
        let begin = 75;
        let version = |block| if block < begin { GOOD } else { Version { errors: 0.5, ..GOOD } };
        let (fault, requests) = run(seed, (10, 90), version).unwrap();
        assert_eq!(fault, Fault::Failing);
        assert!(requests <= (begin + DETECT_BLOCKS) * 90, "found after {requests} requests");
    }
}

/// Pairs of one request to each version within which constant failure must be found. Under equal
/// versions the outcome has a probability of up to 4^-n, so that no test with this false-alarm rate
/// can alarm before the sixth pair.
const PAIR_LIMIT: u64 = 9;

#[test]
fn few_requests_suffice_for_a_version_that_always_fails() {
    for seed in 0..20 {
        let found = run(seed, (1, 1), |_| Version { errors: 1.0, ..GOOD });
        assert!(matches!(found, Some((Fault::Failing, n)) if n <= PAIR_LIMIT), "{found:?}");
    }
}

fn evidence(host: &str, at: u64, comparison: &Comparison) -> Evidence {
    let (trials, successes) = comparison.new_counts();
    let (host, data_centre) = (host.into(), "leith".into());
    Evidence { host, data_centre, at, trials, successes, products: comparison.products() }
}

#[test]
fn pooled_evidence_finds_a_fault_that_no_single_host_can() {
    let mut rng = Rng::with_seed(3);
    let mut pool = Pool::default();
    for host in 0..8 {
        let mut comparison = Comparison::new(BLOCKS);
        let new = Outcomes { trials: 1, failures: 1, ..Outcomes::default() };
        comparison.observe(&outcomes(&mut rng, GOOD, 20), &new, true);
        assert_eq!(comparison.fault(1), None);
        pool.merge(evidence(&format!("h{host}"), 1, &comparison));
    }
    assert_eq!(fault(&pool.products(), 1), Some(Fault::Failing));
}

#[test]
fn pool_merge_is_commutative_and_idempotent() {
    let mut comparison = Comparison::new(BLOCKS);
    let mut rng = Rng::with_seed(4);
    let mut all = Vec::new();
    for at in 1..5 {
        comparison.observe(&outcomes(&mut rng, GOOD, 9), &outcomes(&mut rng, GOOD, 3), true);
        all.push(evidence("a", at, &comparison));
        all.push(evidence("b", at, &comparison));
    }
    let (mut forward, mut backward) = (Pool::default(), Pool::default());
    for evidence in &all {
        forward.merge(evidence.clone());
    }
    for evidence in all.iter().rev().chain(&all) {
        backward.merge(evidence.clone());
    }

    assert_eq!(forward, backward);
    assert_eq!(forward.new_counts(), (24, 24));
}

#[test]
fn pool_sample_is_bounded_and_the_same_on_all_hosts() {
    let comparison = Comparison::new(BLOCKS);
    let names: Vec<String> = (0..600).map(|i| format!("h{i}")).collect();
    let (mut forward, mut backward) = (Pool::default(), Pool::default());
    for name in &names {
        forward.merge(evidence(name, 1, &comparison));
        forward.trim("m");
    }
    for name in names.iter().rev() {
        backward.merge(evidence(name, 1, &comparison));
    }
    backward.trim("m");

    assert_eq!(forward, backward);
    assert_eq!(forward.iter().count(), 256);
}

#[test]
fn buckets_increase_with_the_latency() {
    let indices: Vec<usize> =
        (0..60_000).step_by(7).map(|us| bucket(Duration::from_micros(us * 100))).collect();
    assert!(indices.is_sorted());
    assert_eq!(indices[0], 0);
    assert_eq!(bucket(Duration::from_secs(3600)), 63);
}
