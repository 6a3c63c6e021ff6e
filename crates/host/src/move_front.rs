//! Operators' HTTP endpoints for moves: start, list, show.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use sapphirerack_catalogue::{Catalogue, Goal, Move, Name, Reason, Stage};
use sapphirerack_http::{Method, Request, Response};
use sapphirerack_policy::moves::{self, Effect, Plan, StartError};
use sapphirerack_repository::{Change, change_id};
use serde::{Deserialize, Serialize};

use crate::changes::{Changes, Rejection};
use crate::config::Config;
use crate::credentials::Credentials;
use crate::judge::Summary;
use crate::moves::MoveExecutor;
use crate::operators::rejection_response;
use crate::routing::Routing;

/// Path of the moves.
const PATH: &str = "/moves";

/// Body of a request to start a move.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct StartRequest {
    id: Name,
    goal: Goal,
    #[serde(with = "humantime_serde")]
    within: Duration,
}

#[derive(Serialize)]
struct Accepted {
    id: Name,
    version: u64,
}

/// Progress of a move, as seen by this host.
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
enum Progress {
    Pending,
    Open,
    Done,
    Reversed,
}

#[derive(Serialize)]
struct Status<'a> {
    id: &'a str,
    owner: &'a str,
    goal: &'a Goal,
    revision: u64,
    state: Progress,
    /// Whether the state is stored; a reversal that took effect without the store is not yet.
    is_final: bool,
    stage: Option<usize>,
    stages: &'a [Stage],
    #[serde(with = "humantime_serde")]
    start: SystemTime,
    #[serde(with = "humantime_serde")]
    deadline: SystemTime,
    #[serde(with = "humantime_serde")]
    ended: Option<SystemTime>,
    reason: Option<Reason>,
    evidence: Summary,
}

/// Operators' endpoints for moves.
pub(crate) struct MoveFront {
    pub(crate) config: Arc<Config>,
    pub(crate) routing: Arc<Routing>,
    pub(crate) changes: Arc<Changes>,
    pub(crate) moves: Arc<MoveExecutor>,
    /// SHA-256 of the key that authorizes the first catalogue.
    pub(crate) founding: Option<Name>,
}

impl MoveFront {
    /// Answers a request on the path of the moves; `None` for other paths.
    pub(crate) fn route(&self, request: &Request) -> Option<Response> {
        let rest = request.path.strip_prefix(PATH)?;
        match (&request.method, rest) {
            (&Method::POST, "") => Some(self.start(request)),
            (&Method::GET, "") => Some(self.list()),
            (&Method::GET, id) => Some(self.show(id.strip_prefix('/')?)),
            _ => Some(Response::refuse(405, "expected GET or POST", true)),
        }
    }

    fn list(&self) -> Response {
        let view = self.config.view();
        let all: Vec<Status<'_>> = view.catalogue.moves.iter().map(|m| self.status(m)).collect();
        Response::json(200, &all)
    }

    fn show(&self, id: &str) -> Response {
        match self.config.view().catalogue.find_move(id) {
            Some(record) => Response::json(200, &self.status(record)),
            None => Response::refuse(404, "unknown move", true),
        }
    }

    fn status<'a>(&self, record: &'a Move) -> Status<'a> {
        let now = self.routing.now();
        let effect = moves::effective(record, now, &self.routing.verdicts());
        let (state, stage, reason) = match effect {
            Effect::Pending => (Progress::Pending, None, None),
            Effect::Open(stage, _) => (Progress::Open, Some(stage), None),
            Effect::Done => (Progress::Done, None, None),
            Effect::Reversed(reason) => (Progress::Reversed, None, Some(reason)),
        };
        Status {
            id: &record.id,
            owner: &record.owner,
            goal: &record.goal,
            revision: record.revision,
            state,
            is_final: !record.is_open(),
            stage,
            stages: &record.stages,
            start: record.start,
            deadline: record.deadline,
            ended: record.ended(),
            reason,
            evidence: self.moves.summary(&record.id),
        }
    }

    fn start(&self, request: &Request) -> Response {
        let credentials = match Credentials::read(request, self.founding.as_ref()) {
            Ok(credentials) => credentials,
            Err(refusal) => return refusal,
        };
        let body: StartRequest = match serde_json::from_slice(&request.body) {
            Ok(body) => body,
            Err(e) => return Response::refuse(400, &e.to_string(), true),
        };
        let id = body.id.clone();
        let change = Change {
            id: change_id(&format!("move-{id}"), &request.body),
            member: credentials.member.clone(),
            summary: format!("move {id}").into(),
            base: None,
        };
        let owner = credentials.member.clone();
        let plan = Plan { id: body.id, owner, goal: body.goal, within: body.within };
        let edit = |catalogue: &Catalogue| {
            credentials.check(catalogue)?;
            check_owner(catalogue, &plan).map_err(|reason| credentials.forbidden(reason))?;
            self.edit(catalogue, &plan)
        };
        match self.changes.submit(&change, &credentials, edit) {
            Ok(version) => Response::json(200, &Accepted { id, version }),
            Err(e) => rejection_response(&e),
        }
    }

    /// Starts the move in the catalogue; a repeated request changes nothing.
    fn edit(&self, catalogue: &Catalogue, plan: &Plan) -> Result<Catalogue, Rejection> {
        if catalogue.find_move(&plan.id).is_some_and(|m| m.goal == plan.goal) {
            return Ok(catalogue.clone());
        }
        moves::start(catalogue, plan.clone(), self.routing.now()).map_err(|e| match e {
            StartError::Conflict(_) => Rejection::Conflict(e.to_string()),
            _ => Rejection::Invalid(e.to_string()),
        })
    }
}

/// Services and targets may be moved by their owner only, data centres by any member.
fn check_owner(catalogue: &Catalogue, plan: &Plan) -> Result<(), String> {
    let owner = match &plan.goal {
        Goal::Drain { .. } | Goal::Restore { .. } => None,
        Goal::Retire { target } => {
            let owns_target = |s: &&sapphirerack_catalogue::Service| {
                s.shards.iter().flat_map(|s| &s.targets).any(|t| t.name == *target)
            };
            catalogue.services.iter().find(owns_target).map(|s| &s.owner)
        }
        Goal::Shift { service, .. } => catalogue.service(service).map(|s| &s.owner),
    };
    match owner {
        Some(owner) if *owner != plan.owner => {
            Err(format!("{:?} belongs to {owner:?}", plan.goal.subject()))
        }
        _ => Ok(()),
    }
}
