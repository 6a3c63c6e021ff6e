//! Configuration changes through host processes while the store is slow, loses replies or is down.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use sapphirerack_lab::fleet::{Fleet, MEMBER_KEY, Shape};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");
const WAIT_LIMIT: Duration = Duration::from_secs(30);

fn fleet() -> Fleet {
    let shape = Shape {
        data_centres: ["munich", "augsburg"].map(Into::into).to_vec(),
        hosts: 2,
        shards: 1,
        slots: 2,
        service: Duration::from_millis(2),
        stragglers: 0.0,
        seed: 1,
    };
    let fleet = Fleet::start(Path::new(PROGRAM), &shape);
    fleet.apply(Path::new(PROGRAM));
    fleet.await_ready();
    fleet
}

/// Puts the fleet's catalogue with another concurrency limit; returns status and body.
fn put(fleet: &Fleet, host: usize, id: &str, limit: u32, base: Option<u64>) -> (u16, Value) {
    let mut catalogue = fleet.catalogue.clone();
    catalogue.services[0].limits.concurrency = limit;
    let url = format!("http://{}/catalogue", fleet.hosts[host].operators);
    let mut request = minreq::put(url)
        .with_header("x-change-id", id)
        .with_header("x-member", "zeugenwerk")
        .with_header("authorization", format!("Bearer {MEMBER_KEY}"))
        .with_body(serde_json::to_string(&catalogue).unwrap())
        .with_timeout(30);
    if let Some(base) = base {
        request = request.with_header("x-base-version", base.to_string());
    }
    let response = request.send().unwrap();
    (response.status_code, serde_json::from_slice(response.as_bytes()).unwrap())
}

fn get(fleet: &Fleet, host: usize, path: &str) -> Value {
    let url = format!("http://{}/{path}", fleet.hosts[host].operators);
    let response = minreq::get(url).with_timeout(5).send().unwrap();
    serde_json::from_slice(response.as_bytes()).unwrap()
}

fn await_version(fleet: &Fleet, version: u64) {
    let limit = Instant::now() + WAIT_LIMIT;
    let is_in_force = |i| get(fleet, i, "status")["version"] == version;
    while !(0..fleet.hosts.len()).all(is_in_force) {
        assert!(Instant::now() < limit, "version {version} is not in force everywhere");
        thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn change_comes_into_force_with_a_slow_store() {
    let fleet = fleet();
    fleet.store.update(|f| f.latency = Duration::from_millis(300));

    let (status, _) = put(&fleet, 0, "slow", 10, None);

    assert_eq!(status, 200);
    await_version(&fleet, 2);
}

#[test]
fn change_is_accepted_and_in_force_when_replies_of_the_store_are_lost() {
    let fleet = fleet();
    fleet.store.update(|f| f.lost = 1.0);

    let (status, answer) = put(&fleet, 0, "lost", 10, None);

    assert_eq!((status, &answer["version"]), (200, &2.into()), "{answer}");
    await_version(&fleet, 2);
}

#[test]
fn change_of_unknown_outcome_is_accepted_once_on_retry_at_another_host() {
    let fleet = fleet();
    fleet.store.update(|f| f.silent = 1.0);
    let store = &fleet.store;
    let first = thread::scope(|scope| {
        let change = scope.spawn(|| put(&fleet, 0, "silent", 10, None));
        let limit = Instant::now() + WAIT_LIMIT;
        while store.value("catalogue/head").unwrap().0 < 2 && !change.is_finished() {
            assert!(Instant::now() < limit, "catalogue/head was not written");
            thread::sleep(Duration::from_millis(5));
        }
        store.update(|f| f.outage = true);
        change.join().unwrap()
    });
    store.update(|f| (f.outage, f.silent) = (false, 0.0));

    let (status, answer) = put(&fleet, 3, "silent", 10, None);

    assert!(first.0 == 504 || first.0 == 200, "{first:?}");
    assert_eq!((status, &answer["version"]), (200, &2.into()), "{answer}");
    await_version(&fleet, 2);
}

#[test]
fn change_during_a_store_outage_is_refused_as_not_run() {
    let fleet = fleet();
    fleet.store.update(|f| f.outage = true);

    let (status, answer) = put(&fleet, 0, "down", 10, None);

    assert_eq!((status, &answer["not_run"]), (503, &true.into()));
    fleet.store.update(|f| f.outage = false);
    assert_eq!(get(&fleet, 0, "status")["version"], 1);
}

#[test]
fn one_of_two_concurrent_changes_is_refused_with_the_newer_version() {
    let fleet = fleet();
    fleet.store.update(|f| f.latency = Duration::from_millis(100));

    let outcomes = thread::scope(|scope| {
        let race = |i: usize| {
            let fleet = &fleet;
            scope.spawn(move || put(fleet, i, &format!("race-{i}"), 10 + i as u32, Some(1)))
        };
        [race(0), race(3)].map(|r| r.join().unwrap())
    });

    let mut statuses = outcomes.each_ref().map(|o| o.0);
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 409], "{outcomes:?}");
    let refused = outcomes.iter().find(|o| o.0 == 409).unwrap();
    assert!(refused.1["error"].as_str().unwrap().contains("version 2 by zeugenwerk"));
    await_version(&fleet, 2);
}
