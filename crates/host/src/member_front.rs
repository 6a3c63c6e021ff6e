//! Operators' HTTP endpoints for members: propose, approve.

use std::sync::Arc;

use sapphirerack_catalogue::{Catalogue, Member, Name, approve, propose};
use sapphirerack_http::{Method, Request, Response};
use sapphirerack_repository::{Change, change_id};
use serde::{Deserialize, Serialize};

use crate::changes::{Changes, Rejection};
use crate::credentials::Credentials;
use crate::operators::{CHANGE_HEADER, rejection_response};

/// Body of a request to approve a proposal.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ApproveRequest {
    /// Name of the proposed member.
    name: Name,
    /// Digest of the proposal.
    digest: Name,
}

#[derive(Serialize)]
struct Accepted {
    version: u64,
}

/// Answers `POST /members` and `POST /members/approve`; `None` for any other request.
pub(crate) fn route(
    request: &Request,
    changes: &Arc<Changes>,
    founding: Option<&Name>,
) -> Option<Response> {
    let member_edit = match (&request.method, request.path.as_str()) {
        (&Method::POST, "/members") => parse_proposal(request),
        (&Method::POST, "/members/approve") => parse_approval(request),
        _ => return None,
    };
    Some(Credentials::read(request, founding).and_then(|credentials| {
        let member_edit = member_edit.map_err(|e| Response::refuse(400, &e.to_string(), true))?;
        submit(request, changes, &credentials, &member_edit)
    }))
    .map(|result| result.unwrap_or_else(|refusal| refusal))
}

enum MemberEdit {
    Propose(Member),
    Approve(ApproveRequest),
}

fn parse_proposal(request: &Request) -> serde_json::Result<MemberEdit> {
    serde_json::from_slice(&request.body).map(MemberEdit::Propose)
}

fn parse_approval(request: &Request) -> serde_json::Result<MemberEdit> {
    serde_json::from_slice(&request.body).map(MemberEdit::Approve)
}

fn submit(
    request: &Request,
    changes: &Arc<Changes>,
    credentials: &Credentials,
    member_edit: &MemberEdit,
) -> Result<Response, Response> {
    let id = request
        .header(CHANGE_HEADER)
        .ok_or_else(|| Response::refuse(400, "x-change-id: expected a unique id", true))?;
    let (verb, name) = match member_edit {
        MemberEdit::Propose(member) => ("propose", &member.name),
        MemberEdit::Approve(approval) => ("approve", &approval.name),
    };
    let change = Change {
        id: change_id(id, &request.body),
        member: credentials.member.clone(),
        summary: format!("{verb} member {name}").into(),
        base: None,
    };
    let edit = |catalogue: &Catalogue| edit(catalogue, credentials, member_edit);
    match changes.submit(&change, credentials, edit) {
        Ok(version) => Ok(Response::json(200, &Accepted { version })),
        Err(e) => Ok(rejection_response(&e)),
    }
}

fn edit(
    catalogue: &Catalogue,
    credentials: &Credentials,
    member_edit: &MemberEdit,
) -> Result<Catalogue, Rejection> {
    credentials.check(catalogue)?;
    let by = credentials.member.clone();
    let edited = match member_edit {
        MemberEdit::Propose(member) => propose(catalogue, member.clone(), by),
        MemberEdit::Approve(approval) => approve(catalogue, &approval.name, &approval.digest, by),
    };
    edited.map_err(Rejection::Conflict)
}
