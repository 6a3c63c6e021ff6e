//! Authentication of operators, and authorization of their changes by member.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::process::Command;
use std::time::Duration;

use sapphirerack_catalogue::key_hash;
use sapphirerack_lab::fleet::{Fleet, MEMBER_KEY, Shape};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");

fn fleet() -> Fleet {
    let shape = Shape {
        data_centres: vec!["munich".into()],
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

/// Sends a request as a member with a key; returns status and body.
fn send_as(fleet: &Fleet, request: minreq::Request, member: &str, key: &str) -> (u16, Value) {
    let request = request.with_header("x-member", member).with_timeout(20);
    let request = request.with_header("authorization", format!("Bearer {key}"));
    let response = request.with_header("x-change-id", "c1").send().unwrap();
    assert!(fleet.hosts.len() == 2);
    (response.status_code, serde_json::from_slice(response.as_bytes()).unwrap_or_default())
}

fn put_request(fleet: &Fleet) -> minreq::Request {
    let body = serde_json::to_string(&fleet.catalogue).unwrap();
    minreq::put(format!("http://{}/catalogue", fleet.hosts[0].operators)).with_body(body)
}

fn catalogue(fleet: &Fleet) -> Value {
    let url = format!("http://{}/catalogue", fleet.hosts[0].operators);
    serde_json::from_slice(minreq::get(url).send().unwrap().as_bytes()).unwrap()
}

#[test]
fn changes_without_the_right_key_are_refused_and_change_nothing() {
    let fleet = fleet();
    let before = catalogue(&fleet);

    let wrong = send_as(&fleet, put_request(&fleet), "zeugenwerk", "wrong");
    let unknown = send_as(&fleet, put_request(&fleet), "nobody", MEMBER_KEY);
    let missing = put_request(&fleet).with_header("x-change-id", "c1").send().unwrap();

    assert_eq!((wrong.0, unknown.0, missing.status_code), (403, 403, 401));
    assert_eq!(wrong.1["not_run"], true);
    assert_eq!(catalogue(&fleet), before);
}

#[test]
fn change_on_a_stale_base_is_refused_with_the_newer_version() {
    let fleet = fleet();
    let stale = put_request(&fleet).with_header("x-base-version", "1");
    fleet.apply(Path::new(PROGRAM));

    let (status, body) = send_as(&fleet, stale, "zeugenwerk", MEMBER_KEY);

    assert_eq!(status, 409);
    let reason = body["error"].as_str().unwrap();
    assert!(reason.contains("version 2 by zeugenwerk"), "{reason}");
}

#[test]
fn repeated_change_is_accepted_once() {
    let fleet = fleet();

    let first = send_as(&fleet, put_request(&fleet), "zeugenwerk", MEMBER_KEY);
    let again = send_as(&fleet, put_request(&fleet), "zeugenwerk", MEMBER_KEY);

    assert_eq!((first.0, first.1["version"].as_u64()), (200, Some(2)));
    assert_eq!((again.0, again.1["version"].as_u64()), (200, Some(2)));
    assert_eq!(catalogue(&fleet)["version"], 2);
}

#[test]
fn member_joins_after_approval_and_may_not_change_services_of_others() {
    let fleet = fleet();
    run(&fleet, &["propose", "castlegate", &key_hash("their key")]);

    let mut edited = fleet.catalogue.clone();
    edited.members =
        serde_json::from_value(catalogue(&fleet)["catalogue"]["members"].clone()).unwrap();
    edited.services.clear();
    let body = serde_json::to_string(&edited).unwrap();
    let request = minreq::put(format!("http://{}/catalogue", fleet.hosts[0].operators));
    let (status, refusal) = send_as(&fleet, request.with_body(body), "castlegate", "their key");

    // Proposing counts as approval, and the proposing member was the only one.
    assert_eq!(edited.members.len(), 2);
    assert_eq!(status, 403, "{refusal}");
    assert_eq!(catalogue(&fleet)["catalogue"]["services"].as_array().unwrap().len(), 1);
}

#[test]
fn approval_of_another_proposal_is_refused() {
    let fleet = fleet();
    run(&fleet, &["propose", "castlegate", &key_hash("their key")]);
    run(&fleet, &["propose", "third", &key_hash("third key")]);

    let url = format!("http://{}/members/approve", fleet.hosts[0].operators);
    let body = r#"{ "name": "third", "digest": "00" }"#;
    let wrong = send_as(&fleet, minreq::post(url).with_body(body), "castlegate", "their key");

    assert_eq!(wrong.0, 409);
    assert_eq!(catalogue(&fleet)["catalogue"]["members"].as_array().unwrap().len(), 2);
    assert_eq!(catalogue(&fleet)["catalogue"]["proposals"].as_array().unwrap().len(), 1);
}

fn run(fleet: &Fleet, args: &[&str]) {
    let status = Command::new(PROGRAM)
        .args(args)
        .args(["--host", &fleet.hosts[0].operators.to_string(), "--member", "zeugenwerk"])
        .env("SAPPHIRERACK_KEY", MEMBER_KEY)
        .status()
        .unwrap();
    assert!(status.success(), "{args:?}");
}
