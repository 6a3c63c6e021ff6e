//! Rolling restart of all hosts under load.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sapphirerack_clients::{HostEntry, HostState};
use sapphirerack_lab::fleet::{Fleet, HostProcess, Plan, Shape};
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");
const CALLERS: usize = 6;

/// Longest wait for a host or a reply; far above the time within which a host must stop.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

fn fleet() -> Fleet {
    let shape = Shape {
        data_centres: ["munich", "nuremberg"].map(Into::into).to_vec(),
        hosts: 4,
        shards: 4,
        slots: 4,
        service: Duration::from_millis(2),
        stragglers: 0.0,
        seed: 1,
    };
    let settings = json!({ "stop": { "linger": "1500ms", "limit": "10s" } });
    let plan = Plan::from(&shape).with_settings(settings);
    let fleet = Fleet::launch(Path::new(PROGRAM), plan);
    fleet.apply(Path::new(PROGRAM));
    fleet.await_ready();
    fleet
}

/// The platform's load balancer: addresses for callers, and which of them are in rotation.
struct Balancer {
    addresses: Vec<std::net::SocketAddr>,
    in_rotation: Vec<AtomicBool>,
    next: AtomicUsize,
    stopped: AtomicBool,
    failures: Mutex<Vec<String>>,
    requests: AtomicUsize,
}

impl Balancer {
    fn new(fleet: &Fleet) -> Self {
        Self {
            addresses: fleet.hosts.iter().map(|h| h.callers).collect(),
            in_rotation: fleet.hosts.iter().map(|_| AtomicBool::new(true)).collect(),
            next: AtomicUsize::new(0),
            stopped: AtomicBool::new(false),
            failures: Mutex::default(),
            requests: AtomicUsize::new(0),
        }
    }

    fn pick(&self) -> std::net::SocketAddr {
        loop {
            let i = self.next.fetch_add(1, Ordering::Relaxed) % self.addresses.len();
            if self.in_rotation[i].load(Ordering::SeqCst) {
                return self.addresses[i];
            }
        }
    }

    /// Sends requests until stopped; one that was not run is retried at the next host.
    fn load(&self, caller: usize) {
        let config = ureq::Agent::config_builder().http_status_as_error(false);
        let agent: ureq::Agent = config.timeout_global(Some(WAIT_LIMIT)).build().into();
        let mut count = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            count += 1;
            let path = if count % 2 == 0 { "search" } else { "book" };
            let key = format!("c{caller}-{count}");
            let mut attempts = 0;
            while let Err(failure) = self.call(&agent, path, &key) {
                attempts += 1;
                if attempts > 3 || !failure.contains("\"not_run\":true") {
                    self.failures.lock().unwrap().push(format!("{path} {key}: {failure}"));
                    break;
                }
            }
            self.requests.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn call(&self, agent: &ureq::Agent, path: &str, key: &str) -> Result<(), String> {
        let url = format!("http://{}/{path}/search", self.pick());
        let request = agent.post(url).header("x-idempotency-key", key);
        let mut response = request.send(key).map_err(|e| e.to_string())?;
        let body = response.body_mut().read_to_string().map_err(|e| e.to_string())?;
        let value: Value = serde_json::from_str(&body).map_err(|e| e.to_string())?;
        let is_complete = value["complete"] == true || value["outcome"] == "answer";
        if is_complete { Ok(()) } else { Err(body) }
    }
}

fn publish_hosts(fleet: &Fleet, leaving: Option<usize>) {
    let entry = |(i, host): (usize, &HostProcess)| {
        let state = if Some(i) == leaving { HostState::Leaving } else { HostState::Live };
        HostEntry { state, ..host.entry() }
    };
    fleet.store.set_hosts(fleet.hosts.iter().enumerate().map(entry).collect());
}

/// Stops a host as the platform does and restarts it; returns whether it exited successfully.
fn restart_host(fleet: &mut Fleet, balancer: &Balancer, host: usize) -> bool {
    publish_hosts(fleet, Some(host));
    fleet.hosts[host].terminate();
    await_not_ready(&fleet.hosts[host]);
    balancer.in_rotation[host].store(false, Ordering::SeqCst);
    let succeeded = fleet.hosts[host].wait();
    fleet.hosts[host].restart();
    fleet.hosts[host].await_ok("readyz");
    publish_hosts(fleet, None);
    // The host list lags: peers and the new host read it at intervals.
    thread::sleep(Duration::from_secs(1));
    balancer.in_rotation[host].store(true, Ordering::SeqCst);
    succeeded
}

fn await_not_ready(host: &HostProcess) {
    let url = format!("http://{}/readyz", host.operators);
    let limit = Instant::now() + WAIT_LIMIT;
    while minreq::get(&url).with_timeout(1).send().is_ok_and(|r| r.status_code == 200) {
        assert!(Instant::now() < limit, "{} still reports ready", host.name);
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn rolling_every_host_cuts_off_no_request() {
    let mut fleet = fleet();
    let balancer = Balancer::new(&fleet);

    let exits: Vec<bool> = thread::scope(|scope| {
        for caller in 0..CALLERS {
            let balancer = &balancer;
            scope.spawn(move || balancer.load(caller));
        }
        let exits = (0..fleet.hosts.len()).map(|host| restart_host(&mut fleet, &balancer, host));
        let exits = exits.collect();
        balancer.stopped.store(true, Ordering::Relaxed);
        exits
    });

    let failures = balancer.failures.into_inner().unwrap();
    println!("{} requests", balancer.requests.load(Ordering::Relaxed));
    assert!(
        failures.is_empty(),
        "{} requests failed, such as {:?}",
        failures.len(),
        &failures[..failures.len().min(5)]
    );
    assert!(exits.iter().all(|e| *e), "successful exits: {exits:?}");
}
