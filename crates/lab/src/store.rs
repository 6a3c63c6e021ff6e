//! Stand-in for the platform's store and host list.
//!
//! Keys carry a version that rises with every write; writes are compare-and-swap; a read with
//! `after` and `wait_ms` waits until the version is above `after`.

use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Map;
use sapphirerack_http::{Config, Method, Request, Response, Server, serve};
use sapphirerack_platform::HostEntry;

/// Threads that serve calls; a waiting watch occupies one.
const THREADS: usize = 64;

#[derive(Default)]
struct State {
    values: Map<String, (u64, Vec<u8>)>,
    hosts: Vec<HostEntry>,
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running stand-in of the store.
pub struct StoreServer {
    server: Server,
    shared: Arc<Shared>,
}

impl StoreServer {
    /// Starts the stand-in; port 0 takes any free port.
    pub fn start(address: SocketAddr) -> Self {
        let shared = Arc::new(Shared::default());
        let serving = shared.clone();
        let config = Config { workers: THREADS, ..Config::new(address) };
        let server = serve(config, move |request| answer(&serving, &request)).unwrap();
        Self { server, shared }
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.shared.state.lock().unwrap().hosts = hosts;
    }
}

fn answer(shared: &Shared, request: &Request) -> Response {
    match (&request.method, request.path.strip_prefix("/kv/")) {
        (&Method::GET, Some(key)) => read(shared, key, request),
        (&Method::PUT, Some(key)) => {
            let expected = number(request, "version").unwrap_or(0);
            write(shared, key, expected, request.body.clone())
        }
        (&Method::GET, None) if request.path == "/hosts" => {
            Response::json(200, &shared.state.lock().unwrap().hosts)
        }
        _ => reply(404, 0, Vec::new()),
    }
}

fn read(shared: &Shared, key: &str, request: &Request) -> Response {
    let after = number(request, "after");
    let wait = Duration::from_millis(number(request, "wait_ms").unwrap_or(0));
    let limit = Instant::now() + wait;
    let mut state = shared.state.lock().unwrap();
    loop {
        match (state.values.get(key), after) {
            (Some((version, bytes)), None) => return reply(200, *version, bytes.clone()),
            (Some((version, bytes)), Some(after)) if *version > after => {
                return reply(200, *version, bytes.clone());
            }
            (None, None) => return reply(404, 0, Vec::new()),
            _ => {}
        }
        let left = limit.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return reply(304, 0, Vec::new());
        }
        state = shared.changed.wait_timeout(state, left).unwrap().0;
    }
}

fn write(shared: &Shared, key: &str, expected: u64, bytes: Vec<u8>) -> Response {
    let mut state = shared.state.lock().unwrap();
    let current = state.values.get(key).map_or(0, |(version, _)| *version);
    if current != expected {
        return reply(409, current, Vec::new());
    }
    state.values.insert(key.to_owned(), (current + 1, bytes));
    shared.changed.notify_all();
    reply(200, current + 1, Vec::new())
}

fn reply(status: u16, version: u64, body: Vec<u8>) -> Response {
    Response::new(status, "application/octet-stream", body).with("x-version", version.to_string())
}

fn number(request: &Request, name: &str) -> Option<u64> {
    request.param(name)?.parse().ok()
}
