//! Fake targets.

use std::cell::Cell;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use super::DEFAULT_ATTEMPT;
use super::message::{Message, encode_response, listen_at, read_message};

/// How a target responds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetBehaviour {
    /// Answers with its part at once.
    Normal,
    /// Answers with its part after a delay.
    Slow(Duration),
    /// Refuses the request as not executed.
    Refuse,
    /// Executes the request and closes the connection without a response.
    Disconnect,
    /// Answers with another attempt's id.
    WrongAttempt,
    /// Closes the connection before the end of the body.
    Truncate,
    /// Answers without a signature.
    Unsigned,
    /// Refuses without stating that the request was not executed.
    AmbiguousRefusal,
    /// Sends the response twice.
    Duplicate,
    /// Sends nothing until the connection ends.
    Hang,
    /// Behaves as `Disconnect` for this many requests, then as `Normal`.
    DisconnectFirst(usize),
    /// Behaves as `Disconnect` for one request, then as `Refuse`.
    DisconnectThenRefuse,
    /// Answers with its part and states that it is about to exit.
    Leaving,
    /// Behaves as `Leaving` after a delay.
    SlowLeaving(Duration),
    /// Refuses the request and states that it is about to exit.
    LeavingRefusal,
    /// Refuses the request and wants no other one for this time.
    HoldOff(Duration),
    /// Sends this many bytes of a head with this framing and closes the connection.
    CutHead(Framing, usize),
    /// Sends a head without end.
    EndlessHead,
    /// Sends a body without end.
    EndlessBody,
    /// Sends a body without end, in chunks of one byte.
    EndlessChunks,
    /// Sends a chunk extension without end.
    EndlessExtension,
    /// Sends trailers without end.
    EndlessTrailers,
    /// Sends interim responses without end.
    EndlessInterim,
    /// Sends the response again, without an id, when the next request has come.
    LateCopy,
}

/// How a response says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    Length,
    Chunks,
    /// It ends with the connection.
    Close,
}

impl Framing {
    /// Head of a success that is signed before its framing is stated.
    pub fn head(self) -> String {
        let framing = match self {
            Self::Length => "Content-Length: 32\r\n",
            Self::Chunks => "Transfer-Encoding: chunked\r\n",
            Self::Close => "Connection: close\r\n",
        };
        format!(
            "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: {DEFAULT_ATTEMPT}\r\n{framing}\r\n"
        )
    }
}

/// Beginning of a signed response in chunks.
macro_rules! chunked {
    ($body:literal) => {
        concat!("HTTP/1.1 200 OK\r\nServer-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", $body)
    };
}

impl TargetBehaviour {
    /// Whether the request is refused as not executed.
    fn is_refusal(self) -> bool {
        matches!(self, Self::Refuse | Self::LeavingRefusal | Self::HoldOff(_))
    }

    /// Beginning of a response without end, and what is then sent over and over.
    fn endless_reply(self) -> Option<(&'static str, &'static str)> {
        match self {
            Self::EndlessHead => Some(("HTTP/1.1 200 OK\r\n", "x-more: 0123456789\r\n")),
            Self::EndlessBody => {
                Some(("HTTP/1.1 200 OK\r\nServer-Seal: s\r\n\r\n", "0123456789abcdef"))
            }
            Self::EndlessChunks => Some((chunked!(""), "1\r\nx\r\n")),
            Self::EndlessExtension => Some((chunked!("1;"), "0123456789")),
            Self::EndlessTrailers => Some((chunked!("0\r\n"), "x-more: 0123456789\r\n")),
            Self::EndlessInterim => Some(("", "HTTP/1.1 102 Processing\r\n\r\n")),
            _ => None,
        }
    }

    /// Behaviour for the next request.
    fn next(&mut self) -> Self {
        match self {
            Self::DisconnectFirst(0) => Self::Normal,
            Self::DisconnectFirst(left) => {
                *left -= 1;
                Self::Disconnect
            }
            Self::DisconnectThenRefuse => {
                *self = Self::Refuse;
                Self::Disconnect
            }
            behaviour => *behaviour,
        }
    }
}

/// A target that records the requests it gets.
#[derive(Clone)]
pub struct Target {
    pub id: String,
    pub address: SocketAddr,
    behaviour: Arc<Mutex<TargetBehaviour>>,
    /// Bytes that are sent for every request, instead of the reply of the behaviour.
    reply: Arc<Mutex<Option<Vec<u8>>>>,
    requests: Arc<Mutex<Vec<Message>>>,
    executed: Arc<Mutex<Vec<String>>>,
    aborted: Arc<AtomicUsize>,
}

static TARGETS: AtomicU32 = AtomicU32::new(1);

impl Target {
    /// Starts a target whose part has these records, each one byte repeated.
    pub fn start(records: &[u8], behaviour: TargetBehaviour) -> Self {
        let id = format!("i-{}", TARGETS.fetch_add(1, Ordering::Relaxed));
        Self::start_with(id, "127.0.0.1:0".parse().unwrap(), records, behaviour)
    }

    /// Starts a normal target with this id and address.
    pub fn start_at(id: &str, address: SocketAddr, records: &[u8]) -> Self {
        Self::start_with(id.into(), address, records, TargetBehaviour::Normal)
    }

    fn start_with(
        id: String,
        address: SocketAddr,
        records: &[u8],
        behaviour: TargetBehaviour,
    ) -> Self {
        let behaviour = Arc::new(Mutex::new(behaviour));
        let requests: Arc<Mutex<Vec<Message>>> = Arc::default();
        let body: Vec<u8> = records.iter().flat_map(|r| [*r; 16]).collect();
        let executed: Arc<Mutex<Vec<String>>> = Arc::default();
        let (current, received, own_id) = (behaviour.clone(), requests.clone(), id.clone());
        let attempts = executed.clone();
        let aborted: Arc<AtomicUsize> = Arc::default();
        let aborts = aborted.clone();
        let reply: Arc<Mutex<Option<Vec<u8>>>> = Arc::default();
        let given = reply.clone();
        let address = listen_at(address, move |stream| {
            let mut out = stream.try_clone().unwrap();
            let mut reader = BufReader::new(stream);
            let late_copy: Cell<Option<Vec<u8>>> = Cell::new(None);
            while let Some(request) = read_message(&mut reader) {
                received.lock().unwrap().push(request.clone());
                let behaviour = current.lock().unwrap().next();
                if !behaviour.is_refusal() && is_addressed_to(&request, &own_id) {
                    let attempt = request.header("attempt-id").unwrap_or_default();
                    attempts.lock().unwrap().push(attempt.to_owned());
                }
                let bytes = given.lock().unwrap().clone();
                if let Some(bytes) = bytes {
                    if out.write_all(&bytes).is_err() || ends_connection(&bytes) {
                        return;
                    }
                    continue;
                }
                if let TargetBehaviour::CutHead(framing, len) = behaviour {
                    let _ = out.write_all(&framing.head().as_bytes()[..len]);
                    return;
                }
                if let Some((start, rest)) = behaviour.endless_reply() {
                    aborts.fetch_add(write_endlessly(&mut out, start, rest), Ordering::Relaxed);
                    return;
                }
                if let Some(copy) = late_copy.replace(None)
                    && out.write_all(&copy).is_err()
                {
                    return;
                }
                if behaviour == TargetBehaviour::LateCopy {
                    let headers = [("Server-Seal", "seal.of.another")];
                    late_copy.set(Some(encode_response("200 OK", &headers, &body)));
                }
                if behaviour == TargetBehaviour::Hang {
                    // The host sends nothing more, so the read returns when the connection ends.
                    let _ = reader.read(&mut [0]);
                    aborts.fetch_add(1, Ordering::Relaxed);
                    return;
                }
                let Some(reply) = encode_reply(behaviour, &own_id, &request, &body) else { return };
                if out.write_all(&reply).is_err() || behaviour == TargetBehaviour::Truncate {
                    return;
                }
            }
        });
        Self { id, address, behaviour, reply, requests, executed, aborted }
    }

    pub fn set_behaviour(&self, behaviour: TargetBehaviour) {
        *self.behaviour.lock().unwrap() = behaviour;
    }

    /// Sends these bytes for every request from now on; `None` for the reply of the behaviour.
    pub fn set_reply(&self, bytes: Option<&[u8]>) {
        *self.reply.lock().unwrap() = bytes.map(<[u8]>::to_vec);
    }

    pub fn requests(&self) -> Vec<Message> {
        self.requests.lock().unwrap().clone()
    }

    /// Attempt ids of the requests that were not refused.
    pub fn executed(&self) -> Vec<String> {
        self.executed.lock().unwrap().clone()
    }

    /// Number of hung requests whose connection ended.
    pub fn aborted(&self) -> usize {
        self.aborted.load(Ordering::Relaxed)
    }

    /// Announcement of a target at `address`.
    pub fn announcement_of(address: SocketAddr, service: &str) -> Value {
        json!({
            "Upstream": service, "Address": address, "Zone": "here", "Version": "v1",
            "Slots": 2, "State": "ready", "WarmupLeftMs": 0, "Seq": 1, "born": 1,
        })
    }

    /// Announcement of this target.
    pub fn announcement(&self, service: &str) -> Value {
        Self::announcement_of(self.address, service)
    }

    /// Signature of the response to [`Host::get`](super::Host::get).
    pub fn seal(&self) -> String {
        format!("seal.{}.{DEFAULT_ATTEMPT}", self.id)
    }
}

/// Writes until the peer closes the connection; returns 1.
fn write_endlessly(out: &mut TcpStream, start: &str, rest: &str) -> usize {
    let rest = rest.repeat(64);
    let mut open = out.write_all(start.as_bytes()).is_ok();
    while open {
        open = out.write_all(rest.as_bytes()).is_ok();
    }
    1
}

/// Whether an answer in bytes says that the connection ends with it.
fn ends_connection(reply: &[u8]) -> bool {
    String::from_utf8_lossy(reply).to_ascii_lowercase().contains("connection: close")
}

fn is_addressed_to(request: &Message, id: &str) -> bool {
    request.header("expect-instance") == Some(id)
}

fn encode_reply(
    behaviour: TargetBehaviour,
    id: &str,
    request: &Message,
    body: &[u8],
) -> Option<Vec<u8>> {
    if !is_addressed_to(request, id) {
        return Some(encode_response("421 Misdirected Request", &[], b""));
    }
    let attempt = request.header("attempt-id").unwrap_or_default();
    let seal = format!("seal.{id}.{attempt}");
    let signed = [("Attempt-Id", attempt), ("Server-Seal", seal.as_str())];
    let normal = encode_response("200 OK", &signed, body);
    let leaving = [&signed[..], &[("Server-Leaving", "1")]].concat();
    let leaving = encode_response("200 OK", &leaving, body);
    match behaviour {
        TargetBehaviour::Normal => Some(normal),
        TargetBehaviour::Slow(time) => {
            thread::sleep(time);
            Some(normal)
        }
        TargetBehaviour::Refuse => {
            let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt)];
            Some(encode_response("503 Service Unavailable", &headers, b""))
        }
        TargetBehaviour::Leaving => Some(leaving),
        TargetBehaviour::SlowLeaving(time) => {
            thread::sleep(time);
            Some(leaving)
        }
        TargetBehaviour::LeavingRefusal => {
            let headers = [("Not-Executed", "1"), ("Attempt-Id", attempt), ("Server-Leaving", "1")];
            Some(encode_response("503 Service Unavailable", &headers, b""))
        }
        TargetBehaviour::HoldOff(time) => {
            let seconds = format!("{:.3}", time.as_secs_f64());
            let headers =
                [("Not-Executed", "1"), ("Attempt-Id", attempt), ("Retry-After", &*seconds)];
            Some(encode_response("503 Service Unavailable", &headers, b""))
        }
        TargetBehaviour::LateCopy => Some(normal),
        TargetBehaviour::Disconnect
        | TargetBehaviour::DisconnectFirst(_)
        | TargetBehaviour::DisconnectThenRefuse
        | TargetBehaviour::CutHead(..)
        | TargetBehaviour::EndlessHead
        | TargetBehaviour::EndlessBody
        | TargetBehaviour::EndlessChunks
        | TargetBehaviour::EndlessExtension
        | TargetBehaviour::EndlessTrailers
        | TargetBehaviour::EndlessInterim
        | TargetBehaviour::Hang => None,
        TargetBehaviour::WrongAttempt => {
            let headers = [("Attempt-Id", "another"), ("Server-Seal", seal.as_str())];
            Some(encode_response("200 OK", &headers, body))
        }
        TargetBehaviour::Truncate => Some(normal[..normal.len() - 8].to_vec()),
        TargetBehaviour::Unsigned => {
            Some(encode_response("200 OK", &[("Attempt-Id", attempt)], body))
        }
        TargetBehaviour::AmbiguousRefusal => {
            Some(encode_response("503 Service Unavailable", &signed, b""))
        }
        TargetBehaviour::Duplicate => Some([normal.clone(), normal].concat()),
    }
}
