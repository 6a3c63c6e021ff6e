//! A query over several shards, with their parts merged into one answer.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::header::HeaderValue;
use sapphirerack_catalogue::Name;
use sapphirerack_policy::direct::{Cutoff, Decision, Selection, draw, retry_after, select};
use sapphirerack_routes::Gather;

use crate::ask::{Attempts, send_to_service};
use crate::attempt::{Call, Outcome};
use crate::host::Host;

/// Length of a record in bytes.
const RECORD_LEN: usize = 16;

/// Time from the decision to answer until the answer is sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);

type Record = [u8; RECORD_LEN];

/// The part of one shard.
struct Part {
    shard: usize,
    signature: HeaderValue,
    body: Bytes,
}

/// Outcome of a query.
pub(crate) enum Gathered {
    /// An answer: signatures and number of its parts, and the best records.
    Answer { signatures: HeaderValue, parts: usize, body: Bytes },
    /// Too many shards are overloaded or without targets; no request was sent. Enough shards are
    /// expected to admit a query after `retry_after`, if that is known.
    Refused { retry_after: Option<Duration> },
    /// Fewer parts than an answer needs.
    Incomplete { parts: usize },
}

/// Gathers the shards' parts until the caller's latency objective or, while they are too few,
/// until its deadline.
pub(crate) async fn gather(
    host: &Rc<Host>,
    call: &Rc<Call>,
    gather: &Gather,
    new_connection: bool,
    attempts: &Attempts,
) -> Gathered {
    let Selection { asked, mut spare } = match selection(host, call, gather) {
        Ok(selection) => selection,
        Err(retry_after) => return Gathered::Refused { retry_after },
    };
    let aim = latest_answer(host, call, new_connection);
    let total = gather.shards.len();
    let cutoff = Cutoff { total, min_parts: gather.min_shards(), aim, deadline: call.deadline };
    let query_shard = |shard: usize| async move {
        (shard, send_to_service(host, call, &gather.shards[shard], attempts).await)
    };
    let mut in_flight: FuturesUnordered<_> =
        asked.iter().map(|shard| query_shard(*shard)).collect();
    let mut progress = Progress { parts: Vec::with_capacity(total), outstanding: asked };
    loop {
        let reachable = progress.parts.len() + in_flight.len();
        if reachable < cutoff.min_parts
            && let Some(shard) = spare.pop()
        {
            in_flight.push(query_shard(shard));
            progress.outstanding.push(shard);
            continue;
        }
        let Decision::Wait(until) =
            cutoff.decide(progress.parts.len(), in_flight.len(), host.now())
        else {
            break;
        };
        let next = tokio::time::timeout_at(until.into(), in_flight.next()).await;
        if let Ok(Some((shard, outcome))) = next {
            record_load(host, &gather.shards[shard], outcome.as_ref(), aim);
            progress.finish(shard, outcome.and_then(|o| into_part(host, shard, o)));
        }
    }
    let now = host.now();
    if now >= aim {
        let late = progress.outstanding.iter().map(|shard| &gather.shards[*shard]);
        late.for_each(|service| record_admission(host, service, false, now));
    }
    log_missing(host, call, gather, &progress, attempts);
    if progress.parts.len() < cutoff.min_parts {
        return Gathered::Incomplete { parts: progress.parts.len() };
    }
    merge(&progress.parts, gather.top)
}

/// Progress of a query.
struct Progress {
    parts: Vec<Part>,
    /// Shards whose requests are in flight.
    outstanding: Vec<usize>,
}

impl Progress {
    /// Records the end of a shard's request.
    fn finish(&mut self, shard: usize, part: Option<Part>) {
        self.outstanding.retain(|s| *s != shard);
        self.parts.extend(part);
    }

    /// First of `total` shards without a part.
    fn first_missing(&self, total: usize) -> Option<usize> {
        (0..total).find(|shard| self.parts.iter().all(|p| p.shard != *shard))
    }
}

/// Latest time for an answer that meets the caller's latency objective.
///
/// The caller measures from before it opens its connection until the answer arrives: a round trip
/// for the request, and another one if the connection is new.
fn latest_answer(host: &Host, call: &Call, new_connection: bool) -> Instant {
    let distance = host.settings.borrow().queries.distance;
    let trips = if new_connection { 4 } else { 2 };
    call.start + call.route.aim.saturating_sub(distance * trips + ANSWER_MARGIN)
}

/// Selects the shards of a query.
///
/// # Errors
///
/// Too few shards admit it; returns the time after which enough are expected to, if that is known.
fn selection(host: &Host, call: &Call, gather: &Gather) -> Result<Selection, Option<Duration>> {
    let now = host.now();
    let admitted =
        |service| host.with_balancer(service, |b| b.admitted_share(now)).unwrap_or_default();
    let shares: Vec<f64> = gather.shards.iter().map(admitted).collect();
    let levels = host.view.borrow().table().priority_levels(&call.route);
    let (draw, min_parts) = (draw(fastrand::f64(), levels), gather.min_shards());
    select(&shares, draw, min_parts).ok_or_else(|| retry_after(&shares, draw, min_parts))
}

/// Updates the admission control of a shard from the outcome of its request.
fn record_load(host: &Host, service: &Name, outcome: Option<&Outcome>, aim: Instant) {
    let now = host.now();
    match outcome {
        Some(outcome) if outcome.is_success() => record_admission(host, service, now < aim, now),
        Some(Outcome::NotRun(_) | Outcome::Unsent(_)) | None => {
            record_admission(host, service, false, now);
        }
        // Failures and unreachable targets are no sign of overload.
        Some(_) => {}
    }
}

fn record_admission(host: &Host, service: &Name, in_time: bool, now: Instant) {
    host.with_balancer(service, |b| b.admission().record(in_time, now));
}

fn log_missing(
    host: &Host,
    call: &Call,
    gather: &Gather,
    progress: &Progress,
    attempts: &Attempts,
) {
    let total = gather.shards.len();
    let Some(first) = progress.first_missing(total).map(|s| &gather.shards[s]) else { return };
    let Some(suppressed) = host.incomplete_log.admit(host.now()) else { return };
    let id = call.id.to_str().unwrap_or("?");
    log::info!(
        "event=parts_missing id={id} route={} missing={}/{} first={first} replicas=\"{}\" \
         targets=\"{}\" left_ms={} suppressed={suppressed}",
        call.route.name,
        total - progress.parts.len(),
        total,
        host.describe_replicas(first),
        attempts.describe(),
        call.deadline.saturating_duration_since(host.now()).as_millis(),
    );
}

fn into_part(host: &Host, shard: usize, outcome: Outcome) -> Option<Part> {
    if !outcome.is_success() {
        return None;
    }
    let Outcome::Answered(answer) = outcome else { return None };
    let signature = answer.head.headers.get(&host.dialect.headers.signature)?.clone();
    Some(Part { shard, signature, body: answer.body })
}

/// Merges parts into an answer: the `top` greatest of their records, without parts whose signature
/// occurs a second time.
fn merge(parts: &[Part], top: usize) -> Gathered {
    let mut seen = HashSet::new();
    let mut records: Vec<Record> = Vec::new();
    let mut signatures: Vec<&[u8]> = Vec::with_capacity(parts.len());
    for part in parts.iter().filter(|p| seen.insert(p.signature.as_bytes())) {
        signatures.push(part.signature.as_bytes());
        records.extend(part.body.as_chunks::<RECORD_LEN>().0);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    let count = signatures.len();
    match HeaderValue::from_bytes(&signatures.join(&b", "[..])) {
        Ok(signatures) => {
            Gathered::Answer { signatures, parts: count, body: records.concat().into() }
        }
        Err(_) => Gathered::Incomplete { parts: 0 },
    }
}
