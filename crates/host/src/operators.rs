//! Operators' HTTP endpoints: catalogue, status, metrics and health.

use std::net::SocketAddr;
use std::sync::Arc;

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_http::{Method, Request, Response, Server};
use sapphirerack_repository::{Change, change_id};
use serde::Serialize;

use crate::changes::{Changes, Rejection};
use crate::config::Config;
use crate::credentials::Credentials;
use crate::member_front;
use crate::metrics::Metrics;
use crate::move_front::MoveFront;
use crate::shutdown::Leaving;
use crate::status::StatusReporter;
use crate::{Error, Result};

/// Largest catalogue that an operator may send, in bytes.
const CATALOGUE_LIMIT: usize = 1 << 20;

/// Header with the unique id of a change.
pub(crate) const CHANGE_HEADER: &str = "x-change-id";

/// Header with the version on which a change is based.
const BASE_HEADER: &str = "x-base-version";

#[derive(Serialize)]
struct Accepted {
    version: u64,
}

#[derive(Serialize)]
struct CatalogueBody<'a> {
    version: u64,
    catalogue: &'a Catalogue,
}

/// Operators' HTTP endpoints.
pub(crate) struct Operators {
    pub config: Arc<Config>,
    pub reporter: StatusReporter,
    pub metrics: Arc<Metrics>,
    pub changes: Arc<Changes>,
    pub moves: MoveFront,
    pub leaving: Arc<Leaving>,
    pub founding: Option<Name>,
}

impl Operators {
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
        let founding = self.founding.as_ref();
        if let Some(response) = member_front::route(request, &self.changes, founding) {
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
        if !self.reporter.peers.is_joined() {
            return Response::text(503, "not joined yet\n");
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
        Response::json(200, &CatalogueBody { version: view.version, catalogue: &view.catalogue })
    }

    fn put(&self, request: &Request) -> Response {
        let credentials = match Credentials::read(request, self.founding.as_ref()) {
            Ok(credentials) => credentials,
            Err(refusal) => return refusal,
        };
        let Some(id) = request.header(CHANGE_HEADER) else {
            return Response::refuse(400, "x-change-id: expected a unique id", true);
        };
        let base = request.header(BASE_HEADER).map(str::parse);
        let Ok(base) = base.transpose() else {
            return Response::refuse(400, "x-base-version: expected a version", true);
        };
        let text = String::from_utf8_lossy(&request.body);
        let catalogue = match sapphirerack_catalogue::from_text(&text) {
            Ok(catalogue) => catalogue,
            Err(e) => return Response::refuse(400, &e.to_string(), true),
        };
        let id = change_id(id, &request.body);
        let member = credentials.member.clone();
        let change = Change { id, member, summary: "catalogue".into(), base };
        self.change(&change, &credentials, &catalogue)
    }

    fn change(
        &self,
        change: &Change,
        credentials: &Credentials,
        catalogue: &Catalogue,
    ) -> Response {
        let edit = |current: &Catalogue| {
            // Moves and proposals are changed only by requests of their own.
            let next = Catalogue {
                moves: current.moves.clone(),
                proposals: current.proposals.clone(),
                ..catalogue.clone()
            };
            credentials.authorize(current, &next)?;
            Ok(next)
        };
        match self.changes.submit(change, credentials, edit) {
            Ok(version) => Response::json(200, &Accepted { version }),
            Err(e) => rejection_response(&e),
        }
    }
}

pub(crate) fn rejection_response(rejection: &Rejection) -> Response {
    let (status, not_run) = match rejection {
        Rejection::Invalid(_) => (400, true),
        Rejection::Forbidden { .. } => (403, true),
        Rejection::Conflict(_) => (409, true),
        Rejection::Unavailable(_) => (503, true),
        Rejection::Unknown(_) => (504, false),
    };
    Response::refuse(status, &rejection.to_string(), not_run)
}
