//! Operators' HTTP for members: propose one, approve one.

use std::sync::Arc;

use sapphirerack_catalogue::{Catalogue, Member, Name, approve, propose};
use sapphirerack_http::{Method, Request, Response};
use sapphirerack_repository::{Change, change_id};
use serde::{Deserialize, Serialize};

use crate::changes::{Changes, Rejection};
use crate::claim::Claim;
use crate::operators::{CHANGE_HEADER, refuse};

/// A member's consent to a proposal.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Consent {
    /// The new member.
    name: Name,
    /// Digest of the proposal.
    digest: Name,
}

#[derive(Serialize)]
struct Accepted {
    version: u64,
}

/// Answers `POST /members` and `POST /members/approve`; `None` to any other request.
pub(crate) fn route(
    request: &Request,
    changes: &Arc<Changes>,
    founding: Option<&Name>,
) -> Option<Response> {
    let order = match (&request.method, request.path.as_str()) {
        (&Method::POST, "/members") => order_propose(request),
        (&Method::POST, "/members/approve") => order_approve(request),
        _ => return None,
    };
    Some(Claim::read(request, founding).and_then(|claim| {
        let order = order.map_err(|e| Response::refuse(400, &e.to_string(), true))?;
        submit(request, changes, &claim, &order)
    }))
    .map(|result| result.unwrap_or_else(|refusal| refusal))
}

enum Order {
    Propose(Member),
    Approve(Consent),
}

fn order_propose(request: &Request) -> serde_json::Result<Order> {
    serde_json::from_slice(&request.body).map(Order::Propose)
}

fn order_approve(request: &Request) -> serde_json::Result<Order> {
    serde_json::from_slice(&request.body).map(Order::Approve)
}

fn submit(
    request: &Request,
    changes: &Arc<Changes>,
    claim: &Claim,
    order: &Order,
) -> Result<Response, Response> {
    let id = request
        .header(CHANGE_HEADER)
        .ok_or_else(|| Response::refuse(400, "x-change-id: expected a unique id", true))?;
    let (what, name) = match order {
        Order::Propose(member) => ("propose", &member.name),
        Order::Approve(consent) => ("approve", &consent.name),
    };
    let change = Change {
        id: change_id(id, &request.body),
        member: claim.member.clone(),
        summary: format!("{what} member {name}").into(),
        base: None,
    };
    let edit = |catalogue: &Catalogue| edit(catalogue, claim, order);
    match changes.submit(&change, claim, edit) {
        Ok(version) => Ok(Response::json(200, &Accepted { version })),
        Err(e) => Ok(refuse(&e)),
    }
}

fn edit(catalogue: &Catalogue, claim: &Claim, order: &Order) -> Result<Catalogue, Rejection> {
    claim.check(catalogue)?;
    let by = claim.member.clone();
    let edited = match order {
        Order::Propose(member) => propose(catalogue, member.clone(), by),
        Order::Approve(consent) => approve(catalogue, &consent.name, &consent.digest, by),
    };
    edited.map_err(Rejection::Conflict)
}
