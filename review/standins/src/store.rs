//! A stand-in of the platform's store: linearizable, never down, and it keeps its whole history.
//!
//! Entries of searchers are removed after three heartbeat intervals without a heartbeat.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

/// Most items in one page.
const PAGE: usize = 500;

/// Time of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

struct Item {
    value: String,
    revision: u64,
    created: u64,
    /// Last heartbeat; `None` if the item does not lapse.
    beat: Option<Instant>,
}

struct Event {
    key: String,
    revision: u64,
    value: Option<String>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
}

/// The store.
pub struct Store {
    pub address: SocketAddr,
    record: Record,
    /// Time after which an idle connection is closed.
    idle: Duration,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start(
        address: SocketAddr,
        lapse: Duration,
        idle: Duration,
        record: Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("bind the store");
        let store = Arc::new(Self {
            address,
            record,
            idle,
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let shared = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                shared.remove_lapsed(lapse);
            }
        });
        store
    }

    /// Writes an item; one with `lapses` needs heartbeats. Returns the time of the acknowledgement.
    pub fn put(&self, key: &str, value: &str, lapses: bool) -> Duration {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let revision = state.revision;
        let created = state.items.get(key).map_or(revision, |i| i.created);
        let beat = lapses.then(Instant::now);
        let item = Item { value: value.to_owned(), revision, created, beat };
        state.items.insert(key.to_owned(), item);
        let value = Some(value.to_owned());
        state.events.push(Event { key: key.to_owned(), revision, value });
        self.changed.notify_all();
        self.record.line(format_args!("store put {key} revision={revision}"))
    }

    /// Removes an item; returns the time of the acknowledgement.
    pub fn remove(&self, key: &str, why: &str) -> Duration {
        let mut state = self.state.lock().unwrap();
        if state.items.remove(key).is_some() {
            state.revision += 1;
            let revision = state.revision;
            state.events.push(Event { key: key.to_owned(), revision, value: None });
            self.changed.notify_all();
        }
        self.record.line(format_args!("store remove {key} revision={} why={why}", state.revision))
    }

    /// Records a heartbeat that changes nothing but the sequence number.
    pub fn beat(&self, key: &str) {
        if let Some(item) = self.state.lock().unwrap().items.get_mut(key) {
            item.beat = Some(Instant::now());
        }
    }

    fn remove_lapsed(&self, lapse: Duration) {
        let state = self.state.lock().unwrap();
        let is_lapsed = |i: &Item| i.beat.is_some_and(|at| at.elapsed() >= lapse);
        let lapsed = state.items.iter().filter(|(_, i)| is_lapsed(i));
        let lapsed: Vec<String> = lapsed.map(|(key, _)| key.clone()).collect();
        drop(state);
        for key in lapsed {
            self.remove(&key, "lapsed");
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(self.idle));
        let keep_alive = format!("timeout={}", self.idle.as_secs());
        let Ok(mut out) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read(&mut reader) {
            thread::sleep(ANSWER_TIME);
            let (status, body) = self.answer(request.path());
            self.record.line(format_args!("store answers {} {status}", request.start));
            let headers =
                [("Content-Type", "application/json"), ("Keep-Alive", keep_alive.as_str())];
            if out.write_all(&http::response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, path: &str) -> (&'static str, String) {
        let (call, query) = path.split_once('?').unwrap_or((path, ""));
        let find = |name: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| v.to_owned())
        };
        let prefix = find("Prefix").unwrap_or_default();
        match call {
            "/kv-range" => ("200 OK", self.range(&prefix, find("after").as_deref())),
            "/kv-watch" => {
                let after = find("after").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait = find("WaitMs").and_then(|v| v.parse().ok()).unwrap_or(0);
                ("200 OK", self.watch(&prefix, after, Duration::from_millis(wait)))
            }
            _ => ("404 Not Found", String::new()),
        }
    }

    fn range(&self, prefix: &str, after: Option<&str>) -> String {
        let state = self.state.lock().unwrap();
        let items = state
            .items
            .iter()
            .filter(|(k, _)| k.starts_with(prefix) && after.is_none_or(|after| k.as_str() > after));
        let mut rows: Vec<String> = items
            .take(PAGE + 1)
            .map(|(key, i)| {
                format!(
                    r#"{{"Key":"{key}","Value":"{}","Revision":{},"Created":{},"Lease":0}}"#,
                    base64(i.value.as_bytes()),
                    i.revision,
                    i.created
                )
            })
            .collect();
        let more = rows.len() > PAGE;
        rows.truncate(PAGE);
        let (rows, revision) = (rows.join(","), state.revision);
        format!(r#"{{"items":[{rows}],"HasMore":{more},"StoreRevision":{revision}}}"#)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let is_new = |e: &&Event| e.revision > after && e.key.starts_with(prefix);
        let state = self.state.lock().unwrap();
        let waiting = |s: &mut State| !s.events.iter().any(|e| is_new(&e));
        let (state, _) = self.changed.wait_timeout_while(state, wait, waiting).unwrap();
        let rows = state.events.iter().filter(is_new).map(|e| match &e.value {
            Some(value) => format!(
                r#"{{"Key":"{}","Value":"{}","Revision":{},"Created":{},"Lease":0}}"#,
                e.key,
                base64(value.as_bytes()),
                e.revision,
                e.revision
            ),
            None => format!(r#"{{"Key":"{}","Revision":{},"Deleted":true}}"#, e.key, e.revision),
        });
        let (rows, revision) = (rows.collect::<Vec<_>>().join(","), state.revision);
        format!(r#"{{"events":[{rows}],"StoreRevision":{revision}}}"#)
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |at: usize| u32::from(chunk.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at) & 63) as usize];
            text.push(if at <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}
