//! A query, or some parts of one, that was passed to a gatherer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Name;
use sapphirerack_policy::Host as HostName;
use sapphirerack_protocol::{GatherQuery, GatherReply, GatherScope};
use sapphirerack_routes::{Action, Gather, Route};

use crate::host::Host;
use crate::links::SentQuery;
use crate::query::Query;

/// Share of the time to the latency objective in which a gatherer must accept a query.
const ACCEPT_SHARE: f64 = 0.3;

/// Bounds of the time in which a gatherer must accept a query.
const ACCEPT_BOUNDS: (Duration, Duration) = (Duration::from_millis(15), Duration::from_millis(60));

/// Time from a gatherer's reply until this host has read it.
pub(crate) const REPLY_TIME: Duration = Duration::from_millis(4);

/// Time in which a gatherer must accept a query with that objective.
pub(crate) fn accept_time(aim: Instant, now: Instant) -> Duration {
    let (min, max) = ACCEPT_BOUNDS;
    aim.saturating_duration_since(now).mul_f64(ACCEPT_SHARE).clamp(min, max)
}

/// The message that asks a gatherer for the shards `shards` of a query, at `attempts` targets of
/// each at most.
pub(crate) fn message(
    query: &Query<'_>,
    scope: GatherScope,
    shards: Vec<Name>,
    attempts: u32,
    now: Instant,
) -> Box<GatherQuery> {
    let Query { call, aim, levels, shards: gather } = query;
    let left = |at: Instant| at.saturating_duration_since(now).saturating_sub(REPLY_TIME);
    let headers = call.headers.iter();
    let action = Action::Gather(Gather { shards, ..(*gather).clone() });
    Box::new(GatherQuery {
        scope,
        route: Route { action, attempts, ..(*call.route).clone() },
        levels: *levels,
        aim: left(aim.at()),
        deadline: left(call.deadline),
        method: call.method.to_string(),
        path: call.uri.to_string(),
        headers: headers.map(|(n, v)| (n.to_string(), v.as_bytes().to_vec())).collect(),
        body: call.body.to_vec(),
        attempt: call.id.as_bytes().to_vec(),
    })
}

/// A query that a gatherer has; its end is recorded on drop.
pub(crate) struct Delegated {
    host: Rc<Host>,
    gatherer: Name,
    sent: SentQuery,
    /// Whether the gatherer replied; `None` if the query was cancelled.
    succeeded: Option<bool>,
}

impl Delegated {
    /// Sends a query to a gatherer; `None` if that is not possible.
    pub(crate) fn send(
        host: &Rc<Host>,
        gatherer: &HostName,
        message: Box<GatherQuery>,
    ) -> Option<Self> {
        let name = gatherer.name.clone();
        let route = message.route.name.clone();
        match host.links.send(gatherer.address, message) {
            Ok(sent) => {
                host.fleet.with_gatherers(|g| g.start(&name));
                host.metrics.count_delegated(&route);
                Some(Self { host: host.clone(), gatherer: name, sent, succeeded: None })
            }
            Err(e) => {
                log::warn!("event=query_not_sent error=\"{e}\"");
                host.fleet.with_gatherers(|g| g.record_failure(&name, host.now()));
                None
            }
        }
    }

    /// Name of the gatherer.
    pub(crate) fn gatherer(&self) -> &Name {
        &self.gatherer
    }

    /// Waits for the next reply; `None` if the link broke.
    pub(crate) async fn reply(&mut self) -> Option<GatherReply> {
        let reply = self.sent.reply().await;
        self.succeeded = Some(reply.as_ref().is_some_and(|r| *r != GatherReply::Declined));
        reply
    }

    /// How often the gatherer has accepted the query.
    pub(crate) fn acceptances(&self) -> u32 {
        self.sent.acceptances()
    }

    /// Whether the gatherer may have received the query.
    pub(crate) fn may_have_arrived(&self) -> bool {
        self.sent.may_have_arrived()
    }

    /// Asks for an answer with the parts that are in.
    pub(crate) fn ask_now(&self) {
        self.sent.ask_now();
    }

    /// Records that the gatherer has not answered in time; later queries use a new link.
    pub(crate) fn give_up(mut self) {
        self.succeeded = Some(false);
        self.sent.replace_link(&self.host.links);
    }
}

impl Drop for Delegated {
    fn drop(&mut self) {
        let now = self.host.now();
        self.host.fleet.with_gatherers(|g| g.end(&self.gatherer, self.succeeded, now));
    }
}
