//! A request for the parts of several shards.

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

use crate::ask::{Attempts, ask};
use crate::attempt::{Call, Outcome};
use crate::host::Host;

/// Size of a record, in bytes.
const RECORD: usize = 16;

/// Time that a host needs from the decision to answer until the answer has left.
const AIM_MARGIN: Duration = Duration::from_millis(12);

type Record = [u8; RECORD];

/// The part of one shard.
struct Part {
    shard: usize,
    seal: HeaderValue,
    body: Bytes,
}

/// What a query came to.
pub(crate) enum Gathered {
    /// An answer, with signatures, missing shards and records.
    Answer { seals: HeaderValue, parts: usize, body: Bytes },
    /// Too many shards are overloaded or without targets; none was asked. Room is expected after
    /// this time, if that is known.
    Refused { after: Option<Duration> },
    /// Too few parts.
    Short { parts: usize },
}

/// Gathers the parts of all shards, until the caller's aim or, if they are too few, its deadline.
pub(crate) async fn gather(
    host: &Rc<Host>,
    call: &Rc<Call>,
    gather: &Gather,
    fresh: bool,
    attempts: &Attempts,
) -> Gathered {
    let Selection { asked, mut spare } = match selection(host, call, gather) {
        Ok(selection) => selection,
        Err(after) => return Gathered::Refused { after },
    };
    let aim = latest_answer(host, call, fresh);
    let total = gather.shards.len();
    let cutoff = Cutoff { total, min_parts: gather.min_shards(), aim, deadline: call.deadline };
    let ask = |shard: usize| async move {
        (shard, ask(host, call, &gather.shards[shard], attempts).await)
    };
    let mut open: FuturesUnordered<_> = asked.iter().map(|shard| ask(*shard)).collect();
    let mut state = Gathering { parts: Vec::with_capacity(total), waiting: asked };
    loop {
        let reachable = state.parts.len() + open.len();
        if reachable < cutoff.min_parts
            && let Some(shard) = spare.pop()
        {
            open.push(ask(shard));
            state.waiting.push(shard);
            continue;
        }
        let Decision::Wait(until) = cutoff.decide(state.parts.len(), open.len(), host.now()) else {
            break;
        };
        let next = tokio::time::timeout_at(until.into(), open.next()).await;
        if let Ok(Some((shard, outcome))) = next {
            record(host, &gather.shards[shard], outcome.as_ref(), aim);
            state.settle(shard, outcome.and_then(|o| part(host, shard, o)));
        }
    }
    let now = host.now();
    if now >= aim {
        let late = state.waiting.iter().map(|shard| &gather.shards[*shard]);
        late.for_each(|service| admission(host, service, false, now));
    }
    log_missing(host, call, gather, &state, attempts);
    if state.parts.len() < cutoff.min_parts {
        return Gathered::Short { parts: state.parts.len() };
    }
    merge(&state.parts, gather.top)
}

/// What a query has got so far.
struct Gathering {
    parts: Vec<Part>,
    /// Shards that were asked and have not settled.
    waiting: Vec<usize>,
}

impl Gathering {
    /// Takes note of the end of a shard's request.
    fn settle(&mut self, shard: usize, part: Option<Part>) {
        self.waiting.retain(|w| *w != shard);
        self.parts.extend(part);
    }

    /// First of `total` shards without a part.
    fn first_missing(&self, total: usize) -> Option<usize> {
        (0..total).find(|shard| self.parts.iter().all(|p| p.shard != *shard))
    }
}

/// Latest time for an answer that reaches the caller within its aim.
///
/// The caller counts from before it opened its connection, if it did, and until the answer is
/// there; each of these ways takes the distance.
fn latest_answer(host: &Host, call: &Call, fresh: bool) -> Instant {
    let distance = host.settings.borrow().queries.distance;
    let ways = if fresh { 4 } else { 2 };
    call.start + call.route.aim.saturating_sub(distance * ways + AIM_MARGIN)
}

/// Shards that the query asks.
///
/// # Errors
///
/// Too few of them admit it; tells when enough will, if that is known.
fn selection(host: &Host, call: &Call, gather: &Gather) -> Result<Selection, Option<Duration>> {
    let now = host.now();
    let admitted = |service| host.balance(service, |b| b.admitted_share(now)).unwrap_or_default();
    let shares: Vec<f64> = gather.shards.iter().map(admitted).collect();
    let steps = host.view.borrow().table().priority_levels(&call.route);
    let (draw, least) = (draw(fastrand::f64(), steps), gather.min_shards());
    select(&shares, draw, least).ok_or_else(|| retry_after(&shares, draw, least))
}

/// Takes note of what the end of a shard's request says of its load.
fn record(host: &Host, service: &Name, outcome: Option<&Outcome>, aim: Instant) {
    let now = host.now();
    match outcome {
        Some(outcome) if outcome.is_success() => admission(host, service, now < aim, now),
        Some(Outcome::NotRun(_) | Outcome::Unsent(_)) | None => {
            admission(host, service, false, now);
        }
        // Neither a failure nor a target that can't be reached says anything of the load.
        Some(_) => {}
    }
}

fn admission(host: &Host, service: &Name, in_time: bool, now: Instant) {
    host.balance(service, |b| b.admission().record(in_time, now));
}

fn log_missing(host: &Host, call: &Call, gather: &Gather, state: &Gathering, attempts: &Attempts) {
    let total = gather.shards.len();
    let Some(first) = state.first_missing(total).map(|shard| &gather.shards[shard]) else { return };
    let Some(suppressed) = host.shortages.admit(host.now()) else { return };
    let id = call.id.to_str().unwrap_or("?");
    log::info!(
        "event=parts_missing id={id} route={} missing={}/{} first={first} replicas=\"{}\" \
         targets=\"{}\" left_ms={} suppressed={suppressed}",
        call.route.name,
        total - state.parts.len(),
        total,
        host.describe(first),
        attempts.trail(),
        call.deadline.saturating_duration_since(host.now()).as_millis(),
    );
}

fn part(host: &Host, shard: usize, outcome: Outcome) -> Option<Part> {
    if !outcome.is_success() {
        return None;
    }
    let Outcome::Answered(answer) = outcome else { return None };
    let seal = answer.head.headers.get(&host.dialect.headers.signature)?.clone();
    Some(Part { shard, seal, body: answer.body })
}

fn merge(parts: &[Part], top: usize) -> Gathered {
    let mut seen = HashSet::new();
    let mut records: Vec<Record> = Vec::new();
    let mut seals: Vec<&[u8]> = Vec::with_capacity(parts.len());
    for part in parts.iter().filter(|p| seen.insert(p.seal.as_bytes())) {
        seals.push(part.seal.as_bytes());
        records.extend(part.body.as_chunks::<RECORD>().0);
    }
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.truncate(top);
    let count = seals.len();
    match HeaderValue::from_bytes(&seals.join(&b", "[..])) {
        Ok(seals) => Gathered::Answer { seals, parts: count, body: records.concat().into() },
        Err(_) => Gathered::Short { parts: 0 },
    }
}
