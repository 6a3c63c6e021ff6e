//! Stand-in for the platform's key-value store and host list.
//!
//! The version of a key increases with every write; writes are compare-and-swap; a read with
//! `after` and `wait_ms` (a watch) waits until the version is above `after`. Calls are counted by
//! kind, a watch as one. Faults are injected at run time with [`Endpoint::update`]; each data
//! centre can have its own endpoint, with its own faults and host list.

use std::net::SocketAddr;
use std::ops::Deref;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;
use sapphirerack_catalogue::Map;
use sapphirerack_clients::HostEntry;
use sapphirerack_http::{Method, Request};
use tokio::sync::watch;

use crate::server::{ConnectionLimiter, Listener, Reply};

/// Maximum size of a value, in bytes.
const VALUE_LIMIT: usize = 1 << 20;

/// Time after which the connection of a lost response closes.
const LOST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Faults of an endpoint of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreFault {
    /// Latency of every call.
    pub latency: Duration,
    /// No call gets a response or takes effect.
    pub outage: bool,
    /// Share of calls refused with status 503, without effect.
    pub refused: f64,
    /// Share of writes that take effect and whose connection closes without a response.
    pub lost: f64,
    /// Share of writes that take effect and get no response while the connection stays open.
    pub silent: f64,
    /// Share of reads that return the previous value.
    pub stale: f64,
    /// Limit of reads, watches and host lists per second; excess calls get status 429.
    pub read_rate: Option<u64>,
    /// Limit of writes per second; excess calls get status 429.
    pub write_rate: Option<u64>,
    /// Propagation delay of the host list.
    pub lag: Duration,
    /// JSON entries of other writers in front of the host list.
    pub odd_hosts: Vec<serde_json::Value>,
}

impl Default for StoreFault {
    fn default() -> Self {
        Self {
            latency: Duration::ZERO,
            outage: false,
            refused: 0.0,
            lost: 0.0,
            silent: 0.0,
            stale: 0.0,
            read_rate: None,
            write_rate: None,
            lag: Duration::ZERO,
            odd_hosts: Vec::new(),
        }
    }
}

/// Calls received by the store, by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads, without watches.
    pub reads: u64,
    /// Reads that wait for a newer version.
    pub watches: u64,
    /// Writes, including those with a version mismatch.
    pub writes: u64,
    /// Writes refused because of a version mismatch.
    pub conflicts: u64,
    /// Reads of the host list.
    pub hosts: u64,
    /// Calls refused or lost in an outage.
    pub refused: u64,
    /// Bytes of request bodies.
    pub bytes_in: u64,
    /// Bytes of response bodies.
    pub bytes_out: u64,
}

impl Calls {
    /// Calls that count against the store's read rate.
    pub fn all_reads(&self) -> u64 {
        self.reads + self.watches + self.hosts
    }
}

#[derive(Default)]
struct Value {
    version: u64,
    bytes: Vec<u8>,
    previous: Option<(u64, Vec<u8>)>,
}

#[derive(Default)]
struct State {
    values: Map<String, Value>,
    calls: Calls,
}

struct Shared {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

struct Inner {
    shared: Arc<Shared>,
    fault: Mutex<StoreFault>,
    rng: Mutex<Rng>,
    hosts: Mutex<Vec<(Instant, Vec<HostEntry>)>>,
    rates: Mutex<RateWindow>,
}

/// Calls within the current second.
struct RateWindow {
    start: Instant,
    reads: u64,
    writes: u64,
}

/// A network endpoint of the store, with its own faults and host list.
pub struct Endpoint {
    listener: Listener,
    inner: Arc<Inner>,
}

impl Endpoint {
    fn start(address: SocketAddr, shared: Arc<Shared>, seed: u64) -> Self {
        let inner = Arc::new(Inner {
            shared,
            fault: Mutex::default(),
            rng: Mutex::new(Rng::with_seed(seed)),
            hosts: Mutex::default(),
            rates: Mutex::new(RateWindow { start: Instant::now(), reads: 0, writes: 0 }),
        });
        let serving = inner.clone();
        let limiter = ConnectionLimiter::new(usize::MAX, Duration::ZERO);
        let handler = move |request| handle(serving.clone(), request);
        Self { listener: Listener::start(address, limiter, handler), inner }
    }

    /// Listening address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Replaces the host list.
    pub fn set_hosts(&self, hosts: Vec<HostEntry>) {
        self.inner.hosts.lock().unwrap().push((Instant::now(), hosts));
    }

    /// Updates the faults.
    pub fn update(&self, change: impl FnOnce(&mut StoreFault)) {
        change(&mut self.inner.fault.lock().unwrap());
    }
}

/// A running stand-in for the store.
pub struct StoreServer {
    main: Endpoint,
    shared: Arc<Shared>,
}

impl Deref for StoreServer {
    type Target = Endpoint;

    fn deref(&self) -> &Endpoint {
        &self.main
    }
}

impl StoreServer {
    /// Starts the stand-in; port 0 picks any free port.
    pub fn start(address: SocketAddr) -> Self {
        let state = Mutex::default();
        let shared = Arc::new(Shared { state, changed: watch::channel(()).0 });
        Self { main: Endpoint::start(address, shared.clone(), 1), shared }
    }

    /// Opens a further endpoint, with faults drawn from `seed`.
    pub fn endpoint(&self, address: SocketAddr, seed: u64) -> Endpoint {
        Endpoint::start(address, self.shared.clone(), seed)
    }

    /// Calls received at all endpoints.
    pub fn calls(&self) -> Calls {
        self.shared.state.lock().unwrap().calls
    }

    /// Resets the counts.
    pub fn reset_calls(&self) {
        self.shared.state.lock().unwrap().calls = Calls::default();
    }

    /// Version and value of a key.
    pub fn value(&self, key: &str) -> Option<(u64, Vec<u8>)> {
        let state = self.shared.state.lock().unwrap();
        state.values.get(key).map(|v| (v.version, v.bytes.clone()))
    }

    /// Total size of all values.
    pub fn stored_bytes(&self) -> usize {
        self.shared.state.lock().unwrap().values.values().map(|v| v.bytes.len()).sum()
    }

    /// All existing keys.
    pub fn keys(&self) -> Vec<String> {
        self.shared.state.lock().unwrap().values.keys().cloned().collect()
    }
}

impl Inner {
    fn count(&self, change: impl FnOnce(&mut Calls)) {
        change(&mut self.shared.state.lock().unwrap().calls);
    }

    fn draw(&self, share: f64) -> bool {
        share > 0.0 && self.rng.lock().unwrap().f64() < share
    }

    /// Counts a call; returns whether it is within the rate limit.
    fn admits(&self, fault: &StoreFault, write: bool) -> bool {
        let mut rates = self.rates.lock().unwrap();
        if rates.start.elapsed() >= Duration::from_secs(1) {
            *rates = RateWindow { start: Instant::now(), reads: 0, writes: 0 };
        }
        let (seen, limit) = match write {
            true => (&mut rates.writes, fault.write_rate),
            false => (&mut rates.reads, fault.read_rate),
        };
        *seen += 1;
        limit.is_none_or(|limit| *seen <= limit)
    }

    fn hosts(&self, lag: Duration) -> Vec<HostEntry> {
        let mut lists = self.hosts.lock().unwrap();
        let seen = lists.iter().rposition(|(time, _)| time.elapsed() >= lag);
        // The first list is returned even before the delay has passed.
        let seen = seen.unwrap_or(0);
        lists.drain(..seen);
        lists.first().map(|(_, hosts)| hosts.clone()).unwrap_or_default()
    }
}

async fn handle(inner: Arc<Inner>, request: Request) -> Reply {
    let fault = inner.fault.lock().unwrap().clone();
    inner.count(|c| c.bytes_in += request.body.len() as u64);
    if fault.outage {
        inner.count(|c| c.refused += 1);
        return Reply::reset();
    }
    let write = request.method == Method::PUT;
    if !inner.admits(&fault, write) {
        inner.count(|c| c.refused += 1);
        return Reply::new(429, Vec::new());
    }
    if inner.draw(fault.refused) {
        inner.count(|c| c.refused += 1);
        return Reply::new(503, Vec::new());
    }
    tokio::time::sleep(fault.latency).await;
    let reply = route(&inner, &fault, &request).await;
    inner.count(|c| c.bytes_out += reply.body.len() as u64);
    if write && inner.draw(fault.lost) {
        return Reply::reset();
    }
    if write && inner.draw(fault.silent) {
        tokio::time::sleep(LOST_RESPONSE_TIMEOUT).await;
        return Reply::reset();
    }
    reply
}

async fn route(inner: &Inner, fault: &StoreFault, request: &Request) -> Reply {
    match (&request.method, request.path.strip_prefix("/kv/")) {
        (&Method::GET, Some(key)) => match parse_param(request, "after") {
            Some(after) => watch_key(inner, key, after, request).await,
            None => read(inner, fault, key),
        },
        (&Method::PUT, Some(key)) => {
            let expected = parse_param(request, "version").unwrap_or(0);
            write(inner, key, expected, request.body.clone())
        }
        (&Method::GET, None) if request.path == "/hosts" => {
            inner.count(|c| c.hosts += 1);
            let own = inner.hosts(fault.lag).into_iter().map(|h| serde_json::json!(h));
            let rows: Vec<_> = fault.odd_hosts.iter().cloned().chain(own).collect();
            Reply::json(200, &rows)
        }
        _ => reply(404, 0, Vec::new()),
    }
}

fn read(inner: &Inner, fault: &StoreFault, key: &str) -> Reply {
    inner.count(|c| c.reads += 1);
    let stale = inner.draw(fault.stale);
    let state = inner.shared.state.lock().unwrap();
    let Some(value) = state.values.get(key) else {
        return reply(404, 0, Vec::new());
    };
    match &value.previous {
        Some((version, bytes)) if stale => reply(200, *version, bytes.clone()),
        _ => reply(200, value.version, value.bytes.clone()),
    }
}

async fn watch_key(inner: &Inner, key: &str, after: u64, request: &Request) -> Reply {
    inner.count(|c| c.watches += 1);
    let wait = Duration::from_millis(parse_param(request, "wait_ms").unwrap_or(0));
    let mut changed = inner.shared.changed.subscribe();
    let newer = async {
        loop {
            changed.mark_unchanged();
            {
                let state = inner.shared.state.lock().unwrap();
                if let Some(value) = state.values.get(key).filter(|v| v.version > after) {
                    return reply(200, value.version, value.bytes.clone());
                }
            }
            if changed.changed().await.is_err() {
                return reply(304, 0, Vec::new());
            }
        }
    };
    let newer = tokio::time::timeout(wait, newer).await;
    newer.unwrap_or_else(|_| reply(304, 0, Vec::new()))
}

fn write(inner: &Inner, key: &str, expected: u64, bytes: Vec<u8>) -> Reply {
    inner.count(|c| c.writes += 1);
    if bytes.len() > VALUE_LIMIT {
        return reply(413, 0, Vec::new());
    }
    let mut state = inner.shared.state.lock().unwrap();
    let value = state.values.get(key);
    let current = value.map_or(0, |v| v.version);
    if current != expected {
        state.calls.conflicts += 1;
        return reply(409, current, Vec::new());
    }
    let previous = value.map(|v| (v.version, v.bytes.clone()));
    let version = current + 1;
    state.values.insert(key.to_owned(), Value { version, bytes, previous });
    drop(state);
    inner.shared.changed.send_replace(());
    reply(200, version, Vec::new())
}

fn reply(status: u16, version: u64, body: Vec<u8>) -> Reply {
    Reply::new(status, body)
        .with("content-type", "application/octet-stream")
        .with("x-version", version)
}

fn parse_param(request: &Request, name: &str) -> Option<u64> {
    request.param(name)?.parse().ok()
}
