//! The lab's two deployments: every service answers, also after a host was frozen, restarted or
//! added, and while a data centre is cut off from the store.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::{Duration, Instant};

use sapphirerack_clients::Store;
use sapphirerack_lab::fleet::{Fleet, HostProcess, Plan};
use sapphirerack_lab::target::Behaviour;
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");
/// Longest wait for a complete answer.
const WAIT_LIMIT: Duration = Duration::from_secs(30);

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
    let limit = Instant::now() + WAIT_LIMIT;
    while search(host, service).is_none_or(|a| a["complete"] != true) {
        assert!(
            Instant::now() < limit,
            "no complete answer of {service} from {} in time",
            host.name
        );
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
fn hosts_answer_after_a_thaw_a_restart_and_an_addition() {
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
fn data_centre_that_is_cut_off_from_the_store_still_answers() {
    let fleet = fleet(Plan::zeugenwerk().with_network());
    let calls = fleet.store.calls();
    assert!(calls.all_reads() > 0, "no reads through the endpoints of the data centres");

    fleet.cut_from_store("munich", true);

    assert_eq!(&*fleet.hosts[0].data_centre, "munich");
    await_complete(&fleet.hosts[0], "notary-verification");
    let store = Store::new(fleet.store_address("munich"), Duration::from_millis(200));
    assert!(store.hosts().is_err(), "a data centre that is cut off reached the store");
    fleet.cut_from_store("munich", false);
    assert_eq!(store.hosts().unwrap().len(), 8);
}
