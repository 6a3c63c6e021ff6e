//! A fake of the platform's store.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};

use serde_json::{Value, json};

use super::message::{encode_response, listen, read_message};

#[derive(Default)]
struct Items {
    values: BTreeMap<String, (Vec<u8>, u64)>,
    events: Vec<(String, u64, Option<Vec<u8>>)>,
    revision: u64,
    compacted: u64,
    unavailable: bool,
    /// Most items of a page; 0 for no limit.
    page_len: usize,
    /// Bytes that are sent for every call, instead of its reply.
    given: Option<Vec<u8>>,
    /// Further header lines of all replies.
    lines: String,
    /// Bytes of a further item on each page.
    raw_row: Vec<u8>,
}

/// An in-memory store that serves lists and watches.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    items: Arc<Mutex<Items>>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Store {
    pub fn start() -> Self {
        let items: Arc<Mutex<Items>> = Arc::default();
        let connections: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
        let (shared, open) = (items.clone(), connections.clone());
        let address = listen(move |stream| {
            let mut out = stream.try_clone().unwrap();
            open.lock().unwrap().push(stream.try_clone().unwrap());
            let mut reader = BufReader::new(stream);
            while let Some(request) = read_message(&mut reader) {
                let reply = whole_reply(&shared.lock().unwrap(), request.path());
                if out.write_all(&reply).is_err() {
                    return;
                }
            }
        });
        Self { address, items, connections }
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

    /// Closes all connections, as after an idle timeout.
    pub fn close_connections(&self) {
        for connection in self.connections.lock().unwrap().drain(..) {
            // The peer may have closed it.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Answers every request with 503 while unavailable.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.items.lock().unwrap().unavailable = unavailable;
    }

    /// Limits the pages of a listing to so many items.
    pub fn set_page_len(&self, len: usize) {
        self.items.lock().unwrap().page_len = len;
    }

    /// Sends these bytes for every call from now on; `None` for its reply.
    pub fn set_reply(&self, bytes: Option<&[u8]>) {
        self.items.lock().unwrap().given = bytes.map(<[u8]>::to_vec);
    }

    /// Puts an item with these bytes first on each page from now on.
    pub fn set_raw_row(&self, bytes: &[u8]) {
        self.items.lock().unwrap().raw_row = bytes.to_vec();
    }

    /// Adds these header lines to all replies from now on.
    pub fn set_lines(&self, lines: &str) {
        self.items.lock().unwrap().lines = lines.to_owned();
    }

    /// Drops the event history, so that older watches get 410.
    pub fn compact(&self) {
        let mut items = self.items.lock().unwrap();
        items.events.clear();
        items.compacted = items.revision;
    }
}

fn whole_reply(items: &Items, path: &str) -> Vec<u8> {
    if let Some(given) = &items.given {
        return given.clone();
    }
    let reply = reply(items, path);
    let head = reply.iter().position(|b| *b == b'\n').unwrap() + 1;
    [&reply[..head], items.lines.as_bytes(), &reply[head..]].concat()
}

fn reply(items: &Items, path: &str) -> Vec<u8> {
    if items.unavailable {
        return encode_response("503 Service Unavailable", &[], b"");
    }
    let Some(query) = parse_query(path) else {
        return encode_response("400 Bad Request", &[], b"");
    };
    let value = |name: &str| query.get(name).cloned().unwrap_or_default();
    let prefix = value("Prefix");
    if path.starts_with("/kv-range") {
        return encode_page(items, &prefix, &value("after"));
    }
    let after: u64 = value("after").parse().unwrap_or(0);
    if after < items.compacted {
        return encode_response("410 Gone", &[], b"");
    }
    let events = items.events.iter().filter(|(k, r, _)| k.starts_with(&prefix) && *r > after);
    let events: Vec<Value> = events
        .map(|(k, r, v)| match v {
            Some(v) => json!({ "Key": k, "Value": base64(v), "Revision": r }),
            None => json!({ "Key": k, "Revision": r, "Deleted": true }),
        })
        .collect();
    let body = json!({ "events": events, "StoreRevision": items.revision });
    encode_response("200 OK", &[], body.to_string().as_bytes())
}

/// One page of the items whose keys begin with `prefix` and follow `after`.
fn encode_page(items: &Items, prefix: &str, after: &str) -> Vec<u8> {
    let is_listed = |key: &str| key.starts_with(prefix) && key > after;
    let listed = items.values.iter().filter(|(key, _)| is_listed(key));
    let mut rows: Vec<Value> =
        listed.map(|(k, (v, r))| json!({ "Key": k, "Value": base64(v), "Revision": r })).collect();
    let len = if items.page_len > 0 { items.page_len } else { rows.len() };
    let more = rows.len() > len;
    rows.truncate(len);
    let body = json!({ "items": rows, "HasMore": more, "StoreRevision": items.revision });
    let mut body = body.to_string().into_bytes();
    if !items.raw_row.is_empty() && !rows.is_empty() {
        let first = body.windows(2).position(|w| w == b"[{").unwrap() + 1;
        body.splice(first..first, [&items.raw_row[..], b","].concat());
    }
    encode_response("200 OK", &[], &body)
}

/// Decoded parameters of a path, `+` being a blank; `None` if an escape is malformed.
fn parse_query(path: &str) -> Option<BTreeMap<String, String>> {
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.map(|(name, value)| Some((name.to_owned(), decode(value)?))).collect()
}

fn decode(text: &str) -> Option<String> {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        bytes.push(match byte {
            b'+' => b' ',
            b'%' => {
                let digits = [rest.next()?, rest.next()?];
                u8::from_str_radix(std::str::from_utf8(&digits).ok()?, 16).ok()?
            }
            byte => byte,
        });
    }
    String::from_utf8(bytes).ok()
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
