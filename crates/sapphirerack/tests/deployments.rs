//! The brief's two deployments as fleets: they answer, hosts come and go, data centres lose the store.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::{Duration, Instant};

use sapphirerack_clients::Store;
use sapphirerack_lab::fleet::{Fleet, HostProcess, Plan};
use sapphirerack_lab::target::Behaviour;
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");
const LONG: Duration = Duration::from_secs(30);

fn fleet(plan: Plan) -> Fleet {
    let fast = |_: &_, _: &_, behaviour| Behaviour { service: Duration::ZERO, ..behaviour };
    let fleet = Fleet::launch(Path::new(PROGRAM), plan.with_behaviour(fast));
    fleet.apply(Path::new(PROGRAM));
    fleet.await_ready();
    fleet
}

fn search(host: &HostProcess, service: &str) -> Option<Value> {
    let url = format!("http://{}/search/{service}", host.callers);
    let config = ureq::Agent::config_builder().timeout_global(Some(Duration::from_secs(2)));
    let agent: ureq::Agent = config.build().into();
    let mut response = agent.post(url).send("q").ok()?;
    serde_json::from_slice(&response.body_mut().read_to_vec().ok()?).ok()
}

/// Searches until an answer is complete.
fn await_complete(host: &HostProcess, service: &str) {
    let limit = Instant::now() + LONG;
    while search(host, service).is_none_or(|a| a["complete"] != true) {
        assert!(Instant::now() < limit, "{service} at {} stays incomplete", host.name);
    }
}

#[test]
fn every_service_of_both_deployments_answers_at_every_host() {
    for plan in [Plan::zeugenwerk(), Plan::castlegate()] {
        let fleet = fleet(plan);
        assert_eq!(fleet.hosts.len(), 8);
        for service in &fleet.catalogue.services {
            for host in &fleet.hosts {
                await_complete(host, &service.name);
            }
        }
    }
}

#[test]
fn hosts_are_frozen_killed_restarted_and_added() {
    let mut fleet = fleet(Plan::castlegate());

    fleet.hosts[0].freeze();
    assert!(search(&fleet.hosts[0], "clock-search").is_none());
    fleet.hosts[0].thaw();
    await_complete(&fleet.hosts[0], "clock-search");

    fleet.hosts[0].restart();
    fleet.hosts[0].await_ok("readyz");
    await_complete(&fleet.hosts[0], "clock-search");

    let centre = fleet.hosts[1].data_centre.clone();
    let added = fleet.add_host(&centre);
    fleet.hosts[added].await_ok("readyz");
    await_complete(&fleet.hosts[added], "clock-search");
}

#[test]
fn data_centre_that_is_cut_off_from_the_store_goes_on() {
    let fleet = fleet(Plan::zeugenwerk().with_network());
    let calls = fleet.store.calls();
    assert!(calls.all_reads() > 0, "hosts reach the store through their own endpoints");

    fleet.cut_from_store("munich", true);

    assert_eq!(&*fleet.hosts[0].data_centre, "munich");
    await_complete(&fleet.hosts[0], "notary-verification");
    let store = Store::new(fleet.store_address("munich"), Duration::from_millis(200));
    assert!(store.hosts().is_err(), "calls of the data centre get no answer");
    fleet.cut_from_store("munich", false);
    assert_eq!(store.hosts().unwrap().len(), 8);
}
