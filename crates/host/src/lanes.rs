//! Threads that talk to one target.
//!
//! A thread for each request that the target may have at the same time, each with a connection of
//! its own, and one thread with one connection for cancellations and health. They end when the
//! lane is dropped.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sapphirerack_catalogue::{Name, Span, Target};
use sapphirerack_clients::{Error, Health, SearchRequest, SearchResponse, TargetClient};
use sapphirerack_policy::booking::AttemptOutcome;
use sapphirerack_policy::{Clock, Outcome};
use sapphirerack_protocol::SubQuery;

use crate::errand;
use crate::work::Work;

const HEALTH_INTERVAL: Duration = Duration::from_millis(500);
const CONTROL_TIMEOUT: Duration = Duration::from_millis(200);

/// Status of a target that does not hold the snapshot.
const CONFLICT: u16 = 409;

/// Failure of an answer that covers other partitions than the catalogue says.
pub(crate) const WRONG_PARTITIONS: &str = "wrong partitions";

/// A request to a target.
pub(crate) struct Errand {
    pub attempt: u64,
    pub request: Arc<str>,
    pub work: Arc<Work>,
    /// Time since the Unix epoch after which the target drops it.
    pub deadline: Duration,
}

/// What the threads of a lane report.
pub(crate) enum Report {
    /// A request ended.
    Finished { attempt: u64, time: Duration, ending: Ending },
    /// The target told how it is.
    Health { target: Name, health: Health },
}

/// How a request ended, with the reason if it failed.
pub(crate) struct Ending {
    pub outcome: Outcome,
    pub found: Option<SearchResponse>,
    /// How a booking ended.
    pub ended: Option<AttemptOutcome>,
    pub failure: Option<&'static str>,
}

/// Takes reports; must not block.
pub(crate) type Reporter = Arc<dyn Fn(Report) + Send + Sync>;

/// A target's threads.
pub(crate) struct Lane {
    pub target: Target,
    errands: flume::Sender<Errand>,
    cancels: flume::Sender<Arc<str>>,
}

struct Searcher {
    clock: Arc<dyn Clock>,
    client: TargetClient,
    span: Span,
    errands: flume::Receiver<Errand>,
    report: Reporter,
}

impl Lane {
    /// Starts the threads for a target that may have `limit` requests at the same time.
    pub(crate) fn start(
        target: &Target,
        span: Span,
        limit: u32,
        clock: &Arc<dyn Clock>,
        report: &Reporter,
    ) -> Self {
        let (errands, queue) = flume::unbounded();
        let client = TargetClient::new(target.address, limit as usize);
        for _ in 0..limit {
            let searcher = Searcher {
                clock: clock.clone(),
                client: client.clone(),
                span,
                errands: queue.clone(),
                report: report.clone(),
            };
            spawn("target", move || searcher.run());
        }
        let (cancels, queue) = flume::unbounded();
        let (name, report) = (target.name.clone(), report.clone());
        let client = TargetClient::new(target.address, 1);
        spawn("control", move || control(&client, &name, &queue, &report));
        Self { target: target.clone(), errands, cancels }
    }

    /// Sends a request.
    pub(crate) fn send(&self, errand: Errand) {
        // The threads hold the receiver as long as the lane stands.
        let _ = self.errands.send(errand);
    }

    /// Cancels a request.
    pub(crate) fn cancel(&self, request: Arc<str>) {
        let _ = self.cancels.send(request);
    }
}

impl Searcher {
    fn run(self) {
        for errand in &self.errands {
            let start = self.clock.now();
            let ending = match &*errand.work {
                Work::Search(query) => self.search(&errand, query),
                Work::Book(claimed) => book(errand::run(&self.client, &*self.clock, claimed)),
            };
            let time = self.clock.now().duration_since(start);
            (self.report)(Report::Finished { attempt: errand.attempt, time, ending });
        }
    }

    fn search(&self, errand: &Errand, query: &SubQuery) -> Ending {
        let timeout = errand.deadline.saturating_sub(self.clock.unix());
        if timeout.is_zero() {
            return Ending::failed(Outcome::Late, "timeout");
        }
        let search = SearchRequest {
            request: &errand.request,
            snapshot: query.snapshot,
            span: self.span,
            route: &query.route,
            deadline: errand.deadline,
            timeout,
            query: &query.query,
        };
        match self.client.search(&search) {
            Ok(found) => self.accept(query, found),
            Err(error) => refused(&error),
        }
    }

    fn accept(&self, query: &SubQuery, found: SearchResponse) -> Ending {
        let failure = match (found.snapshot == query.snapshot, found.span == self.span) {
            (true, true) => None,
            (true, false) => Some(WRONG_PARTITIONS),
            (false, _) => Some("wrong snapshot"),
        };
        let outcome = if failure.is_none() { Outcome::Answered } else { Outcome::Failed };
        Ending { outcome, found: Some(found), ended: None, failure }
    }
}

impl Ending {
    fn failed(outcome: Outcome, failure: &'static str) -> Self {
        Self { outcome, found: None, ended: None, failure: Some(failure) }
    }
}

fn book(ended: AttemptOutcome) -> Ending {
    let (outcome, failure) = match ended {
        AttemptOutcome::Answer(_) => (Outcome::Answered, None),
        AttemptOutcome::NotRun => (Outcome::Failed, Some("booking not run")),
        AttemptOutcome::Unknown => (Outcome::Lost, Some("booking unknown")),
    };
    Ending { outcome, found: None, ended: Some(ended), failure }
}

fn refused(error: &Error) -> Ending {
    use sapphirerack_clients::Category;
    log::debug!("step=search error={error:?}");
    match error.classify() {
        _ if error.status() == Some(CONFLICT) => Ending::failed(Outcome::NoSnapshot, "no snapshot"),
        Category::Refused | Category::Conflict => Ending::failed(Outcome::Failed, "refused"),
        Category::Malformed => Ending::failed(Outcome::Failed, "malformed"),
        _ if error.is_timeout() => Ending::failed(Outcome::Late, "timeout"),
        _ if error.is_unsent() => Ending::failed(Outcome::Failed, "no connection"),
        Category::Unreachable => Ending::failed(Outcome::Lost, "connection lost"),
    }
}

/// Cancels requests, and asks for health in between, until the lane is dropped.
fn control(client: &TargetClient, name: &Name, cancels: &flume::Receiver<Arc<str>>, to: &Reporter) {
    let probe = || {
        if let Ok(health) = client.health(CONTROL_TIMEOUT) {
            to(Report::Health { target: name.clone(), health });
        }
    };
    probe();
    loop {
        match cancels.recv_timeout(HEALTH_INTERVAL) {
            Ok(request) => {
                if let Err(e) = client.cancel(&request, CONTROL_TIMEOUT) {
                    log::debug!("step=cancel request={request} error={e:?}");
                }
            }
            Err(flume::RecvTimeoutError::Timeout) => probe(),
            Err(flume::RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    if let Err(e) = thread::Builder::new().name(name.into()).spawn(run) {
        log::error!("step=\"start thread\" name={name} error={e}");
    }
}
