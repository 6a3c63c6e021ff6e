//! A query over several shards, with their parts merged into one answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use hyper::header::HeaderValue;
use sapphirerack_catalogue::Name;
use sapphirerack_policy::direct::{
    Balancer, Cutoff, Decision, Division, Selection, divide, draw, retry_after, select,
    targets_left,
};
use sapphirerack_protocol::{FoundPart, GatherReply};
use sapphirerack_routes::Gather;

use crate::aim::Aim;
use crate::ask::{Attempts, send_to_service};
use crate::attempt::{Call, Outcome};
use crate::host::Host;
use crate::partner::{Partner, PartnerEvent};
use crate::parts::Parts;

/// Time from the decision to answer until the answer is sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(12);

/// Outcome of a query.
pub(crate) enum Gathered {
    /// An answer: signatures and number of its parts, and the best records.
    Answer { signatures: HeaderValue, parts: usize, body: Bytes },
    /// Too many shards are overloaded or without targets; no request was sent. Enough shards are
    /// expected to admit a query after `retry_after`, if that is known.
    Refused { retry_after: Option<Duration> },
    /// Fewer parts than an answer needs; `started` tells whether a request was sent to a target.
    Incomplete { parts: usize, started: bool },
}

/// A query of a caller.
#[derive(Clone, Copy)]
pub(crate) struct Query<'a> {
    pub call: &'a Rc<Call>,
    /// Shards of the call's route.
    pub shards: &'a Gather,
    pub aim: &'a Aim,
    /// Number of priority levels of the route above the lowest-priority one.
    pub levels: u32,
}

impl Query<'_> {
    /// Service of a shard.
    pub(crate) fn service(&self, shard: usize) -> &Name {
        &self.shards.shards[shard]
    }
}

/// Gathers the shards' parts until the caller's latency objective or, while they are too few,
/// until its deadline.
pub(crate) async fn gather(host: &Rc<Host>, query: Query<'_>, attempts: &Attempts) -> Gathered {
    let Query { call, shards, aim, levels } = query;
    let Selection { asked, mut spare } = match selection(host, shards, levels) {
        Ok(selection) => selection,
        Err(retry_after) => return Gathered::Refused { retry_after },
    };
    let total = shards.shards.len();
    let (min_parts, deadline) = (shards.min_shards(), call.deadline);
    let query_shard = |shard: usize, targets: u32| async move {
        (shard, send_to_service(host, call, query.service(shard), targets, attempts).await)
    };
    let Division { own, others } = division(host, &query, &asked);
    let mut progress = Progress::new(shards.top, total);
    let mut partners = FuturesUnordered::new();
    let mut unassigned = own;
    for (centre, shards) in others {
        match Partner::ask(host, &query, &centre, shards) {
            Ok(partner) => {
                progress.delegated.extend(&partner.shards);
                partners.push(partner.next());
            }
            Err(shards) => unassigned.extend(shards),
        }
    }
    let targets = call.route.attempts;
    let mut in_flight: FuturesUnordered<_> =
        unassigned.iter().map(|shard| query_shard(*shard, targets)).collect();
    progress.own = unassigned;
    loop {
        if progress.reachable() < min_parts
            && let Some(shard) = spare.pop()
        {
            in_flight.push(query_shard(shard, targets));
            progress.own.push(shard);
            continue;
        }
        let cutoff = Cutoff { total, min_parts, aim: aim.at(), deadline };
        let Decision::Wait(until) =
            cutoff.decide(progress.parts.len(), progress.outstanding(), host.now())
        else {
            break;
        };
        tokio::select! {
            Some((shard, outcome)) = in_flight.next() => {
                record_load(host, query.service(shard), outcome.as_ref(), aim.at());
                progress.finish(shard, outcome.and_then(|o| into_part(host, shard, o)));
            }
            Some((partner, event)) = partners.next() => {
                match progress.merge(host, &query, partner, event) {
                    Merged::More(partner) => partners.push(partner.next()),
                    Merged::Done => {}
                    Merged::Failed { shards, targets } => {
                        in_flight.extend(shards.iter().map(|s| query_shard(*s, targets)));
                    }
                }
            }
            () = tokio::time::sleep_until(until.into()) => {}
            () = aim.changed() => {}
        }
    }
    let now = host.now();
    if now >= aim.at() {
        let late = progress.own.iter().map(|shard| query.service(*shard));
        late.for_each(|service| record_admission(host, service, false, now));
    }
    log_missing(host, &query, &progress, attempts);
    if progress.parts.len() < min_parts {
        let started = attempts.is_started() || progress.was_delegated;
        return Gathered::Incomplete { parts: progress.parts.len(), started };
    }
    progress.parts.into_answer()
}

/// Progress of a query.
struct Progress {
    parts: Parts,
    /// Number of shards.
    total: usize,
    /// Shards whose requests this host has in flight.
    own: Vec<usize>,
    /// Shards whose parts other hosts gather.
    delegated: Vec<usize>,
    /// Whether another host may have sent a request to a target.
    was_delegated: bool,
}

/// What follows an event of a partner.
enum Merged {
    /// The partner has more parts.
    More(Partner),
    /// The partner has no more parts.
    Done,
    /// The partner failed; this host sends the requests for its shards, to so many targets each.
    Failed { shards: Vec<usize>, targets: u32 },
}

impl Progress {
    fn new(top: usize, total: usize) -> Self {
        let parts = Parts::new(top);
        Self { parts, total, own: Vec::new(), delegated: Vec::new(), was_delegated: false }
    }

    /// Number of shards without an outcome.
    fn outstanding(&self) -> usize {
        self.own.len() + self.delegated.len()
    }

    /// Number of parts that are in or may still come.
    fn reachable(&self) -> usize {
        self.parts.len() + self.outstanding()
    }

    /// Records the end of a shard's request.
    fn finish(&mut self, shard: usize, part: Option<(FoundPart, Bytes)>) {
        self.own.retain(|s| *s != shard);
        if let Some((found, body)) = part {
            self.parts.add(vec![found], &body);
        }
    }

    /// Records an event of a partner.
    fn merge(
        &mut self,
        host: &Host,
        query: &Query<'_>,
        mut partner: Partner,
        event: PartnerEvent,
    ) -> Merged {
        let PartnerEvent::Reply(GatherReply::Parts { parts, body, shares, last }) = event else {
            let shards = std::mem::take(&mut partner.shards);
            let attempts = query.call.route.attempts;
            let maybe_started = partner.fail(query, &event);
            self.was_delegated |= maybe_started;
            self.delegated.retain(|s| !shards.contains(s));
            return match targets_left(attempts, u32::from(maybe_started)) {
                0 => Merged::Done,
                targets => {
                    self.own.extend(&shards);
                    Merged::Failed { shards, targets }
                }
            };
        };
        self.was_delegated = true;
        let now = host.now();
        for (shard, share) in shares {
            if let Some(shard) = partner.asked.get(shard as usize) {
                let adopt = |b: &mut Balancer| b.admission().adopt(share, now);
                host.with_balancer(query.service(*shard), adopt);
            }
        }
        let found = partner.take(parts);
        self.delegated.retain(|s| !found.iter().any(|f| f.shard as usize == *s));
        self.parts.add(found, &body);
        if !last {
            return Merged::More(partner);
        }
        self.delegated.retain(|s| !partner.shards.contains(s));
        Merged::Done
    }

    /// First shard without a part.
    fn first_missing(&self) -> Option<usize> {
        (0..self.total).find(|shard| !self.parts.contains(*shard))
    }
}

/// Divides the shards of a query among data centres, if there are gatherers in others that may take
/// part.
fn division(host: &Host, query: &Query<'_>, asked: &[usize]) -> Division {
    let partners = host.fleet.partner_centres();
    if partners.is_empty() || !query.call.may_be_passed_on() {
        return Division { own: asked.to_vec(), others: Vec::new() };
    }
    let now = host.now();
    let centres = |shard: &usize| host.with_balancer(query.service(*shard), |b| b.centres(now));
    let centres: Vec<Vec<Name>> = asked.iter().map(|s| centres(s).unwrap_or_default()).collect();
    let home = host.settings.borrow().data_centre.clone();
    divide(asked, &centres, &home, |name| partners.contains(name))
}

/// Latest time for an answer that meets the caller's latency objective.
///
/// The caller measures from before it opens its connection until the answer arrives: a round trip
/// for the request, and another one if the connection is new.
pub(crate) fn latest_answer(host: &Host, call: &Call, new_connection: bool) -> Instant {
    let distance = host.settings.borrow().queries.distance;
    let trips = if new_connection { 4 } else { 2 };
    call.start + call.route.aim.saturating_sub(distance * trips + ANSWER_MARGIN)
}

/// Selects the shards of a query.
///
/// # Errors
///
/// Too few shards admit it; returns the time after which enough are expected to, if that is known.
fn selection(host: &Host, gather: &Gather, levels: u32) -> Result<Selection, Option<Duration>> {
    let now = host.now();
    let load = |service| {
        let load = |b: &mut Balancer| (b.admitted_share(now), b.held_for(now));
        host.with_balancer(service, load).unwrap_or_default()
    };
    let (shares, held): (Vec<f64>, Vec<Option<Duration>>) = gather.shards.iter().map(load).unzip();
    let (draw, min_parts) = (draw(fastrand::f64(), levels), gather.min_shards());
    select(&shares, draw, min_parts).ok_or_else(|| retry_after(&shares, &held, draw, min_parts))
}

/// Updates the admission control of a shard from the outcome of its request.
pub(crate) fn record_load(host: &Host, service: &Name, outcome: Option<&Outcome>, aim: Instant) {
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

pub(crate) fn record_admission(host: &Host, service: &Name, in_time: bool, now: Instant) {
    host.with_balancer(service, |b| b.admission().record(in_time, now));
}

fn log_missing(host: &Host, query: &Query<'_>, progress: &Progress, attempts: &Attempts) {
    let Some(first) = progress.first_missing() else { return };
    let Some(suppressed) = host.incomplete_log.admit(host.now()) else { return };
    let (call, first) = (query.call, query.service(first));
    let id = call.id.to_str().unwrap_or("?");
    log::info!(
        "event=parts_missing id={id} route={} missing={}/{} first={first} replicas=\"{}\" \
         targets=\"{}\" left_ms={} suppressed={suppressed}",
        call.route.name,
        progress.total - progress.parts.len(),
        progress.total,
        host.describe_replicas(first),
        attempts.describe(),
        call.deadline.saturating_duration_since(host.now()).as_millis(),
    );
}

/// The part that a successful answer holds.
pub(crate) fn into_part(host: &Host, shard: usize, outcome: Outcome) -> Option<(FoundPart, Bytes)> {
    if !outcome.is_success() {
        return None;
    }
    let Outcome::Answered(answer) = outcome else { return None };
    let signature = answer.head.headers.get(&host.dialect.headers.signature)?;
    let signature = signature.as_bytes().to_vec();
    Some((FoundPart { shard: shard as u32, signature }, answer.body))
}
