//! Fixtures for tests of the query path.

#![allow(dead_code, clippy::unwrap_used)]

use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{
    Catalogue, DataCentre, Limits, Member, Name, PARTITION_SPACE, Presence, Service, Shard, Span,
    Target, TargetState,
};
use sapphirerack_lab::fleet::{Fleet, HostProcess, LOOPBACK, Plan};
use serde_json::Value;

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");
/// Longest wait for a condition; also a delay or a deadline limit that no query reaches.
pub const WAIT_LIMIT: Duration = Duration::from_secs(30);
pub const DATA_CENTRES: [&str; 3] = ["munich", "nuremberg", "augsburg"];

/// A catalogue of one service "search"; `replicas` names the data centre of each replica.
pub fn catalogue(shards: u32, replicas: &[&str], deadline: Duration) -> Catalogue {
    let target = |shard: u32, i: usize, centre: &str| Target {
        name: format!("search-{shard}-{i}").into(),
        address: LOOPBACK,
        data_centre: centre.into(),
        version: "v1".into(),
        slots: 2,
        connections: 25,
        cold: 1,
        state: TargetState::Active,
    };
    let shard = |s: u32| Shard {
        name: s.to_string().into(),
        span: Span::new(PARTITION_SPACE * s / shards, PARTITION_SPACE * (s + 1) / shards),
        targets: replicas.iter().enumerate().map(|(i, c)| target(s, i, c)).collect(),
    };
    let centre = |name: &&str| DataCentre { name: (*name).into(), presence: Presence::In };
    Catalogue {
        members: vec![Member { name: "zeugenwerk".into(), key: "0".into() }],
        data_centres: DATA_CENTRES.iter().map(centre).collect(),
        services: vec![Service {
            name: "search".into(),
            owner: "zeugenwerk".into(),
            class: "search".into(),
            limits: Limits { concurrency: 64, deadline },
            shards: (0..shards).map(shard).collect(),
        }],
        ..Catalogue::default()
    }
}

/// A plan with hosts in the given data centres.
pub fn plan(catalogue: Catalogue, hosts: &[&str]) -> Plan {
    Plan::new(catalogue, hosts.iter().map(|h| Name::from(*h)).collect())
}

/// Launches the fleet and waits until every host gives a complete answer.
pub fn start(plan: Plan) -> Fleet {
    let fleet = Fleet::launch(Path::new(PROGRAM), plan);
    fleet.apply(Path::new(PROGRAM));
    fleet.await_ready();
    fleet.hosts.iter().for_each(await_complete);
    fleet
}

/// Sends a query; `None` if no JSON answer came.
pub fn search(host: &HostProcess, query: &str, timeout: Duration) -> Option<Value> {
    let url = format!("http://{}/search/search", host.callers);
    let limit = timeout + Duration::from_secs(10);
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(limit))
        .http_status_as_error(false)
        .build()
        .into();
    let request = agent.post(url).header("x-timeout-ms", timeout.as_millis().to_string());
    let mut response = request.send(query).ok()?;
    serde_json::from_slice(&response.body_mut().read_to_vec().ok()?).ok()
}

pub fn is_complete(answer: &Value) -> bool {
    answer["complete"] == true
}

pub fn await_complete(host: &HostProcess) {
    let limit = Instant::now() + WAIT_LIMIT;
    while !search(host, "q", Duration::from_secs(1)).is_some_and(|a| is_complete(&a)) {
        assert!(Instant::now() < limit, "no complete answer from {} in time", host.name);
    }
}

/// Runs `callers` threads of `queries` queries each, assigned to the hosts round-robin.
pub fn load(
    hosts: &[HostProcess],
    callers: usize,
    queries: usize,
    timeout: Duration,
) -> Vec<Option<Value>> {
    thread::scope(|scope| {
        let run = |caller: usize| {
            move || -> Vec<Option<Value>> {
                let host = &hosts[caller % hosts.len()];
                (0..queries)
                    .map(|i| search_checked(host, &format!("q{caller}-{i}"), timeout))
                    .collect()
            }
        };
        let threads: Vec<_> = (0..callers).map(|c| scope.spawn(run(c))).collect();
        threads.into_iter().flat_map(|t| t.join().unwrap()).collect()
    })
}

/// Searches and checks the answer.
pub fn search_checked(host: &HostProcess, query: &str, timeout: Duration) -> Option<Value> {
    let answer = search(host, query, timeout)?;
    check_answer(&answer, query);
    Some(answer)
}

/// Checks that all parts are of one snapshot, that the reported coverage is the sum of their
/// spans, and that all results belong to this query.
pub fn check_answer(answer: &Value, query: &str) {
    let Some(parts) = answer["parts"].as_array() else { return };
    let mut covered = 0;
    for part in parts {
        let result = &part["results"][0];
        assert_eq!(result["query"], query, "results of another query");
        assert_eq!(result["snapshot"], answer["snapshot"], "parts of different snapshots");
        assert_eq!(result["span"], part["span"], "reported span differs from the one read");
        let bound = |field: &str| part["span"][field].as_u64().unwrap();
        covered += bound("end") - bound("start");
    }
    let coverage = covered as f64 / f64::from(PARTITION_SPACE);
    assert_eq!(
        answer["coverage"].as_f64().unwrap(),
        coverage,
        "reported coverage is not the sum of the spans"
    );
}

/// Sum of the metrics whose lines start with `prefix`, over all hosts.
pub fn metric(hosts: &[HostProcess], prefix: &str) -> f64 {
    let text = |host: &HostProcess| {
        let url = format!("http://{}/metrics", host.operators);
        minreq::get(url).with_timeout(5).send().unwrap().as_str().unwrap().to_owned()
    };
    let value = |line: &str| line.rsplit_once(' ').unwrap().1.parse::<f64>().unwrap();
    let all: Vec<String> = hosts.iter().map(text).collect();
    all.iter().flat_map(|t| t.lines()).filter(|l| l.starts_with(prefix)).map(value).sum()
}
