//! Stand-in for a target: slots, service times with stragglers, snapshots.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::Duration;

use fastrand::Rng;
use sapphirerack_catalogue::{Name, Span};
use sapphirerack_http::{Config, Method, Request, Response, Server, serve};
use serde_json::json;

/// Requests that may wait at a target beyond its slots.
const QUEUE: u32 = 8;

/// What a stand-in target is like.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Unique name.
    pub name: Name,
    /// Partitions that it holds.
    pub span: Span,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Mean service time.
    pub service: Duration,
    /// Share of requests that take ten times as long.
    pub stragglers: f64,
    /// Snapshots that it holds.
    pub held: Vec<u64>,
    /// Seed of its service times.
    pub seed: u64,
}

struct Shared {
    behaviour: Mutex<Behaviour>,
    rng: Mutex<Rng>,
    running: Mutex<u32>,
    freed: Condvar,
    most: AtomicUsize,
    served: AtomicUsize,
}

/// A running stand-in of a target.
pub struct TargetServer {
    server: Server,
    shared: Arc<Shared>,
}

impl TargetServer {
    /// Starts the stand-in; port 0 takes any free port.
    pub fn start(address: SocketAddr, behaviour: Behaviour) -> Self {
        let threads = (behaviour.slots + QUEUE) as usize;
        let shared = Arc::new(Shared {
            rng: Mutex::new(Rng::with_seed(behaviour.seed)),
            behaviour: Mutex::new(behaviour),
            running: Mutex::new(0),
            freed: Condvar::new(),
            most: AtomicUsize::new(0),
            served: AtomicUsize::new(0),
        });
        let serving = shared.clone();
        let config = Config { workers: threads, ..Config::new(address) };
        let server = serve(config, move |request| answer(&serving, &request)).unwrap();
        Self { server, shared }
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Changes the behaviour while the target runs.
    pub fn update(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.behaviour.lock().unwrap());
    }

    /// Most requests that ran or waited at the same time.
    pub fn most(&self) -> usize {
        self.shared.most.load(Ordering::Relaxed)
    }

    /// Searches that were run.
    pub fn served(&self) -> usize {
        self.shared.served.load(Ordering::Relaxed)
    }
}

fn answer(shared: &Shared, request: &Request) -> Response {
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/search") => search(shared, request),
        (&Method::GET, "/health") => {
            let held = shared.behaviour.lock().unwrap().held.clone();
            Response::json(200, &json!({ "healthy": true, "load": 0.0, "held": held }))
        }
        (&Method::POST, path) if path.starts_with("/cancel/") => Response::json(200, &json!({})),
        _ => Response::json(404, &json!({})),
    }
}

fn search(shared: &Shared, request: &Request) -> Response {
    let query = String::from_utf8_lossy(&request.body);
    let behaviour = shared.behaviour.lock().unwrap().clone();
    let id = request.header("x-request-id").unwrap_or_default();
    let snapshot = request.header("x-snapshot").and_then(|v| v.parse().ok()).unwrap_or(0);
    if !behaviour.held.contains(&snapshot) {
        return Response::json(409, &json!({ "held": behaviour.held }));
    }
    run(shared, &behaviour);
    let results = json!([{ "name": behaviour.name, "query": query, "snapshot": snapshot }]);
    let answer = json!({
        "request": id, "snapshot": snapshot, "span": behaviour.span,
        "held": behaviour.held, "results": results,
    });
    Response::json(200, &answer)
}

/// Holds a slot for the service time.
fn run(shared: &Shared, behaviour: &Behaviour) {
    let time = {
        let mut rng = shared.rng.lock().unwrap();
        let factor = if rng.f64() < behaviour.stragglers { 10.0 } else { 1.0 };
        behaviour.service.mul_f64(factor * (0.5 + rng.f64()))
    };
    let mut running = shared.running.lock().unwrap();
    while *running >= behaviour.slots {
        running = shared.freed.wait(running).unwrap();
    }
    *running += 1;
    shared.most.fetch_max(*running as usize, Ordering::Relaxed);
    drop(running);
    thread::sleep(time);
    *shared.running.lock().unwrap() -= 1;
    shared.freed.notify_one();
    shared.served.fetch_add(1, Ordering::Relaxed);
}
