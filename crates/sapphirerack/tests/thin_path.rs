//! Smoke test of the binary over real sockets: a catalogue is applied, then searches are answered.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use sapphirerack_lab::fleet::{Fleet, Shape};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");

fn fleet() -> Fleet {
    let shape = Shape {
        data_centres: ["munich", "nuremberg", "augsburg"].map(Into::into).to_vec(),
        hosts: 2,
        shards: 4,
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

#[test]
fn search_is_scattered_and_gathered() {
    let fleet = fleet();

    for host in &fleet.hosts {
        let url = format!("http://{}/search/search", host.callers);
        let mut response = ureq::post(url).send("spare clock").unwrap();
        let answer: Value =
            serde_json::from_slice(&response.body_mut().read_to_vec().unwrap()).unwrap();

        assert_eq!(answer["coverage"], 1.0);
        assert_eq!(answer["complete"], true);
        assert_eq!(answer["deadline_cut"], false);
        assert_eq!(answer["snapshot"], 1);
        let parts = answer["parts"].as_array().unwrap();
        assert_eq!(parts.len(), 4);
        assert!(parts.iter().all(|p| p["results"][0]["query"] == "spare clock"));
    }
}

#[test]
fn unknown_service_is_refused_as_not_run() {
    let fleet = fleet();

    let url = format!("http://{}/search/none", fleet.hosts[0].callers);
    let agent: ureq::Agent =
        ureq::Agent::config_builder().http_status_as_error(false).build().into();
    let mut response = agent.post(url).send("x").unwrap();
    let refusal: Value =
        serde_json::from_slice(&response.body_mut().read_to_vec().unwrap()).unwrap();

    assert_eq!(response.status(), 404);
    assert_eq!(refusal["not_run"], true);
}
