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

use super::check::{Call, Got, History, Kind, Run, Shard};
use crate::platform_support::{
    Host, Manner, Message, Store, Target, configuration, free, read_message, request,
};

pub const HOSTS: usize = 6;
const DATA_CENTRES: [&str; 3] = ["a", "b", "c"];
const SHARDS: [&str; 3] = ["s1", "s2", "s3"];

/// Versions of the configuration, each with a desk of its own.
pub const VERSIONS: u64 = 6;

const DEADLINE_MS: u32 = 1_000;

/// Size of a record, in bytes.
const RECORD: usize = 16;

/// Requests on one connection of a caller.
const REQUESTS: usize = 12;

/// How targets answer usually; slow enough that faults meet requests in hand.
pub const USUAL: Manner = Manner::Slow(Duration::from_millis(25));

/// Name of the service to which a version sends reads and bookings.
pub fn desk(version: u64) -> String {
    format!("desk-{version}")
}

/// A target behind a relay.
pub struct Replica {
    pub target: Target,
    pub relay: Relay,
    pub service: String,
}

/// A host whose ways to the store and from other hosts are relayed.
pub struct Member {
    pub host: Mutex<Host>,
    pub store: Relay,
    pub inbound: Relay,
    pub callers: SocketAddr,
    pub run: AtomicU64,
}

/// Everything that runs.
pub struct Fleet {
    pub store: Store,
    pub replicas: Vec<Replica>,
    pub members: Vec<Member>,
    pub history: Mutex<History>,
    pub over: AtomicBool,
}

impl Fleet {
    /// Starts all and waits until every host is ready.
    pub fn start() -> Self {
        let store = Store::start();
        store.put("op/config", &configuration(1, &SHARDS, &desk(1)));
        let mut replicas = Vec::new();
        let shards: Vec<Shard> = (1..).zip(SHARDS).map(|(at, name)| shard(name, at)).collect();
        for shard in &shards {
            let place = |dc| replica(&store, &shard.name, dc, &shard.records);
            replicas.extend(DATA_CENTRES.map(place));
        }
        for version in 1..=VERSIONS {
            let places = ["a", "b"];
            replicas.extend(places.map(|dc| replica(&store, &desk(version), dc, &[9])));
        }
        let port = free().port();
        let members: Vec<Member> = (0..HOSTS).map(|at| member(&store, at, port)).collect();
        members.iter().for_each(|m| m.host.lock().unwrap().await_ready());
        let history = Mutex::new(History { shards, ..History::default() });
        Self { store, replicas, members, history, over: AtomicBool::new(false) }
    }

    /// Puts a version in force.
    pub fn configure(&self, version: u64) {
        self.store.put("op/config", &configuration(version, &SHARDS, &desk(version)));
    }

    /// Sends requests through hosts of its choice until the run is over.
    pub fn call(&self, seed: u64, caller: usize) {
        let mut rng = Rng::with_seed(seed.wrapping_mul(31) + caller as u64);
        let mut count = 0;
        while !self.over.load(Ordering::Relaxed) {
            let host = rng.usize(..HOSTS);
            let mut connection = None;
            for _ in 0..REQUESTS {
                count += 1;
                let kind = [Kind::Query, Kind::Query, Kind::Read, Kind::Book][rng.usize(..4)];
                let id = format!("{seed}-{caller}-{count}");
                let (call, open) = self.request(host, kind, id, connection.take());
                connection = open;
                let stop = call.got == Got::Nothing || connection.is_none();
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
        let run = member.run.load(Ordering::SeqCst);
        let start = Instant::now();
        let stream = open.or_else(|| TcpStream::connect(member.callers).ok());
        let was_open = stream.is_some();
        let (answer, open) = stream.map_or((None, None), |s| exchange(s, kind, &id));
        let got = match &answer {
            Some(answer) => got(answer),
            None if was_open => Got::Cut,
            None => Got::Nothing,
        };
        let records = answer.map_or(Vec::new(), |a| a.body.chunks(RECORD).map(|r| r[0]).collect());
        let deadline = Duration::from_millis(DEADLINE_MS.into());
        let call = Call { id, kind, host, run, start, end: Instant::now(), deadline, got, records };
        (call, open)
    }

    /// Whether a host answers a query with all parts now.
    pub fn is_whole(&self, host: usize) -> bool {
        let (call, _) = self.request(host, Kind::Query, "whole".into(), None);
        matches!(call.got, Got::Answer { status: 200, missing: 0, .. })
    }

    /// What was seen, with what the targets ran.
    pub fn history(&self) -> History {
        let mut history = self.history.lock().unwrap().clone();
        for replica in &self.replicas {
            for id in replica.target.ran() {
                let target = replica.target.id.clone();
                history.runs.push(Run { id, target, service: replica.service.clone() });
            }
        }
        history.runs.retain(|r| r.id != "whole");
        history
    }
}

fn shard(name: &str, at: u8) -> Shard {
    Shard { name: name.into(), records: vec![at, at + 10] }
}

fn replica(store: &Store, service: &str, data_centre: &str, records: &[u8]) -> Replica {
    let target = Target::start(records, USUAL);
    let relay = Relay::start(target.address);
    let mut announcement = Target::announcement_of(relay.address(), service);
    announcement["Zone"] = json!(data_centre);
    store.put(&format!("servers/{}", target.id), &announcement);
    Replica { target, relay, service: service.into() }
}

fn member(store: &Store, at: usize, port: u16) -> Member {
    let place = |net| SocketAddr::from((Ipv4Addr::new(127, 0, net, 10 + at as u8), port));
    let (hosts, advertise) = (place(1), place(2));
    let inbound = Relay::start_at(advertise, hosts);
    let to_store = Relay::start(store.address);
    let (callers, ready) = (free(), free());
    let seeds: Vec<SocketAddr> =
        (0..3).map(|n| (Ipv4Addr::new(127, 0, 2, 10 + n), port).into()).collect();
    let settings: Value = json!({
        "name": format!("host-{at}"), "data_centre": DATA_CENTRES[at % DATA_CENTRES.len()],
        "listen": { "callers": callers, "ready": ready, "hosts": hosts, "advertise": advertise },
        "store": to_store.address(), "seeds": seeds,
        "bounds": { "extra": 0.2, "slack": 100.0 },
        "stop": { "grace": 3, "linger": "300ms" },
        "log": "warn",
    });
    let host = Host::start_set(callers, ready, &settings, Stdio::null());
    let (host, run) = (Mutex::new(host), AtomicU64::new(0));
    Member { host, store: to_store, inbound, callers, run }
}

/// Sends a request; the answer if it came whole, and the connection if it stays open.
fn exchange(mut stream: TcpStream, kind: Kind, id: &str) -> (Option<Message>, Option<TcpStream>) {
    let (method, path) = match kind {
        Kind::Query => ("GET", "/query/"),
        Kind::Read => ("GET", "/read/x"),
        Kind::Book => ("POST", "/book/x"),
    };
    let request = request(method, path, id, DEADLINE_MS, "");
    stream.set_read_timeout(Some(Duration::from_secs(8))).unwrap();
    if stream.write_all(request.as_bytes()).is_err() {
        return (None, None);
    }
    let mut reader = BufReader::new(stream);
    let Some(answer) = read_message(&mut reader) else { return (None, None) };
    let open = answer.header("connection") != Some("close");
    (Some(answer), open.then(|| reader.into_inner()))
}

fn got(answer: &Message) -> Got {
    let seals = answer.header("part-seals").or(answer.header("server-seal"));
    let seals = seals.map_or(Vec::new(), |s| s.split(',').map(|s| s.trim().into()).collect());
    let missing = answer.header("missing-parts").and_then(|m| m.parse().ok()).unwrap_or(0);
    Got::Answer { status: answer.status(), seals, missing }
}
