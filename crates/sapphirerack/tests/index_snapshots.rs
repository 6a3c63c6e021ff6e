//! Index snapshots that change, and shards that are repartitioned, while queries run.

#![allow(clippy::unwrap_used)]

mod query_support;

use std::thread;
use std::time::Duration;

use query_support::{
    DATA_CENTRES, await_complete, catalogue, is_complete, load, plan, search_checked, start,
};
use sapphirerack_catalogue::{PARTITION_SPACE, Span};
use sapphirerack_lab::fleet::Fleet;
use sapphirerack_lab::target::{Behaviour, ReplyFault, ReplyKind};

const DEADLINE: Duration = Duration::from_secs(2);
const SERVICE_TIME: Duration = Duration::from_millis(2);
const UPDATE_PAUSE: Duration = Duration::from_millis(60);

fn fleet(shards: u32, replicas: &[&str]) -> Fleet {
    let plan = plan(catalogue(shards, replicas, DEADLINE), &DATA_CENTRES);
    start(plan.with_behaviour(|_, _, b| Behaviour { service: SERVICE_TIME, ..b }))
}

#[test]
fn answers_never_mix_snapshots_while_targets_change() {
    let fleet = fleet(4, &["munich", "munich", "nuremberg", "nuremberg"]);

    let answers = thread::scope(|scope| {
        let queries = scope.spawn(|| load(&fleet.hosts, 6, 120, DEADLINE));
        for (both, next) in [(vec![1, 2], vec![2]), (vec![2, 3], vec![3])] {
            for snapshots in [both, next] {
                for target in &fleet.targets {
                    target.update(|b| b.snapshots = snapshots.clone());
                    thread::sleep(UPDATE_PAUSE / 8);
                }
            }
        }
        queries.join().unwrap()
    });

    assert!(answers.iter().all(Option::is_some));
    fleet.hosts.iter().for_each(await_complete);
    let last = search_checked(&fleet.hosts[0], "q", DEADLINE).unwrap();
    assert_eq!(last["snapshot"], 3);
}

#[test]
fn shard_that_lacks_the_snapshot_is_left_out_and_not_counted() {
    let fleet = fleet(4, &["munich"]);
    fleet.targets[0].update(|b| b.snapshots = vec![9]);

    let answers: Vec<_> = (0..40)
        .map(|i| search_checked(&fleet.hosts[0], &format!("q{i}"), DEADLINE).unwrap())
        .collect();

    let last = answers.last().unwrap();
    assert_eq!((&last["snapshot"], &last["coverage"]), (&1.into(), &0.75.into()));
}

#[test]
fn repartitioned_snapshot_is_covered_by_its_own_partitions() {
    let fleet = fleet(2, &["munich", "munich"]);
    let spans =
        [Span::new(0, PARTITION_SPACE / 4), Span::new(PARTITION_SPACE / 4, PARTITION_SPACE)];
    for (i, target) in fleet.targets.iter().enumerate() {
        target.update(|b| {
            b.repartitioned = vec![(2, spans[i / 2])];
            b.snapshots = vec![1, 2];
        });
    }
    for target in &fleet.targets {
        target.update(|b| b.snapshots = vec![2]);
    }

    await_complete(&fleet.hosts[0]);

    let answer = search_checked(&fleet.hosts[0], "q", DEADLINE).unwrap();
    assert!(is_complete(&answer));
    assert_eq!(answer["snapshot"], 2);
}

#[test]
fn overlapping_parts_are_not_counted_twice() {
    let fleet = fleet(2, &["munich"]);
    fleet.targets[0].update(|b| b.span = Span::new(0, PARTITION_SPACE));

    let answers = load(&fleet.hosts, 3, 20, DEADLINE);

    // `load` checks that coverage is the sum of the parts' spans, so an overlap would raise it
    // above 1.
    let coverage = |a: &serde_json::Value| a["coverage"].as_f64().unwrap();
    assert!(answers.iter().flatten().all(|a| coverage(a) <= 1.0));
}

#[test]
fn parts_of_a_wrong_snapshot_never_enter_an_answer() {
    let fleet = fleet(2, &DATA_CENTRES);
    for target in &fleet.targets {
        let fault = ReplyFault { kind: ReplyKind::WrongSnapshot, share: 0.3 };
        target.update(|b| b.replies = vec![fault]);
    }

    let answers = load(&fleet.hosts, 3, 60, DEADLINE);

    assert!(answers.iter().flatten().all(|a| a["snapshot"] == 1));
}
