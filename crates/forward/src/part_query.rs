//! The part of a query that this host gathers for a gatherer of another data centre.

use std::rc::Rc;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::ask::{Attempts, send_to_service};
use crate::host::Host;
use crate::parts::Parts;
use crate::query::{Query, into_part, record_admission, record_load};

/// Gathers parts for another host, which has those of the other shards.
///
/// The parts that are in at the latency objective, or when no more can come, are passed to `emit`
/// together, and each later one alone; the flag tells whether no more follow.
pub(crate) async fn gather_parts(
    host: &Rc<Host>,
    query: Query<'_>,
    attempts: &Attempts,
    emit: impl Fn(&mut Parts, bool),
) {
    let Query { call, shards, aim, .. } = query;
    let mut outstanding: Vec<usize> = (0..shards.shards.len()).collect();
    let query_shard = |shard: usize| async move {
        let targets = call.route.attempts;
        (shard, send_to_service(host, call, query.service(shard), targets, attempts).await)
    };
    let mut in_flight: FuturesUnordered<_> =
        outstanding.iter().map(|shard| query_shard(*shard)).collect();
    let mut parts = Parts::new(shards.top);
    let mut is_late = false;
    while !in_flight.is_empty() {
        let until = if is_late { call.deadline } else { aim };
        match tokio::time::timeout_at(until.into(), in_flight.next()).await {
            Ok(Some((shard, outcome))) => {
                outstanding.retain(|s| *s != shard);
                record_load(host, query.service(shard), outcome.as_ref(), aim);
                if let Some((found, body)) = outcome.and_then(|o| into_part(host, shard, o)) {
                    parts.add(vec![found], &body);
                }
                if is_late && !in_flight.is_empty() {
                    emit(&mut parts, false);
                }
            }
            Ok(None) => break,
            Err(_) if is_late => break,
            Err(_) => {
                is_late = true;
                let now = host.now();
                let late = outstanding.iter().map(|shard| query.service(*shard));
                late.for_each(|service| record_admission(host, service, false, now));
                emit(&mut parts, false);
            }
        }
    }
    emit(&mut parts, true);
}
