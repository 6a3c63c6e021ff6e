//! Who may change which entry.
//!
//! A service is changed by its owner alone, a member's key by that member, and a member leaves by
//! its own wish. Members join through proposals only. Data centres are shared: any member may add
//! one, take one out and bring it back, for a data centre that fails must not wait for the
//! approval of others; each such change is logged with the member that made it. A data centre is
//! removed once no target stands in it.

use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::proposal::hex;
use crate::{Catalogue, Map, Name};

/// SHA-256 of an operators' key, in hexadecimal, as the catalogue stores it.
///
/// ```
/// let hash = sapphirerack_catalogue::key_hash("secret");
/// assert!(sapphirerack_catalogue::is_same_hash(&hash, &hash.to_uppercase()));
/// ```
pub fn key_hash(key: &str) -> Name {
    hex(&Sha256::digest(key.as_bytes()))
}

/// Compares two hashes in a time that does not depend on where they differ.
pub fn is_same_hash(a: &str, b: &str) -> bool {
    let (a, b) = (a.to_ascii_lowercase(), b.to_ascii_lowercase());
    a.as_bytes().ct_eq(b.as_bytes()).into()
}

/// Checks that `member` may change `old` into `new`; returns what it changes.
///
/// # Errors
///
/// The entry that it may not change.
pub fn authorize(old: &Catalogue, new: &Catalogue, member: &str) -> Result<Vec<String>, String> {
    let mut changed = Vec::new();
    let services = |c: &Catalogue| c.services.iter().map(|s| (s.name.clone(), s.clone())).collect();
    for (name, before, after) in differences(services(old), services(new)) {
        let owners = [&before, &after].map(|s| s.as_ref().map(|s| s.owner.clone()));
        if let Some(owner) = owners.iter().flatten().find(|o| &***o != member) {
            return Err(format!("service {name:?} belongs to {owner:?}"));
        }
        changed.push(format!("service {name}"));
    }
    let members = |c: &Catalogue| c.members.iter().map(|m| (m.name.clone(), m.clone())).collect();
    for (name, before, _) in differences(members(old), members(new)) {
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
    for (name, ..) in differences(centres(old), centres(new)) {
        changed.push(format!("data centre {name}"));
    }
    if old.proposals != new.proposals {
        return Err("proposals change through propose and approve only".into());
    }
    Ok(changed)
}

/// Entries that differ, in the order of their names.
fn differences<T: PartialEq>(
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
