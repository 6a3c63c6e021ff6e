//! Hosts in three data centres behind relays, with targets and the store.

use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::process::Stdio;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use fastrand::Rng;
use sapphirerack_lab::relay::Relay;
use serde_json::{Value, json};

use super::check::{Call, Execution, History, Kind, Outcome, Shard};
use crate::platform_support::{
    Host, Message, Store, Target, TargetBehaviour, configuration, encode_request, read_message,
    unused_address,
};

pub const HOSTS: usize = 6;
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const SHARDS: [&str; 3] = ["s1", "s2", "s3"];

/// Versions of the configuration, each with its own unsharded service, so that a response shows
/// which version routed it.
pub const VERSIONS: u64 = 6;

const DEADLINE_MS: u32 = 1_000;

const RECORD_BYTES: usize = 16;

const REQUESTS_PER_CONNECTION: usize = 12;

/// Behaviour of healthy targets; slow enough that faults hit requests in flight.
pub const HEALTHY: TargetBehaviour = TargetBehaviour::Slow(Duration::from_millis(25));

/// Service to which a configuration version routes reads and bookings.
pub fn unsharded_service(version: u64) -> String {
    format!("desk-{version}")
}

/// A target behind a relay.
pub struct Replica {
    pub target: Target,
    pub relay: Relay,
    pub service: String,
}

/// A host with relays on its connections to the store and from other hosts.
pub struct Member {
    pub host: Mutex<Host>,
    pub store: Relay,
    pub inbound: Relay,
    pub callers: SocketAddr,
    pub incarnation: AtomicU64,
}

/// All processes, relays and fakes of a run.
pub struct Fleet {
    pub store: Store,
    pub replicas: Vec<Replica>,
    pub members: Vec<Member>,
    pub history: Mutex<History>,
    pub finished: AtomicBool,
}

impl Fleet {
    /// Starts the fleet and waits until every host is ready.
    pub fn start() -> Self {
        let store = Store::start();
        store.put("op/config", &configuration(1, &SHARDS, &unsharded_service(1)));
        let mut replicas = Vec::new();
        let shards: Vec<Shard> =
            (1..).zip(SHARDS).map(|(index, name)| shard(name, index)).collect();
        for shard in &shards {
            let start = |dc| replica(&store, &shard.name, dc, &shard.records);
            replicas.extend(DATA_CENTRES.map(start));
        }
        for version in 1..=VERSIONS {
            let data_centres = ["a", "b"];
            replicas.extend(
                data_centres.map(|dc| replica(&store, &unsharded_service(version), dc, &[9])),
            );
        }
        let port = unused_address().port();
        let members: Vec<Member> = (0..HOSTS).map(|index| member(&store, index, port)).collect();
        members.iter().for_each(|m| m.host.lock().unwrap().await_ready());
        let history = Mutex::new(History { shards, ..History::default() });
        Self { store, replicas, members, history, finished: AtomicBool::new(false) }
    }

    /// Publishes a version of the configuration.
    pub fn configure(&self, version: u64) {
        self.store.put("op/config", &configuration(version, &SHARDS, &unsharded_service(version)));
    }

    /// Sends requests through random hosts until the run has finished.
    pub fn run_caller(&self, seed: u64, caller: usize) {
        let mut rng = Rng::with_seed(seed.wrapping_mul(31) + caller as u64);
        let mut count = 0;
        while !self.finished.load(Ordering::Relaxed) {
            let host = rng.usize(..HOSTS);
            let mut connection = None;
            for _ in 0..REQUESTS_PER_CONNECTION {
                count += 1;
                let kind = [Kind::Query, Kind::Query, Kind::Read, Kind::Book][rng.usize(..4)];
                let id = format!("{seed}-{caller}-{count}");
                let (call, open) = self.request(host, kind, id, connection.take());
                connection = open;
                let stop = call.outcome == Outcome::NotConnected || connection.is_none();
                self.history.lock().unwrap().calls.push(call);
                std::thread::sleep(Duration::from_millis(rng.u64(1..15)));
                if stop {
                    break;
                }
            }
        }
    }

    fn request(
        &self,
        host: usize,
        kind: Kind,
        id: String,
        open: Option<TcpStream>,
    ) -> (Call, Option<TcpStream>) {
        let member = &self.members[host];
        let incarnation = member.incarnation.load(Ordering::SeqCst);
        let start = Instant::now();
        let stream = open.or_else(|| TcpStream::connect(member.callers).ok());
        let connected = stream.is_some();
        let (answer, open) = stream.map_or((None, None), |s| exchange(s, kind, &id));
        let outcome = match &answer {
            Some(answer) => outcome(answer),
            None if connected => Outcome::Incomplete,
            None => Outcome::NotConnected,
        };
        let records =
            answer.map_or(Vec::new(), |a| a.body.chunks(RECORD_BYTES).map(|r| r[0]).collect());
        let deadline = Duration::from_millis(DEADLINE_MS.into());
        let call = Call {
            id,
            kind,
            host,
            incarnation,
            start,
            end: Instant::now(),
            deadline,
            outcome,
            records,
        };
        (call, open)
    }

    /// Whether a host now answers a query with the parts of all shards.
    pub fn has_full_coverage(&self, host: usize) -> bool {
        let (call, _) = self.request(host, Kind::Query, "coverage-probe".into(), None);
        matches!(call.outcome, Outcome::Answer { status: 200, missing: 0, .. })
    }

    /// The recorded calls, with the executions from the targets.
    pub fn history(&self) -> History {
        let mut history = self.history.lock().unwrap().clone();
        for replica in &self.replicas {
            for id in replica.target.executed() {
                let target = replica.target.id.clone();
                history.executions.push(Execution { id, target, service: replica.service.clone() });
            }
        }
        history.executions.retain(|e| e.id != "coverage-probe");
        history
    }
}

fn shard(name: &str, index: u8) -> Shard {
    Shard { name: name.into(), records: vec![index, index + 10] }
}

fn replica(store: &Store, service: &str, data_centre: &str, records: &[u8]) -> Replica {
    let target = Target::start(records, HEALTHY);
    let relay = Relay::start(target.address);
    let mut announcement = Target::announcement_of(relay.address(), service);
    announcement["Zone"] = json!(data_centre);
    store.put(&format!("servers/{}", target.id), &announcement);
    Replica { target, relay, service: service.into() }
}

fn member(store: &Store, index: usize, port: u16) -> Member {
    let address = |net| SocketAddr::from((Ipv4Addr::new(127, 0, net, 10 + index as u8), port));
    let (hosts, advertise) = (address(1), address(2));
    let inbound = Relay::start_at(advertise, hosts);
    let store_relay = Relay::start(store.address);
    let (callers, ready) = (unused_address(), unused_address());
    let seeds: Vec<SocketAddr> =
        (0..3).map(|n| (Ipv4Addr::new(127, 0, 2, 10 + n), port).into()).collect();
    let settings: Value = json!({
        "name": format!("host-{index}"), "data_centre": DATA_CENTRES[index % DATA_CENTRES.len()],
        "listen": { "callers": callers, "ready": ready, "hosts": hosts, "advertise": advertise },
        "store": store_relay.address(), "seeds": seeds,
        "bounds": { "extra": 0.2, "slack": 100.0 },
        "stop": { "grace": 3, "linger": "300ms" },
        "log": "warn",
    });
    let host = Host::start_with_settings(callers, ready, &settings, Stdio::null());
    let (host, incarnation) = (Mutex::new(host), AtomicU64::new(0));
    Member { host, store: store_relay, inbound, callers, incarnation }
}

/// Sends a request; the response if complete, and the connection if it stays open.
fn exchange(mut stream: TcpStream, kind: Kind, id: &str) -> (Option<Message>, Option<TcpStream>) {
    let (method, path) = match kind {
        Kind::Query => ("GET", "/query/"),
        Kind::Read => ("GET", "/read/x"),
        Kind::Book => ("POST", "/book/x"),
    };
    let request = encode_request(method, path, id, DEADLINE_MS, "");
    stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    if stream.write_all(request.as_bytes()).is_err() {
        return (None, None);
    }
    let mut reader = BufReader::new(stream);
    let Some(answer) = read_message(&mut reader) else { return (None, None) };
    let open = answer.header("connection") != Some("close");
    (Some(answer), open.then(|| reader.into_inner()))
}

fn outcome(answer: &Message) -> Outcome {
    let seals = answer.header("part-seals").or(answer.header("server-seal"));
    let seals = seals.map_or(Vec::new(), |s| s.split(',').map(|s| s.trim().into()).collect());
    let missing = answer.header("missing-parts").and_then(|m| m.parse().ok()).unwrap_or(0);
    Outcome::Answer { status: answer.status(), seals, missing }
}
