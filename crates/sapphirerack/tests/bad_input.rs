//! Malformed or oversized input crashes neither a host nor one of its threads.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

use fastrand::Rng;
use sapphirerack_lab::fleet::{Fleet, Shape};
use serde_json::{Value, json};
use ureq::Agent;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");
const SEED: u64 = 11;

fn fleet() -> Fleet {
    let shape = Shape {
        data_centres: vec!["leith".into()],
        hosts: 2,
        shards: 3,
        slots: 2,
        service: Duration::from_millis(1),
        stragglers: 0.0,
        seed: SEED,
    };
    let fleet = Fleet::start(Path::new(PROGRAM), &shape);
    fleet.apply(Path::new(PROGRAM));
    fleet.await_ready();
    fleet
}

fn agent() -> Agent {
    Agent::config_builder().http_status_as_error(false).build().into()
}

fn search(fleet: &Fleet) -> u16 {
    let url = format!("http://{}/search/search", fleet.hosts[0].callers);
    agent().post(url).send("x").unwrap().status().as_u16()
}

/// Sends raw bytes, then waits for a reply, the end of the connection or the read timeout.
fn send_raw(address: SocketAddr, bytes: &[u8]) {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(Duration::from_millis(20))).unwrap();
    // The host may close the connection before it has read all.
    let _ = stream.write_all(bytes);
    let _ = stream.read(&mut [0; 64]);
}

#[test]
fn host_keeps_serving_after_random_bytes_at_every_port() {
    let fleet = fleet();
    let mut rng = Rng::with_seed(SEED);
    let host = &fleet.hosts[0];

    for round in 0..60 {
        let len = rng.usize(1..2000);
        let mut bytes: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(len).collect();
        if round % 2 == 0 {
            // A plausible frame length, so that the body is decoded.
            let len = u32::try_from(len.saturating_sub(4)).unwrap();
            bytes.splice(..4.min(bytes.len()), len.to_le_bytes());
        }
        for address in [host.callers, host.operators, host.hosts] {
            send_raw(address, &bytes);
        }
    }

    assert_eq!(search(&fleet), 200);
}

#[test]
fn requests_outside_the_limits_get_a_4xx_with_not_run() {
    let fleet = fleet();
    let base = format!("http://{}/search", fleet.hosts[0].callers);
    let long = "x".repeat(10_000);
    let big = vec![b'x'; 200_000];
    let agent = agent();
    let post = |path: &str| agent.post(format!("{base}{path}"));

    let responses = [
        post("/search").send(&big[..]),
        post("/search").header("x-timeout-ms", "soon").send("x"),
        post("/search").header("x-timeout-ms", "0").send("x"),
        post("/search").header("x-timeout-ms", "99999999999999999999").send("x"),
        post("/search").header("x-timeout-ms", "86400000").send("x"),
        post("/search").header("x-route", &long).send("x"),
        post("/none").send("x"),
        post(&format!("/{long}")).send("x"),
        agent.get(format!("{base}/search")).call(),
    ];

    for (i, response) in responses.into_iter().enumerate() {
        let mut response = response.unwrap();
        let body = response.body_mut().read_to_string().unwrap();
        assert!(response.status().is_client_error(), "case {i}: {}", response.status());
        assert!(body.contains("\"not_run\":true"), "case {i}: {body}");
    }
    assert_eq!(search(&fleet), 200);
}

#[test]
fn hosts_find_each_other_while_odd_entries_stand_in_the_host_list() {
    let mut fleet = fleet();
    let good = json!(fleet.hosts[0].entry());
    let odd = |field: &str, value: Value| {
        let mut entry = good.clone();
        entry[field] = value;
        entry
    };
    let odd_hosts = vec![
        Value::Null,
        json!([[]]),
        json!({ "name": "odd" }),
        odd("state", "odd".into()),
        odd("address", "127.0.0.1:70000".into()),
        odd("address", 7.into()),
        odd("name", Value::Null),
    ];
    fleet.store.update(|f| f.odd_hosts = odd_hosts);

    fleet.hosts.iter_mut().for_each(|host| host.kill());
    fleet.hosts.iter_mut().for_each(|host| host.restart());

    let count = fleet.hosts.len();
    fleet.hosts.iter().for_each(|host| host.await_live_hosts(count));
    fleet.await_ready();
    assert_eq!(search(&fleet), 200);
}
