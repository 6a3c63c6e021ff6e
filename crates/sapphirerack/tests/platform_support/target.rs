//! Targets.

use std::io::{BufReader, Read, Write};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::ATTEMPT;
use super::message::{Message, answer, listen_at, read_message};

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
    /// Runs one request and breaks the connection, and refuses all others.
    LoseThenRefuse,
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
            Self::LoseThenRefuse => {
                *self = Self::Refuse;
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
        Manner::Lose | Manner::LoseFirst(_) | Manner::LoseThenRefuse | Manner::Hold => None,
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
