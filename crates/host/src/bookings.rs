//! Callers' bookings: `POST /book/{service}` and `POST /keys`.
//!
//! A booking is sent to the owner of its key's partition. Without a final outcome in time, it is
//! also sent to the next-ranked host. This is safe: the second host finds the claim of the first. A
//! booking with a key that a host issued is sent to that host only.
//!
//! An attempt is reported as "not run" only if it can't run any more. A caller's own key may be in
//! use elsewhere, so that a booking that was merely not forwarded is reported as unknown; a retry
//! with the same key resolves it.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::thread;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Name;
use sapphirerack_clients::Store;
use sapphirerack_http::{Request, Response};
use sapphirerack_policy::booking::{BookingOutcome, KeyId, Runner};
use sapphirerack_policy::{Clock, rank};
use sapphirerack_protocol::{Booking, Reply, Request as HostRequest};
use serde::Serialize;
use serde_json::value::RawValue;

use crate::calls::{Call, Calls};
use crate::claims::{Claims, Context, Input};
use crate::issued::IssuedKey;
use crate::peers::Peers;
use crate::routing::Routing;
use crate::settings::{BookingSettings, RequestLimits};
use crate::shutdown::Leaving;
use crate::{Error, Result, store_log};

const KEY_HEADER: &str = "x-idempotency-key";
const ATTEMPT_HEADER: &str = "x-attempt";
const PARTITION_HEADER: &str = "x-partition";
const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// Maximum number of hosts to which one booking is sent.
const MAX_CANDIDATES: usize = 3;

/// Time after the deadline up to which the replies of the hosts are awaited.
const REPLY_GRACE: Duration = Duration::from_millis(100);

/// Shortest timeout of a booking.
const MIN_TIMEOUT: Duration = Duration::from_millis(10);

#[derive(Default, Serialize)]
struct Body<'a> {
    outcome: &'static str,
    not_run: bool,
    key: &'a str,
    attempt: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    answer: Option<&'a RawValue>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    repeat: Option<String>,
}

#[derive(Serialize)]
struct Key<'a> {
    key: &'a str,
}

/// Callers' endpoints for bookings.
pub(crate) struct Bookings {
    pub clock: Arc<dyn Clock>,
    pub routing: Arc<Routing>,
    pub peers: Arc<Peers>,
    pub calls: Arc<Calls>,
    pub settings: BookingSettings,
    pub limits: RequestLimits,
    pub leaving: Arc<Leaving>,
    pub runner: Runner,
}

impl Bookings {
    /// Starts the threads of the partitions that this host owns; returns the sender of their inputs.
    pub(crate) fn spawn_claims(
        &self,
        store: &Store,
        open: Arc<AtomicUsize>,
    ) -> Result<flume::Sender<Input>> {
        let (inputs, received) = flume::unbounded();
        let (jobs, queue) = flume::unbounded();
        let (answers, answered) = flume::unbounded();
        store_log::spawn(store, &queue, &inputs)?;
        let forward = inputs.clone();
        let run = move || {
            for answer in answered {
                // The receiver lives as long as the process.
                let _ = forward.send(Input::Answer(answer));
            }
        };
        let builder = thread::Builder::new().name("booking-answers".into());
        builder.spawn(run).map_err(|e| Error::io("start thread", "booking-answers", e))?;
        let context = Context {
            clock: self.clock.clone(),
            routing: self.routing.clone(),
            peers: self.peers.clone(),
            calls: self.calls.clone(),
            settings: self.settings.clone(),
            runner: self.runner,
            open,
        };
        Claims::new(context, jobs, answers).spawn(received)?;
        Ok(inputs)
    }

    /// Issues a key.
    pub(crate) fn key(&self) -> Response {
        if self.leaving.is_set() {
            return Response::refuse(503, "host is leaving", true);
        }
        let key = self.issue().to_string();
        Response::json(200, &Key { key: &key }).with_header(KEY_HEADER, key)
    }

    /// Runs a booking at most once.
    pub(crate) fn book(&self, request: &Request, service: &str) -> Response {
        let caller_key = request.header(KEY_HEADER).map(Name::from);
        let has_key = caller_key.is_some();
        let key = caller_key.unwrap_or_else(|| self.issue().to_string().into());
        let booking = match self.parse(request, service, &key) {
            Ok(booking) => booking,
            Err(error) => return refuse(400, error, &key, 0, !has_key),
        };
        let attempt = booking.attempt;
        let view = self.routing.view();
        let error = match view.catalogue.service(service) {
            None if view.version == 0 => Some((503, "no configuration yet")),
            None => Some((404, "unknown service")),
            Some(_) if self.leaving.is_set() && !has_key => Some((503, "host is leaving")),
            Some(_) => None,
        };
        if let Some((status, error)) = error {
            return refuse(status, error, &key, attempt, !has_key);
        }
        respond(&self.run(booking), &key, attempt)
    }

    fn issue(&self) -> IssuedKey {
        let host = self.peers.own().name.clone();
        let (time, nonce) = (self.clock.unix(), fastrand::u64(..));
        IssuedKey { runner: self.runner, time, nonce, host }
    }

    fn parse(
        &self,
        request: &Request,
        service: &str,
        key: &Name,
    ) -> std::result::Result<Booking, &'static str> {
        let limit = self.limits.header;
        if key.is_empty() || key.len() > limit || !key.bytes().all(|b| b.is_ascii_graphic()) {
            return Err("x-idempotency-key: expected a short key of printable characters");
        }
        let attempt = request.header(ATTEMPT_HEADER).map_or(Ok(1), str::parse);
        let Some(attempt) = attempt.ok().filter(|a| *a > 0) else {
            return Err("x-attempt: expected a number from 1");
        };
        let timeout = match request.header(TIMEOUT_HEADER).map(str::parse) {
            None => self.settings.timeout,
            Some(Ok(ms)) => Duration::from_millis(ms),
            Some(Err(_)) => return Err("x-timeout-ms: expected milliseconds"),
        };
        if !(MIN_TIMEOUT..=self.limits.timeout).contains(&timeout) {
            return Err("x-timeout-ms: out of the host's limits");
        }
        let partition = request.header(PARTITION_HEADER);
        if partition.is_some_and(|p| p.len() > limit) {
            return Err("x-partition: too long");
        }
        let deadline = self.clock.unix() + timeout;
        Ok(Booking {
            service: service.into(),
            key: key.clone(),
            attempt,
            partition: partition.map_or_else(|| key.clone(), Name::from),
            deadline: u64::try_from(deadline.as_micros()).unwrap_or(u64::MAX),
            body: request.body.clone(),
        })
    }

    /// Sends a booking to the partition's owner, and to the next-ranked hosts if it gives no final
    /// outcome in time.
    fn run(&self, booking: Booking) -> BookingOutcome {
        let hosts = self.candidates(&booking);
        let left = Duration::from_micros(booking.deadline).saturating_sub(self.clock.unix());
        let deadline = self.clock.now() + left + REPLY_GRACE;
        let (sender, answers) = flume::unbounded();
        let mut ids = Vec::new();
        let mut outstanding = 0;
        let mut outcome = None;
        for (index, host) in hosts.iter().enumerate() {
            let request = HostRequest::Book(booking.clone());
            let call = Call { index, peer: host.address, request };
            ids.extend(self.calls.send(vec![call], &sender));
            outstanding += 1;
            let is_last = index + 1 == hosts.len();
            let until = if is_last { deadline } else { self.clock.now() + self.settings.failover };
            if self.collect(&answers, until.min(deadline), &mut outstanding, &mut outcome) {
                break;
            }
        }
        self.collect(&answers, deadline, &mut outstanding, &mut outcome);
        self.calls.forget(&ids);
        outcome.unwrap_or(BookingOutcome::Unknown)
    }

    /// Waits for outcomes; true once there is a final one.
    fn collect(
        &self,
        answers: &flume::Receiver<crate::calls::Answer>,
        until: Instant,
        outstanding: &mut usize,
        outcome: &mut Option<BookingOutcome>,
    ) -> bool {
        while *outstanding > 0 && !outcome.as_ref().is_some_and(is_final) {
            let Ok(answer) = answers.recv_deadline(until) else { return false };
            *outstanding -= 1;
            if let Some(Reply::Booked(found)) = answer.reply {
                let is_known = outcome.is_some() && found == BookingOutcome::InProgress;
                *outcome = if is_known { outcome.take() } else { Some(found) };
            }
        }
        outcome.as_ref().is_some_and(is_final)
    }

    fn candidates(&self, booking: &Booking) -> Vec<sapphirerack_policy::Host> {
        // A leaving host still resolves the keys that it issued.
        if let Some(issued) = IssuedKey::parse(&booking.key) {
            return self.peers.host(&issued.host).into_iter().collect();
        }
        let live = self.peers.live();
        let partition = KeyId::new(&booking.service, &booking.key).partition();
        let name = format!("bookings/{partition}");
        let ranked = rank(name.as_bytes(), &live, |h| h.name.as_bytes());
        ranked.into_iter().take(MAX_CANDIDATES).collect()
    }
}

fn is_final(outcome: &BookingOutcome) -> bool {
    !matches!(outcome, BookingOutcome::Unknown | BookingOutcome::InProgress)
}

fn refuse(status: u16, error: &str, key: &str, attempt: u32, not_run: bool) -> Response {
    let outcome = if not_run { "not_run" } else { "unknown" };
    let body = Body { outcome, not_run, key, attempt, error: Some(error), ..Body::default() };
    Response::json(status, &body).with_header(KEY_HEADER, key)
}

fn respond(outcome: &BookingOutcome, key: &str, attempt: u32) -> Response {
    let body = Body { key, attempt, ..Body::default() };
    let response = match outcome {
        BookingOutcome::Answer(answer) => {
            let answer = serde_json::from_slice::<&RawValue>(answer).ok();
            Response::json(200, &Body { outcome: "answer", answer, ..body })
        }
        BookingOutcome::NotRun { attempt } => {
            let repeat = Some(format!("same key with {ATTEMPT_HEADER}: {}", attempt + 1));
            let (outcome, not_run, attempt) = ("not_run", true, *attempt);
            Response::json(503, &Body { outcome, not_run, attempt, repeat, ..body })
        }
        BookingOutcome::InProgress => {
            let repeat = Some("same key to learn the outcome".to_owned());
            Response::json(202, &Body { outcome: "in_progress", repeat, ..body })
        }
        BookingOutcome::Unknown => {
            let repeat = Some("same key to learn the outcome".to_owned());
            Response::json(504, &Body { outcome: "unknown", repeat, ..body })
        }
        BookingOutcome::OtherBody => {
            let error = Some("the key belongs to another request");
            Response::json(422, &Body { outcome: "other_body", error, ..body })
        }
    };
    response.with_header(KEY_HEADER, key)
}
