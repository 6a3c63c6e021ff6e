//! Passes a query to a gatherer, and to another one if the first does not accept it.
//!
//! A gatherer accepts a query at once, so one that is down, frozen or cut off is noticed within a
//! fraction of the latency objective. A query that was accepted is not passed to another gatherer:
//! the targets that it may run at are limited. If its gatherer ends, the caller is told at once and
//! may repeat the request.

use std::rc::Rc;
use std::time::Duration;

use hyper::header::HeaderValue;
use sapphirerack_catalogue::Name;
use sapphirerack_policy::direct::targets_left;
use sapphirerack_protocol::{GatherReply, GatherScope};
use sapphirerack_routes::Gather;

use crate::ask::Attempts;
use crate::delegated::{Delegated, REPLY_TIME, accept_time, message};
use crate::host::Host;
use crate::interpret::is_plain_signature;
use crate::query::{Gathered, Query, gather};

/// Time after the latency objective at which a gatherer without a reply must have accepted the
/// query again.
const REPLY_GRACE: Duration = Duration::from_millis(80);

/// Gatherers to which one query is passed at most.
const MAX_GATHERERS: usize = 3;

/// Gathers the parts of a query, at a gatherer or here.
pub(crate) async fn gather_anywhere(
    host: &Rc<Host>,
    query: Query<'_>,
    attempts: &Attempts,
) -> Gathered {
    if host.fleet.gathers_own_queries() || !query.call.may_be_passed_on() {
        return gather(host, query, attempts).await;
    }
    let delegation = Delegation { host, query, tried: Vec::new(), started: 0 };
    match delegation.run().await {
        Some(gathered) => gathered,
        None => gather(host, query, attempts).await,
    }
}

/// A query on its way through one gatherer after another.
struct Delegation<'a> {
    host: &'a Rc<Host>,
    query: Query<'a>,
    tried: Vec<Name>,
    /// Number of gatherers that may have started to gather it.
    started: u32,
}

impl Delegation<'_> {
    /// Passes the query on until it has an outcome; `None` if certainly no gatherer has started it.
    async fn run(mut self) -> Option<Gathered> {
        while let Some(delegated) = self.start() {
            if let Some(gathered) = self.wait(delegated).await {
                return Some(gathered);
            }
        }
        self.is_started().then(unanswered)
    }

    fn is_started(&self) -> bool {
        self.started > 0
    }

    /// Passes the query to a gatherer that was not tried; `None` if there is none, or if those that
    /// may have started it have used up its targets.
    fn start(&mut self) -> Option<Delegated> {
        let attempts = targets_left(self.query.call.route.attempts, self.started);
        while attempts > 0 && self.tried.len() < MAX_GATHERERS {
            let gatherer = self.host.fleet.choose_gatherer(&self.tried, self.host.now())?;
            self.tried.push(gatherer.name.clone());
            let shards = self.query.shards.shards.clone();
            let scope = GatherScope::Answer;
            let message = message(&self.query, scope, shards, attempts, self.host.now());
            if let Some(delegated) = Delegated::send(self.host, &gatherer, message) {
                return Some(delegated);
            }
        }
        None
    }

    /// Waits for the outcome of the query at a gatherer; `None` if another one is to be tried.
    async fn wait(&mut self, mut delegated: Delegated) -> Option<Gathered> {
        let (now, deadline) = (self.host.now(), self.query.call.deadline);
        let aim = self.query.aim.at();
        let accept_by = (now + accept_time(aim, now)).min(deadline);
        let due = aim.checked_sub(REPLY_TIME).unwrap_or(aim);
        let later = [(due, 1), (aim + REPLY_GRACE, 2)].map(|(at, n)| (at.max(accept_by), n));
        let later = later.into_iter().filter(|(at, _)| *at < deadline);
        for (at, accepted) in [(accept_by, 1)].into_iter().chain(later).chain([(deadline, 1)]) {
            // A host that stood still reads what has come before it judges.
            let at = at.max(self.host.now());
            match tokio::time::timeout_at(at.into(), delegated.reply()).await {
                Ok(Some(reply)) => return self.interpret(&delegated, reply),
                Ok(None) => return self.lost(&delegated),
                Err(_) if delegated.acceptances() < accepted => {
                    return self.give_up(delegated);
                }
                Err(_) if (due..deadline).contains(&at) => delegated.ask_now(),
                Err(_) => {}
            }
        }
        Some(unanswered())
    }

    /// Ends the query at a gatherer that is silent; `None` if another one is to be tried.
    fn give_up(&mut self, delegated: Delegated) -> Option<Gathered> {
        let is_accepted = delegated.acceptances() > 0;
        let reason = if is_accepted { "no reply" } else { "not accepted" };
        self.log_moved(delegated.gatherer(), reason);
        self.started += u32::from(delegated.may_have_arrived());
        delegated.give_up();
        is_accepted.then(unanswered)
    }

    fn interpret(&mut self, delegated: &Delegated, reply: GatherReply) -> Option<Gathered> {
        match reply {
            GatherReply::Answer { signatures, parts, body } => {
                let parts = parts as usize;
                let signatures = parts_signatures(&signatures, parts, self.query.shards);
                let answer = |signatures| Gathered::Answer { signatures, parts, body: body.into() };
                Some(signatures.map_or_else(unanswered, answer))
            }
            GatherReply::Refused { .. } if self.is_started() => Some(unanswered()),
            GatherReply::Refused { retry_after } => Some(Gathered::Refused { retry_after }),
            GatherReply::Incomplete { parts, started } => {
                let started = started || self.is_started();
                Some(Gathered::Incomplete { parts: parts as usize, started })
            }
            GatherReply::Declined | GatherReply::Parts { .. } => {
                self.log_moved(delegated.gatherer(), "declined");
                None
            }
        }
    }

    /// Handles the loss of the link; `None` if another gatherer is to be tried.
    fn lost(&mut self, delegated: &Delegated) -> Option<Gathered> {
        self.log_moved(delegated.gatherer(), "link lost");
        self.started += u32::from(delegated.may_have_arrived());
        (delegated.acceptances() > 0).then(unanswered)
    }

    fn log_moved(&self, gatherer: &str, reason: &str) {
        self.host.log_moved(&self.query.call.id, gatherer, reason);
    }
}

/// Signatures of a gatherer's answer; `None` if they are not those of as many parts as it states, or
/// if the route takes no answer of so many parts.
fn parts_signatures(signatures: &[u8], parts: usize, shards: &Gather) -> Option<HeaderValue> {
    let is_allowed = (shards.min_shards()..=shards.shards.len()).contains(&parts);
    let mut listed = signatures.split(|b| *b == b',').map(<[u8]>::trim_ascii);
    let is_listed = listed.clone().count() == parts && listed.all(is_plain_signature);
    HeaderValue::from_bytes(signatures).ok().filter(|_| is_allowed && is_listed)
}

/// Outcome of a query that may have started and has no reply.
fn unanswered() -> Gathered {
    Gathered::Incomplete { parts: 0, started: true }
}
