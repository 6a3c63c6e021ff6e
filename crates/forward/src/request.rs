//! One request of a caller, from its route to its answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{self, HeaderName, HeaderValue};
use hyper::{HeaderMap, Request, Response};
use sapphirerack_routes::{Action, Gather, Route};

use crate::ask::{Attempts, ask};
use crate::attempt::{Call, Outcome};
use crate::client::empty;
use crate::host::{Host, Phase};
use crate::query::{Gathered, gather};

type Reply = Response<Full<Bytes>>;

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Time before the caller's deadline, besides the way there and back, at which a request is ended.
const DEADLINE_MARGIN: Duration = Duration::from_millis(5);

/// Shortest and longest time after which a caller is asked to come back when nothing tells when
/// there will be room.
const UNKNOWN_ROOM: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(600));

/// Shortest time after which a caller is asked to come back.
const LEAST_WAIT: Duration = Duration::from_millis(100);

/// Time after which a caller comes back to a host that has no configuration yet.
const START_TIME: Duration = Duration::from_millis(500);

/// Answers a request; `fresh` says that its connection was opened for it.
pub(crate) async fn answer(host: Rc<Host>, request: Request<Incoming>, fresh: bool) -> Reply {
    let start = host.now();
    let mut reply = respond(&host, request, fresh, start).await;
    if host.phase() == Phase::Leaving {
        reply.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

async fn respond(
    host: &Rc<Host>,
    request: Request<Incoming>,
    fresh: bool,
    start: Instant,
) -> Reply {
    let table = host.view.borrow().table().clone();
    if table.configuration().version == 0 {
        return refuse(START_TIME);
    }
    let (head, body) = request.into_parts();
    let name = head.headers.get(header::HOST).and_then(|h| h.to_str().ok());
    let name = name.or(head.uri.authority().map(|a| a.as_str())).unwrap_or_default();
    let Some(route) = table.find(name, head.uri.path()).cloned() else {
        if let Some(suppressed) = host.strays.admit(host.now()) {
            let (path, version) = (head.uri.path(), table.configuration().version);
            log::info!(
                "event=no_route host=\"{name}\" path=\"{path}\" version={version} \
                 suppressed={suppressed}"
            );
        }
        return empty(404);
    };
    let Some(id) = head.headers.get(&host.dialect.headers.attempt_id).cloned() else {
        return empty(400);
    };
    let limit = table.configuration().limits.body;
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<http_body_util::LengthLimitError>() => return empty(413),
        Err(_) => return empty(400),
    };
    let wait = wait(host, &head.headers, &route);
    let call = Rc::new(Call {
        method: head.method,
        uri: origin_form(head.uri),
        headers: passed_on(&head.headers),
        body,
        id,
        start,
        deadline: start + wait,
        route: route.clone(),
    });
    let reply = run(host, &call, fresh).await;
    host.metrics.answered(&route.name, reply.status().as_u16(), host.now() - start);
    reply
}

/// Time until the request must be answered.
fn wait(host: &Host, headers: &HeaderMap, route: &Route) -> Duration {
    let stated = headers.get(&host.dialect.headers.time_left);
    let stated = stated.and_then(|v| v.to_str().ok()?.trim().parse::<u64>().ok());
    let wait = stated.map_or(route.timeout, |ms| route.timeout.min(Duration::from_millis(ms)));
    let distance = host.settings.borrow().queries.distance;
    wait.saturating_sub(DEADLINE_MARGIN + distance * 2)
}

/// Path and query, without what proxies are sent before them.
fn origin_form(uri: hyper::Uri) -> hyper::Uri {
    match uri.path_and_query() {
        Some(path) if uri.authority().is_some() => path.clone().into(),
        _ => uri,
    }
}

/// Headers without those that concern one connection only.
fn passed_on(headers: &HeaderMap) -> HeaderMap {
    let mut passed = headers.clone();
    let listed = headers.get_all(header::CONNECTION);
    let listed = listed.iter().filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(','));
    for name in listed {
        passed.remove(name.trim());
    }
    for name in HOP_HEADERS {
        passed.remove(name);
    }
    passed
}

async fn run(host: &Rc<Host>, call: &Rc<Call>, fresh: bool) -> Reply {
    let attempts = Attempts::default();
    let reply = match &call.route.action {
        Action::Forward(services) => {
            let service = host.split(&call.route, |s| s.next(services).cloned());
            let asked = async {
                match &service {
                    Some(service) => ask(host, call, service, &attempts).await,
                    None => None,
                }
            };
            match tokio::time::timeout_at(call.deadline.into(), asked).await {
                Ok(outcome) => forward_reply(host, call, outcome, &attempts),
                Err(_) => failure(host, call, 504, "deadline", &attempts),
            }
        }
        Action::Gather(shards) => gathered(host, call, shards, fresh, &attempts).await,
    };
    attempts.answered();
    reply
}

async fn gathered(
    host: &Rc<Host>,
    call: &Rc<Call>,
    shards: &Gather,
    fresh: bool,
    attempts: &Attempts,
) -> Reply {
    match gather(host, call, shards, fresh, attempts).await {
        Gathered::Answer { seals, parts, body } => {
            let names = &host.dialect.headers;
            let mut reply = Response::new(Full::new(body));
            let headers = reply.headers_mut();
            headers.insert(names.part_signatures.clone(), seals);
            let missing = shards.shards.len() - parts;
            headers.insert(names.missing_parts.clone(), HeaderValue::from(missing as u64));
            host.metrics.covered(&call.route.name, parts as f64 / shards.shards.len() as f64);
            reply
        }
        Gathered::Refused { after } => {
            refused(host, call, "too few shards admit it", after, attempts)
        }
        Gathered::Short { .. } if !attempts.is_started() => {
            refused(host, call, "no target has room", None, attempts)
        }
        Gathered::Short { parts } => {
            let reason = format!("parts={parts}/{}", shards.shards.len());
            let status = if host.now() >= call.deadline { 504 } else { 502 };
            failure(host, call, status, &reason, attempts)
        }
    }
}

fn forward_reply(
    host: &Rc<Host>,
    call: &Call,
    outcome: Option<Outcome>,
    attempts: &Attempts,
) -> Reply {
    match outcome {
        Some(Outcome::Answered(answer)) => {
            let mut reply = Response::new(Full::new(answer.body));
            *reply.status_mut() = answer.head.status;
            *reply.headers_mut() = passed_on(&answer.head.headers);
            reply
        }
        Some(Outcome::Unknown(reason)) => failure(host, call, 502, &reason, attempts),
        Some(_) | None => refused(host, call, "no target took it", None, attempts),
    }
}

/// Refuses a request that has not run; tells the caller to come back `after` this time, or, if
/// that is not known, after one that differs between callers.
fn refused(
    host: &Host,
    call: &Call,
    reason: &'static str,
    after: Option<Duration>,
    attempts: &Attempts,
) -> Reply {
    let (least, most) = UNKNOWN_ROOM;
    let unknown = || least + (most - least).mul_f64(fastrand::f64());
    host.metrics.refused(&call.route.name, reason);
    log_failure(host, call, 503, &format!("not run: {reason}"), attempts);
    refuse(after.map_or_else(unknown, |after| after.max(LEAST_WAIT)))
}

fn failure(host: &Host, call: &Call, status: u16, reason: &str, attempts: &Attempts) -> Reply {
    log_failure(host, call, status, reason, attempts);
    empty(status)
}

fn log_failure(host: &Host, call: &Call, status: u16, reason: &str, attempts: &Attempts) {
    let Some(suppressed) = host.failures.admit(host.now()) else { return };
    let id = call.id.to_str().unwrap_or("?");
    let route = &call.route.name;
    let version = host.view.borrow().version();
    let trail = attempts.trail();
    log::warn!(
        "event=request_failed id={id} route={route} status={status} reason=\"{reason}\" \
         version={version} targets=\"{trail}\" suppressed={suppressed}"
    );
}

/// Says that a request has not run and when to come back.
fn refuse(after: Duration) -> Reply {
    let mut reply = empty(503);
    let seconds = format!("{:.3}", after.as_secs_f64());
    if let Ok(after) = HeaderValue::from_str(&seconds) {
        reply.headers_mut().insert(header::RETRY_AFTER, after);
    }
    reply
}
