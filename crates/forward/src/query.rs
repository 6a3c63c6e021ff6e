//! A request for the parts of several shards.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::header::HeaderValue;
use sapphirerack_policy::direct::{Cutoff, Decision};
use sapphirerack_routes::Gather;

use crate::ask::{Attempts, ask};
use crate::attempt::{Call, Outcome};
use crate::host::Host;

/// Size of a record, in bytes.
const RECORD: usize = 16;

/// Time that this host needs from the decision to answer until the answer has left.
const ANSWER_TIME: Duration = Duration::from_millis(2);

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
    /// Too few parts.
    Short { parts: usize },
}

/// Gathers the parts of all shards, until the caller's aim or, if they are too few, its deadline.
pub(crate) async fn gather(
    host: &Rc<Host>,
    call: &Rc<Call>,
    gather: &Gather,
    aim: Instant,
    attempts: &Attempts,
) -> Gathered {
    let shards = gather.shards.iter().map(|service| ask(host, call, service, attempts));
    let mut open: FuturesUnordered<_> = shards.collect();
    let distance = host.settings.borrow().queries.distance;
    let aim = aim.checked_sub(distance + ANSWER_TIME).unwrap_or(aim);
    let total = gather.shards.len();
    let cutoff = Cutoff { total, least: gather.least(), aim, deadline: call.deadline };
    let mut parts: Vec<Part> = Vec::with_capacity(total);
    loop {
        match cutoff.decide(parts.len(), open.len(), host.now()) {
            Decision::Answer => return merge(&parts, gather.top),
            Decision::GiveUp => return Gathered::Short { parts: parts.len() },
            Decision::Wait(until) => {
                let next = tokio::time::timeout_at(until.into(), open.next()).await;
                if let Ok(Some(Some(outcome))) = next {
                    parts.extend(part(host, outcome));
                }
            }
        }
    }
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
