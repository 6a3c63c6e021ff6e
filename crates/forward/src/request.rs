//! A request of a caller, from routing to the answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{self, HeaderValue};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Request, Response};
use sapphirerack_catalogue::Name;
use sapphirerack_http::{Arrival, BodyError, Client};
use sapphirerack_routes::{Action, Gather, Route};

use crate::aim::Aim;
use crate::ask::{Attempts, send_to_service};
use crate::attempt::{Call, Outcome};
use crate::client::empty;
use crate::delegate::gather_anywhere;
use crate::hop_by_hop::end_to_end;
use crate::host::{Host, Phase};
use crate::query::{Gathered, Query, latest_answer};

type Reply = Response<Bytes>;

/// Time before the caller's deadline, beyond the network round trip, at which a request is ended.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// Bounds of the random `Retry-After` when the time until a request will be admitted is not known.
const RANDOM_RETRY_AFTER: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(600));

/// Least `Retry-After` of a request that was refused because of load.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// `Retry-After` while the host has no configuration yet.
const STARTUP_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Answers a request; `new_connection` tells whether it is the first one on its connection.
pub(crate) async fn answer(
    host: Rc<Host>,
    caller: Arc<Client>,
    request: Request<Incoming>,
    new_connection: bool,
) -> Response<Full<Bytes>> {
    let start = host.now();
    let mut arrival = caller.begin(request.body());
    let mut reply = respond(&host, request, &mut arrival, new_connection, start).await;
    if host.phase() == Phase::Leaving {
        close(&mut reply);
    }
    reply.map(|body| Full::new(caller.hold(body)))
}

/// Asks the caller to close the connection.
fn close(reply: &mut Reply) {
    reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
}

async fn respond(
    host: &Rc<Host>,
    request: Request<Incoming>,
    arrival: &mut Arrival,
    new_connection: bool,
    start: Instant,
) -> Reply {
    let table = host.view.borrow().table().clone();
    let (head, body) = request.into_parts();
    if table.configuration().version == 0 {
        log_rejected(host, &head, 503, "no configuration yet");
        return unavailable(STARTUP_RETRY_AFTER);
    }
    let name = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let name = name.or(head.uri.authority().map(|a| a.as_str())).unwrap_or_default();
    let Some(route) = table.find(name, head.uri.path()).cloned() else {
        if let Some(suppressed) = host.unrouted_log.admit(host.now()) {
            let (path, version) = (head.uri.path(), table.configuration().version);
            log::info!(
                "event=no_route host=\"{name}\" path=\"{path}\" version={version} \
                 suppressed={suppressed}"
            );
        }
        return empty(404);
    };
    let Some(id) = head.headers.get(&host.dialect.headers.attempt_id).cloned() else {
        log_rejected(host, &head, 400, "no attempt id");
        return empty(400);
    };
    let deadline = start + timeout(host, &head.headers, &route);
    let limit = table.configuration().limits.body;
    let body = match read_body(host, &head, arrival.read(body, limit), deadline).await {
        Ok(body) => body,
        Err(refusal) => return refusal,
    };
    if host.closing().is_some_and(|closing| host.now() + route.aim >= closing) {
        return refuse_at_stop(host, &head);
    }
    let call = Rc::new(Call {
        method: head.method,
        uri: origin_form(head.uri),
        headers: end_to_end(&head.headers),
        body,
        id,
        start,
        deadline,
        route: route.clone(),
    });
    let attempts = Attempts::default();
    let reply = tokio::select! {
        biased;
        reply = run(host, &call, new_connection, &attempts) => reply,
        () = host.await_closing() => fail(host, &call, 504, "end of the grace period", &attempts),
    };
    host.metrics.record_answer(&route.name, reply.status().as_u16(), host.now() - start);
    reply
}

/// Waits for the body of a request until its deadline, or until the host stops.
///
/// # Errors
///
/// The answer that refuses the request.
async fn read_body(
    host: &Host,
    head: &Parts,
    body: impl Future<Output = Result<Vec<u8>, BodyError>>,
    deadline: Instant,
) -> Result<Bytes, Reply> {
    let body = tokio::select! {
        biased;
        body = body => body,
        () = tokio::time::sleep_until(deadline.into()) => {
            return Err(refuse_body(host, head, 408, "body too slow"));
        }
        () = host.await_closing() => return Err(refuse_at_stop(host, head)),
    };
    body.map(Bytes::from).map_err(|e| match e {
        BodyError::TooLarge => refuse_body(host, head, 413, "body too large"),
        BodyError::NoMemory => refuse_body(host, head, 503, "no memory for its body"),
        BodyError::Broken => refuse_body(host, head, 400, "body broken"),
    })
}

/// Refuses a request whose body has not been read.
fn refuse_body(host: &Host, head: &Parts, status: u16, reason: &'static str) -> Reply {
    log_rejected(host, head, status, reason);
    let mut reply = match status {
        503 => unavailable(random_retry_after()),
        status => empty(status),
    };
    close(&mut reply);
    reply
}

/// Refuses a request that comes too late to be answered before the host stops.
fn refuse_at_stop(host: &Host, head: &Parts) -> Reply {
    log_rejected(host, head, 503, "stopping");
    unavailable(MIN_RETRY_AFTER)
}

/// Counts and logs a request that was rejected before it was routed or read.
fn log_rejected(host: &Host, head: &Parts, status: u16, reason: &'static str) {
    host.metrics.count_rejection(reason);
    let Some(suppressed) = host.rejected_log.admit(host.now()) else { return };
    let id = head.headers.get(&host.dialect.headers.attempt_id);
    let id = id.and_then(|id| id.to_str().ok()).unwrap_or("?");
    log::info!(
        "event=request_rejected id={id} path=\"{}\" status={status} reason=\"{reason}\" \
         suppressed={suppressed}",
        head.uri.path()
    );
}

/// Time until the request must be answered: the caller's or the route's timeout, whichever is
/// shorter, less margins.
fn timeout(host: &Host, headers: &HeaderMap, route: &Route) -> Duration {
    let budget = headers.get(&host.dialect.headers.time_left);
    let budget = budget.and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
    let timeout = budget.map_or(route.timeout, |ms| route.timeout.min(Duration::from_millis(ms)));
    let distance = host.settings.borrow().queries.distance;
    timeout.saturating_sub(DEADLINE_MARGIN + distance * 2)
}

/// Path and query, without the scheme and authority of an absolute URI.
fn origin_form(uri: hyper::Uri) -> hyper::Uri {
    match uri.path_and_query() {
        Some(path) if uri.authority().is_some() => path.clone().into(),
        _ => uri,
    }
}

async fn run(host: &Rc<Host>, call: &Rc<Call>, new_connection: bool, attempts: &Attempts) -> Reply {
    let reply = match &call.route.action {
        Action::Forward(services) => {
            let service = host.with_split(&call.route, |s| s.next(services).cloned());
            let sending = async {
                match &service {
                    Some(service) => {
                        let max_targets = call.route.attempts;
                        send_to_service(host, call, service, max_targets, attempts).await
                    }
                    None => None,
                }
            };
            match tokio::time::timeout_at(call.deadline.into(), sending).await {
                Ok(outcome) => forward_reply(host, call, service.as_ref(), outcome, attempts),
                Err(_) => fail(host, call, 504, "deadline", attempts),
            }
        }
        Action::Gather(shards) => gather_reply(host, call, shards, new_connection, attempts).await,
    };
    attempts.mark_answered();
    reply
}

async fn gather_reply(
    host: &Rc<Host>,
    call: &Rc<Call>,
    shards: &Gather,
    new_connection: bool,
    attempts: &Attempts,
) -> Reply {
    let aim = &Aim::new(latest_answer(host, call, new_connection));
    let levels = host.view.borrow().table().priority_levels(&call.route);
    match gather_anywhere(host, Query { call, shards, aim, levels }, attempts).await {
        Gathered::Answer { signatures, parts, body } => {
            let names = &host.dialect.headers;
            let mut reply = Response::new(body);
            let headers = reply.headers_mut();
            headers.insert(names.part_signatures.clone(), signatures);
            let missing = shards.shards.len() - parts;
            headers.insert(names.missing_parts.clone(), HeaderValue::from(missing as u64));
            host.metrics
                .record_coverage(&call.route.name, parts as f64 / shards.shards.len() as f64);
            reply
        }
        Gathered::Refused { retry_after } => {
            refuse(host, call, "too few shards admit it", retry_after, attempts)
        }
        Gathered::Incomplete { started: false, .. } => {
            refuse(host, call, "no target has room", None, attempts)
        }
        Gathered::Incomplete { parts, .. } => {
            let reason = format!("parts={parts}/{}", shards.shards.len());
            let status = if host.now() >= call.deadline { 504 } else { 502 };
            fail(host, call, status, &reason, attempts)
        }
    }
}

fn forward_reply(
    host: &Rc<Host>,
    call: &Call,
    service: Option<&Name>,
    outcome: Option<Outcome>,
    attempts: &Attempts,
) -> Reply {
    match outcome {
        Some(Outcome::Answered(answer)) => {
            let mut reply = Response::new(answer.body);
            *reply.status_mut() = answer.head.status;
            *reply.headers_mut() = end_to_end(&answer.head.headers);
            reply
        }
        Some(Outcome::Unknown(reason)) => fail(host, call, 502, &reason, attempts),
        Some(_) | None => {
            let now = host.now();
            let held_for = |service| host.with_balancer(service, |b| b.held_for(now)).flatten();
            refuse(host, call, "no target took it", service.and_then(held_for), attempts)
        }
    }
}

/// Refuses a request that has not run. Without a `retry_after` the caller gets a random one, so
/// that callers do not retry all at once.
fn refuse(
    host: &Host,
    call: &Call,
    reason: &'static str,
    retry_after: Option<Duration>,
    attempts: &Attempts,
) -> Reply {
    host.metrics.count_refusal(&call.route.name, reason);
    log_failure(host, call, 503, &format!("not run: {reason}"), attempts);
    let retry_after = retry_after.map(|retry_after| retry_after.max(MIN_RETRY_AFTER));
    unavailable(retry_after.unwrap_or_else(random_retry_after))
}

fn random_retry_after() -> Duration {
    let (min, max) = RANDOM_RETRY_AFTER;
    min + (max - min).mul_f64(fastrand::f64())
}

fn fail(host: &Host, call: &Call, status: u16, reason: &str, attempts: &Attempts) -> Reply {
    log_failure(host, call, status, reason, attempts);
    empty(status)
}

fn log_failure(host: &Host, call: &Call, status: u16, reason: &str, attempts: &Attempts) {
    let Some(suppressed) = host.failure_log.admit(host.now()) else { return };
    let id = call.id.to_str().unwrap_or("?");
    let route = &call.route.name;
    let version = host.view.borrow().version();
    let targets = attempts.describe();
    log::warn!(
        "event=request_failed id={id} route={route} status={status} reason=\"{reason}\" \
         version={version} targets=\"{targets}\" suppressed={suppressed}"
    );
}

/// Answer that the request has not run, with the time after which to retry it.
fn unavailable(retry_after: Duration) -> Reply {
    let mut reply = empty(503);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(retry_after) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(header::RETRY_AFTER, retry_after);
    }
    reply
}
