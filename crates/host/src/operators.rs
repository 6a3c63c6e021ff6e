//! Operators' HTTP: the catalogue, status, metrics and health.

use std::net::SocketAddr;
use std::sync::Arc;

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_http::{Method, Request, Response, Server};
use sapphirerack_repository::Change;
use serde::Serialize;

use crate::changes::{Changes, Rejection};
use crate::config::Config;
use crate::metrics::Metrics;
use crate::move_front::MoveFront;
use crate::shutdown::Leaving;
use crate::status::Reporter;
use crate::{Error, Result};

/// Largest catalogue that an operator may send, in bytes.
const CATALOGUE_LIMIT: usize = 1 << 20;
const CHANGE_HEADER: &str = "x-change-id";

#[derive(Serialize)]
struct Accepted {
    version: u64,
}

#[derive(Serialize)]
struct InForce<'a> {
    version: u64,
    catalogue: &'a Catalogue,
}

/// Operators' front.
pub(crate) struct Operators {
    config: Arc<Config>,
    reporter: Reporter,
    metrics: Arc<Metrics>,
    changes: Arc<Changes>,
    moves: MoveFront,
    leaving: Arc<Leaving>,
}

impl Operators {
    pub(crate) fn new(
        config: Arc<Config>,
        reporter: Reporter,
        metrics: Arc<Metrics>,
        changes: Arc<Changes>,
        moves: MoveFront,
        leaving: Arc<Leaving>,
    ) -> Self {
        Self { config, reporter, metrics, changes, moves, leaving }
    }

    /// Serves operators at `address`.
    pub(crate) fn serve(self, address: SocketAddr) -> Result<Server> {
        let config = sapphirerack_http::Config {
            body: CATALOGUE_LIMIT,
            ..sapphirerack_http::Config::new(address)
        };
        sapphirerack_http::serve(config, move |request| self.route(&request)).map_err(Error::http)
    }

    fn route(&self, request: &Request) -> Response {
        if let Some(response) = self.moves.route(request) {
            return response;
        }
        match (&request.method, request.path.as_str()) {
            (&Method::GET, "/healthz") => Response::text(200, "ok\n"),
            (&Method::GET, "/readyz") => self.ready(),
            (&Method::GET, "/metrics") => Response::text(200, self.metrics.text()),
            (&Method::GET, "/status") => self.status(request),
            (&Method::GET, "/catalogue") => self.get(),
            (&Method::PUT, "/catalogue") => self.put(request),
            _ => Response::refuse(404, "unknown path", true),
        }
    }

    fn ready(&self) -> Response {
        if self.config.view().version == 0 {
            return Response::text(503, "no configuration yet\n");
        }
        if self.leaving.is_set() {
            return Response::text(503, "leaving\n");
        }
        Response::text(200, "ready\n")
    }

    fn status(&self, request: &Request) -> Response {
        if request.query == "all" || request.param("all").is_some() {
            return Response::json(200, &self.reporter.all());
        }
        Response::json(200, &self.reporter.own())
    }

    fn get(&self) -> Response {
        let view = self.config.view();
        Response::json(200, &InForce { version: view.version, catalogue: &view.catalogue })
    }

    fn put(&self, request: &Request) -> Response {
        let Some(change) = request.header(CHANGE_HEADER).map(Name::from) else {
            return Response::refuse(400, "x-change-id: expected a unique id", true);
        };
        let text = String::from_utf8_lossy(&request.body);
        match sapphirerack_catalogue::from_text(&text) {
            Ok(catalogue) => self.change(change, catalogue),
            Err(e) => Response::refuse(400, &e.to_string(), true),
        }
    }

    fn change(&self, id: Name, catalogue: Catalogue) -> Response {
        // Moves change through their own requests alone.
        let edit = |current: &Catalogue| {
            Ok(Catalogue { moves: current.moves.clone(), ..catalogue.clone() })
        };
        let change = Change { id, member: "".into(), summary: "catalogue".into(), base: None };
        match self.changes.submit(&change, edit) {
            Ok(version) => Response::json(200, &Accepted { version }),
            Err(e) => refuse(&e),
        }
    }
}

pub(crate) fn refuse(rejection: &Rejection) -> Response {
    let (status, not_run) = match rejection {
        Rejection::Invalid(_) => (400, true),
        Rejection::Forbidden { .. } => (403, true),
        Rejection::Conflict(_) => (409, true),
        Rejection::Unavailable(_) => (503, true),
        Rejection::Unknown(_) => (504, false),
    };
    Response::refuse(status, &rejection.to_string(), not_run)
}
