//! Callers of a run under faults.

use std::net::SocketAddr;
use std::time::Duration;

use fastrand::Rng;
use sapphirerack_catalogue::{Name, Span};
use serde::Deserialize;

use crate::fleet::HostProcess;
use crate::history::{BookingCall, CallOutcome, Receipt, SearchCall, SearchPart};

/// Calls for one key at most.
const CALLS: usize = 4;

/// Time that a booking may take, in milliseconds.
const TIMEOUT_MS: u64 = 1_000;

/// Time after which a caller gives a connection up.
const PATIENCE: Duration = Duration::from_secs(2);

/// Addresses of a host, the same after a restart.
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
struct Booked {
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    attempt: u32,
    answer: Option<Answer>,
}

#[derive(Deserialize)]
struct Answer {
    name: String,
    booking: u64,
    body: String,
}

#[derive(Deserialize)]
struct Found {
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
    pub(crate) fn of(process: &HostProcess) -> Self {
        let HostProcess { name, callers, operators, .. } = process;
        Self { name: name.clone(), callers: *callers, operators: *operators }
    }

    /// Version in force; `None` if the host does not answer.
    pub(crate) fn version(&self) -> Option<u64> {
        let url = format!("http://{}/status", self.operators);
        let response = minreq::get(url).with_timeout(1).send().ok()?;
        serde_json::from_slice::<Status>(response.as_bytes()).ok().map(|s| s.version)
    }
}

/// A caller that uses any host.
pub(crate) struct Caller<'a> {
    rng: Rng,
    hosts: &'a [Host],
    agent: ureq::Agent,
}

impl<'a> Caller<'a> {
    pub(crate) fn new(seed: u64, hosts: &'a [Host]) -> Self {
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(PATIENCE))
            .build();
        Self { rng: Rng::with_seed(seed), hosts, agent: config.into() }
    }

    /// Books under a key of its own and retries until there is an outcome, or it gives up.
    pub(crate) fn book(&mut self, key: &str) -> Vec<BookingCall> {
        let body = format!("body of {key}");
        let mut calls: Vec<BookingCall> = Vec::new();
        let mut attempt = 1;
        while calls.len() < CALLS {
            let call = self.ask(key, attempt, &body);
            let outcome = call.outcome.clone();
            calls.push(call);
            match outcome {
                // A retry must get the same answer.
                CallOutcome::Answer(_) if self.rng.u32(..4) > 0 => break,
                CallOutcome::NotRun if self.rng.bool() => attempt += 1,
                _ => {}
            }
        }
        calls
    }

    /// A key that any host hands out; `None` if it does not answer.
    pub(crate) fn key(&mut self) -> Option<String> {
        let host = &self.hosts[self.rng.usize(..self.hosts.len())];
        let mut response =
            self.agent.post(format!("http://{}/keys", host.callers)).send("").ok()?;
        let bytes = response.body_mut().read_to_vec().ok()?;
        serde_json::from_slice::<Key>(&bytes).ok().map(|k| k.key)
    }

    /// One call through any host.
    pub(crate) fn ask(&mut self, key: &str, attempt: u32, body: &str) -> BookingCall {
        let host = &self.hosts[self.rng.usize(..self.hosts.len())];
        let request = self
            .agent
            .post(format!("http://{}/book/search", host.callers))
            .header("x-idempotency-key", key)
            .header("x-attempt", attempt.to_string())
            .header("x-timeout-ms", TIMEOUT_MS.to_string());
        let booked = request.send(body).ok().and_then(|mut r| r.body_mut().read_to_vec().ok());
        let booked = booked.and_then(|b| serde_json::from_slice::<Booked>(&b).ok());
        let (outcome, attempt) =
            booked.map_or((CallOutcome::Unknown, attempt), |b| call_outcome(b, attempt));
        BookingCall { key: key.to_owned(), attempt, body: body.to_owned(), outcome }
    }

    /// One search through any host; `None` if it is not answered.
    pub(crate) fn search(&mut self, query: &str) -> Option<SearchCall> {
        let host = &self.hosts[self.rng.usize(..self.hosts.len())];
        let url = format!("http://{}/search/search", host.callers);
        let mut response = self.agent.post(url).send(query).ok()?;
        let bytes = response.body_mut().read_to_vec().ok()?;
        let found: Found = serde_json::from_slice(&bytes).ok()?;
        let parts = found.parts.into_iter().flat_map(|part| {
            let span = part.span;
            let whole =
                move |r: PartResult| SearchPart { span, snapshot: r.snapshot, query: r.query };
            part.results.into_iter().map(whole)
        });
        Some(SearchCall {
            query: query.to_owned(),
            snapshot: found.snapshot,
            coverage: found.coverage,
            parts: parts.collect(),
        })
    }
}

fn call_outcome(booked: Booked, asked: u32) -> (CallOutcome, u32) {
    let outcome = match (&*booked.outcome, booked.answer) {
        ("answer", Some(Answer { name, booking, body })) => {
            CallOutcome::Answer(Receipt { target: name, booking, body })
        }
        ("not_run", _) => return (CallOutcome::NotRun, booked.attempt),
        ("in_progress", _) => CallOutcome::InProgress,
        ("other_body", _) => CallOutcome::OtherBody,
        _ => CallOutcome::Unknown,
    };
    (outcome, asked)
}
