//! One attempt of a request at one target.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use sapphirerack_catalogue::Name;
use sapphirerack_policy::direct::{Balancer, Choice, Ending};
use sapphirerack_routes::{Route, Target};

use crate::client::{Answer, Connection, SendError};
use crate::error::Category;
use crate::host::Host;
use crate::interpret::interpret;

/// Longest idle time of a connection to a remote target that stands in for a local one. A target
/// accepts fewer connections than there are hosts, and the hosts of its own data centre need them.
const MAX_SUBSTITUTE_IDLE: Duration = Duration::from_millis(1_500);

/// Connections of this host to each target up to which they are scarce.
const MAX_IDLE_IF_SCARCE: usize = 2;

/// Largest body of a request that is passed on to other hosts, in bytes.
const MAX_PASSED_BODY: usize = 16 << 10;

/// A request of a caller, as it is sent to every target.
pub(crate) struct Call {
    pub route: Arc<Route>,
    pub method: Method,
    pub uri: Uri,
    /// Forwarded headers of the caller.
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Id that the caller gave to its attempt; sent to every target.
    pub id: HeaderValue,
    /// When the host had read the head of the request.
    pub start: Instant,
    /// Time at which the request is ended, before the caller's own deadline.
    pub deadline: Instant,
}

impl Call {
    /// Whether other hosts may take part in the request. What a host holds for its own callers is
    /// bounded, what several hosts pass to it is not.
    pub(crate) fn may_be_passed_on(&self) -> bool {
        self.body.len() <= MAX_PASSED_BODY
    }
}

/// Outcome of an attempt.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// A complete, signed answer to this request, be it a success or an error.
    Answered(Answer),
    /// The target refused the request: it has not run it and will not.
    NotRun(String),
    /// The request did not reach the target; a retry may.
    Unsent(String),
    /// The request did not reach the target, as the connection attempt timed out.
    Unreached(String),
    /// The request may have run; there is no usable answer.
    Unknown(String),
}

impl Outcome {
    /// Whether the request has certainly not run.
    pub(crate) fn has_not_run(&self) -> bool {
        matches!(self, Self::NotRun(_) | Self::Unsent(_) | Self::Unreached(_))
    }

    /// Whether there is an answer with a success status.
    pub(crate) fn is_success(&self) -> bool {
        matches!(self, Self::Answered(answer) if answer.head.status.is_success())
    }
}

/// Reports the end of an attempt to the balancer, also if the attempt is aborted.
struct AttemptGuard {
    host: Rc<Host>,
    call: Rc<Call>,
    service: Name,
    choice: Choice,
    ending: Ending,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.host.now();
        let Self { host, choice, ending, .. } = self;
        let end = |b: &mut Balancer| {
            let latency = b.end(choice, *ending, now);
            (latency, b.is_slow_again(&choice.target.id, now))
        };
        let (latency, slow_again) = host.with_balancer(&self.service, end).unwrap_or_default();
        if slow_again {
            host.slow_changed.notify_one();
            host.log_target(&choice.target.id, "slow", "seen=again");
        }
        if *ending == Ending::Unreached {
            host.log_target(&choice.target.id, "unreached", "step=connect");
        }
        if *ending == Ending::Answered
            && let Some(latency) = latency
        {
            host.with_latency(&self.call.route, |t| t.record(latency));
        }
    }
}

/// Sends a request to a target that was chosen for it.
pub(crate) async fn attempt(
    host: Rc<Host>,
    call: Rc<Call>,
    service: Name,
    choice: Choice,
) -> Outcome {
    let target = choice.target.clone();
    let ending = Ending::Cancelled;
    let mut guard =
        AttemptGuard { host: host.clone(), call: call.clone(), service, choice, ending };
    let peer = target.address;
    // An idle connection may be dead, or hold a late answer to an earlier request. Either would
    // leave unknown whether a request that is not idempotent has run.
    let pooled = if call.route.idempotent { host.pool.take(peer, host.now()) } else { None };
    let mut connection = match pooled {
        Some(connection) => connection,
        None => match Connection::open(peer).await {
            Ok(connection) => {
                host.metrics.count_connection();
                connection
            }
            Err(e) if e.classify() == Category::Timeout => {
                guard.ending = Ending::Unreached;
                return Outcome::Unreached(e.to_string());
            }
            Err(e) => {
                guard.ending = Ending::Failed;
                return Outcome::Unsent(e.to_string());
            }
        },
    };
    let left = call.deadline.saturating_duration_since(host.now());
    if left < Duration::from_millis(1) {
        guard.ending = Ending::Unsent;
        return Outcome::Unsent("no time left".into());
    }
    let Some(request) = request(&host, &call, &target.id, left) else {
        guard.ending = Ending::Unsent;
        return Outcome::Unsent("the id of the target can't be sent".into());
    };
    let reused = connection.reused;
    match connection.send(request, &host.answers).await {
        Ok(answer) => {
            note_state(&host, &guard.service, &target, &answer);
            let outcome = interpret(&host, &call, answer, reused);
            guard.ending = match &outcome {
                Outcome::Answered(a) if a.head.status.is_server_error() => Ending::Failed,
                Outcome::Answered(_) => Ending::Answered,
                outcome if outcome.has_not_run() => Ending::Refused,
                _ => Ending::Failed,
            };
            if let Outcome::Answered(a) = &outcome {
                // A target may answer before it has read the whole body, and the rest of the body
                // would precede the next request on the connection.
                if call.body.is_empty() {
                    let max_idle = host.max_idle(&guard.service);
                    if guard.choice.substitute && max_idle <= MAX_IDLE_IF_SCARCE {
                        connection.limit_idle(MAX_SUBSTITUTE_IDLE);
                    }
                    host.pool.put(connection, &a.head, max_idle, host.now());
                }
            }
            outcome
        }
        Err(SendError { unsent, reason }) => {
            host.pool.drop_peer(peer);
            // A reused connection may have been dead already, which says nothing about the target.
            guard.ending = if reused { Ending::Unsent } else { Ending::Failed };
            if unsent { Outcome::Unsent(reason) } else { Outcome::Unknown(reason) }
        }
    }
}

/// Notes what an answer says about the state of its target, whatever becomes of the answer.
fn note_state(host: &Host, service: &Name, target: &Target, answer: &Answer) {
    if (host.dialect.leaving)(&answer.head) {
        host.record_departure(&target.id, target.born);
    }
    let Some(value) = answer.head.headers.get(RETRY_AFTER) else { return };
    if answer.head.status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    match retry_after(value) {
        Some(time) => {
            let now = host.now();
            host.log_target(&target.id, "holds_off", &format!("ms={}", time.as_millis()));
            host.with_balancer(service, |b| b.hold_off(&target.id, time, now));
        }
        None => log::info!("event=retry_after_ignored target={} value={value:?}", target.id),
    }
}

/// Time in a `retry-after` header, in seconds with an optional fraction.
fn retry_after(value: &HeaderValue) -> Option<Duration> {
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

/// The request to a target; `None` if the id of the target can't be sent, without which another
/// target at its address would run the request.
fn request(
    host: &Host,
    call: &Call,
    target: &Name,
    left: Duration,
) -> Option<Request<Full<Bytes>>> {
    let target = HeaderValue::from_str(target).ok()?;
    let names = &host.dialect.headers;
    let mut request = Request::new(Full::new(call.body.clone()));
    *request.method_mut() = call.method.clone();
    *request.uri_mut() = call.uri.clone();
    *request.headers_mut() = call.headers.clone();
    let headers = request.headers_mut();
    headers.insert(names.attempt_id.clone(), call.id.clone());
    headers.insert(names.time_left.clone(), HeaderValue::from(left.as_millis() as u64));
    headers.insert(names.target_id.clone(), target);
    Some(request)
}
