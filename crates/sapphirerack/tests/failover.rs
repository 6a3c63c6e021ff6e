//! Owners that are killed, frozen or overloaded cost no coverage.

#![allow(clippy::unwrap_used)]

mod query_support;

use std::thread;
use std::time::Duration;

use query_support::{CENTRES, LONG, catalogue, checked, is_complete, load, plan, start};
use sapphirerack_lab::fleet::{Fleet, HostProcess};
use sapphirerack_lab::target::{Behaviour, ReplyFault, ReplyKind};
use serde_json::Value;

const DEADLINE: Duration = Duration::from_secs(2);
const SERVICE: Duration = Duration::from_millis(2);

/// Three hosts in one data centre with three replicas of each of eight shards.
fn one_centre() -> Fleet {
    let plan = plan(catalogue(8, &["munich"; 3], DEADLINE), &["munich"; 3]);
    start(plan.with_behaviour(|_, _, b| Behaviour { service: SERVICE, ..b }))
}

/// Queries at the first host while `hurt` happens to another.
fn during(fleet: &mut Fleet, hurt: impl FnOnce(&mut HostProcess)) -> Vec<Option<Value>> {
    let (first, others) = fleet.hosts.split_at_mut(1);
    thread::scope(|scope| {
        let queries = scope.spawn(|| load(first, 4, 150, DEADLINE));
        thread::sleep(Duration::from_millis(150));
        hurt(&mut others[0]);
        queries.join().unwrap()
    })
}

fn assert_complete(answers: &[Option<Value>]) {
    let missing: Vec<_> = answers.iter().filter(|a| !a.as_ref().is_some_and(is_complete)).collect();
    assert!(missing.is_empty(), "{} incomplete, such as {:?}", missing.len(), missing[0]);
}

#[test]
fn killed_owner_costs_no_coverage() {
    let mut fleet = one_centre();

    let answers = during(&mut fleet, HostProcess::kill);

    assert_complete(&answers);
}

#[test]
fn frozen_owner_costs_no_coverage() {
    let mut fleet = one_centre();

    let answers = during(&mut fleet, |host| host.freeze());

    assert_complete(&answers);
}

#[test]
fn thawed_owner_is_asked_again() {
    let mut fleet = one_centre();
    let answers = during(&mut fleet, |host| host.freeze());
    assert_complete(&answers);

    fleet.hosts[1].thaw();

    assert_complete(&load(&fleet.hosts, 3, 20, DEADLINE));
}

#[test]
fn lost_replica_is_replaced_by_another_data_centre() {
    let plan = plan(catalogue(4, &CENTRES, DEADLINE), &CENTRES);
    let fleet = start(plan.with_behaviour(|_, _, b| Behaviour { service: SERVICE, ..b }));

    fleet.targets_in("munich")[0].update(|b| b.down = true);
    let answers = load(&fleet.hosts[..1], 2, 60, DEADLINE);

    let complete = answers.iter().flatten().filter(|a| is_complete(a)).count();
    assert!(complete * 10 >= answers.len() * 9, "{complete} of {}", answers.len());
    assert!(is_complete(answers.last().unwrap().as_ref().unwrap()), "it settles");
}

#[test]
fn answer_leaves_at_the_deadline_with_what_there_is() {
    let late = ReplyFault { kind: ReplyKind::Delayed(LONG), share: 1.0 };
    let plan = plan(catalogue(4, &["munich"], DEADLINE), &["munich"]);
    let fleet = start(plan);
    fleet.targets[0].update(|b| b.replies = vec![late]);

    let answer = checked(&fleet.hosts[0], "q", Duration::from_millis(300)).unwrap();

    assert_eq!(answer["deadline_cut"], true);
    assert_eq!(answer["coverage"], 0.75);
}
