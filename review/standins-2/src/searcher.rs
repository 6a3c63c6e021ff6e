//! A searcher: registers in the store, answers requests, says what it ran.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// Searchers pause for a moment, each at its own time.
const PAUSE: Duration = Duration::from_millis(120);
const PAUSE_EVERY: Duration = Duration::from_secs(3);

/// Pause between two entries in the store.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A request that a searcher began to work on.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of the record, in seconds.
    pub at: f64,
    pub attempt: String,
}

#[derive(Default)]
struct Shared {
    is_draining: AtomicBool,
    is_gone: AtomicBool,
    /// Percentage of the requests whose answer is lost, as the connection is reset.
    loses: AtomicU64,
    arrivals: Mutex<Vec<Arrival>>,
    requests: AtomicU64,
    /// Time of the record until which the searcher is cold.
    cold_until: Mutex<f64>,
    /// What the last entry said, and its sequence number.
    entry: Mutex<(String, u64)>,
}

#[derive(Clone)]
pub struct Searcher {
    pub id: String,
    pub zone: String,
    service: String,
    pub address: SocketAddr,
    born: u64,
    shared: Arc<Shared>,
    store: Store,
    record: Record,
}

impl Searcher {
    /// Starts a searcher that works for `work` on each request, and registers it.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Self> {
        Self::start_cold(id, service, zone, work, 0.0, store, record)
    }

    /// As [`Searcher::start`], for a searcher that is cold for some seconds.
    pub fn start_cold(
        id: &str,
        service: &str,
        zone: &str,
        work: Duration,
        cold_s: f64,
        store: &Store,
        record: &Record,
    ) -> std::io::Result<Self> {
        let shared = Arc::<Shared>::default();
        *shared.cold_until.lock().unwrap() = record.now() + cold_s;
        let (own, served, log) = (id.to_owned(), shared.clone(), record.clone());
        let address = http::listen(crate::free_address(), move |stream| {
            serve(&own, work, &served, &log, stream);
        })?;
        let born = crate::unix_ms();
        let (id, service, zone) = (id.to_owned(), service.to_owned(), zone.to_owned());
        let (store, record) = (store.clone(), record.clone());
        let searcher = Self { id, zone, service, address, born, shared, store, record };
        searcher.register();
        let beating = searcher.clone();
        thread::spawn(move || {
            while !beating.shared.is_gone.load(Ordering::SeqCst) {
                thread::sleep(HEARTBEAT);
                beating.beat();
            }
        });
        Ok(searcher)
    }

    fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    /// Writes the entry, unless only its sequence number would change.
    fn beat(&self) {
        if !self.shared.is_gone.load(Ordering::SeqCst) && !crate::is_store_away() {
            self.register();
        }
    }

    /// Writes the entry; returns the revision.
    fn register(&self) -> u64 {
        let is_draining = self.shared.is_draining.load(Ordering::SeqCst);
        let state = if is_draining { "draining" } else { "ready" };
        let cold = (*self.shared.cold_until.lock().unwrap() - self.record.now()).max(0.0);
        let cold = (cold * 1e3) as u64;
        let Self { service, address, zone, born, .. } = self;
        // The entry changes when more than its sequence number changes; the number counts the
        // changes.
        let mut entry = self.shared.entry.lock().unwrap();
        let said = format!("{state} {cold}");
        if entry.0 != said {
            *entry = (said, entry.1 + 1);
        }
        let sequence = entry.1;
        self.store.put(
            &self.key(),
            &format!(
                r#"{{"Upstream":"{service}","Address":"{address}","Zone":"{zone}","Version":"v1","Slots":4,"State":"{state}","WarmupLeftMs":{cold},"Seq":{sequence},"born":{born}}}"#
            ),
        )
    }

    /// Reports that it leaves, and goes on serving; returns when the store has acknowledged that.
    pub fn drain(&self) -> f64 {
        self.shared.is_draining.store(true, Ordering::SeqCst);
        let revision = self.register();
        self.record.say(&format!("searcher {} is draining, revision {revision}", self.id))
    }

    /// Ends what the searcher says in the store.
    pub fn leave(&self) {
        self.shared.is_gone.store(true, Ordering::SeqCst);
        self.store.remove(&self.key());
        self.record.line(&format!("searcher {} has left", self.id));
    }

    /// Loses the answers to this percentage of the requests that it runs.
    pub fn lose_answers(&self, percentage: u64) {
        self.shared.loses.store(percentage, Ordering::SeqCst);
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.shared.arrivals.lock().unwrap().clone()
    }
}

fn serve(id: &str, work: Duration, shared: &Shared, record: &Record, stream: TcpStream) {
    let Ok(mut out) = stream.try_clone() else { return };
    let _ = out.set_nodelay(true);
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read(&mut reader) {
        // Without an answer the connection ends.
        let Some(reply) = answer(id, work, shared, record, &request) else { return };
        if out.write_all(&reply).is_err() {
            return;
        }
    }
}

fn answer(
    id: &str,
    work: Duration,
    shared: &Shared,
    record: &Record,
    request: &Message,
) -> Option<Vec<u8>> {
    let attempt = request.header("attempt-id").unwrap_or_default().to_owned();
    if request.header("expect-instance").is_some_and(|expected| expected != id) {
        record.line(&format!("searcher {id} gets {attempt} for another instance"));
        let headers = [("Attempt-Id", &*attempt), ("Instance-Id", id)];
        return Some(http::response("421 Misdirected Request", &headers, b""));
    }
    let at = record.line(&format!("searcher {id} runs {attempt}"));
    shared.arrivals.lock().unwrap().push(Arrival { at, attempt: attempt.clone() });
    let mut headers = vec![("Attempt-Id", attempt.as_str())];
    // A searcher that leaves says so in all its answers.
    if shared.is_draining.load(Ordering::SeqCst) {
        headers.push(("Server-Leaving", "1"));
    }
    thread::sleep(work + pause_left(id, record));
    let number = shared.requests.fetch_add(1, Ordering::SeqCst);
    if draw(id, number) % 100 < shared.loses.load(Ordering::SeqCst) {
        record.line(&format!("searcher {id} loses its answer to {attempt}"));
        return None;
    }
    let seal = format!("{id}.{attempt}.{number}");
    headers.push(("Server-Seal", seal.as_str()));
    Some(http::response("200 OK", &headers, b"0123456789abcdef"))
}

/// How long the pause goes on in which the searcher is; zero if it is in none.
fn pause_left(id: &str, record: &Record) -> Duration {
    let every = PAUSE_EVERY.as_secs_f64();
    let offset = draw(id, 0) as f64 / u64::MAX as f64 * every;
    let phase = Duration::from_secs_f64((record.now() + offset) % every);
    PAUSE.saturating_sub(phase)
}

/// A number that follows from a searcher and a count, without order.
fn draw(id: &str, count: u64) -> u64 {
    let mut hasher = DefaultHasher::new();
    (id, count).hash(&mut hasher);
    hasher.finish()
}
