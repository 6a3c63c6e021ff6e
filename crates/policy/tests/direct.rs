//! Load balancing, admission and reads of the store, under slow, silent, refusing, cold and
//! overloaded targets.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod direct_support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphirerack_policy::direct::{
    Admission, Balancer, ColdLimit, Cutoff, Decision, Ending, LatencyEstimator, ReadBackoff,
    SharedLimits, Split, max_staleness,
};
use sapphirerack_routes::{Target, WeightedService};

use direct_support::{EXPECTED, OVERDUE, balancer_of, ms, target};

const LIMITS: SharedLimits = SharedLimits { hosts: 8, extra: 0.2, slack: 56.0 };

fn cold(id: &str) -> Arc<Target> {
    Arc::new(Target { cold: ms(3_000), ..(*target(id, "here")).clone() })
}

fn balancer(targets: &[Arc<Target>], now: Instant) -> Balancer {
    balancer_of(targets, LIMITS, now)
}

/// Sends `count` requests at intervals of `gap`; those to the target `slow` take ten times as long.
/// Returns how many went to it.
fn run(balancer: &mut Balancer, slow: &str, count: u32, gap: Duration, start: Instant) -> u32 {
    let mut sent = 0;
    let mut open: Vec<(Instant, _)> = Vec::new();
    for n in 0..count {
        let now = start + gap * n;
        for (_, choice) in open.extract_if(.., |(end, _)| *end <= now) {
            balancer.end(&choice, Ending::Answered, now);
        }
        let Some(choice) = balancer.choose(&[], EXPECTED, OVERDUE, now) else { continue };
        let is_slow = &*choice.target.id == slow;
        sent += u32::from(is_slow);
        open.push((now + if is_slow { EXPECTED * 10 } else { EXPECTED }, choice));
    }
    sent
}

#[test]
fn slow_target_gets_few_requests_while_others_answer() {
    let now = Instant::now();
    let mut balancer =
        balancer(&[target("a", "here"), target("b", "here"), target("c", "here")], now);

    let sent = run(&mut balancer, "a", 400, ms(20), now);

    assert!(sent > 0, "the slow target is still tried, to detect its recovery");
    assert!(sent < 400 / 10, "{sent} of 400 requests went to the slow target");
}

#[test]
fn paused_target_is_avoided_while_it_is_silent_and_used_soon_after() {
    let now = Instant::now();
    let mut balancer = balancer(&[target("a", "here"), target("b", "far")], now);
    let first = balancer.choose(&[], EXPECTED, OVERDUE, now).unwrap();
    assert_eq!(&*first.target.id, "a");

    let during = balancer.choose(&[], EXPECTED, OVERDUE, now + ms(60)).unwrap();
    balancer.end(&during, Ending::Answered, now + ms(70));
    balancer.end(&first, Ending::Answered, now + ms(120));
    let after = balancer.choose(&[], EXPECTED, OVERDUE, now + ms(1_300)).unwrap();

    assert_eq!(&*during.target.id, "b");
    assert_eq!(&*after.target.id, "a");
}

#[test]
fn reports_of_one_pause_do_not_make_a_target_slow_and_later_ones_do() {
    let now = Instant::now();
    let slow = |at: Instant| {
        let mut other = balancer(&[target("a", "here")], at);
        let choice = other.choose(&[], EXPECTED, OVERDUE, at).unwrap();
        other.end(&choice, Ending::Answered, at + ms(120));
        other.replicas()[0].report(at + ms(125)).unwrap()
    };
    let mut own = balancer(&[target("a", "here")], now);

    assert!(!own.merge_report(&slow(now), now + ms(125)));
    assert!(!own.merge_report(&slow(now + ms(10)), now + ms(135)), "the same pause");
    assert!(own.merge_report(&slow(now + ms(400)), now + ms(525)));
}

#[test]
fn target_that_refuses_half_its_requests_gets_less_than_one_that_does_not() {
    let now = Instant::now();
    let mut balancer = balancer(&[target("a", "here"), target("b", "here")], now);
    let mut sent = 0;

    for n in 0..200 {
        let at = now + ms(20) * n;
        let choice = balancer.choose(&[], EXPECTED, OVERDUE, at).unwrap();
        let refusing = &*choice.target.id == "a";
        sent += u32::from(refusing);
        let ending = if refusing && n % 2 == 0 { Ending::Refused } else { Ending::Answered };
        balancer.end(&choice, ending, at + EXPECTED);
    }

    assert!(sent < 50, "{sent} of 200 requests went to the refusing target");
}

#[test]
fn host_keeps_to_its_share_of_a_targets_connections() {
    let now = Instant::now();
    let mut balancer = balancer(&[target("a", "here")], now);

    let sent = (0..100).filter(|_| balancer.choose(&[], EXPECTED, OVERDUE, now).is_some()).count();

    assert_eq!(sent, 4);
    assert_eq!(balancer.admitted_share(now), 0.0, "no target has capacity");
}

#[test]
fn hosts_together_keep_a_cold_target_within_its_rate() {
    let (rate, hosts) = (20.0, 8);
    let now = Instant::now();
    let mut limits = vec![ColdLimit::new(); hosts];

    for window in 0..5 {
        let mut sent = 0;
        for step in 0..100 {
            let at = now + ms(1_000 * window + 10 * step);
            sent += limits
                .iter_mut()
                .filter_map(|l| l.try_acquire(rate, hosts, at).then_some(()))
                .count();
        }
        assert!(sent as f64 <= rate, "{sent} requests in second {window}");
    }
}

#[test]
fn cold_target_at_its_rate_limit_is_skipped() {
    let now = Instant::now();
    let mut balancer = Balancer::new(LIMITS, fastrand::Rng::with_seed(7), now);
    balancer.update(&[cold("a"), target("b", "far")], "here", 8.0, now);

    let ids: Vec<String> = (0..4)
        .filter_map(|_| balancer.choose(&[], EXPECTED, OVERDUE, now))
        .map(|c| c.target.id.to_string())
        .collect();

    assert_eq!(ids.iter().filter(|id| **id == "a").count(), 1);
}

#[test]
fn extra_requests_of_all_hosts_stay_within_the_budget_when_everything_fails() {
    let now = Instant::now();
    let two = [target("a", "here"), target("b", "here")];
    let mut balancers: Vec<Balancer> = (0..8).map(|_| balancer(&two, now)).collect();
    let (mut requests, mut extra) = (0.0, 0.0);

    for _ in 0..500 {
        for balancer in &mut balancers {
            requests += 1.0;
            balancer.earn();
            extra += f64::from(u8::from(balancer.try_retry(&[], now)));
            extra += f64::from(u8::from(balancer.try_hedge(&[], now)));
        }
    }

    assert!(extra <= 0.2 * requests + 56.0, "{extra} extra for {requests} requests");
    assert!(extra >= 0.1 * requests, "only {extra} extra for {requests} requests");
}

#[test]
fn budget_is_not_filled_again_when_a_host_discovers_others() {
    let now = Instant::now();
    let few = SharedLimits { hosts: 3, ..LIMITS };
    let mut balancer = Balancer::new(few, fastrand::Rng::with_seed(7), now);
    balancer.update(&[target("a", "here")], "here", 0.0, now);
    while balancer.try_retry(&[], now) {}

    for hosts in 4..=75 {
        balancer.set_shared_limits(SharedLimits { hosts, ..LIMITS });
    }

    assert!(!balancer.try_retry(&[], now));
}

/// Loads one shard at 1.5 times its capacity; parts are in time only while its backlog is short.
/// Returns the share of admitted queries whose part was in time, and the share of queries admitted.
fn overload(seconds: u64) -> (f64, f64) {
    let start = Instant::now();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut admission = Admission::new(start);
    let (per_second, capacity) = (150, 100.0);
    let (mut asked, mut admitted, mut in_time) = (0.0, 0.0, 0.0);
    let mut backlog: f64 = 0.0;
    for n in 0..seconds * per_second {
        let now = start + Duration::from_secs(n) / per_second as u32;
        backlog = (backlog - capacity / per_second as f64).max(0.0);
        let take = rng.f64() < admission.share(now);
        let settled = n >= 5 * per_second;
        if settled {
            asked += 1.0;
        }
        if !take {
            continue;
        }
        backlog += 1.0;
        let ok = backlog / capacity < 0.06;
        admission.record(ok, now);
        if settled {
            admitted += 1.0;
            in_time += f64::from(u8::from(ok));
        }
    }
    (in_time / admitted, admitted / asked)
}

#[test]
fn overloaded_shard_admits_no_more_than_it_answers_in_time() {
    let (in_time, admitted) = overload(30);

    assert!(in_time > 0.6, "{in_time:.2} of the admitted queries got their part in time");
    assert!(
        (0.4..0.8).contains(&admitted),
        "{admitted:.2} of the queries are admitted, 0.67 fit the capacity"
    );
}

#[test]
fn recovered_shard_admits_all_queries_again() {
    let start = Instant::now();
    let mut admission = Admission::new(start);
    for n in 0..100 {
        admission.record(false, start + ms(n));
    }
    assert!(admission.share(start + ms(100)) < 0.2);

    assert_eq!(admission.share(start + ms(10_000)), 1.0);
}

#[test]
fn query_waits_for_all_parts_until_its_objective_and_then_for_enough() {
    let now = Instant::now();
    let (aim, deadline) = (now + ms(90), now + ms(900));
    let cutoff = Cutoff { total: 10, min_parts: 9, aim, deadline };

    assert_eq!(cutoff.decide(9, 1, now), Decision::Wait(aim));
    assert_eq!(cutoff.decide(9, 1, aim), Decision::Answer);
    assert_eq!(cutoff.decide(10, 0, now), Decision::Answer);
    assert_eq!(cutoff.decide(8, 2, aim), Decision::Wait(deadline));
    assert_eq!(cutoff.decide(9, 0, now), Decision::Answer, "no part is outstanding");
    assert_eq!(cutoff.decide(8, 0, now), Decision::GiveUp);
    assert_eq!(cutoff.decide(8, 2, deadline), Decision::GiveUp);
}

#[test]
fn stragglers_do_not_raise_the_overdue_threshold() {
    let mut latency = LatencyEstimator::new(ms(20));

    for n in 0..1_000 {
        latency.record(if n % 20 == 0 { ms(2_000) } else { ms(10) });
    }

    assert!(latency.overdue() < ms(45), "{:?}", latency.overdue());
    assert!(latency.overdue() > ms(15));
}

#[test]
fn split_holds_the_weights_over_few_requests() {
    let weighted = |service: &str, weight| WeightedService { service: service.into(), weight };
    let services = [weighted("old", 0.9), weighted("new", 0.1), weighted("none", 0.0)];
    let mut split = Split::default();

    let new = (0..20).filter(|_| &**split.next(&services).unwrap() == "new").count();

    assert_eq!(new, 2);
    assert_eq!(split.next(&[]), None);
}

#[test]
fn one_host_reads_for_all_and_another_takes_over_when_it_is_down() {
    let first = max_staleness(0, 0);
    let first_elsewhere = max_staleness(3, 0);
    let second = max_staleness(1, 1);

    assert!(first < first_elsewhere && first_elsewhere < second);
    assert!(
        second < Duration::from_secs(3),
        "the second reader of a data centre reads before a drain has to be known, within 3 s"
    );
    assert!(max_staleness(74, 24) > second);
}

#[test]
fn backoff_grows_to_a_bound_while_the_store_does_not_answer() {
    let mut backoff = ReadBackoff::default();

    let delays: Vec<Duration> = (0..6).map(|_| backoff.failed(ms(850))).collect();

    assert!(delays.windows(2).all(|p| p[0] <= p[1]));
    assert!(delays[5] <= ms(1_500));
    backoff.succeeded();
    assert_eq!(backoff.failed(ms(850)), delays[0]);
}
