//! The part of a query that this host gathers for a gatherer of another data centre.
//!
//! The time left to the latency objective is counted from the arrival of the query here, so it ends
//! later for this host than for the other one, by the time that the query was on its way. The other
//! one must not depend on what is sent at the last moment: parts are passed on earlier too.

use std::rc::Rc;
use std::time::Instant;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::ask::{Attempts, send_to_service};
use crate::host::Host;
use crate::parts::Parts;
use crate::query::{Query, into_part, record_admission, record_load};

/// Number of equal steps to the latency objective.
const STEPS: u32 = 8;

/// Steps before the parts that are in are passed on, with the others still outstanding.
const SILENT_STEPS: u32 = 4;

/// Gathers parts for another host, which has those of the other shards.
///
/// The parts that are in are passed to `emit` together: in each step to the latency objective but
/// the first ones, at the objective, and when no more can come. Later ones are passed on alone. The
/// flag tells whether no more follow.
pub(crate) async fn gather_parts(
    host: &Rc<Host>,
    query: Query<'_>,
    attempts: &Attempts,
    emit: impl Fn(&mut Parts, bool),
) {
    let Query { call, shards, .. } = query;
    let aim = query.aim.at();
    let mut outstanding: Vec<usize> = (0..shards.shards.len()).collect();
    let query_shard = |shard: usize| async move {
        let targets = call.route.attempts;
        (shard, send_to_service(host, call, query.service(shard), targets, attempts).await)
    };
    let mut in_flight: FuturesUnordered<_> =
        outstanding.iter().map(|shard| query_shard(*shard)).collect();
    let mut parts = Parts::new(shards.top);
    let mut steps = steps(host.now(), aim);
    let mut step = steps.next();
    while !in_flight.is_empty() {
        let until = step.unwrap_or(call.deadline);
        match tokio::time::timeout_at(until.into(), in_flight.next()).await {
            Ok(Some((shard, outcome))) => {
                outstanding.retain(|s| *s != shard);
                record_load(host, query.service(shard), outcome.as_ref(), aim);
                if let Some((found, body)) = outcome.and_then(|o| into_part(host, shard, o)) {
                    parts.add(vec![found], &body);
                }
                if step.is_none() && !in_flight.is_empty() {
                    emit(&mut parts, false);
                }
            }
            Ok(None) => break,
            Err(_) if step.is_none() => break,
            Err(_) => {
                step = steps.next();
                if step.is_none() {
                    let now = host.now();
                    let late = outstanding.iter().map(|shard| query.service(*shard));
                    late.for_each(|service| record_admission(host, service, false, now));
                }
                if step.is_none() || parts.has_new() {
                    emit(&mut parts, false);
                }
            }
        }
    }
    emit(&mut parts, true);
}

/// Times at which parts are passed on while others are outstanding; the last one is `aim`.
fn steps(now: Instant, aim: Instant) -> impl Iterator<Item = Instant> {
    let length = aim.saturating_duration_since(now) / STEPS;
    (SILENT_STEPS..STEPS).map(move |n| now + length * n).chain([aim])
}
