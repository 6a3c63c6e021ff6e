//! Authorization of catalogue changes.
//!
//! Only the owner may change a service. Only the member itself may change its key or remove itself.
//! Members join through proposals only. Data centres are shared: any member may add, drain and
//! restore one, because draining a failed data centre must not wait for the approval of others;
//! each such change is logged with the member that made it. A data centre can be removed once it
//! has no targets.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::proposal::hex;
use crate::{Catalogue, Map, Name};

/// SHA-256 of an operators' key in hexadecimal, as stored in the catalogue.
///
/// ```
/// let hash = sapphirerack_catalogue::key_hash("secret");
/// assert!(sapphirerack_catalogue::is_same_hash(&hash, &hash.to_uppercase()));
/// ```
pub fn key_hash(key: &str) -> Name {
    hex(&Sha256::digest(key.as_bytes()))
}

/// Compares two hexadecimal hashes, ignoring case, in time independent of where they differ.
pub fn is_same_hash(a: &str, b: &str) -> bool {
    let (a, b) = (a.to_ascii_lowercase(), b.to_ascii_lowercase());
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// Checks that `member` may change `old` into `new`; returns the changed entries.
///
/// # Errors
///
/// The first entry that the member may not change.
pub fn authorize(old: &Catalogue, new: &Catalogue, member: &str) -> Result<Vec<String>, String> {
    let mut changed = Vec::new();
    let services = |c: &Catalogue| c.services.iter().map(|s| (s.name.clone(), s.clone())).collect();
    for (name, before, after) in diff_entries(services(old), services(new)) {
        let owners = [&before, &after].map(|s| s.as_ref().map(|s| s.owner.clone()));
        if let Some(owner) = owners.iter().flatten().find(|o| &***o != member) {
            return Err(format!("service {name:?} belongs to {owner:?}"));
        }
        changed.push(format!("service {name}"));
    }
    let members = |c: &Catalogue| c.members.iter().map(|m| (m.name.clone(), m.clone())).collect();
    for (name, before, _) in diff_entries(members(old), members(new)) {
        if before.is_none() {
            return Err(format!("member {name:?} must be proposed and approved by every member"));
        }
        if *name != *member {
            return Err(format!("member {name:?} changes or leaves by its own wish only"));
        }
        changed.push(format!("member {name}"));
    }
    let centres =
        |c: &Catalogue| c.data_centres.iter().map(|d| (d.name.clone(), d.clone())).collect();
    for (name, ..) in diff_entries(centres(old), centres(new)) {
        changed.push(format!("data centre {name}"));
    }
    if old.proposals != new.proposals {
        return Err("proposals change through propose and approve only".into());
    }
    Ok(changed)
}

/// Entries that were added, changed or removed, sorted by name.
fn diff_entries<T: PartialEq>(
    mut old: Map<Name, T>,
    new: Map<Name, T>,
) -> Vec<(Name, Option<T>, Option<T>)> {
    let mut changed = Vec::new();
    for (name, after) in new {
        let before = old.remove(&name);
        if before.as_ref() != Some(&after) {
            changed.push((name, before, Some(after)));
        }
    }
    changed.extend(old.into_iter().map(|(name, before)| (name, Some(before), None)));
    changed.sort_by(|a, b| a.0.cmp(&b.0));
    changed
}
