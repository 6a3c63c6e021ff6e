//! Proposals of new members and their approval.
//!
//! An approval carries the digest of the proposal as the approving member saw it, so it is valid
//! for exactly that proposal: a modified proposal has another digest and needs new approvals.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Catalogue, Member, Name, Set};

/// Approval of a proposal by a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Approval {
    /// Approving member.
    pub member: Name,
    /// Digest of the approved proposal.
    pub digest: Name,
}

/// New member that joins once every existing member has approved it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// The new member.
    pub member: Member,
    /// Proposing member.
    pub by: Name,
    /// Approvals so far.
    #[serde(default)]
    pub approvals: Vec<Approval>,
}

impl Proposal {
    /// SHA-256 of the proposed content, in hexadecimal.
    pub fn digest(&self) -> Name {
        let mut hash = Sha256::new();
        for field in [&self.member.name, &self.member.key, &self.by] {
            hash.update((field.len() as u64).to_le_bytes());
            hash.update(field.as_bytes());
        }
        hex(&hash.finalize())
    }

    /// Members that have not approved the proposal yet.
    pub fn missing(&self, catalogue: &Catalogue) -> Vec<Name> {
        let digest = self.digest();
        let valid = self.approvals.iter().filter(|a| a.digest == digest);
        let approved: Set<&Name> = valid.map(|a| &a.member).collect();
        catalogue.member_names().filter(|m| !approved.contains(m)).cloned().collect()
    }
}

/// Returns the catalogue with a proposal added, approved by the proposing member.
///
/// # Errors
///
/// The reason why the member can't be proposed.
pub fn propose(catalogue: &Catalogue, member: Member, by: Name) -> Result<Catalogue, String> {
    if catalogue.member(&member.name).is_some() {
        return Err(format!("{:?} is a member already", member.name));
    }
    let mut catalogue = catalogue.clone();
    let name = member.name.clone();
    let old = catalogue.proposals.iter().position(|p| p.member.name == name);
    if let Some(old) = old {
        let old = &catalogue.proposals[old];
        if old.by != by {
            return Err(format!("{name:?} is proposed by {:?}", old.by));
        }
        if old.member == member {
            return Ok(catalogue);
        }
    }
    catalogue.proposals.retain(|p| p.member.name != name);
    let mut proposal = Proposal { member, by: by.clone(), approvals: Vec::new() };
    proposal.approvals.push(Approval { member: by, digest: proposal.digest() });
    catalogue.proposals.push(proposal);
    Ok(join_if_approved(catalogue, &name))
}

/// Returns the catalogue with an approval added; the last missing approval makes the member join.
///
/// # Errors
///
/// There is no such proposal, or its digest differs from the approved one.
pub fn approve(
    catalogue: &Catalogue,
    name: &str,
    digest: &str,
    by: Name,
) -> Result<Catalogue, String> {
    let mut catalogue = catalogue.clone();
    let proposal = catalogue.proposals.iter_mut().find(|p| &*p.member.name == name);
    let proposal = proposal.ok_or_else(|| format!("{name:?} is not proposed"))?;
    let current = proposal.digest();
    if *current != *digest {
        return Err(format!("the proposal of {name:?} has the digest {current}, not {digest}"));
    }
    proposal.approvals.retain(|a| a.member != by);
    proposal.approvals.push(Approval { member: by, digest: current });
    Ok(join_if_approved(catalogue, name))
}

/// Moves a proposed member to the members if every member has approved it.
fn join_if_approved(mut catalogue: Catalogue, name: &str) -> Catalogue {
    let index = catalogue.proposals.iter().position(|p| &*p.member.name == name);
    if let Some(index) = index
        && catalogue.proposals[index].missing(&catalogue).is_empty()
    {
        let proposal = catalogue.proposals.remove(index);
        catalogue.members.push(proposal.member);
    }
    catalogue
}

pub(crate) fn hex(bytes: &[u8]) -> Name {
    bytes.iter().map(|b| format!("{b:02x}")).collect::<String>().into()
}
