//! Planned stops of all hosts, one after another, under load.

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

/// Time in which a host must stop, far above its bound.
const LIMIT: Duration = Duration::from_secs(60);

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

/// The platform's balancer: callers' addresses and which of them are in service.
struct Balancer {
    addresses: Vec<std::net::SocketAddr>,
    open: Vec<AtomicBool>,
    next: AtomicUsize,
    over: AtomicBool,
    failures: Mutex<Vec<String>>,
    served: AtomicUsize,
}

impl Balancer {
    fn new(fleet: &Fleet) -> Self {
        Self {
            addresses: fleet.hosts.iter().map(|h| h.callers).collect(),
            open: fleet.hosts.iter().map(|_| AtomicBool::new(true)).collect(),
            next: AtomicUsize::new(0),
            over: AtomicBool::new(false),
            failures: Mutex::default(),
            served: AtomicUsize::new(0),
        }
    }

    fn pick(&self) -> std::net::SocketAddr {
        loop {
            let i = self.next.fetch_add(1, Ordering::Relaxed) % self.addresses.len();
            if self.open[i].load(Ordering::SeqCst) {
                return self.addresses[i];
            }
        }
    }

    /// Calls until stopped; a request that was not run goes to another host.
    fn load(&self, caller: usize) {
        let config = ureq::Agent::config_builder().http_status_as_error(false);
        let agent: ureq::Agent = config.timeout_global(Some(LIMIT)).build().into();
        let mut count = 0;
        while !self.over.load(Ordering::Relaxed) {
            count += 1;
            let path = if count % 2 == 0 { "search" } else { "book" };
            let key = format!("c{caller}-{count}");
            let mut tries = 0;
            while let Err(failure) = self.call(&agent, path, &key) {
                tries += 1;
                if tries > 3 || !failure.contains("\"not_run\":true") {
                    self.failures.lock().unwrap().push(format!("{path} {key}: {failure}"));
                    break;
                }
            }
            self.served.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn call(&self, agent: &ureq::Agent, path: &str, key: &str) -> Result<(), String> {
        let url = format!("http://{}/{path}/search", self.pick());
        let request = agent.post(url).header("x-idempotency-key", key);
        let mut response = request.send(key).map_err(|e| e.to_string())?;
        let body = response.body_mut().read_to_string().map_err(|e| e.to_string())?;
        let value: Value = serde_json::from_str(&body).map_err(|e| e.to_string())?;
        let is_whole = value["complete"] == true || value["outcome"] == "answer";
        if is_whole { Ok(()) } else { Err(body) }
    }
}

fn list(fleet: &Fleet, leaving: Option<usize>) {
    let entry = |(i, host): (usize, &HostProcess)| {
        let state = if Some(i) == leaving { HostState::Leaving } else { HostState::Live };
        HostEntry { state, ..host.entry() }
    };
    fleet.store.set_hosts(fleet.hosts.iter().enumerate().map(entry).collect());
}

/// Stops a host as the platform does and starts it anew; true if it ended well.
fn roll(fleet: &mut Fleet, balancer: &Balancer, host: usize) -> bool {
    list(fleet, Some(host));
    fleet.hosts[host].terminate();
    await_leaving(&fleet.hosts[host]);
    balancer.open[host].store(false, Ordering::SeqCst);
    let ended = fleet.hosts[host].wait();
    fleet.hosts[host].restart();
    fleet.hosts[host].await_ok("readyz");
    list(fleet, None);
    // The host list lags: peers and the new host read it at intervals.
    thread::sleep(Duration::from_secs(1));
    balancer.open[host].store(true, Ordering::SeqCst);
    ended
}

fn await_leaving(host: &HostProcess) {
    let url = format!("http://{}/readyz", host.operators);
    let limit = Instant::now() + LIMIT;
    while minreq::get(&url).with_timeout(1).send().is_ok_and(|r| r.status_code == 200) {
        assert!(Instant::now() < limit, "{} does not leave", host.name);
        thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn rolling_every_host_cuts_off_no_request() {
    let mut fleet = fleet();
    let balancer = Balancer::new(&fleet);

    let ended: Vec<bool> = thread::scope(|scope| {
        for caller in 0..CALLERS {
            let balancer = &balancer;
            scope.spawn(move || balancer.load(caller));
        }
        let ended = (0..fleet.hosts.len()).map(|host| roll(&mut fleet, &balancer, host));
        let ended = ended.collect();
        balancer.over.store(true, Ordering::Relaxed);
        ended
    });

    let failures = balancer.failures.into_inner().unwrap();
    println!("{} requests served", balancer.served.load(Ordering::Relaxed));
    assert!(
        failures.is_empty(),
        "{} cut off: {:?}",
        failures.len(),
        &failures[..failures.len().min(5)]
    );
    assert!(ended.iter().all(|e| *e), "{ended:?}");
}
