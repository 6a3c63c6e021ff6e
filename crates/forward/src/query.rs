//! A request for the parts of several shards.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::header::HeaderValue;
use sapphirerack_catalogue::Name;
use sapphirerack_policy::direct::{Balance, Cutoff, Decision, select};
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
pub(crate) struct Part {
    seal: HeaderValue,
    body: Bytes,
}

/// What a query came to.
pub(crate) enum Gathered {
    /// An answer, with signatures, missing shards and records.
    Answer { seals: HeaderValue, parts: usize, body: Bytes },
    /// Too many shards are overloaded or without targets; none was asked.
    Refused,
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
    let Some(asked) = admitted(host, gather) else { return Gathered::Refused };
    let shards = asked
        .iter()
        .map(|shard| async { (*shard, ask(host, call, &gather.shards[*shard], attempts).await) });
    let mut open: FuturesUnordered<_> = shards.collect();
    let aim = latest_answer(host, call, fresh);
    let total = gather.shards.len();
    let cutoff = Cutoff { total, least: gather.least(), aim, deadline: call.deadline };
    let mut parts: Vec<Part> = Vec::with_capacity(total);
    let mut missing: Vec<usize> = (0..total).collect();
    let mut settled: Vec<usize> = Vec::with_capacity(total);
    loop {
        match cutoff.decide(parts.len(), open.len(), host.now()) {
            Decision::Wait(until) => {
                let next = tokio::time::timeout_at(until.into(), open.next()).await;
                let now = host.now();
                if let Ok(Some((shard, outcome))) = &next
                    && now < aim
                {
                    let in_time = outcome.as_ref().is_some_and(Outcome::is_success);
                    record(host, &gather.shards[*shard], in_time, now);
                    settled.push(*shard);
                }
                if let Ok(Some((shard, Some(outcome)))) = next
                    && let Some(part) = part(host, outcome)
                {
                    parts.push(part);
                    missing.retain(|m| *m != shard);
                }
            }
            decision => {
                let late = asked.iter().filter(|shard| !settled.contains(shard));
                let now = host.now();
                if now >= aim {
                    late.for_each(|shard| record(host, &gather.shards[*shard], false, now));
                }
                log_missing(host, call, gather, &missing, attempts);
                return match decision {
                    Decision::Answer => merge(&parts, gather.top),
                    _ => Gathered::Short { parts: parts.len() },
                };
            }
        }
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

/// Shards that have room for the query; `None` if they are too few.
fn admitted(host: &Host, gather: &Gather) -> Option<Vec<usize>> {
    let now = host.now();
    let share = |service| {
        let share = |b: &mut Balance| match b.has_room() {
            true => b.admission().share(now),
            false => 0.0,
        };
        host.balance(service, share).unwrap_or_default()
    };
    let shares: Vec<f64> = gather.shards.iter().map(share).collect();
    let draws: Vec<f64> = shares.iter().map(|_| fastrand::f64()).collect();
    select(&shares, &draws, gather.least())
}

fn record(host: &Host, service: &Name, in_time: bool, now: Instant) {
    host.balance(service, |b| b.admission().record(in_time, now));
}

fn log_missing(host: &Host, call: &Call, gather: &Gather, missing: &[usize], tries: &Attempts) {
    let Some(first) = missing.first().and_then(|shard| gather.shards.get(*shard)) else { return };
    let Some(suppressed) = host.shortages.admit(host.now()) else { return };
    let id = call.id.to_str().unwrap_or("?");
    log::info!(
        "event=parts_missing id={id} route={} missing={}/{} first={first} replicas=\"{}\" \
         targets=\"{}\" left_ms={} suppressed={suppressed}",
        call.route.name,
        missing.len(),
        gather.shards.len(),
        host.describe(first),
        tries.trail(),
        call.deadline.saturating_duration_since(host.now()).as_millis(),
    );
}

fn part(host: &Host, outcome: Outcome) -> Option<Part> {
    if !outcome.is_success() {
        return None;
    }
    let Outcome::Answered(answer) = outcome else { return None };
    let seal = answer.head.headers.get(&host.dialect.headers.seal)?.clone();
    Some(Part { seal, body: answer.body })
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
