//! A request to one service, with hedges and retries.
//!
//! A request that may be repeated goes to a second target when the first is slow or fails, as far
//! as the route's attempts and the budget for extra requests allow. One that must not be repeated
//! goes to another target only if the first has certainly not run it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use sapphirerack_catalogue::{Name, Set};
use sapphirerack_policy::direct::{Balancer, Choice, backoff};
use tokio::task::{AbortHandle, JoinHandle, spawn_local};

use crate::attempt::{Call, Outcome, attempt};
use crate::host::Host;

/// Time for which requests that lost against another target go on after the answer, so that their
/// connections are kept and their targets' recovery is seen.
const LINGER: Duration = Duration::from_millis(300);

/// Most times that a request is sent while targets refuse it.
const MOST_OFFERS: usize = 4;

/// Most times that a request is tried, whether or not it reaches a target.
const MOST_TRIES: usize = 8;

/// A request at one target, for the log.
struct Step {
    target: Name,
    /// How it ended, if it has.
    end: Option<String>,
}

/// Requests at targets on behalf of one request of a caller.
///
/// If this is dropped before the answer, since the caller has gone, all of them are ended at once.
#[derive(Default)]
pub(crate) struct Attempts {
    handles: RefCell<Vec<AbortHandle>>,
    /// What is known of each target that has not answered well, in the order of sending.
    trail: RefCell<Vec<Step>>,
    answered: std::cell::Cell<bool>,
}

impl Attempts {
    /// Takes note that the caller has its answer.
    pub(crate) fn answered(&self) {
        self.answered.set(true);
    }

    fn sent(&self, target: &Name, task: AbortHandle) {
        self.handles.borrow_mut().push(task);
        self.trail.borrow_mut().push(Step { target: target.clone(), end: None });
    }

    /// Takes note of the end of a request at a target; `end` says how, unless it was a good answer.
    fn ended(&self, target: &str, end: Option<String>) {
        let mut trail = self.trail.borrow_mut();
        let Some(at) = trail.iter().rposition(|s| *s.target == *target && s.end.is_none()) else {
            return;
        };
        match end {
            Some(_) => trail[at].end = end,
            None => drop(trail.remove(at)),
        }
    }

    /// What happened at the targets, but for good answers.
    pub(crate) fn trail(&self) -> String {
        let trail = self.trail.borrow();
        let step = |s: &Step| format!("{}:{}", s.target, s.end.as_deref().unwrap_or("no_answer"));
        trail.iter().map(step).collect::<Vec<_>>().join(",")
    }

    /// Whether a target was sent the request.
    pub(crate) fn is_started(&self) -> bool {
        !self.handles.borrow().is_empty()
    }
}

impl Drop for Attempts {
    fn drop(&mut self) {
        let mut open = self.handles.take();
        open.retain(|h| !h.is_finished());
        if open.is_empty() {
            return;
        }
        let end = move || open.iter().for_each(AbortHandle::abort);
        if self.answered.get() {
            spawn_local(async move {
                tokio::time::sleep(LINGER).await;
                end();
            });
        } else {
            end();
        }
    }
}

/// Asks a service; `None` if it has no target that may be asked.
pub(crate) async fn ask(
    host: &Rc<Host>,
    call: &Rc<Call>,
    service: &Name,
    attempts: &Attempts,
) -> Option<Outcome> {
    let mut asking = Asking {
        host,
        call,
        service,
        attempts,
        tried: Vec::new(),
        open: Vec::new(),
        ran: Vec::new(),
        unsent: 0,
        hedge: None,
        again: None,
    };
    host.balance(service, |b| b.earn());
    let mut running = FuturesUnordered::new();
    running.push(asking.start()?);
    let mut last = None;
    loop {
        let (hedge, again) = (asking.hedge, asking.again);
        let outcome = tokio::select! {
            outcome = running.next(), if !running.is_empty() => outcome,
            () = sleep_until(again), if again.is_some() => {
                asking.again = None;
                running.extend(asking.start());
                continue;
            }
            () = sleep_until(hedge), if !running.is_empty() => {
                asking.hedge = None;
                running.extend(asking.hedge());
                continue;
            }
            else => None,
        };
        let Some((target, outcome)) = outcome else { return last };
        if outcome.is_success() {
            attempts.ended(&target, None);
            return Some(outcome);
        }
        asking.failed(&target, &outcome);
        running.extend(asking.retry(&outcome));
        // A later refusal must not hide that an earlier target may have run the request.
        if last.is_none() || !outcome.has_not_run() {
            last = Some(outcome);
        }
    }
}

/// Never ends without a time.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}

struct Asking<'a> {
    host: &'a Rc<Host>,
    call: &'a Rc<Call>,
    service: &'a Name,
    attempts: &'a Attempts,
    /// Targets that were asked.
    tried: Vec<Name>,
    /// Targets that may answer yet.
    open: Vec<Name>,
    /// Targets that may have run the request, once for each time.
    ran: Vec<Name>,
    /// Times that nothing reached a target.
    unsent: usize,
    /// When a second target is asked.
    hedge: Option<Instant>,
    /// When a target is asked again that could not take the request.
    again: Option<Instant>,
}

type Running = std::pin::Pin<Box<dyn Future<Output = (Name, Outcome)>>>;

impl Asking<'_> {
    fn start(&mut self) -> Option<Running> {
        let now = self.host.now();
        let (usual, overdue) = self.host.typical(&self.call.route, |t| (t.mean(), t.overdue()));
        let may_spread = self.may_spread();
        let choose = |b: &mut Balancer| {
            let fresh = if may_spread { b.choose(&self.tried, usual, overdue, now) } else { None };
            // One that failed or refused may do now.
            fresh.or_else(|| b.choose(&self.closed(b, may_spread), usual, overdue, now))
        };
        let choice = self.host.balance(self.service, choose).flatten()?;
        let id = &choice.target.id;
        self.open.push(id.clone());
        self.tried.push(id.clone());
        self.ran.push(id.clone());
        self.hedge = self.call.route.idempotent.then(|| now + overdue);
        Some(self.spawn(choice))
    }

    /// Whether a further target may be sent the request.
    fn may_spread(&self) -> bool {
        let distinct: Set<&Name> = self.ran.iter().collect();
        distinct.len() < self.call.route.attempts as usize
    }

    /// Targets that may not be sent the request again now.
    fn closed(&self, balance: &Balancer, may_spread: bool) -> Vec<Name> {
        let ids = balance.replicas().iter().map(|r| &r.target().id);
        let is_closed =
            |id: &&Name| self.open.contains(id) || !(may_spread || self.ran.contains(id));
        ids.filter(is_closed).cloned().collect()
    }

    fn spawn(&self, choice: Choice) -> Running {
        let id = choice.target.id.clone();
        let run = attempt(self.host.clone(), self.call.clone(), self.service.clone(), choice);
        let task: JoinHandle<Outcome> = spawn_local(run);
        self.attempts.sent(&id, task.abort_handle());
        Box::pin(async move {
            let outcome = task.await;
            (id, outcome.unwrap_or_else(|e| Outcome::Unknown(format!("task ended: {e}"))))
        })
    }

    fn hedge(&mut self) -> Option<Running> {
        if !self.may_spread() {
            return None;
        }
        self.host.balance(self.service, |b| b.try_hedge(&self.open)).filter(|may| *may)?;
        self.host.metrics.extra(&self.call.route.name, "hedge");
        self.start()
    }

    fn failed(&mut self, target: &str, outcome: &Outcome) {
        let what = match outcome {
            Outcome::Answered(answer) => answer.head.status.as_u16().to_string(),
            Outcome::NotRun(reason) => format!("not_run({reason})"),
            Outcome::Unsent(reason) => format!("unsent({reason})"),
            Outcome::Unreached(reason) => format!("unreached({reason})"),
            Outcome::Unknown(reason) => format!("unknown({reason})"),
        };
        self.attempts.ended(target, Some(what));
        self.host.metrics.target_failed(self.service);
        self.open.retain(|id| **id != *target);
        let ran = self.ran.iter().position(|id| **id == *target);
        if let Some(at) = ran.filter(|_| outcome.has_not_run()) {
            self.ran.swap_remove(at);
        }
        let unsent = matches!(outcome, Outcome::Unsent(_) | Outcome::Unreached(_));
        self.unsent += usize::from(unsent);
    }

    fn retry(&mut self, outcome: &Outcome) -> Option<Running> {
        if !self.may_retry(outcome) || self.host.now() >= self.call.deadline {
            return None;
        }
        let now = self.host.now();
        let untried = self.host.balance(self.service, |b| b.has_untried(&self.tried, now));
        let untried = self.may_spread() && untried.unwrap_or_default();
        if !untried && matches!(outcome, Outcome::Unreached(_)) {
            return None;
        }
        // What never reached a target is no extra request.
        if !matches!(outcome, Outcome::Unsent(_) | Outcome::Unreached(_)) {
            self.host.balance(self.service, |b| b.try_retry(&self.open)).filter(|may| *may)?;
            self.host.metrics.extra(&self.call.route.name, "retry");
        }
        if untried {
            return self.start();
        }
        self.again = Some(now + backoff(self.tried.len(), fastrand::f64()));
        None
    }

    fn may_retry(&self, outcome: &Outcome) -> bool {
        let allowed = outcome.has_not_run() || self.call.route.idempotent;
        let answered = matches!(outcome, Outcome::Answered(a) if !a.head.status.is_server_error());
        let sent = self.tried.len() - self.unsent;
        allowed && !answered && sent < MOST_OFFERS && self.tried.len() < MOST_TRIES
    }
}
