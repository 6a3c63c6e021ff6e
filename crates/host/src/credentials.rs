//! Authentication of operators' requests.
//!
//! Operators name their member in `x-member` and send its key as a bearer token. While the
//! catalogue has no members, the key from the host's settings (`founding`) is used instead.

use sapphirerack_catalogue::{Catalogue, Name, is_same_hash, key_hash};
use sapphirerack_http::{Request, Response};

use crate::changes::Rejection;

const MEMBER_HEADER: &str = "x-member";
const KEY_HEADER: &str = "authorization";
const KEY_SCHEME: &str = "Bearer ";

/// A member's name with the hash of the key sent with it.
#[derive(Clone, Debug)]
pub(crate) struct Credentials {
    pub member: Name,
    hash: Name,
    founding: Option<Name>,
}

impl Credentials {
    /// Reads the credentials of a request; `founding` is the key hash from the host's settings.
    pub(crate) fn read(request: &Request, founding: Option<&Name>) -> Result<Self, Response> {
        let member = request.header(MEMBER_HEADER).filter(|m| !m.is_empty());
        let key = request.header(KEY_HEADER).and_then(|v| v.strip_prefix(KEY_SCHEME));
        let (Some(member), Some(key)) = (member, key) else {
            log::warn!("step=authorize path={} error=\"no member or key\"", request.path);
            let expected = "expected a member in x-member and its key as a bearer token";
            return Err(Response::refuse(401, expected, true));
        };
        let founding = founding.cloned();
        Ok(Self { member: member.into(), hash: key_hash(key), founding })
    }

    /// Checks the credentials against a catalogue.
    pub(crate) fn check(&self, catalogue: &Catalogue) -> Result<(), Rejection> {
        let expected = if catalogue.members.is_empty() {
            self.founding.as_ref()
        } else {
            catalogue.member(&self.member).map(|m| &m.key)
        };
        if expected.is_some_and(|hash| is_same_hash(hash, &self.hash)) {
            return Ok(());
        }
        Err(self.forbidden("unknown member or wrong key".into()))
    }

    /// Checks that the member may change `old` into `new`.
    pub(crate) fn authorize(&self, old: &Catalogue, new: &Catalogue) -> Result<(), Rejection> {
        self.check(old)?;
        if old.members.is_empty() {
            return Ok(());
        }
        let changed = sapphirerack_catalogue::authorize(old, new, &self.member);
        let changed = changed.map_err(|reason| self.forbidden(reason))?;
        log::info!("step=authorize member={} changes=\"{}\"", self.member, changed.join(", "));
        Ok(())
    }

    /// Logs and returns a rejection of this member.
    pub(crate) fn forbidden(&self, reason: String) -> Rejection {
        log::warn!("step=authorize member={} error=\"{reason}\"", self.member.escape_default());
        Rejection::Forbidden { member: self.member.clone(), reason }
    }
}
