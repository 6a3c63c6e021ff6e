//! A request to one service, with hedges and retries.
//!
//! An idempotent request is sent to a second target when the first one is slow or fails, within the
//! route's attempts and the budget for extra requests. One that is not idempotent is sent to
//! another target only if the first one has certainly not run it.

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

/// Time for which requests in flight at other targets continue after the answer, so that their
/// connections can be reused and the recovery of their targets is observed.
const LINGER: Duration = Duration::from_millis(300);

/// Number of sends to targets, refused ones included, after which a request is not retried.
const MAX_SENDS: usize = 4;

/// Number of attempts, whether or not they reach a target, after which a request is not retried.
/// The attempts of a route are another limit: on the targets that may run the request.
const MAX_ATTEMPTS: usize = 8;

/// An attempt at one target, for the log.
struct LoggedAttempt {
    target: Name,
    /// How it ended; `None` while it is in flight.
    outcome: Option<String>,
}

/// Attempts at targets for one request of a caller.
///
/// Dropping this before the request is answered, as when the caller disconnects, aborts all of them
/// at once.
#[derive(Default)]
pub(crate) struct Attempts {
    handles: RefCell<Vec<AbortHandle>>,
    /// Attempts that have not succeeded, in the order of sending.
    logged: RefCell<Vec<LoggedAttempt>>,
    answered: std::cell::Cell<bool>,
}

impl Attempts {
    /// Records that the caller has its answer.
    pub(crate) fn mark_answered(&self) {
        self.answered.set(true);
    }

    fn record_sent(&self, target: &Name, task: AbortHandle) {
        self.handles.borrow_mut().push(task);
        self.logged.borrow_mut().push(LoggedAttempt { target: target.clone(), outcome: None });
    }

    /// Records the end of an attempt at a target; `outcome` is `None` if it succeeded.
    fn record_end(&self, target: &str, outcome: Option<String>) {
        let mut logged = self.logged.borrow_mut();
        let Some(at) = logged.iter().rposition(|a| *a.target == *target && a.outcome.is_none())
        else {
            return;
        };
        match outcome {
            Some(_) => logged[at].outcome = outcome,
            None => drop(logged.remove(at)),
        }
    }

    /// Attempts that have not succeeded, with their outcomes.
    pub(crate) fn describe(&self) -> String {
        let logged = self.logged.borrow();
        let entry = |a: &LoggedAttempt| {
            format!("{}:{}", a.target, a.outcome.as_deref().unwrap_or("no_answer"))
        };
        logged.iter().map(entry).collect::<Vec<_>>().join(",")
    }

    /// Whether an attempt was started.
    pub(crate) fn is_started(&self) -> bool {
        !self.handles.borrow().is_empty()
    }
}

impl Drop for Attempts {
    fn drop(&mut self) {
        let mut unfinished = self.handles.take();
        unfinished.retain(|h| !h.is_finished());
        if unfinished.is_empty() {
            return;
        }
        let abort = move || unfinished.iter().for_each(AbortHandle::abort);
        if self.answered.get() {
            spawn_local(async move {
                tokio::time::sleep(LINGER).await;
                abort();
            });
        } else {
            abort();
        }
    }
}

/// Sends a request to a service, to `max_targets` of its targets at most; `None` if none can be
/// chosen.
pub(crate) async fn send_to_service(
    host: &Rc<Host>,
    call: &Rc<Call>,
    service: &Name,
    max_targets: u32,
    attempts: &Attempts,
) -> Option<Outcome> {
    let mut state = ServiceCall {
        host,
        call,
        service,
        max_targets,
        attempts,
        tried: Vec::new(),
        in_flight: Vec::new(),
        maybe_ran: Vec::new(),
        unsent: 0,
        hedge_at: None,
        retry_at: None,
    };
    host.with_balancer(service, |b| b.earn());
    let mut running = FuturesUnordered::new();
    running.push(state.start()?);
    let mut last = None;
    loop {
        let (hedge_at, retry_at) = (state.hedge_at, state.retry_at);
        let outcome = tokio::select! {
            outcome = running.next(), if !running.is_empty() => outcome,
            () = sleep_until(retry_at), if retry_at.is_some() => {
                state.retry_at = None;
                running.extend(state.start());
                continue;
            }
            () = sleep_until(hedge_at), if !running.is_empty() => {
                state.hedge_at = None;
                running.extend(state.hedge());
                continue;
            }
            else => None,
        };
        let Some((target, outcome)) = outcome else { return last };
        if outcome.is_success() {
            attempts.record_end(&target, None);
            return Some(outcome);
        }
        state.record_failure(&target, &outcome);
        running.extend(state.retry(&outcome));
        // A later refusal must not mask that an earlier target may have run the request.
        if last.is_none() || !outcome.has_not_run() {
            last = Some(outcome);
        }
    }
}

/// Never returns without a time.
async fn sleep_until(time: Option<Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time.into()).await,
        None => std::future::pending().await,
    }
}

struct ServiceCall<'a> {
    host: &'a Rc<Host>,
    call: &'a Rc<Call>,
    service: &'a Name,
    /// Most targets that may run the request.
    max_targets: u32,
    attempts: &'a Attempts,
    /// Targets that were chosen, once for each attempt.
    tried: Vec<Name>,
    /// Targets with an attempt in flight.
    in_flight: Vec<Name>,
    /// Targets that may have run the request, once for each attempt.
    maybe_ran: Vec<Name>,
    /// Number of attempts that did not reach a target.
    unsent: usize,
    /// When the request is hedged.
    hedge_at: Option<Instant>,
    /// When the request is retried after a backoff.
    retry_at: Option<Instant>,
}

type Running = std::pin::Pin<Box<dyn Future<Output = (Name, Outcome)>>>;

impl ServiceCall<'_> {
    fn start(&mut self) -> Option<Running> {
        let now = self.host.now();
        let (expected, overdue) =
            self.host.with_latency(&self.call.route, |t| (t.mean(), t.overdue()));
        let may_add_target = self.may_add_target();
        let choose = |b: &mut Balancer| {
            let untried =
                if may_add_target { b.choose(&self.tried, expected, overdue, now) } else { None };
            // Falls back to a target that failed or refused before.
            untried.or_else(|| b.choose(&self.excluded(b, may_add_target), expected, overdue, now))
        };
        let choice = self.host.with_balancer(self.service, choose).flatten()?;
        let id = &choice.target.id;
        self.in_flight.push(id.clone());
        self.tried.push(id.clone());
        self.maybe_ran.push(id.clone());
        self.hedge_at = self.call.route.idempotent.then(|| now + overdue);
        Some(self.spawn(choice))
    }

    /// Whether the route's attempts allow a further target.
    fn may_add_target(&self) -> bool {
        let distinct: Set<&Name> = self.maybe_ran.iter().collect();
        distinct.len() < self.max_targets as usize
    }

    /// Targets to which the request can't be sent again now.
    fn excluded(&self, balancer: &Balancer, may_add_target: bool) -> Vec<Name> {
        let ids = balancer.replicas().iter().map(|r| &r.target().id);
        let is_excluded = |id: &&Name| {
            self.in_flight.contains(id) || !(may_add_target || self.maybe_ran.contains(id))
        };
        ids.filter(is_excluded).cloned().collect()
    }

    fn spawn(&self, choice: Choice) -> Running {
        let id = choice.target.id.clone();
        let run = attempt(self.host.clone(), self.call.clone(), self.service.clone(), choice);
        let task: JoinHandle<Outcome> = spawn_local(run);
        self.attempts.record_sent(&id, task.abort_handle());
        Box::pin(async move {
            let outcome = task.await;
            (id, outcome.unwrap_or_else(|e| Outcome::Unknown(format!("task ended: {e}"))))
        })
    }

    fn hedge(&mut self) -> Option<Running> {
        if !self.may_add_target() {
            return None;
        }
        self.host
            .with_balancer(self.service, |b| b.try_hedge(&self.in_flight, self.host.now()))
            .filter(|may| *may)?;
        self.host.metrics.count_extra(&self.call.route.name, "hedge");
        self.start()
    }

    fn record_failure(&mut self, target: &str, outcome: &Outcome) {
        let end = match outcome {
            Outcome::Answered(answer) => answer.head.status.as_u16().to_string(),
            Outcome::NotRun(reason) => format!("not_run({reason})"),
            Outcome::Unsent(reason) => format!("unsent({reason})"),
            Outcome::Unreached(reason) => format!("unreached({reason})"),
            Outcome::Unknown(reason) => format!("unknown({reason})"),
        };
        self.attempts.record_end(target, Some(end));
        self.host.metrics.count_target_failure(self.service);
        self.in_flight.retain(|id| **id != *target);
        let ran = self.maybe_ran.iter().position(|id| **id == *target);
        if let Some(at) = ran.filter(|_| outcome.has_not_run()) {
            self.maybe_ran.swap_remove(at);
        }
        let unsent = matches!(outcome, Outcome::Unsent(_) | Outcome::Unreached(_));
        self.unsent += usize::from(unsent);
    }

    fn retry(&mut self, outcome: &Outcome) -> Option<Running> {
        if !self.may_retry(outcome) || self.host.now() >= self.call.deadline {
            return None;
        }
        let now = self.host.now();
        let untried = self.host.with_balancer(self.service, |b| b.has_untried(&self.tried, now));
        let untried = self.may_add_target() && untried.unwrap_or_default();
        if !untried && matches!(outcome, Outcome::Unreached(_)) {
            return None;
        }
        // An attempt that did not reach a target added no load: its retry is no extra request.
        if !matches!(outcome, Outcome::Unsent(_) | Outcome::Unreached(_)) {
            self.host
                .with_balancer(self.service, |b| b.try_retry(&self.in_flight, now))
                .filter(|may| *may)?;
            self.host.metrics.count_extra(&self.call.route.name, "retry");
        }
        if untried {
            return self.start();
        }
        self.retry_at = Some(now + backoff(self.tried.len(), fastrand::f64()));
        None
    }

    fn may_retry(&self, outcome: &Outcome) -> bool {
        let allowed = outcome.has_not_run() || self.call.route.idempotent;
        let answered = matches!(outcome, Outcome::Answered(a) if !a.head.status.is_server_error());
        let sent = self.tried.len() - self.unsent;
        allowed && !answered && sent < MAX_SENDS && self.tried.len() < MAX_ATTEMPTS
    }
}
