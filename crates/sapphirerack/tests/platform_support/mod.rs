//! Stand-ins that speak the users' platform's protocols, and a host process between them.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]
#![allow(dead_code, reason = "each test file uses a part")]

mod host;
mod message;
mod store;
mod target;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

pub use host::Host;
#[allow(unused_imports, reason = "each test file uses a part")]
pub use message::{Message, read_message, request};
pub use store::Store;
pub use target::{Manner, Target};

const LIMIT: Duration = Duration::from_secs(15);

const PAUSE: Duration = Duration::from_millis(10);

/// First of the ports that are handed out here; all are below those that the system chooses.
const FIRST_PORT: u16 = 12_000;

/// Ports of one test process, and processes that have ports of their own.
const PORTS_EACH: u16 = 400;
const PROCESSES: u32 = 50;

/// Id of the attempt of requests that state none.
const ATTEMPT: &str = "attempt-1";

/// Configuration with a scattered route, an idempotent route and one that must not be repeated.
pub fn configuration(version: u64, shards: &[&str], desk: &str) -> Value {
    let route = |name: &str, kind: &str, rest: Value| {
        let mut route = json!({
            "Name": name, "Host": "find.example", "Prefix": format!("/{name}/"),
            "RouteType": kind, "TimeoutMs": 1500, "TargetLatencyMs": 300, "Priority": 1,
            "MaxAttempts": 2,
        });
        let fields = route.as_object_mut().unwrap();
        fields.extend(rest.as_object().unwrap().clone());
        route
    };
    let service = |name: &&str| {
        json!({ "Name": name, "HealthPath": "/health", "MaxConns": 40,
        "Protocol": "h1", "Tls": false, "WarmupS": 3.0, "WarmupPerS": 0.0 })
    };
    let services: Vec<Value> = shards.iter().chain([&desk]).map(service).collect();
    json!({
        "Version": version,
        "Routes": [
            route("query", "safe", json!({ "Gather": shards, "TopK": 4, "MinCoverage": 0.5 })),
            route("read", "safe", json!({ "Upstream": desk })),
            route("book", "unsafe", json!({ "Upstream": desk })),
            route("long", "unsafe", json!({ "Upstream": desk, "TimeoutMs": 30_000 })),
        ],
        "Upstreams": services,
        "Limits": { "MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000 },
    })
}

/// An address on which nothing listens. Its port is none that the system gives to others, who ask
/// for any, and is handed out once.
pub fn free() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let own = (std::process::id() % PROCESSES) as u16 * PORTS_EACH;
        let port = FIRST_PORT + own + NEXT.fetch_add(1, Ordering::Relaxed) % PORTS_EACH;
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port)) {
            return listener.local_addr().unwrap();
        }
    }
}

/// Waits for a condition that must come true.
pub fn wait_until(done: impl Fn() -> bool) {
    let limit = Instant::now() + LIMIT;
    while !done() {
        assert!(Instant::now() < limit, "it did not come true in time");
        thread::sleep(PAUSE);
    }
}
