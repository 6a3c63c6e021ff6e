//! HTTP front end for callers.
//!
//! A fixed number of workers serves callers from a bounded queue. A request that finds the queue
//! full is rejected at once as not run, so that none waits outside the queue.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sapphirerack_catalogue::{Name, Span};
use sapphirerack_http::{Capacity, Config, Method, Request, Response, Server, max_connections};
use serde::Serialize;
use serde_json::value::RawValue;

use crate::bookings::Bookings;
use crate::gather::{Gather, Gathered, Query};
use crate::metrics::Metrics;
use crate::settings::RequestLimits;
use crate::shutdown::Leaving;
use crate::{Error, Result};

const SEARCH_PREFIX: &str = "/search/";
const BOOK_PREFIX: &str = "/book/";
const KEYS_PATH: &str = "/keys";
const REQUEST_HEADER: &str = "x-request-id";
const TIMEOUT_HEADER: &str = "x-timeout-ms";
const ROUTE_HEADER: &str = "x-route";
const DEFAULT_ROUTE: &str = "default";

/// Body of the response to a search.
#[derive(Serialize)]
struct Body<'a> {
    request: &'a str,
    service: &'a str,
    snapshot: u64,
    coverage: f64,
    complete: bool,
    deadline_cut: bool,
    parts: Vec<PartBody<'a>>,
}

#[derive(Serialize)]
struct PartBody<'a> {
    shard: &'a str,
    span: Span,
    results: &'a RawValue,
}

/// HTTP front end for callers.
pub(crate) struct Entry {
    gather: Gather,
    metrics: std::sync::Arc<Metrics>,
    limits: RequestLimits,
    bookings: Bookings,
    leaving: Arc<Leaving>,
}

impl Entry {
    pub(crate) fn new(
        gather: Gather,
        metrics: std::sync::Arc<Metrics>,
        limits: RequestLimits,
        bookings: Bookings,
        leaving: Arc<Leaving>,
    ) -> Self {
        Self { gather, metrics, limits, bookings, leaving }
    }

    /// Serves callers at `address`.
    pub(crate) fn serve(self, address: SocketAddr) -> Result<Server> {
        let config = Config {
            workers: self.limits.requests,
            queue: self.limits.requests,
            body: self.limits.body,
            capacity: Capacity {
                memory: self.limits.memory,
                connections: self.limits.connections.min(max_connections()),
            },
            // An earlier attempt with the same key may have run.
            not_run: |path| !path.starts_with(BOOK_PREFIX),
            ..Config::new(address)
        };
        sapphirerack_http::serve(config, move |request| self.answer(&request)).map_err(Error::http)
    }

    /// Answers a request. A leaving host also asks the caller to close the connection.
    fn answer(&self, request: &Request) -> Response {
        let response = self.route(request);
        match self.leaving.is_set() {
            true => response.with_header("connection", "close"),
            false => response,
        }
    }

    fn route(&self, request: &Request) -> Response {
        let search = request.path.strip_prefix(SEARCH_PREFIX);
        let book = request.path.strip_prefix(BOOK_PREFIX);
        match (&request.method, search, book) {
            (&Method::POST, Some(_), _) if self.leaving.is_set() => {
                self.metrics.refused("leaving");
                Response::refuse(503, "host is leaving", true)
            }
            (&Method::POST, Some(service), _) => self.search(request, service),
            (&Method::POST, _, Some(service)) => self.bookings.book(request, service),
            (&Method::POST, ..) if request.path == KEYS_PATH => self.bookings.key(),
            (_, Some(_), _) | (_, _, Some(_)) => Response::refuse(405, "expected POST", true),
            _ => Response::refuse(404, "unknown path", true),
        }
    }

    fn search(&self, request: &Request, service: &str) -> Response {
        match self.parse_query(request, service) {
            Ok(query) => self.run(&query).with_header(REQUEST_HEADER, &*query.request),
            Err(error) => {
                self.metrics.refused("bad request");
                Response::refuse(400, error, true)
            }
        }
    }

    fn parse_query(
        &self,
        request: &Request,
        service: &str,
    ) -> std::result::Result<Query, &'static str> {
        let timeout = match request.header(TIMEOUT_HEADER).map(str::parse) {
            None => None,
            Some(Ok(ms)) if ms > 0 => Some(Duration::from_millis(ms)),
            Some(_) => return Err("x-timeout-ms: expected milliseconds above 0"),
        };
        if timeout.is_some_and(|t| t > self.limits.timeout) {
            return Err("x-timeout-ms: above the host's limit");
        }
        let id = request.header(REQUEST_HEADER).map_or_else(random_id, Name::from);
        if id.len() > self.limits.header || !is_safe_name(&id) {
            return Err("x-request-id: expected a short id of letters, digits, '-', '_' or '.'");
        }
        let route = request.header(ROUTE_HEADER).unwrap_or(DEFAULT_ROUTE);
        if route.len() > self.limits.header || !is_safe_name(route) {
            return Err("x-route: expected a short name of letters, digits, '-', '_' or '.'");
        }
        Ok(Query {
            request: id,
            service: service.into(),
            route: route.into(),
            body: request.body.as_slice().into(),
            timeout,
        })
    }

    fn run(&self, query: &Query) -> Response {
        match self.gather.search(query) {
            Ok(gathered) => {
                log_answer(query, &gathered);
                search_response(query, &gathered)
            }
            Err(refusal) => {
                let (status, reason) = refusal.describe();
                let Query { request, service, .. } = query;
                log::debug!("step=refuse request={request} service={service} reason={reason:?}");
                self.metrics.refused(reason);
                Response::refuse(status, reason, true)
            }
        }
    }
}

/// Random id for a request that has none.
fn random_id() -> Name {
    format!("{:016x}", fastrand::u64(..)).into()
}

/// Whether a name is safe in a log line and in a header.
fn is_safe_name(name: &str) -> bool {
    !name.is_empty() && name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c))
}

fn log_answer(query: &Query, gathered: &Gathered) {
    log::debug!(
        "step=answer request={} service={} snapshot={} coverage={} cut={}",
        query.request,
        query.service,
        gathered.snapshot,
        gathered.coverage.fraction(),
        gathered.deadline_cut
    );
}

fn search_response(query: &Query, gathered: &Gathered) -> Response {
    let parts = gathered.parts.iter().filter_map(|(shard, part)| {
        let results: &RawValue = serde_json::from_str(&part.results).ok()?;
        Some(PartBody { shard, span: part.span, results })
    });
    let body = Body {
        request: &query.request,
        service: &query.service,
        snapshot: gathered.snapshot,
        coverage: gathered.coverage.fraction(),
        complete: gathered.coverage.is_complete(),
        deadline_cut: gathered.deadline_cut,
        parts: parts.collect(),
    };
    Response::json(200, &body)
}
