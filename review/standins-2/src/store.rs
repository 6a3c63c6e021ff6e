//! The platform's store, as far as the hosts use it: lists and watches, and the drill of the letter
//! `LETTER-incident.md`, in which it comes back from a copy.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use crate::http::{self, Message};

#[derive(Clone, Debug)]
struct Event {
    key: String,
    revision: u64,
    /// `None` if the key was removed.
    value: Option<String>,
}

/// What a copy of the store holds.
#[derive(Clone, Debug, Default)]
pub struct Content {
    items: BTreeMap<String, (String, u64)>,
    events: Vec<Event>,
    revision: u64,
}

#[derive(Default)]
struct State {
    content: Content,
    era: u64,
    is_away: bool,
    connections: Vec<TcpStream>,
    /// Changes up to this revision are no longer available.
    discarded: u64,
    /// Called once the first page of a listing of the searchers has been read, before it is sent.
    after_page: Option<Hook>,
}

type Hook = Box<dyn FnOnce() + Send>;

/// Most items of a page.
const PAGE: usize = 50;

/// A store that loses nothing that it has acknowledged, but for [`Store::come_back`].
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let state = Arc::new(Mutex::new(State { era: 1, ..State::default() }));
        let shared = state.clone();
        let address = http::listen(address, move |stream| serve(&shared, stream))?;
        Ok(Self { address, state })
    }

    /// Writes a value; returns the revision, with which the write is acknowledged. A value that is
    /// there already changes nothing.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let content = &mut state.content;
        if let Some((known, revision)) = content.items.get(key)
            && known == value
        {
            return *revision;
        }
        content.revision += 1;
        let revision = content.revision;
        content.items.insert(key.into(), (value.into(), revision));
        content.events.push(Event { key: key.into(), revision, value: Some(value.into()) });
        revision
    }

    /// Removes a key; returns the revision, with which that is acknowledged.
    pub fn remove(&self, key: &str) -> u64 {
        let mut state = self.state.lock().unwrap();
        let content = &mut state.content;
        if content.items.remove(key).is_some() {
            content.revision += 1;
            let revision = content.revision;
            content.events.push(Event { key: key.into(), revision, value: None });
        }
        content.revision
    }

    pub fn has(&self, key: &str) -> bool {
        self.state.lock().unwrap().content.items.contains_key(key)
    }

    /// Revision of the last change.
    pub fn revision(&self) -> u64 {
        self.state.lock().unwrap().content.revision
    }

    /// Discards the history, and calls `hook` between the first two pages of the next listing of the
    /// searchers.
    pub fn discard_history(&self, hook: impl FnOnce() + Send + 'static) {
        let mut state = self.state.lock().unwrap();
        state.discarded = state.content.revision;
        state.after_page = Some(Box::new(hook));
    }

    /// A copy of all content.
    pub fn copy(&self) -> Content {
        self.state.lock().unwrap().content.clone()
    }

    /// Answers nothing, and closes all connections, until it comes back.
    pub fn go_away(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_away = true;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Comes back with a copy, whose changes and revisions are all that it knows.
    pub fn come_back(&self, copy: Content) {
        let mut state = self.state.lock().unwrap();
        state.content = copy;
        state.discarded = 0;
        state.era += 1;
        state.is_away = false;
    }
}

fn serve(state: &Mutex<State>, stream: TcpStream) {
    let Ok(mut out) = stream.try_clone() else { return };
    {
        let mut state = state.lock().unwrap();
        if state.is_away {
            return;
        }
        if let Ok(connection) = stream.try_clone() {
            state.connections.push(connection);
        }
    }
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read(&mut reader) {
        let (reply, hook) = {
            let mut state = state.lock().unwrap();
            if state.is_away {
                return;
            }
            let is_first_page = request.word().starts_with("/kv-range")
                && request.param("Prefix").as_deref() == Some("servers/")
                && request.param("after").is_none();
            (reply(&state, &request), state.after_page.take_if(|_| is_first_page))
        };
        if let Some(hook) = hook {
            hook();
        }
        if out.write_all(&reply).is_err() {
            return;
        }
    }
}

fn reply(state: &State, request: &Message) -> Vec<u8> {
    let prefix = request.param("Prefix").unwrap_or_default();
    let after = request.param("after");
    let content = &state.content;
    let (status, body) = if request.word().starts_with("/kv-range") {
        let is_due = |key: &str| after.as_deref().is_none_or(|after| key > after);
        let items = content.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(&prefix) && is_due(key));
        let rows = items.map(|(key, (value, revision))| item(key, value, *revision));
        let rows: Vec<String> = rows.collect();
        let (rows, more) = (rows[..rows.len().min(PAGE)].join(","), rows.len() > PAGE);
        let revision = content.revision;
        let body = format!(r#"{{"items":[{rows}],"HasMore":{more},"StoreRevision":{revision}}}"#);
        ("200 OK", body)
    } else {
        let after: u64 = after.and_then(|a| a.parse().ok()).unwrap_or(0);
        if after > content.revision || after < state.discarded {
            // A watch from a revision that it does not have, or has no more.
            ("410 Gone", "{}".to_owned())
        } else {
            let events = content.events.iter();
            let events = events.filter(|e| e.revision > after && e.key.starts_with(&prefix));
            let rows = events.map(row).collect::<Vec<_>>().join(",");
            let revision = content.revision;
            ("200 OK", format!(r#"{{"events":[{rows}],"StoreRevision":{revision}}}"#))
        }
    };
    let era = state.era.to_string();
    let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
    http::response(status, &headers, body.as_bytes())
}

fn row(event: &Event) -> String {
    let Event { key, revision, value } = event;
    match value {
        Some(value) => item(key, value, *revision),
        None => format!(r#"{{"Key":"{key}","Revision":{revision},"Deleted":true}}"#),
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    let value = base64(value.as_bytes());
    format!(
        r#"{{"Key":"{key}","Value":"{value}","Revision":{revision},"Created":{revision},"Lease":0}}"#
    )
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |n: usize| u32::from(chunk.get(n).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            let index = (bits >> (18 - 6 * n)) & 63;
            text.push(if n > chunk.len() { '=' } else { ALPHABET[index as usize] as char });
        }
    }
    text
}
