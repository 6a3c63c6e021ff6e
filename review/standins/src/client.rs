//! Clients that send requests at a steady rate, each on a new connection.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::fleet::Rotation;
use crate::http;
use crate::record::Record;

/// What clients ask for.
#[derive(Clone)]
pub struct Request {
    pub method: &'static str,
    pub host: &'static str,
    pub path: &'static str,
    pub budget: Duration,
}

/// A request of a client, and how it ended.
#[derive(Clone, Debug)]
pub struct Sent {
    /// When it was sent.
    pub at: Duration,
    /// Id of the attempt.
    pub attempt: String,
    /// Host that took it.
    pub host: SocketAddr,
    /// Status of the answer; 0 for none.
    pub status: u16,
}

/// Clients at work.
pub struct Clients {
    stopped: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    sent: Arc<Mutex<Vec<Sent>>>,
}

impl Clients {
    /// Starts `count` clients that send `rate` requests a second together.
    pub fn start(
        count: u32,
        rate: f64,
        request: &Request,
        rotation: &Arc<Rotation>,
        record: &Record,
    ) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
        let ids = Arc::new(AtomicU64::new(1));
        let interval = Duration::from_secs_f64(f64::from(count) / rate);
        let threads = (0..count).map(|at| {
            let (stopped, sent, ids) = (stopped.clone(), sent.clone(), ids.clone());
            let (request, rotation, record) = (request.clone(), rotation.clone(), record.clone());
            let first = Instant::now() + interval * at / count;
            thread::spawn(move || {
                let mut due = first;
                while !stopped.load(Ordering::SeqCst) {
                    thread::sleep(due.saturating_duration_since(Instant::now()));
                    // A client that was held up does not catch up.
                    due = (due + interval).max(Instant::now());
                    let id = ids.fetch_add(1, Ordering::SeqCst);
                    let Some(host) = rotation.next() else { continue };
                    let result = send(&request, id, host, &record);
                    sent.lock().unwrap().push(result);
                }
            })
        });
        let threads = threads.collect();
        Self { stopped, threads, sent }
    }

    /// Stops the clients; returns their requests.
    pub fn stop(self) -> Vec<Sent> {
        self.stopped.store(true, Ordering::SeqCst);
        for thread in self.threads {
            let _ = thread.join();
        }
        self.sent.lock().unwrap().clone()
    }
}

/// Number of requests by status.
pub fn by_status(sent: &[Sent]) -> BTreeMap<u16, usize> {
    let mut counts = BTreeMap::new();
    for request in sent {
        *counts.entry(request.status).or_insert(0) += 1;
    }
    counts
}

fn send(request: &Request, id: u64, host: SocketAddr, record: &Record) -> Sent {
    let Request { method, host: name, path, budget } = request;
    let attempt = format!("{id:016x}");
    let budget_ms = budget.as_millis();
    let length = if *method == "POST" { "Content-Length: 2\r\n" } else { "" };
    let body = if *method == "POST" { "{}" } else { "" };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {name}\r\nAttempt-Id: {attempt}\r\n\
         Time-Budget: {budget_ms}\r\n{length}\r\n{body}"
    );
    let at = record.line(format_args!("client sends {attempt} to {host}"));
    let answer = http::exchange(host, text.as_bytes(), *budget + Duration::from_millis(200));
    let status = match answer {
        Ok(answer) => {
            let seal = answer.header("server-seal").unwrap_or("none");
            record.line(format_args!("client gets {} for {attempt} seal={seal}", answer.status()));
            answer.status()
        }
        Err(e) => {
            record.line(format_args!("client gets no answer for {attempt}: {}", e.kind()));
            0
        }
    };
    Sent { at, attempt, host, status }
}
