//! Tests of the owner of a group, event by event.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Target, TargetState};
use sapphirerack_policy::{Action, Denial, Group, Job, Outcome, Tuning};

const SNAPSHOT: u64 = 7;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn target(name: &str) -> Target {
    Target {
        name: name.into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "munich".into(),
        version: "v1".into(),
        slots: 2,
        connections: 25,
        cold: 1,
        state: TargetState::Active,
    }
}

fn group(names: &[&str]) -> Group {
    let targets: Vec<Target> = names.iter().map(|n| target(n)).collect();
    Group::new(&targets, Tuning::default(), 1)
}

fn step(group: &mut Group, now: Instant) -> Vec<Action> {
    group.step(now, &mut |_, _| true)
}

fn submit(group: &mut Group, now: Instant, id: u64, timeout: Duration) {
    group.submit(
        now,
        Job { id, snapshot: Some(SNAPSHOT), deadline: now + timeout, single_attempt: false },
    );
}

fn dispatched(actions: &[Action]) -> Vec<(u64, u64, String)> {
    let dispatch = |a: &Action| match a {
        Action::Dispatch { attempt, job, target, .. } => Some((*attempt, *job, target.to_string())),
        _ => None,
    };
    actions.iter().filter_map(dispatch).collect()
}

/// Runs jobs one after the other, each answered after `time`, until all targets are warm.
fn warm(group: &mut Group, now: &mut Instant, time: Duration) {
    for id in 1_000_000..1_000_400 {
        submit(group, *now, id, ms(1000));
        let sent = dispatched(&step(group, *now));
        *now += time;
        for (attempt, ..) in sent {
            group.finished(*now, attempt, Outcome::Answered);
        }
        step(group, *now);
    }
    let names: Vec<_> = group.targets().cloned().collect();
    assert!(names.iter().all(|n| group.level(n) == 3), "a target is not warm after 400 jobs");
}

#[test]
fn new_target_gets_its_cold_limit() {
    let mut group = group(&["a"]);
    let now = Instant::now();

    for id in 0..5 {
        submit(&mut group, now, id, ms(100));
    }

    assert_eq!(dispatched(&step(&mut group, now)).len(), 1);
}

#[test]
fn warm_target_gets_its_slots_and_one_waiting() {
    let mut group = group(&["a"]);
    let mut now = Instant::now();
    warm(&mut group, &mut now, ms(4));

    for id in 0..9 {
        submit(&mut group, now, id, ms(100));
    }

    assert_eq!(dispatched(&step(&mut group, now)).len(), 3);
}

#[test]
fn earliest_deadline_goes_first() {
    let mut group = group(&["a"]);
    let now = Instant::now();
    submit(&mut group, now, 1, ms(90));
    submit(&mut group, now, 2, ms(50));

    let sent = dispatched(&step(&mut group, now));

    assert_eq!(sent[0].1, 2);
}

#[test]
fn shedding_target_is_reset_to_cold_and_backs_off() {
    let mut group = group(&["a"]);
    let mut now = Instant::now();
    warm(&mut group, &mut now, ms(4));
    submit(&mut group, now, 1, ms(100));
    let sent = dispatched(&step(&mut group, now));

    group.finished(now, sent[0].0, Outcome::Failed);
    submit(&mut group, now, 2, ms(100));

    assert_eq!(group.level("a"), 1);
    assert!(
        dispatched(&step(&mut group, now)).is_empty(),
        "dispatched to target a during its backoff"
    );
    assert_eq!(dispatched(&step(&mut group, now + ms(30))).len(), 1);
}

#[test]
fn target_that_turns_slow_is_reset_to_cold() {
    let mut group = group(&["a"]);
    let mut now = Instant::now();
    warm(&mut group, &mut now, ms(4));

    for id in 0..3 {
        submit(&mut group, now, id, ms(1000));
        let sent = dispatched(&step(&mut group, now));
        now += ms(60);
        group.finished(now, sent[0].0, Outcome::Answered);
        step(&mut group, now);
    }

    assert_eq!(group.level("a"), 1);
}

#[test]
fn straggler_is_hedged_on_another_replica_and_cancelled() {
    let mut group = group(&["a", "b"]);
    let mut now = Instant::now();
    warm(&mut group, &mut now, ms(4));
    submit(&mut group, now, 1, ms(200));
    let first = dispatched(&step(&mut group, now));

    now += ms(5);
    let hedge = dispatched(&step(&mut group, now));
    assert_eq!(hedge.len(), 1);
    assert_ne!(hedge[0].2, first[0].2, "hedge went to the replica of the first request");
    group.finished(now + ms(4), hedge[0].0, Outcome::Answered);
    let end = step(&mut group, now + ms(4));

    assert!(end.contains(&Action::Reply { job: 1, result: Ok(hedge[0].0), extra: 1 }));
    let loser = first[0].2.as_str().into();
    assert!(end.contains(&Action::Cancel { attempt: first[0].0, target: loser }));
}

#[test]
fn hedge_loser_counts_until_its_target_answers() {
    let mut group = group(&["a", "b"]);
    let mut now = Instant::now();
    warm(&mut group, &mut now, ms(4));
    submit(&mut group, now, 1, ms(200));
    let first = dispatched(&step(&mut group, now));
    now += ms(5);
    let hedge = dispatched(&step(&mut group, now));
    group.finished(now, hedge[0].0, Outcome::Answered);
    step(&mut group, now);

    assert_eq!(group.in_flight(&first[0].2), 1);
    group.finished(now, first[0].0, Outcome::Cancelled);

    assert_eq!(group.in_flight(&first[0].2), 0);
}

#[test]
fn lost_request_counts_until_its_deadline() {
    let mut group = group(&["a"]);
    let now = Instant::now();
    submit(&mut group, now, 1, ms(100));
    let sent = dispatched(&step(&mut group, now));

    group.finished(now + ms(1), sent[0].0, Outcome::Lost);
    step(&mut group, now + ms(99));
    assert_eq!(group.in_flight("a"), 1, "lost request was released before its deadline");
    step(&mut group, now + ms(100));

    assert_eq!(group.in_flight("a"), 0);
}

#[test]
fn failure_is_retried_on_another_replica() {
    let mut group = group(&["a", "b"]);
    let now = Instant::now();
    submit(&mut group, now, 1, ms(100));
    let first = dispatched(&step(&mut group, now));

    group.finished(now, first[0].0, Outcome::Failed);
    let retry = dispatched(&step(&mut group, now));

    assert_eq!(retry.len(), 1);
    assert_ne!(retry[0].2, first[0].2);
}

#[test]
fn failing_service_gets_no_retry_storm() {
    let mut group = group(&["a", "b", "c"]);
    let mut now = Instant::now();
    let (mut jobs, mut requests) = (0_u32, 0_u32);

    for id in 0..4000 {
        jobs += 1;
        submit(&mut group, now, id, ms(200));
        let sent = dispatched(&step(&mut group, now));
        requests += u32::try_from(sent.len()).unwrap();
        for (attempt, ..) in sent {
            group.finished(now, attempt, Outcome::Failed);
        }
        now += ms(1);
    }

    let most = f64::from(jobs) * 0.05 + Tuning::default().burst;
    assert!(f64::from(requests) <= f64::from(jobs) + most, "{requests} requests, {jobs} jobs");
}

#[test]
fn retry_goes_to_a_replica_that_holds_the_snapshot() {
    let mut group = group(&["a", "b", "c"]);
    let now = Instant::now();
    group.set_snapshots("b", vec![SNAPSHOT + 1]);
    submit(&mut group, now, 1, ms(100));
    let first = dispatched(&step(&mut group, now));

    group.finished(now, first[0].0, Outcome::Failed);
    let retry = dispatched(&step(&mut group, now));

    assert!(first[0].2 != "b" && retry[0].2 != "b");
}

#[test]
fn job_whose_snapshot_no_target_holds_is_denied() {
    let mut group = group(&["a"]);
    let now = Instant::now();
    group.set_snapshots("a", vec![SNAPSHOT + 1]);

    submit(&mut group, now, 1, ms(100));

    let denied = Action::Reply { job: 1, result: Err(Denial::NoSnapshot), extra: 0 };
    assert_eq!(step(&mut group, now), [denied]);
}

#[test]
fn job_that_cannot_meet_its_deadline_is_denied_before_dispatch() {
    let mut group = group(&["a"]);
    let mut now = Instant::now();
    warm(&mut group, &mut now, ms(10));

    for id in 0..20 {
        submit(&mut group, now, id, ms(35));
    }
    let actions = step(&mut group, now);

    let denied =
        |a: &&Action| matches!(a, Action::Reply { result: Err(Denial::Overloaded), extra: 0, .. });
    assert_eq!(dispatched(&actions).len(), 3);
    assert_eq!(
        actions.iter().filter(denied).count(),
        12,
        "expected 3 dispatched, 5 queued and 12 denied of 20"
    );
}

#[test]
fn queued_job_that_can_no_longer_meet_its_deadline_is_denied() {
    let mut group = group(&["a"]);
    let mut now = Instant::now();
    warm(&mut group, &mut now, ms(10));
    for id in 0..4 {
        submit(&mut group, now, id, ms(35));
    }
    assert_eq!(dispatched(&step(&mut group, now)).len(), 3);

    let actions = step(&mut group, now + ms(26));

    let denied = Action::Reply { job: 3, result: Err(Denial::Overloaded), extra: 0 };
    assert_eq!(actions, [denied]);
}

#[test]
fn target_rejected_by_the_filter_gets_no_jobs() {
    let mut group = group(&["a", "b"]);
    let now = Instant::now();

    for id in 0..4 {
        submit(&mut group, now, id, ms(100));
    }
    let actions = group.step(now, &mut |_, target| &*target.name == "b");

    assert!(dispatched(&actions).iter().all(|(_, _, target)| target == "b"));
    let none = group.step(now, &mut |_, _| false);
    let denied = |a: &Action| matches!(a, Action::Reply { result: Err(Denial::Overloaded), .. });
    assert!(none.iter().all(denied), "a job that the filter rejects for all targets stayed queued");
}

#[test]
fn cancelled_job_is_cancelled_at_its_target() {
    let mut group = group(&["a"]);
    let now = Instant::now();
    submit(&mut group, now, 1, ms(100));
    let sent = dispatched(&step(&mut group, now));

    group.cancel(1);

    assert_eq!(step(&mut group, now), [Action::Cancel { attempt: sent[0].0, target: "a".into() }]);
}

#[test]
fn connections_bound_the_concurrency_limit() {
    let narrow = Target { connections: 4, slots: 3, ..target("a") };
    let mut group = Group::new(&[narrow], Tuning::default(), 1);
    let mut now = Instant::now();

    for id in 0..400 {
        submit(&mut group, now, id, ms(1000));
        let sent = dispatched(&step(&mut group, now));
        now += ms(1);
        sent.iter().for_each(|s| group.finished(now, s.0, Outcome::Answered));
    }

    assert_eq!(group.level("a"), 2, "2 of 4 connections are reserved for control requests");
}

#[test]
fn slowing_service_gets_no_hedge_storm() {
    let mut group = group(&["a", "b", "c"]);
    let mut now = Instant::now();
    warm(&mut group, &mut now, ms(4));
    let mut running: Vec<(u64, Instant)> = Vec::new();
    let (mut jobs, mut requests) = (0_u32, 0_u32);

    for id in 0..2000 {
        jobs += 1;
        submit(&mut group, now, id, ms(500));
        for (attempt, ..) in dispatched(&step(&mut group, now)) {
            requests += 1;
            let latency = 16;
            running.push((attempt, now + ms(latency)));
        }
        now += ms(8);
        let done: Vec<_> = running.extract_if(.., |(_, end)| *end <= now).collect();
        done.iter().for_each(|(attempt, _)| group.finished(now, *attempt, Outcome::Answered));
    }

    let most = f64::from(jobs) * 0.025 + Tuning::default().burst;
    assert!(requests > jobs / 2, "only {requests} requests for {jobs} jobs");
    assert!(f64::from(requests) <= f64::from(jobs) + most, "{requests} requests, {jobs} jobs");
}

#[test]
fn failed_target_is_tried_only_while_the_budget_allows_a_retry() {
    let mut group = group(&["a", "b"]);
    let mut now = Instant::now();
    let mut lost = 0;

    for id in 0..400 {
        now += ms(1000);
        submit(&mut group, now, id, ms(200));
        let mut actions = step(&mut group, now);
        while let Some((attempt, _, target)) = dispatched(&actions).pop() {
            let outcome = if target == "a" { Outcome::Failed } else { Outcome::Answered };
            group.finished(now, attempt, outcome);
            actions = step(&mut group, now);
        }
        lost +=
            actions.iter().filter(|a| matches!(a, Action::Reply { result: Err(_), .. })).count();
    }

    assert_eq!(lost, 0, "{lost} jobs failed although target b was healthy");
}

#[test]
fn job_is_denied_while_lost_requests_occupy_every_target() {
    let mut group = group(&["a"]);
    let now = Instant::now();
    submit(&mut group, now, 1, ms(1000));
    let sent = dispatched(&step(&mut group, now));
    group.finished(now, sent[0].0, Outcome::Lost);
    step(&mut group, now);

    submit(&mut group, now, 2, ms(1000));

    let denied = Action::Reply { job: 2, result: Err(Denial::Overloaded), extra: 0 };
    assert_eq!(
        step(&mut group, now),
        [denied],
        "must be denied at once, so that another data centre can serve it"
    );
}

#[test]
fn at_most_once_job_is_sent_once_and_not_cancelled() {
    let mut group = group(&["a", "b"]);
    let mut now = Instant::now();
    warm(&mut group, &mut now, ms(4));
    for (id, outcome) in [(1, Some(Outcome::Failed)), (2, None)] {
        group
            .submit(now, Job { id, snapshot: None, deadline: now + ms(500), single_attempt: true });
        let sent = dispatched(&step(&mut group, now));
        now += ms(100);
        assert!(step(&mut group, now).is_empty(), "at-most-once job {id} was hedged");
        match outcome {
            Some(outcome) => group.finished(now, sent[0].0, outcome),
            None => group.cancel(id),
        }

        let end = step(&mut group, now);

        assert!(dispatched(&end).is_empty(), "at-most-once job {id} was retried");
        assert!(
            !end.iter().any(|a| matches!(a, Action::Cancel { .. })),
            "at-most-once job {id} was cancelled at its target"
        );
    }
}

#[test]
fn response_is_uninformative_after_a_failure_until_the_limit_rises() {
    let mut group = group(&["a"]);
    let mut now = Instant::now();
    warm(&mut group, &mut now, ms(4));
    assert!(!group.is_uninformative("a", ms(4)));
    submit(&mut group, now, 1, ms(100));
    let sent = dispatched(&step(&mut group, now));

    group.finished(now, sent[0].0, Outcome::Failed);
    assert!(group.is_uninformative("a", ms(4)));
    assert!(
        !group.is_uninformative("a", ms(40)),
        "a slow response is evidence even while the target recovers"
    );
    now += ms(100);
    warm(&mut group, &mut now, ms(4));

    assert!(!group.is_uninformative("a", ms(4)));
}
