//! Stand-in for a target: searches, bookings, cancellation and health checks over HTTP.
//!
//! All targets of a process share a few threads, so that one process can hold a few hundred.
//! Faults are injected at run time with [`TargetServer::update`].

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fastrand::Rng;
use sapphirerack_catalogue::Name;
use sapphirerack_http::{Method, Request};
use serde_json::{Value, json};
use tokio::sync::oneshot;

pub use crate::behaviour::{
    Behaviour, BookingFault, BookingKind, ColdStart, Defect, DefectKind, HealthFault, Overload,
    ReplyFault, ReplyKind, Trigger,
};
use crate::server::{ConnectionLimiter, Delivery, Listener, Reply, micros};
pub use crate::slots::Counters;
use crate::slots::{Admission, Signal, Slots};

/// Average lateness of the runtime's timer, by which service times are shortened.
const TIMER_LAG: Duration = Duration::from_millis(1);

/// Time after which the connection of a lost response closes; also the longest wait for a slot of
/// a request without a deadline.
const LOST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A booking that took effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// Idempotency key.
    pub key: String,
    /// Request id.
    pub request: String,
    /// Booking number, as returned in the response.
    pub booking: u64,
    /// Time of execution, since the Unix epoch.
    pub time: Duration,
}

struct Shared {
    behaviour: Mutex<Arc<Behaviour>>,
    rng: Mutex<Rng>,
    slots: Slots,
    limiter: Arc<ConnectionLimiter>,
    crashed: AtomicBool,
    next_id: AtomicU64,
    executions: Mutex<Vec<Execution>>,
    health: Mutex<Option<(Instant, Value)>>,
}

/// A running stand-in for a target; closes its connections when dropped.
pub struct TargetServer {
    listener: Listener,
    shared: Arc<Shared>,
}

impl TargetServer {
    /// Starts the stand-in; port 0 picks any free port.
    pub fn start(address: SocketAddr, behaviour: Behaviour) -> Self {
        let limiter = ConnectionLimiter::new(behaviour.connections as usize, behaviour.connect);
        let shared = Arc::new(Shared {
            rng: Mutex::new(Rng::with_seed(behaviour.seed)),
            behaviour: Mutex::new(Arc::new(behaviour)),
            slots: Slots::default(),
            limiter: limiter.clone(),
            crashed: AtomicBool::new(false),
            next_id: AtomicU64::new(0),
            executions: Mutex::default(),
            health: Mutex::default(),
        });
        shared.apply(&shared.behaviour());
        shared.slots.set_cold(shared.behaviour().cold);
        let serving = shared.clone();
        let handler = move |request| handle(serving.clone(), request);
        Self { listener: Listener::start(address, limiter, handler), shared }
    }

    /// Listening address.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Current behaviour.
    pub fn behaviour(&self) -> Arc<Behaviour> {
        self.shared.behaviour()
    }

    /// Changes the behaviour while the target runs.
    ///
    /// A change of `cold` begins a new cold start or ends the current one.
    pub fn update(&self, change: impl FnOnce(&mut Behaviour)) {
        let mut current = self.shared.behaviour.lock().unwrap();
        let mut behaviour = Behaviour::clone(&current);
        change(&mut behaviour);
        if behaviour.cold != current.cold {
            self.shared.slots.set_cold(behaviour.cold);
        }
        self.shared.apply(&behaviour);
        *current = Arc::new(behaviour);
    }

    /// Begins a cold start at once, even during another one.
    pub fn go_cold(&self, cold: ColdStart) {
        self.update(|b| b.cold = Some(cold));
        self.shared.slots.set_cold(Some(cold));
    }

    /// Whether a cold start is in progress.
    pub fn is_cold(&self) -> bool {
        self.shared.slots.cold().is_some()
    }

    /// Counters since the start or the last reset.
    pub fn counters(&self) -> Counters {
        self.shared.slots.counters()
    }

    /// Resets all counters, including the peaks of running requests and open connections.
    pub fn reset_counters(&self) {
        self.shared.slots.count(|c| *c = Counters::default());
        let limiter = &self.shared.limiter;
        limiter.peak.store(limiter.open.load(Ordering::SeqCst), Ordering::SeqCst);
        limiter.refused.store(0, Ordering::SeqCst);
        limiter.accepted.store(0, Ordering::SeqCst);
    }

    /// Peak number of requests running at the same time.
    pub fn most_running(&self) -> usize {
        self.counters().most_running as usize
    }

    /// Searches and bookings run to completion.
    pub fn served(&self) -> usize {
        usize::try_from(self.counters().served).unwrap()
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.shared.limiter.open.load(Ordering::SeqCst)
    }

    /// Peak number of open connections, including refused ones.
    pub fn most_connections(&self) -> usize {
        self.shared.limiter.peak.load(Ordering::SeqCst)
    }

    /// Accepted connections.
    pub fn accepted(&self) -> usize {
        self.shared.limiter.accepted.load(Ordering::SeqCst)
    }

    /// Connections closed on accept because the limit was reached.
    pub fn refused(&self) -> usize {
        self.shared.limiter.refused.load(Ordering::SeqCst)
    }

    /// Bookings that took effect, in order of execution.
    pub fn executions(&self) -> Vec<Execution> {
        self.shared.executions.lock().unwrap().clone()
    }
}

impl Shared {
    fn behaviour(&self) -> Arc<Behaviour> {
        self.behaviour.lock().unwrap().clone()
    }

    fn apply(&self, behaviour: &Behaviour) {
        self.limiter.limit.store(behaviour.connections as usize, Ordering::SeqCst);
        self.limiter.delay.store(micros(behaviour.connect), Ordering::SeqCst);
        self.limiter.down.store(behaviour.down, Ordering::SeqCst);
    }

    /// True with the probability `share`.
    fn draw(&self, share: f64) -> bool {
        share > 0.0 && self.rng.lock().unwrap().f64() < share
    }

    fn service_time(&self, behaviour: &Behaviour, route: &str) -> Duration {
        let straggler =
            if self.draw(behaviour.stragglers) { behaviour.straggler_factor } else { 1.0 };
        let cold = self.slots.cold().map_or(1.0, |c| c.slowdown);
        let slow = self.defects(behaviour, route).filter_map(|kind| match kind {
            DefectKind::Slow(times) => Some(times),
            DefectKind::Fail => None,
        });
        let slow: f64 = slow.product();
        let spread = 0.5 + self.rng.lock().unwrap().f64();
        behaviour.service.mul_f64(straggler * cold * slow * spread)
    }

    fn defects<'a>(
        &'a self,
        behaviour: &'a Behaviour,
        route: &'a str,
    ) -> impl Iterator<Item = DefectKind> + 'a {
        let applies = move |defect: &&Defect| {
            let on_route = defect.route.as_ref().is_none_or(|r| **r == *route);
            let triggered = match defect.trigger {
                Trigger::Always => true,
                Trigger::From(time) => Instant::now() >= time,
                Trigger::Running(least) => self.slots.running() >= least,
            };
            on_route && triggered && self.draw(defect.share)
        };
        behaviour.defects.iter().filter(applies).map(|d| d.kind)
    }
}

async fn handle(shared: Arc<Shared>, request: Request) -> Reply {
    let behaviour = shared.behaviour();
    if behaviour.down || shared.crashed.load(Ordering::SeqCst) {
        return Reply::reset();
    }
    match (&request.method, request.path.as_str()) {
        (&Method::POST, "/search") => search(&shared, &behaviour, &request).await,
        (&Method::POST, "/book") => book(&shared, &behaviour, &request).await,
        (&Method::GET, "/health") => Reply::json(200, &health(&shared, &behaviour)),
        (&Method::POST, path) => match path.strip_prefix("/cancel/") {
            Some(id) => Reply::json(200, &json!({ "cancelled": shared.slots.cancel(id) })),
            None => Reply::json(404, &json!({})),
        },
        _ => Reply::json(404, &json!({})),
    }
}

fn health(shared: &Shared, behaviour: &Behaviour) -> Value {
    let mut last = shared.health.lock().unwrap();
    let fault = &behaviour.health;
    if let Some((time, value)) = &*last
        && time.elapsed() < fault.lag
    {
        return value.clone();
    }
    let load = f64::from(shared.slots.running()) / f64::from(behaviour.slots);
    let value = json!({
        "healthy": fault.healthy.unwrap_or(!behaviour.draining),
        "load": fault.load.unwrap_or(load),
        "held": fault.snapshots.as_ref().unwrap_or(&behaviour.snapshots),
    });
    *last = Some((Instant::now(), value.clone()));
    value
}

fn refuse(status: u16, error: &str, not_run: bool) -> Reply {
    Reply::json(status, &json!({ "error": error, "not_run": not_run }))
}

/// Runs a request in a slot; `Err` is the reply to one that did not complete.
async fn run(shared: &Arc<Shared>, behaviour: &Behaviour, request: &Request) -> Result<(), Reply> {
    shared.slots.count(|c| {
        c.received += 1;
        c.last = Some(Instant::now());
    });
    if behaviour.draining || behaviour.shedding {
        shared.slots.count(|c| c.shed += 1);
        let reason = if behaviour.draining { "draining" } else { "shedding" };
        return Err(refuse(503, reason, true));
    }
    let id = shared.next_id.fetch_add(1, Ordering::Relaxed);
    let name = request.header("x-request-id").unwrap_or_default();
    let signals = match shared.slots.admit(id, name, behaviour) {
        Admission::Run(signals) => signals,
        Admission::Wait(signals) => await_slot(shared, id, signals, request).await?,
        Admission::Shed => return Err(refuse(503, "queue full", true)),
        Admission::Overloaded => return Err(refuse(500, "cold", false)),
        Admission::Crash(time) => return Err(crash(shared, time)),
    };
    if expired(request) {
        shared.slots.release(id, behaviour.slots, Duration::ZERO);
        shared.slots.count(|c| c.expired += 1);
        return Err(refuse(504, "deadline passed", true));
    }
    let route = request.header("x-route").unwrap_or_default();
    let time = shared.service_time(behaviour, route);
    let fails = shared.defects(behaviour, route).any(|kind| kind == DefectKind::Fail);
    let start = Instant::now();
    let signal = tokio::time::timeout(time.saturating_sub(TIMER_LAG), signals).await;
    let slots = shared.behaviour().slots;
    shared.slots.release(id, slots, start.elapsed());
    match signal {
        Ok(signal) => Err(abort_reply(shared, signal.unwrap_or(Signal::Crashed), false)),
        Err(_) if fails => {
            shared.slots.count(|c| c.failed += 1);
            Err(refuse(500, "internal error", false))
        }
        Err(_) => {
            shared.slots.complete();
            Ok(())
        }
    }
}

async fn await_slot(
    shared: &Shared,
    id: u64,
    signals: oneshot::Receiver<Signal>,
    request: &Request,
) -> Result<oneshot::Receiver<Signal>, Reply> {
    let left = deadline(request).map(|d| d.saturating_sub(unix_time()));
    match tokio::time::timeout(left.unwrap_or(LOST_RESPONSE_TIMEOUT), signals).await {
        Ok(Ok(Signal::Run)) => Ok(shared.slots.rearm(id)),
        Ok(signal) => Err(abort_reply(shared, signal.unwrap_or(Signal::Crashed), true)),
        Err(_) => {
            shared.slots.release(id, shared.behaviour().slots, Duration::ZERO);
            shared.slots.count(|c| c.expired += 1);
            Err(refuse(504, "deadline passed", true))
        }
    }
}

fn abort_reply(shared: &Shared, signal: Signal, not_run: bool) -> Reply {
    if signal == Signal::Cancelled {
        shared.slots.count(|c| c.cancelled += 1);
        return refuse(499, "cancelled", not_run);
    }
    shared.slots.count(|c| c.failed += 1);
    Reply::reset()
}

/// Takes the target down for `time`; it comes back cold.
fn crash(shared: &Arc<Shared>, time: Duration) -> Reply {
    shared.crashed.store(true, Ordering::SeqCst);
    let shared = shared.clone();
    tokio::spawn(async move {
        tokio::time::sleep(time).await;
        shared.crashed.store(false, Ordering::SeqCst);
    });
    Reply::reset()
}

fn deadline(request: &Request) -> Option<Duration> {
    request.header("x-deadline-us")?.parse().ok().map(Duration::from_micros)
}

fn expired(request: &Request) -> bool {
    deadline(request).is_some_and(|d| d <= unix_time())
}

fn unix_time() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap()
}

async fn search(shared: &Arc<Shared>, behaviour: &Behaviour, request: &Request) -> Reply {
    let snapshot = request.header("x-snapshot").and_then(|v| v.parse().ok()).unwrap_or(0);
    if !behaviour.snapshots.contains(&snapshot) {
        shared.slots.count(|c| {
            c.received += 1;
            c.conflicts += 1;
        });
        return Reply::json(409, &json!({ "held": behaviour.snapshots }));
    }
    if let Err(reply) = run(shared, behaviour, request).await {
        return reply;
    }
    let fault = behaviour.replies.iter().find(|f| shared.draw(f.share)).map(|f| f.kind);
    search_reply(&behaviour.name, behaviour, request, snapshot, fault).await
}

/// Reply to a search, with the fault if there is one.
async fn search_reply(
    name: &Name,
    behaviour: &Behaviour,
    request: &Request,
    snapshot: u64,
    fault: Option<ReplyKind>,
) -> Reply {
    let query = String::from_utf8_lossy(&request.body);
    let mut id = request.header("x-request-id").unwrap_or_default().to_owned();
    let mut read = snapshot;
    let mut span = behaviour.span_in(snapshot);
    let mut delivery = Delivery::Complete;
    let mut padding = String::new();
    match fault {
        Some(ReplyKind::Garbage) => return Reply::new(200, b"\x00\xffnot json".to_vec()),
        Some(ReplyKind::Reset) => return Reply::reset(),
        Some(ReplyKind::Truncated) => delivery = Delivery::Truncated,
        Some(ReplyKind::Hang) => delivery = Delivery::Hang,
        Some(ReplyKind::WrongSnapshot) => read += 1,
        Some(ReplyKind::WrongSpan) => span.end = span.start + span.len().div_ceil(2),
        Some(ReplyKind::WrongRequest) => id.push('x'),
        Some(ReplyKind::Huge(len)) => padding = "x".repeat(len),
        Some(ReplyKind::Delayed(time)) => tokio::time::sleep(time).await,
        None => {}
    }
    let mut results = json!([{ "name": name, "query": query, "snapshot": read, "span": span }]);
    if !padding.is_empty() {
        results[0]["padding"] = padding.into();
    }
    let body = json!({
        "request": id, "snapshot": read, "span": span, "held": behaviour.snapshots,
        "results": results,
    });
    Reply { delivery, ..Reply::json(200, &body) }
}

async fn book(shared: &Arc<Shared>, behaviour: &Behaviour, request: &Request) -> Reply {
    let fault = behaviour.bookings.iter().find(|f| shared.draw(f.share)).map(|f| f.kind);
    match fault {
        Some(BookingKind::ResetBefore) => return Reply::reset(),
        Some(BookingKind::Delay(time)) => tokio::time::sleep(time).await,
        _ => {}
    }
    if let Err(reply) = run(shared, behaviour, request).await {
        return reply;
    }
    let execution = record_execution(shared, request);
    match fault {
        Some(BookingKind::Lost) => {
            tokio::time::sleep(LOST_RESPONSE_TIMEOUT).await;
            Reply::reset()
        }
        Some(BookingKind::ResetAfter) => Reply::reset(),
        Some(BookingKind::FailAfter) => refuse(500, "internal error", false),
        _ => {
            let body = json!({
                "request": execution.request, "key": execution.key, "booking": execution.booking,
                "name": behaviour.name, "body": String::from_utf8_lossy(&request.body),
            });
            Reply::json(200, &body)
        }
    }
}

/// Records a booking as executed, without deduplication by key.
fn record_execution(shared: &Shared, request: &Request) -> Execution {
    let header = |name| request.header(name).unwrap_or_default().to_owned();
    let mut executions = shared.executions.lock().unwrap();
    let execution = Execution {
        key: header("x-idempotency-key"),
        request: header("x-request-id"),
        booking: executions.len() as u64 + 1,
        time: unix_time(),
    };
    executions.push(execution.clone());
    execution
}
