//! Coverage when the owner of a shard is killed or frozen, a replica is down or a reply is late.

#![allow(clippy::unwrap_used)]

mod query_support;

use std::thread;
use std::time::Duration;

use query_support::{
    DATA_CENTRES, WAIT_LIMIT, catalogue, is_complete, load, plan, search_checked, start,
};
use sapphirerack_lab::fleet::{Fleet, HostProcess};
use sapphirerack_lab::target::{Behaviour, ReplyFault, ReplyKind};
use serde_json::Value;

const DEADLINE: Duration = Duration::from_secs(2);
const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Three hosts in one data centre with three replicas of each of eight shards.
fn one_data_centre() -> Fleet {
    let plan = plan(catalogue(8, &["munich"; 3], DEADLINE), &["munich"; 3]);
    start(plan.with_behaviour(|_, _, b| Behaviour { service: SERVICE_TIME, ..b }))
}

/// Runs load at the first host while `fault` hits the second.
fn load_during(fleet: &mut Fleet, fault: impl FnOnce(&mut HostProcess)) -> Vec<Option<Value>> {
    let (first, others) = fleet.hosts.split_at_mut(1);
    thread::scope(|scope| {
        let queries = scope.spawn(|| load(first, 4, 150, DEADLINE));
        thread::sleep(Duration::from_millis(150));
        fault(&mut others[0]);
        queries.join().unwrap()
    })
}

fn assert_complete(answers: &[Option<Value>]) {
    let incomplete: Vec<_> =
        answers.iter().filter(|a| !a.as_ref().is_some_and(is_complete)).collect();
    assert!(
        incomplete.is_empty(),
        "{} incomplete answers, first {:?}",
        incomplete.len(),
        incomplete[0]
    );
}

#[test]
fn killed_owner_does_not_reduce_coverage() {
    let mut fleet = one_data_centre();

    let answers = load_during(&mut fleet, HostProcess::kill);

    assert_complete(&answers);
}

#[test]
fn frozen_owner_does_not_reduce_coverage() {
    let mut fleet = one_data_centre();

    let answers = load_during(&mut fleet, |host| host.freeze());

    assert_complete(&answers);
}

#[test]
fn answers_stay_complete_after_an_owner_is_thawed() {
    let mut fleet = one_data_centre();
    let answers = load_during(&mut fleet, |host| host.freeze());
    assert_complete(&answers);

    fleet.hosts[1].thaw();

    assert_complete(&load(&fleet.hosts, 3, 20, DEADLINE));
}

#[test]
fn lost_replica_is_replaced_by_another_data_centre() {
    let plan = plan(catalogue(4, &DATA_CENTRES, DEADLINE), &DATA_CENTRES);
    let fleet = start(plan.with_behaviour(|_, _, b| Behaviour { service: SERVICE_TIME, ..b }));

    fleet.targets_in("munich")[0].update(|b| b.down = true);
    let answers = load(&fleet.hosts[..1], 2, 60, DEADLINE);

    let complete = answers.iter().flatten().filter(|a| is_complete(a)).count();
    assert!(complete * 10 >= answers.len() * 9, "{complete} of {} answers complete", answers.len());
    assert!(
        is_complete(answers.last().unwrap().as_ref().unwrap()),
        "the last answer is incomplete"
    );
}

#[test]
fn answer_at_the_deadline_is_partial() {
    let late = ReplyFault { kind: ReplyKind::Delayed(WAIT_LIMIT), share: 1.0 };
    let plan = plan(catalogue(4, &["munich"], DEADLINE), &["munich"]);
    let fleet = start(plan);
    fleet.targets[0].update(|b| b.replies = vec![late]);

    let answer = search_checked(&fleet.hosts[0], "q", Duration::from_millis(300)).unwrap();

    assert_eq!(answer["deadline_cut"], true);
    assert_eq!(answer["coverage"], 0.75);
}
