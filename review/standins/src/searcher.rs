//! A stand-in of a searcher. It keeps its protocol: it echoes the attempt's id, signs its answers,
//! refuses requests that expect another searcher, and announces itself in the store.

use std::collections::{HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// Time between two heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What a searcher is.
#[derive(Clone)]
pub struct Spec {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: u32,
    pub work: Duration,
    /// Requests in one second at which it crashes while it is cold; 0 for none.
    pub cold_crash: usize,
    /// Whether it is not started with the deployment.
    pub starts_late: bool,
}

/// A request that reached a searcher and was not refused.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Duration,
    pub searcher: String,
    /// Id of the client's attempt.
    pub attempt: String,
    /// Whether the searcher was cold.
    pub cold: bool,
}

/// Arrivals at all searchers.
pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// One process of a searcher.
struct Incarnation {
    spec: Spec,
    alive: AtomicBool,
    seals: AtomicU64,
    /// Requests of the last second.
    recent: Mutex<VecDeque<Duration>>,
    cold_until: Duration,
    streams: Mutex<HashMap<u64, TcpStream>>,
    record: Record,
    arrivals: Arrivals,
}

/// A searcher, which may be crashed and started again.
pub struct Searcher {
    pub spec: Spec,
    store: Arc<Store>,
    record: Record,
    arrivals: Arrivals,
    current: Option<Arc<Incarnation>>,
    /// By how much the clock of its machine is ahead.
    pub ahead: Duration,
    /// Start of the process by that clock, in Unix milliseconds.
    born: u128,
    /// Announcements of the process so far.
    sequence: u64,
}

impl Searcher {
    pub fn new(spec: Spec, store: &Arc<Store>, record: &Record, arrivals: &Arrivals) -> Self {
        let (store, record, arrivals) = (store.clone(), record.clone(), arrivals.clone());
        Self {
            spec,
            store,
            record,
            arrivals,
            current: None,
            ahead: Duration::ZERO,
            born: 0,
            sequence: 0,
        }
    }

    fn key(&self) -> String {
        format!("servers/{}", self.spec.id)
    }

    /// Starts a process, cold for `cold`, and announces it.
    pub fn start(&mut self, cold: Duration) {
        let listener = TcpListener::bind(self.spec.address).expect("bind a searcher");
        listener.set_nonblocking(true).expect("make the listener non-blocking");
        let incarnation = Arc::new(Incarnation {
            spec: self.spec.clone(),
            alive: AtomicBool::new(true),
            seals: AtomicU64::new(0),
            recent: Mutex::default(),
            cold_until: self.record.now() + cold,
            streams: Mutex::default(),
            record: self.record.clone(),
            arrivals: self.arrivals.clone(),
        });
        self.record.line(format_args!(
            "searcher {} starts, cold for {} ms",
            self.spec.id,
            cold.as_millis()
        ));
        let clock = SystemTime::now() + self.ahead;
        self.born = clock.duration_since(UNIX_EPOCH).unwrap().as_millis();
        self.sequence = 0;
        self.announce("ready", cold);
        let accepting = incarnation.clone();
        thread::spawn(move || accepting.accept(&listener));
        let (beating, store, key) = (incarnation.clone(), self.store.clone(), self.key());
        thread::spawn(move || {
            while beating.alive.load(Ordering::SeqCst) {
                store.beat(&key);
                thread::sleep(HEARTBEAT);
            }
        });
        self.current = Some(incarnation);
    }

    fn announce(&mut self, state: &str, cold: Duration) -> Duration {
        self.sequence += 1;
        let Spec { service, zone, address, slots, .. } = &self.spec;
        let (cold, sequence, born) = (cold.as_millis(), self.sequence, self.born);
        let value = format!(
            r#"{{"Upstream":"{service}","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":{slots},"State":"{state}","WarmupLeftMs":{cold},"Seq":{sequence},"born":{born}}}"#
        );
        let at = self.store.put(&self.key(), &value, true);
        self.record.line(format_args!("searcher {} announces {value}", self.spec.id));
        at
    }

    /// Reports `draining`; the process continues to serve. Returns the time of the acknowledgement.
    pub fn report_draining(&mut self) -> Duration {
        self.announce("draining", Duration::ZERO)
    }

    /// Removes the entry, as of a searcher that leaves without having reported `draining`; the
    /// process continues to serve. Returns the time of the acknowledgement.
    pub fn leave_abruptly(&self) -> Duration {
        self.store.remove(&self.key(), "leaves")
    }

    /// Crashes the process: its connections end and its address refuses new ones.
    pub fn crash(&mut self) {
        if let Some(incarnation) = self.current.take() {
            incarnation.end();
        }
    }

    /// Whether its process runs.
    pub fn is_alive(&self) -> bool {
        self.current.as_ref().is_some_and(|c| c.is_alive())
    }
}

impl Incarnation {
    fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Ends the process and its connections.
    fn end(&self) {
        if !self.alive.swap(false, Ordering::SeqCst) {
            return;
        }
        for stream in self.streams.lock().unwrap().values() {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.record.line(format_args!("searcher {} ends", self.spec.id));
    }

    /// Whether the requests of the last second, with the one at `now`, are too many for a cold
    /// process.
    fn is_overrun(&self, now: Duration) -> bool {
        let mut recent = self.recent.lock().unwrap();
        recent.push_back(now);
        while recent.front().is_some_and(|at| *at + Duration::from_secs(1) <= now) {
            recent.pop_front();
        }
        now < self.cold_until && self.spec.cold_crash > 0 && recent.len() >= self.spec.cold_crash
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        let mut number = 0;
        while self.is_alive() {
            match listener.accept() {
                Ok((stream, _)) => {
                    number += 1;
                    let Ok(kept) = stream.try_clone() else { continue };
                    self.streams.lock().unwrap().insert(number, kept);
                    let incarnation = self.clone();
                    thread::spawn(move || {
                        incarnation.serve(stream);
                        incarnation.streams.lock().unwrap().remove(&number);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(1)),
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            if !self.is_alive() {
                return;
            }
            let answer = self.answer(&request);
            if !self.is_alive() || out.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Message) -> Vec<u8> {
        let id = &self.spec.id;
        if request.path() == "/health" {
            return http::response("200 OK", &[("Instance-Id", id)], b"");
        }
        let attempt = request.header("attempt-id").unwrap_or_default();
        let expected = request.header("expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            self.record.line(format_args!("searcher {id} refuses {attempt} with 421"));
            let headers = [("Instance-Id", id.as_str()), ("Attempt-Id", attempt)];
            return http::response("421 Misdirected Request", &headers, b"");
        }
        let at = self.record.line(format_args!("searcher {id} runs {attempt} {}", request.start));
        let arrival = Arrival {
            at,
            searcher: id.clone(),
            attempt: attempt.to_owned(),
            cold: at < self.cold_until,
        };
        self.arrivals.lock().unwrap().push(arrival);
        if self.is_overrun(at) {
            self.record.line(format_args!("searcher {id} crashes: too many requests while cold"));
            self.end();
        }
        thread::sleep(self.spec.work);
        let number = self.seals.fetch_add(1, Ordering::SeqCst);
        let seal = format!("{id}.{number:x}.{attempt}");
        let headers = [("Attempt-Id", attempt), ("Server-Seal", seal.as_str())];
        http::response("200 OK", &headers, b"a record")
    }
}
