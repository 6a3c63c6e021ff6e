//! Worker threads of one target.
//!
//! There is one thread, with its own connection, for each request that may be in flight at the
//! target, and one thread with one connection for cancellations and health checks. They end when
//! the [`TargetWorkers`] are dropped.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sapphirerack_catalogue::{Name, Span, Target};
use sapphirerack_clients::{Error, Health, SearchRequest, SearchResponse, TargetClient};
use sapphirerack_policy::booking::AttemptOutcome;
use sapphirerack_policy::{Clock, Outcome};
use sapphirerack_protocol::SubQuery;

use crate::booking_attempt;
use crate::work::Work;

const HEALTH_INTERVAL: Duration = Duration::from_millis(500);
const CONTROL_TIMEOUT: Duration = Duration::from_millis(200);

/// HTTP status of a target that does not hold the snapshot.
const CONFLICT: u16 = 409;

/// Failure of a response that covers other partitions than the catalogue assigns to the shard.
pub(crate) const WRONG_PARTITIONS: &str = "wrong partitions";

/// A request to a target.
pub(crate) struct TargetRequest {
    /// Id of the attempt in its group.
    pub attempt: u64,
    /// Request id at the target, used to cancel it.
    pub id: Arc<str>,
    pub work: Arc<Work>,
    /// Deadline since the Unix epoch, after which the target drops the request.
    pub deadline: Duration,
}

/// A report of the workers.
pub(crate) enum Report {
    /// A request ended.
    Finished { attempt: u64, time: Duration, completion: Completion },
    /// A health check succeeded.
    Health { target: Name, health: Health },
}

/// Result of a request to a target, with the reason if it failed.
pub(crate) struct Completion {
    pub outcome: Outcome,
    /// Response to a search, also one with the wrong snapshot or partitions.
    pub response: Option<SearchResponse>,
    /// Outcome of a booking.
    pub booking: Option<AttemptOutcome>,
    pub failure: Option<&'static str>,
}

/// Receives reports; must not block.
pub(crate) type ReportHandler = Arc<dyn Fn(Report) + Send + Sync>;

/// Handle to the worker threads of a target.
pub(crate) struct TargetWorkers {
    pub target: Target,
    requests: flume::Sender<TargetRequest>,
    cancellations: flume::Sender<Arc<str>>,
}

struct Worker {
    clock: Arc<dyn Clock>,
    client: TargetClient,
    span: Span,
    requests: flume::Receiver<TargetRequest>,
    report: ReportHandler,
}

impl TargetWorkers {
    /// Starts the threads of a target with up to `limit` requests in flight.
    pub(crate) fn start(
        target: &Target,
        span: Span,
        limit: u32,
        clock: &Arc<dyn Clock>,
        report: &ReportHandler,
    ) -> Self {
        let (requests, queue) = flume::unbounded();
        let client = TargetClient::new(target.address, limit as usize);
        for _ in 0..limit {
            let worker = Worker {
                clock: clock.clone(),
                client: client.clone(),
                span,
                requests: queue.clone(),
                report: report.clone(),
            };
            spawn("target", move || worker.run());
        }
        let (cancellations, queue) = flume::unbounded();
        let (name, report) = (target.name.clone(), report.clone());
        let client = TargetClient::new(target.address, 1);
        spawn("control", move || control(&client, &name, &queue, &report));
        Self { target: target.clone(), requests, cancellations }
    }

    /// Queues a request.
    pub(crate) fn send(&self, request: TargetRequest) {
        // The threads hold the receiver until the sender is dropped.
        let _ = self.requests.send(request);
    }

    /// Queues the cancellation of a request.
    pub(crate) fn cancel(&self, id: Arc<str>) {
        let _ = self.cancellations.send(id);
    }
}

impl Worker {
    fn run(self) {
        for request in &self.requests {
            let start = self.clock.now();
            let completion = match &*request.work {
                Work::Search(query) => self.search(&request, query),
                Work::Book(claimed) => {
                    booking_completion(booking_attempt::run(&self.client, &*self.clock, claimed))
                }
            };
            let time = self.clock.now().duration_since(start);
            (self.report)(Report::Finished { attempt: request.attempt, time, completion });
        }
    }

    fn search(&self, request: &TargetRequest, query: &SubQuery) -> Completion {
        let timeout = request.deadline.saturating_sub(self.clock.unix());
        if timeout.is_zero() {
            return Completion::failed(Outcome::Late, "timeout");
        }
        let search = SearchRequest {
            request: &request.id,
            snapshot: query.snapshot,
            span: self.span,
            route: &query.route,
            deadline: request.deadline,
            timeout,
            query: &query.query,
        };
        match self.client.search(&search) {
            Ok(response) => self.check(query, response),
            Err(error) => search_failure(&error),
        }
    }

    fn check(&self, query: &SubQuery, response: SearchResponse) -> Completion {
        let failure = match (response.snapshot == query.snapshot, response.span == self.span) {
            (true, true) => None,
            (true, false) => Some(WRONG_PARTITIONS),
            (false, _) => Some("wrong snapshot"),
        };
        let outcome = if failure.is_none() { Outcome::Answered } else { Outcome::Failed };
        Completion { outcome, response: Some(response), booking: None, failure }
    }
}

impl Completion {
    fn failed(outcome: Outcome, failure: &'static str) -> Self {
        Self { outcome, response: None, booking: None, failure: Some(failure) }
    }
}

fn booking_completion(attempt: AttemptOutcome) -> Completion {
    let (outcome, failure) = match attempt {
        AttemptOutcome::Answer(_) => (Outcome::Answered, None),
        AttemptOutcome::NotRun => (Outcome::Failed, Some("booking not run")),
        AttemptOutcome::Unknown => (Outcome::Lost, Some("booking unknown")),
    };
    Completion { outcome, response: None, booking: Some(attempt), failure }
}

fn search_failure(error: &Error) -> Completion {
    use sapphirerack_clients::Category;
    log::debug!("step=search error={error:?}");
    match error.classify() {
        _ if error.status() == Some(CONFLICT) => {
            Completion::failed(Outcome::NoSnapshot, "no snapshot")
        }
        Category::Refused | Category::Conflict => Completion::failed(Outcome::Failed, "refused"),
        Category::Malformed => Completion::failed(Outcome::Failed, "malformed"),
        _ if error.is_timeout() => Completion::failed(Outcome::Late, "timeout"),
        _ if error.is_unsent() => Completion::failed(Outcome::Failed, "no connection"),
        Category::Unreachable => Completion::failed(Outcome::Lost, "connection lost"),
    }
}

/// Sends cancellations, and health checks in between, until the [`TargetWorkers`] are dropped.
fn control(
    client: &TargetClient,
    name: &Name,
    cancellations: &flume::Receiver<Arc<str>>,
    to: &ReportHandler,
) {
    let check_health = || {
        if let Ok(health) = client.health(CONTROL_TIMEOUT) {
            to(Report::Health { target: name.clone(), health });
        }
    };
    check_health();
    loop {
        match cancellations.recv_timeout(HEALTH_INTERVAL) {
            Ok(request) => {
                if let Err(e) = client.cancel(&request, CONTROL_TIMEOUT) {
                    log::debug!("step=cancel request={request} error={e:?}");
                }
            }
            Err(flume::RecvTimeoutError::Timeout) => check_health(),
            Err(flume::RecvTimeoutError::Disconnected) => return,
        }
    }
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) {
    if let Err(e) = thread::Builder::new().name(name.into()).spawn(run) {
        log::error!("step=\"start thread\" name={name} error={e}");
    }
}
