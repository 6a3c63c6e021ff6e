//! Stand-ins that speak the users' platform's protocols, and a host process between them.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

const LIMIT: Duration = Duration::from_secs(15);

/// Time that callers wait, in milliseconds: usually, and when the test is about something else.
const USUAL_MS: u32 = 1_500;
const LONG_MS: u32 = 30_000;

const PAUSE: Duration = Duration::from_millis(10);

/// Id of the attempt of requests that state none.
const ATTEMPT: &str = "attempt-1";

/// Head and body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a message with a length; `None` at the end of the connection.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    reader.read_line(&mut message.first).ok().filter(|n| *n > 0)?;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        message.headers.push((name.to_owned(), value.trim().to_owned()));
    }
    let len = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; len];
    reader.read_exact(&mut message.body).ok()?;
    Some(message)
}

fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    [format!("{head}\r\n").as_bytes(), body].concat()
}

fn listen(serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    listen_at("127.0.0.1:0".parse().unwrap(), serve)
}

fn listen_at(address: SocketAddr, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind(address).unwrap();
    let address = listener.local_addr().unwrap();
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = serve.clone();
            thread::spawn(move || serve(stream));
        }
    });
    address
}

#[derive(Default)]
struct Items {
    values: BTreeMap<String, (Vec<u8>, u64)>,
    events: Vec<(String, u64, Option<Vec<u8>>)>,
    revision: u64,
    forgotten: u64,
    away: bool,
}

/// The platform's store, with lists and watches.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    items: Arc<Mutex<Items>>,
}

impl Store {
    pub fn start() -> Self {
        let items: Arc<Mutex<Items>> = Arc::default();
        let shared = items.clone();
        let address = listen(move |stream| {
            let mut out = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Some(request) = read_message(&mut reader) {
                let reply = reply(&shared.lock().unwrap(), request.path());
                if out.write_all(&reply).is_err() {
                    return;
                }
            }
        });
        Self { address, items }
    }

    pub fn put(&self, key: &str, value: &Value) {
        self.put_bytes(key, value.to_string().into_bytes());
    }

    pub fn put_bytes(&self, key: &str, bytes: Vec<u8>) {
        let mut items = self.items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        items.values.insert(key.to_owned(), (bytes.clone(), revision));
        items.events.push((key.to_owned(), revision, Some(bytes)));
    }

    pub fn remove(&self, key: &str) {
        let mut items = self.items.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        items.values.remove(key);
        items.events.push((key.to_owned(), revision, None));
    }

    /// Answers nothing but refusals while it is away.
    pub fn set_away(&self, away: bool) {
        self.items.lock().unwrap().away = away;
    }

    /// Forgets what changed so far.
    pub fn forget_history(&self) {
        let mut items = self.items.lock().unwrap();
        items.events.clear();
        items.forgotten = items.revision;
    }
}

fn reply(items: &Items, path: &str) -> Vec<u8> {
    if items.away {
        return answer("503 Service Unavailable", &[], b"");
    }
    let query = path.split_once('?').map_or("", |(_, q)| q);
    let value = |name: &str| {
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.into_iter().find(|(n, _)| *n == name).map_or(String::new(), |(_, v)| v.to_owned())
    };
    let prefix = value("Prefix");
    if path.starts_with("/kv-range") {
        let rows = items.values.iter().filter(|(k, _)| k.starts_with(&prefix));
        let rows: Vec<Value> = rows
            .map(|(k, (v, r))| json!({ "Key": k, "Value": base64(v), "Revision": r }))
            .collect();
        let body = json!({ "items": rows, "HasMore": false, "StoreRevision": items.revision });
        return answer("200 OK", &[], body.to_string().as_bytes());
    }
    let after: u64 = value("after").parse().unwrap_or(0);
    if after < items.forgotten {
        return answer("410 Gone", &[], b"");
    }
    let events = items.events.iter().filter(|(k, r, _)| k.starts_with(&prefix) && *r > after);
    let events: Vec<Value> = events
        .map(|(k, r, v)| match v {
            Some(v) => json!({ "Key": k, "Value": base64(v), "Revision": r }),
            None => json!({ "Key": k, "Revision": r, "Deleted": true }),
        })
        .collect();
    let body = json!({ "events": events, "StoreRevision": items.revision });
    answer("200 OK", &[], body.to_string().as_bytes())
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let padded = [chunk, &[0, 0][..3 - chunk.len()]].concat();
        let bits = padded.iter().fold(0_u32, |bits, b| bits << 8 | u32::from(*b));
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize] as char;
            text.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

/// How a target answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// With its part, at once.
    Good,
    /// With its part, after a while.
    Slow(Duration),
    /// That it has not run the request.
    Refuse,
    /// Runs the request and breaks the connection.
    Lose,
    /// With the answer to another attempt.
    Foreign,
    /// With half of the body.
    Cut,
    /// With an answer that is not signed.
    Unsigned,
    /// With a refusal that does not say that the request has not run.
    Vague,
    /// With a second answer after the first.
    Twice,
    /// With nothing, until the connection ends.
    Hold,
    /// Runs this many requests and breaks the connection, and is good then.
    LoseFirst(usize),
}

impl Manner {
    /// How the next request is answered.
    fn next(&mut self) -> Self {
        match self {
            Self::LoseFirst(0) => Self::Good,
            Self::LoseFirst(left) => {
                *left -= 1;
                Self::Lose
            }
            manner => *manner,
        }
    }
}

/// A target that counts what it is sent.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub address: SocketAddr,
    manner: Arc<Mutex<Manner>>,
    requests: Arc<Mutex<Vec<Message>>>,
    ran: Arc<Mutex<Vec<String>>>,
    ended: Arc<AtomicUsize>,
}

static TARGETS: AtomicU32 = AtomicU32::new(1);

impl Target {
    /// A target whose part consists of these records, each a byte that is repeated.
    pub fn start(records: &[u8], manner: Manner) -> Self {
        let id = format!("i-{}", TARGETS.fetch_add(1, Ordering::Relaxed));
        Self::start_with(id, "127.0.0.1:0".parse().unwrap(), records, manner)
    }

    /// A good target with a given id and address.
    pub fn start_as(id: &str, address: SocketAddr, records: &[u8]) -> Self {
        Self::start_with(id.into(), address, records, Manner::Good)
    }

    fn start_with(id: String, address: SocketAddr, records: &[u8], manner: Manner) -> Self {
        let manner = Arc::new(Mutex::new(manner));
        let requests: Arc<Mutex<Vec<Message>>> = Arc::default();
        let body: Vec<u8> = records.iter().flat_map(|r| [*r; 16]).collect();
        let ran: Arc<Mutex<Vec<String>>> = Arc::default();
        let (shared, seen, own) = (manner.clone(), requests.clone(), id.clone());
        let runs = ran.clone();
        let ended: Arc<AtomicUsize> = Arc::default();
        let count = ended.clone();
        let address = listen_at(address, move |stream| {
            let mut out = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            while let Some(request) = read_message(&mut reader) {
                seen.lock().unwrap().push(request.clone());
                let manner = shared.lock().unwrap().next();
                if manner != Manner::Refuse && is_meant_for(&request, &own) {
                    let attempt = request.header("attempt-id").unwrap_or_default();
                    runs.lock().unwrap().push(attempt.to_owned());
                }
                if manner == Manner::Hold {
                    // The host sends nothing more; this ends with the connection.
                    let _ = reader.read(&mut [0]);
                    count.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                let Some(reply) = reply_as(manner, &own, &request, &body) else { return };
                if out.write_all(&reply).is_err() || manner == Manner::Cut {
                    return;
                }
            }
        });
        Self { id, address, manner, requests, ran, ended }
    }

    pub fn set(&self, manner: Manner) {
        *self.manner.lock().unwrap() = manner;
    }

    pub fn requests(&self) -> Vec<Message> {
        self.requests.lock().unwrap().clone()
    }

    /// Attempts of the requests that it did not refuse.
    pub fn ran(&self) -> Vec<String> {
        self.ran.lock().unwrap().clone()
    }

    /// Requests that ended with their connection while they were held.
    pub fn ended(&self) -> usize {
        self.ended.load(Ordering::Relaxed)
    }

    /// What the target announces.
    pub fn announcement_of(address: SocketAddr, service: &str) -> Value {
        json!({
            "Upstream": service, "Address": address, "Zone": "here", "Version": "v1",
            "Slots": 2, "State": "ready", "WarmupLeftMs": 0, "Seq": 1, "born": 1,
        })
    }

    /// What this target announces.
    pub fn announcement(&self, service: &str) -> Value {
        Self::announcement_of(self.address, service)
    }

    /// Signature of its answer to the attempt that [`Host::get`] makes.
    pub fn seal(&self) -> String {
        format!("seal.{}.{ATTEMPT}", self.id)
    }
}

fn is_meant_for(request: &Message, id: &str) -> bool {
    request.header("expect-instance") == Some(id)
}

fn reply_as(manner: Manner, id: &str, request: &Message, body: &[u8]) -> Option<Vec<u8>> {
    if !is_meant_for(request, id) {
        return Some(answer("421 Misdirected Request", &[], b""));
    }
    let attempt = request.header("attempt-id").unwrap_or_default();
    let seal = format!("seal.{id}.{attempt}");
    let signed = [("Attempt-Id", attempt), ("Server-Seal", seal.as_str())];
    let good = answer("200 OK", &signed, body);
    match manner {
        Manner::Good => Some(good),
        Manner::Slow(time) => {
            thread::sleep(time);
            Some(good)
        }
        Manner::Refuse => {
            let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt)];
            Some(answer("503 Service Unavailable", &headers, b""))
        }
        Manner::Lose | Manner::LoseFirst(_) | Manner::Hold => None,
        Manner::Foreign => {
            let headers = [("Attempt-Id", "another"), ("Server-Seal", seal.as_str())];
            Some(answer("200 OK", &headers, body))
        }
        Manner::Cut => Some(good[..good.len() - 8].to_vec()),
        Manner::Unsigned => Some(answer("200 OK", &[("Attempt-Id", attempt)], body)),
        Manner::Vague => Some(answer("503 Service Unavailable", &signed, b"")),
        Manner::Twice => Some([good.clone(), good].concat()),
    }
}

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

/// A host process.
pub struct Host {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub settings: PathBuf,
    child: Child,
}

impl Host {
    /// Starts a host that uses the store.
    pub fn start(store: &Store) -> Self {
        Self::start_with(store, Stdio::null(), json!({ "grace": 6, "linger": "300ms" }))
    }

    /// Starts a host whose standard output goes to `out` and that stops as `stop` says.
    pub fn start_with(store: &Store, out: Stdio, stop: Value) -> Self {
        let [callers, ready, hosts] = [free(), free(), free()];
        let settings = json!({
            "name": "host-1", "data_centre": "here",
            "listen": { "callers": callers, "ready": ready, "hosts": hosts },
            "store": store.address, "seeds": [hosts],
            "bounds": { "extra": 0.2, "slack": 50.0 }, "stop": stop,
        });
        Self::start_set(callers, ready, &settings, out)
    }

    /// Starts a host with these settings, which name the addresses for callers and readiness.
    pub fn start_set(callers: SocketAddr, ready: SocketAddr, settings: &Value, out: Stdio) -> Self {
        let name = format!("forward-{}-{}.json", std::process::id(), callers.port());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        let child = spawn(&path, out);
        Self { callers, ready, settings: path, child }
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self, out: Stdio) {
        let _ = self.child.wait();
        self.child = spawn(&self.settings, out);
    }

    /// Waits until the host says that it is ready.
    pub fn await_ready(&self) {
        wait_until(|| self.is_ready());
    }

    pub fn is_ready(&self) -> bool {
        let probe = || {
            let mut stream = TcpStream::connect(self.ready).ok()?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").ok()?;
            read_message(&mut BufReader::new(stream))
        };
        probe().is_some_and(|m| m.status() == 200)
    }

    /// Reads the answer to a request that was sent with [`Host::open`].
    pub fn answer(caller: TcpStream) -> Message {
        read_message(&mut BufReader::new(caller)).unwrap()
    }

    /// Sends a request without waiting for its answer.
    pub fn open(&self, path: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).unwrap();
        stream.write_all(request("GET", path, ATTEMPT, LONG_MS, "").as_bytes()).unwrap();
        stream
    }

    /// Changes the file of settings.
    pub fn change_settings(&self, change: impl Fn(&mut Value)) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        let mut settings = serde_json::from_str(&text).unwrap();
        change(&mut settings);
        std::fs::write(&self.settings, settings.to_string()).unwrap();
    }

    /// Sends a request on a connection of its own; `None` if there is no whole answer.
    pub fn send(&self, method: &str, path: &str, attempt: &str, body: &str) -> Option<Message> {
        let mut stream = TcpStream::connect(self.callers).ok()?;
        let request = request(method, path, attempt, USUAL_MS, body);
        stream.write_all(request.as_bytes()).ok()?;
        read_message(&mut BufReader::new(stream))
    }

    pub fn get(&self, path: &str) -> Message {
        self.send("GET", path, ATTEMPT, "").unwrap()
    }

    /// Tells the process to stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Waits for the end of the process; true if it ended well.
    pub fn join(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }

    /// Standard output, if it was piped.
    pub fn output(&mut self) -> std::process::ChildStdout {
        self.child.stdout.take().unwrap()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &Path, out: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_sapphirerack"))
        .arg("forward")
        .env("SAPPHIRERACK_SETTINGS", settings)
        .stdout(out)
        .spawn()
        .unwrap()
}

pub fn request(method: &str, path: &str, attempt: &str, budget: u32, body: &str) -> String {
    let len = body.len();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: find.example\r\nAttempt-Id: {attempt}\r\n\
         Time-Budget: {budget}\r\ncontent-length: {len}\r\n\r\n{body}"
    )
}

pub fn free() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// Waits for a condition that must come true.
pub fn wait_until(done: impl Fn() -> bool) {
    let limit = Instant::now() + LIMIT;
    while !done() {
        assert!(Instant::now() < limit, "it did not come true in time");
        thread::sleep(PAUSE);
    }
}
