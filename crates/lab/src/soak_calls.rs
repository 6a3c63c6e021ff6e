//! Callers that book and search through random hosts and record each call.

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use sapphirerack_catalogue::{Name, Span};
use serde::Deserialize;

use crate::fleet::HostProcess;
use crate::history::{BookingCall, CallOutcome, Receipt, SearchCall, SearchPart};

/// Maximum number of calls per key.
const MAX_CALLS: usize = 4;

/// Timeout of a booking, as sent with the request, in milliseconds.
const BOOKING_TIMEOUT_MS: u64 = 1_000;

/// Timeout of a call at the caller.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Name and addresses of a host; a restart keeps them.
#[derive(Clone, Debug)]
pub(crate) struct Host {
    pub name: Name,
    callers: SocketAddr,
    operators: SocketAddr,
}

#[derive(Deserialize)]
struct Status {
    version: u64,
}

#[derive(Deserialize)]
struct Key {
    key: String,
}

#[derive(Deserialize)]
struct BookingReply {
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    attempt: u32,
    answer: Option<BookingAnswer>,
}

#[derive(Deserialize)]
struct BookingAnswer {
    name: String,
    booking: u64,
    body: String,
}

#[derive(Deserialize)]
struct SearchAnswer {
    snapshot: u64,
    coverage: f64,
    parts: Vec<Part>,
}

#[derive(Deserialize)]
struct Part {
    span: Span,
    results: Vec<PartResult>,
}

#[derive(Deserialize)]
struct PartResult {
    snapshot: u64,
    query: String,
}

impl Host {
    pub(crate) fn new(process: &HostProcess) -> Self {
        let HostProcess { name, callers, operators, .. } = process;
        Self { name: name.clone(), callers: *callers, operators: *operators }
    }

    /// Version in force, or `None` if the host does not respond.
    pub(crate) fn version(&self) -> Option<u64> {
        let url = format!("http://{}/status", self.operators);
        let response = minreq::get(url).with_timeout(1).send().ok()?;
        serde_json::from_slice::<Status>(response.as_bytes()).ok().map(|s| s.version)
    }
}

/// A caller that sends each request to a random host.
pub(crate) struct Caller<'a> {
    rng: Rng,
    hosts: &'a [Host],
    agent: ureq::Agent,
}

impl<'a> Caller<'a> {
    pub(crate) fn new(seed: u64, hosts: &'a [Host]) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self { rng: Rng::with_seed(seed), hosts, agent: config.into() }
    }

    /// Books with `key`, in at most `MAX_CALLS` calls; stops early only after an answer.
    pub(crate) fn book(&mut self, key: &str) -> Vec<BookingCall> {
        let body = format!("body of {key}");
        let mut calls: Vec<BookingCall> = Vec::new();
        let mut attempt = 1;
        while calls.len() < MAX_CALLS {
            let call = self.send_booking(key, attempt, &body);
            let outcome = call.outcome.clone();
            calls.push(call);
            match outcome {
                // Some answered calls are repeated: the repeat must get the same answer.
                CallOutcome::Answer(_) if self.rng.u32(..4) > 0 => break,
                CallOutcome::NotRun if self.rng.bool() => attempt += 1,
                _ => {}
            }
        }
        calls
    }

    /// Requests a key from a random host; `None` if it does not respond.
    pub(crate) fn request_key(&mut self) -> Option<String> {
        let host = &self.hosts[self.rng.usize(..self.hosts.len())];
        let mut response =
            self.agent.post(format!("http://{}/keys", host.callers)).send("").ok()?;
        let bytes = response.body_mut().read_to_vec().ok()?;
        serde_json::from_slice::<Key>(&bytes).ok().map(|k| k.key)
    }

    /// Sends one booking call to a random host.
    pub(crate) fn send_booking(&mut self, key: &str, attempt: u32, body: &str) -> BookingCall {
        let host = &self.hosts[self.rng.usize(..self.hosts.len())];
        let request = self
            .agent
            .post(format!("http://{}/book/search", host.callers))
            .header("x-idempotency-key", key)
            .header("x-attempt", attempt.to_string())
            .header("x-timeout-ms", BOOKING_TIMEOUT_MS.to_string());
        let reply = request.send(body).ok().and_then(|mut r| r.body_mut().read_to_vec().ok());
        let reply = reply.and_then(|b| serde_json::from_slice::<BookingReply>(&b).ok());
        let (outcome, attempt) =
            reply.map_or((CallOutcome::Unknown, attempt), |b| call_outcome(b, attempt));
        BookingCall { key: key.to_owned(), attempt, body: body.to_owned(), outcome }
    }

    /// Sends one search to a random host; `None` if there is no answer.
    pub(crate) fn search(&mut self, query: &str) -> Option<SearchCall> {
        let host = &self.hosts[self.rng.usize(..self.hosts.len())];
        let url = format!("http://{}/search/search", host.callers);
        let mut response = self.agent.post(url).send(query).ok()?;
        let bytes = response.body_mut().read_to_vec().ok()?;
        let answer: SearchAnswer = serde_json::from_slice(&bytes).ok()?;
        let parts = answer.parts.into_iter().flat_map(|part| {
            let span = part.span;
            let to_part =
                move |r: PartResult| SearchPart { span, snapshot: r.snapshot, query: r.query };
            part.results.into_iter().map(to_part)
        });
        Some(SearchCall {
            query: query.to_owned(),
            snapshot: answer.snapshot,
            coverage: answer.coverage,
            parts: parts.collect(),
        })
    }
}

fn call_outcome(reply: BookingReply, requested: u32) -> (CallOutcome, u32) {
    let outcome = match (&*reply.outcome, reply.answer) {
        ("answer", Some(BookingAnswer { name, booking, body })) => {
            CallOutcome::Answer(Receipt { target: name, booking, body })
        }
        ("not_run", _) => return (CallOutcome::NotRun, reply.attempt),
        ("in_progress", _) => CallOutcome::InProgress,
        ("other_body", _) => CallOutcome::OtherBody,
        _ => CallOutcome::Unknown,
    };
    (outcome, requested)
}
